package fake

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// heartbeatInterval is the longest time without a byte on a stream.
const heartbeatInterval = 500 * time.Millisecond

// sendStream writes the answer from an offset on until its end or until the client
// disconnects.
func (e *Engine) sendStream(w http.ResponseWriter, r *http.Request, j *job, offset int) {
	stop := context.AfterFunc(r.Context(), func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.cond.Broadcast()
	})
	defer stop()
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := chunkWriter{w: w, faults: e.takeStreamFaults()}
	out.flush()
	for i := offset - j.first; ; {
		c, ok := j.nextChunk(r.Context(), i)
		if !ok {
			return
		}
		if !c.Heartbeat() {
			i++
		}
		if e.failRequest(r) {
			return
		}
		if !out.writeChunk(r.Context(), c) {
			return
		}
	}
}

// chunkWriter writes chunks as lines of JSON, with the faults of one stream.
type chunkWriter struct {
	w      http.ResponseWriter
	faults Faults
	count  int
	// buffered is the first chunk of a pair that Reorder swaps; it is sent after the second.
	buffered *engine.Chunk
}

// writeChunk writes one chunk. It returns false if the stream must end.
func (cw *chunkWriter) writeChunk(ctx context.Context, c engine.Chunk) bool {
	if c.Heartbeat() {
		return cw.write(nil)
	}
	if cw.faults.DropEnd && c.End {
		panic(http.ErrAbortHandler)
	}
	cw.count++
	if n := cw.faults.BreakAfter; n > 0 && cw.count > n {
		panic(http.ErrAbortHandler)
	}
	if n := cw.faults.MuteAfter; n > 0 && cw.count > n {
		<-ctx.Done()
		return false
	}
	timing.Sleep(ctx, cw.faults.Late)
	if cw.faults.Foreign && cw.count == 2 {
		foreign := c
		foreign.ID, foreign.Text = "somebody-else", "not yours "
		cw.writeLine(foreign)
	}
	if cw.faults.Reorder && !c.End && cw.buffered == nil {
		cw.buffered = &c
		return true
	}
	ok := cw.writeLine(c)
	if cw.buffered != nil {
		ok = cw.writeLine(*cw.buffered)
		cw.buffered = nil
	}
	if cw.faults.Duplicate {
		ok = cw.writeLine(c)
	}
	return ok
}

func (cw *chunkWriter) writeLine(c engine.Chunk) bool {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // The type has no field that JSON can't encode.
	}
	return cw.write(b)
}

func (cw *chunkWriter) write(b []byte) bool {
	_, err := cw.w.Write(append(b, '\n'))
	cw.flush()
	return err == nil
}

func (cw *chunkWriter) flush() {
	if f, ok := cw.w.(http.Flusher); ok {
		f.Flush()
	}
}
