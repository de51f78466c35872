package fake

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// heartbeatEvery is how long a stream stays without a byte at most.
const heartbeatEvery = 500 * time.Millisecond

// send writes the answer from an offset on, until its end or the reader leaves.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, j *job, offset int) {
	stop := context.AfterFunc(r.Context(), func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.cond.Broadcast()
	})
	defer stop()
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := lineWriter{w: w, faults: e.takeFaults()}
	out.flush()
	for i := offset - j.first; ; {
		c, ok := j.next(r.Context(), i)
		if !ok {
			return
		}
		if !c.Heartbeat() {
			i++
		}
		if e.fail(r) {
			return
		}
		if !out.chunk(r.Context(), c) {
			return
		}
	}
}

// lineWriter writes chunks as lines, with the faults that a test has set.
type lineWriter struct {
	w      http.ResponseWriter
	faults Faults
	count  int
	held   *engine.Chunk
}

// chunk writes one chunk; false ends the stream.
func (l *lineWriter) chunk(ctx context.Context, c engine.Chunk) bool {
	if c.Heartbeat() {
		return l.write(nil)
	}
	if l.faults.DropEnd && c.End {
		panic(http.ErrAbortHandler)
	}
	l.count++
	if n := l.faults.BreakAfter; n > 0 && l.count > n {
		panic(http.ErrAbortHandler)
	}
	if n := l.faults.MuteAfter; n > 0 && l.count > n {
		<-ctx.Done()
		return false
	}
	timing.Sleep(ctx, l.faults.Late)
	if l.faults.Foreign && l.count == 2 {
		f := c
		f.ID, f.Text = "somebody-else", "not yours "
		l.line(f)
	}
	if l.faults.Reorder && !c.End && l.held == nil {
		l.held = &c
		return true
	}
	ok := l.line(c)
	if l.held != nil {
		ok = l.line(*l.held)
		l.held = nil
	}
	if l.faults.Duplicate {
		ok = l.line(c)
	}
	return ok
}

func (l *lineWriter) line(c engine.Chunk) bool {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // The type holds nothing that JSON can't express.
	}
	return l.write(b)
}

func (l *lineWriter) write(b []byte) bool {
	_, err := l.w.Write(append(b, '\n'))
	l.flush()
	return err == nil
}

func (l *lineWriter) flush() {
	if f, ok := l.w.(http.Flusher); ok {
		f.Flush()
	}
}
