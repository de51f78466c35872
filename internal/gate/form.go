package gate

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// hasEvents reports whether the answer is a stream of events, which reach the caller as they come. Any other answer is
// passed on as a whole.
func (x *exchange) hasEvents() bool { return x.route.Kind == site.Streaming }

// relaysEvents reports whether a response is read as events. Engines answer a request for a stream with events only, while a
// plain service may have something else to say: then its media type tells, or the body if it states none.
func (s *stream) relaysEvents(resp *hop.Response) bool {
	if !s.hasEvents() || s.pool.Engine != nil || resp.StatusCode != http.StatusOK {
		return s.hasEvents()
	}
	switch mediaType(resp.Header) {
	case eventStreamType:
		return true
	case "":
		if limit := s.firstEventLimit(); limit > 0 {
			resp.SetReadDeadline(time.Now().Add(limit))
		}
		return s.headSent || s.hasLastID || beginsWithEvent(resp)
	default:
		return false
	}
}

// longestField is the length of the longest name of a field of an event.
const longestField = len("event")

// beginsWithEvent reports whether the body of a response begins like a stream of events: with a field, a comment or an empty
// line. It waits for as many bytes as that takes, which can be read again. A body without any is a stream without events.
func beginsWithEvent(resp *hop.Response) bool {
	r := bufio.NewReader(resp.Body)
	resp.Body = struct {
		io.Reader
		io.Closer
	}{r, resp.Body}
	for n := 1; n <= longestField+1; n++ {
		b, err := r.Peek(n)
		if err != nil {
			return len(b) == 0
		}
		name, _, hasColon := bytes.Cut(b, []byte(":"))
		if hasColon {
			return hop.IsFieldName(name) || string(name) == "retry" || len(name) == 0
		}
		if b[n-1] == '\n' || b[n-1] == '\r' {
			return n == 1 || hop.IsFieldName(b[:n-1])
		}
	}
	return false
}
