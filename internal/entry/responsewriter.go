package entry

import (
	"net/http"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// writeTimeout bounds one write to a caller. The request of a slower caller fails, so
	// that it doesn't occupy an engine's memory.
	writeTimeout = 20 * time.Second
	// readTimeout bounds one read of a caller's body.
	readTimeout = 20 * time.Second
)

// responseWriter writes the response to a caller, with a deadline for each write.
type responseWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController
	// headerSent means that the status and the headers were written.
	headerSent bool
	// lastWrite is when the last write of the body ended.
	lastWrite time.Time
}

func newResponseWriter(w http.ResponseWriter) responseWriter {
	return responseWriter{w: w, rc: http.NewResponseController(w)}
}

// writeHeader writes the status and the headers with the verdict v. Only the first call
// has an effect.
func (rw *responseWriter) writeHeader(status int, v verd.Verdict) {
	if rw.headerSent {
		return
	}
	rw.headerSent = true
	rw.w.Header().Set(verd.Header, v.String())
	rw.w.WriteHeader(status)
}

// Write writes b and flushes it. An error means that the caller has disconnected or reads
// too slowly.
func (rw *responseWriter) Write(b []byte) (int, error) {
	// Not every writer supports deadlines; the write is unlimited then.
	_ = rw.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := rw.w.Write(b)
	if err == nil {
		err = rw.rc.Flush()
	}
	rw.lastWrite = time.Now()
	if err != nil {
		return n, verd.Wrap(err, verd.Ran, verd.Cancelled, "write response to the caller")
	}
	return n, nil
}

// finish removes the write deadline, which would otherwise apply to later requests on the
// connection, and limits the time for reading the rest of the caller's body. The server
// resets the read deadline for each request.
func (rw *responseWriter) finish() {
	_ = rw.rc.SetWriteDeadline(time.Time{})
	_ = rw.rc.SetReadDeadline(time.Now().Add(readTimeout))
}
