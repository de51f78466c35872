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

// text is the answer of a plain service.
func (t *Target) text(id, seal string) string {
	return fmt.Sprintf("%s %s %s", id, seal, strings.Repeat(strconv.FormatUint(xxhash.Sum64String(id+seal), 36), 20))
}

// eventsOf is how many events the answer to a call has, at every target.
func eventsOf(id string) int64 { return 3 + int64(xxhash.Sum64String(id)%20) }

// exchange is one run.
type exchange struct {
	t    *Target
	w    http.ResponseWriter
	r    *http.Request
	q    gate.CallInfo
	run  run
	mode Mode
}

func (x *exchange) head() gate.ReplyInfo { return gate.ReplyInfo{RequestID: x.q.ID} }

// harm does what the mode of the target wants; false means that it answers as usual.
func (x *exchange) harm() bool {
	switch x.mode {
	case Silent:
		<-x.r.Context().Done()
	case Resetting:
		if c, _, err := http.NewResponseController(x.w).Hijack(); err == nil {
			reset(c)
		}
	case Failing:
		reply(x.w, http.StatusInternalServerError, x.head(), x.run.seal, []byte("failed"))
	default:
		return false
	}
	return true
}

func (x *exchange) plain() {
	if !sleep(x.r.Context(), plainWork) || x.harm() {
		return
	}
	answer := []byte(x.run.answer)
	switch x.mode {
	case Cutting:
		x.w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		reply(x.w, http.StatusOK, x.head(), x.run.seal, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	case Doubling:
		c, _, err := http.NewResponseController(x.w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		var b bytes.Buffer
		fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(answer))
		// A buffer takes all that is written.
		_ = platform.EncodeReply(x.head(), x.run.seal).Write(&b)
		b.WriteString("\r\n")
		b.Write(answer)
		c.Write(append(b.Bytes(), b.Bytes()...))
		sleep(x.r.Context(), time.Second)
	default:
		reply(x.w, http.StatusOK, x.head(), x.run.seal, answer)
	}
}

// stream reads the prompt and writes events behind the last that the caller has.
func (x *exchange) stream(s gate.SendInfo) {
	parts := time.Duration(1 + len(s.Helpers))
	read := time.Duration(x.q.PromptTokens) * time.Second / readRate / parts
	if !sleep(x.r.Context(), read) || x.harm() {
		return
	}
	h := x.w.Header()
	for k, v := range platform.EncodeReply(x.head(), x.run.seal) {
		h[k] = v
	}
	h.Set("Content-Type", "text/event-stream")
	x.w.WriteHeader(http.StatusOK)
	first := int64(1)
	if x.q.HasLastEventID {
		first = x.q.LastEventID + 1
	}
	for i := first; i <= x.run.events; i++ {
		if x.mode == Cutting && i > x.run.events/2 {
			fmt.Fprintf(x.w, "id: %d\nda", i)
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(x.w, "id: %d\ndata: %s\n\n", i, eventText(x.q.ID, i))
		if http.NewResponseController(x.w).Flush() != nil || !sleep(x.r.Context(), passTime) {
			return
		}
	}
}

// eventText is what an event of a call says at every target.
func eventText(id string, i int64) string {
	return strconv.FormatUint(xxhash.Sum64String(fmt.Sprintf("%s/%d", id, i)), 36)
}
