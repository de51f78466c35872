package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/platform"
)

// plainAnswer returns the answer of a plain service to one execution.
func (t *Target) plainAnswer(id, seal string) string {
	return fmt.Sprintf("%s %s %s", id, seal, strings.Repeat(strconv.FormatUint(xxhash.Sum64String(id+seal), 36), 20))
}

// eventCount returns the number of events of a stream. It depends on the request ID only,
// so that every target gives the same answer.
func eventCount(id string) int64 { return 3 + int64(xxhash.Sum64String(id)%20) }

// exchange is one request that a target executes, and its response.
type exchange struct {
	target    *Target
	w         http.ResponseWriter
	r         *http.Request
	call      gate.CallInfo
	execution execution
	mode      Mode
}

func (x *exchange) reply() gate.ReplyInfo { return x.target.reply(x.r, x.call.ID) }

// injectFault handles the modes that replace the answer. It returns false if the target
// must answer.
func (x *exchange) injectFault() bool {
	switch x.mode {
	case Unresponsive:
		<-x.r.Context().Done()
	case Resetting:
		if c, _, err := http.NewResponseController(x.w).Hijack(); err == nil {
			reset(c)
		}
	case Failing:
		writeReply(x.w, http.StatusInternalServerError, x.reply(), x.execution.seal, []byte("failed"))
	default:
		return false
	}
	return true
}

// servePlain answers like a plain service.
func (x *exchange) servePlain() {
	if !sleep(x.r.Context(), plainServiceTime) || x.injectFault() {
		return
	}
	answer := []byte(x.execution.answer)
	switch x.mode {
	case Truncating:
		x.w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		writeReply(x.w, http.StatusOK, x.reply(), x.execution.seal, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	case Duplicating:
		c, _, err := http.NewResponseController(x.w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		var b bytes.Buffer
		fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(answer))
		// Writes to a buffer do not fail.
		_ = platform.EncodeReply(x.reply(), x.execution.seal).Write(&b)
		b.WriteString("\r\n")
		b.Write(answer)
		c.Write(append(b.Bytes(), b.Bytes()...))
		sleep(x.r.Context(), time.Second)
	default:
		writeReply(x.w, http.StatusOK, x.reply(), x.execution.seal, answer)
	}
}

// serveStream waits for the time of the prefill and then streams the events after the last
// one that the caller has.
func (x *exchange) serveStream(send gate.SendInfo) {
	engines := time.Duration(1 + len(send.Helpers))
	prefill := time.Duration(x.call.PromptTokens) * time.Second / prefillRate / engines
	if !sleep(x.r.Context(), prefill) || x.injectFault() {
		return
	}
	h := x.w.Header()
	for k, v := range platform.EncodeReply(x.reply(), x.execution.seal) {
		h[k] = v
	}
	h.Set("Content-Type", "text/event-stream")
	x.w.WriteHeader(http.StatusOK)
	first := int64(1)
	if x.call.HasLastEventID {
		first = x.call.LastEventID + 1
	}
	for i := first; i <= x.execution.events; i++ {
		if x.mode == Truncating && i > x.execution.events/2 {
			fmt.Fprintf(x.w, "id: %d\nda", i)
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(x.w, "id: %d\ndata: %s\n\n", i, eventText(x.call.ID, i))
		if http.NewResponseController(x.w).Flush() != nil || !sleep(x.r.Context(), eventInterval) {
			return
		}
	}
}

// eventText returns the data of an event. It is the same at every target.
func eventText(id string, i int64) string {
	return strconv.FormatUint(xxhash.Sum64String(fmt.Sprintf("%s/%d", id, i)), 36)
}
