package gate

import (
	"io"
	"net/http"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// resumedStream reads the events of a stream that come after the last one that the caller has. A service
// may begin the stream anew although it is asked to resume it.
type resumedStream struct {
	io.Closer
	events *hop.EventReader
	lastID int64
	// unread is the rest of the current event.
	unread []byte
	// skipped is the length of the events that the caller has.
	skipped int
}

// newResumedStream returns the events of a response after the one with the ID lastID.
func newResumedStream(resp *hop.Response, lastID int64) *resumedStream {
	return &resumedStream{Closer: resp.Body, events: resp.Events(), lastID: lastID}
}

// Read reads from the events that the caller lacks. It returns the errors of hop.EventReader.Next, and
// errResponseTooLarge if the service repeats events without end.
func (r *resumedStream) Read(p []byte) (int, error) {
	for len(r.unread) == 0 {
		ev, err := r.events.Next()
		if err != nil {
			return 0, err
		}
		if !ev.HasID || ev.ID > r.lastID {
			r.unread = ev.Raw
			continue
		}
		if r.skipped += len(ev.Raw); r.skipped > maxResponseBytes {
			return 0, errResponseTooLarge
		}
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// resumesStream reports whether a response is the stream that the caller resumes.
func (x *exchange) resumesStream(resp *hop.Response) bool {
	if x.route.Kind != site.Streaming || !x.call.HasLastEventID || resp.StatusCode != http.StatusOK {
		return false
	}
	switch mediaType(resp.Header) {
	case eventStreamType, "":
		return true
	default:
		return false
	}
}
