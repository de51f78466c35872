package gate

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"
)

// ignoreLastEvent has a target send a stream from its first event on, whatever the caller has.
func ignoreLastEvent(sc script) script {
	return func(f *fakeTarget, c net.Conn, q *http.Request) bool {
		q = q.Clone(q.Context())
		q.Header.Del("Last")
		return sc(f, c, q)
	}
}

// TestStreamResumesAtService guards against streams that begin anew at a plain service after the
// caller has resumed them: the service must learn the last event, and the caller must get none twice.
func TestStreamResumesAtService(t *testing.T) {
	for name, c := range map[string]struct {
		service script
		headers []string
		want    string
	}{
		"resumed":                 {streamEvents(5, 0), []string{"Last", "3"}, eventText(4, 5)},
		"resumed before any":      {streamEvents(5, 0), []string{"Last", "0"}, eventText(1, 5)},
		"resumed after the last":  {streamEvents(5, 0), []string{"Last", "5"}, ""},
		"not resumed":             {streamEvents(5, 0), nil, eventText(1, 5)},
		"service begins anew":     {ignoreLastEvent(streamEvents(5, 0)), []string{"Last", "3"}, eventText(4, 5)},
		"service repeats all":     {ignoreLastEvent(streamEvents(5, 0)), []string{"Last", "5"}, ""},
		"typed, begins anew":      {respond(200, eventText(1, 4), sealHeader, "Content-Type: text/event-stream; charset=utf-8\r\n"), []string{"Last", "2"}, eventText(3, 4)},
		"comments and no numbers": {respond(200, ": hello\n\ndata: a\n\n"+eventText(1, 2), sealHeader), []string{"Last", "1"}, ": hello\n\ndata: a\n\n" + eventText(2, 2)},
		"no event stream":         {respond(200, "id: 1\nplain text", sealHeader, "Content-Type: text/plain\r\n"), []string{"Last", "3"}, "id: 1\nplain text"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestbed(t, []script{c.service}, nil)
				res := s.call(serviceStreamPath, "prompt", c.headers...)
				quicktest.Assert(t, res.status, quicktest.Equals, 200, quicktest.Commentf("%s", res.body))
				quicktest.Assert(t, res.body, quicktest.Equals, c.want)
				quicktest.Assert(t, res.truncated, quicktest.IsFalse)
				if len(c.headers) > 0 {
					quicktest.Assert(t, s.targets[0].request(0).Header.Get("Last"), quicktest.Equals, c.headers[1])
				}
			})
		})
	}
}

// TestStreamResumesAtOtherService guards against the same fault where the first service fails or is silent.
func TestStreamResumesAtOtherService(t *testing.T) {
	for name, c := range map[string]struct {
		first script
		// last is the last event that the caller has when the second service is asked.
		last string
	}{
		"refuses": {respond(503, "", notRunHeader), "3"}, "closes": {closeConn, "3"}, "silent": {neverRespond, "3"},
		"cut in an event":         {streamEvents(9, 4), "4"},
		"cut in a repeated event": {ignoreLastEvent(streamEvents(9, 1)), "3"},
		"no events":               {respond(200, "<html>\n\n", sealHeader), "3"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestbed(t, []script{c.first, streamEvents(9, 0)}, nil)
				// The second service has more requests in flight, so that the first one is tried first.
				defer s.gate.health.track("t1")()
				defer s.gate.health.track("t1")()
				res := s.call(serviceStreamPath, "prompt", "Last", "3")
				quicktest.Assert(t, res.body, quicktest.Equals, eventText(4, 9))
				quicktest.Assert(t, s.targets[1].request(0).Header.Get("Last"), quicktest.Equals, c.last)
			})
		})
	}
}
