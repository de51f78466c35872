package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// chunkedAnswer writes an answer in chunks: a head with the status and headers, and one chunk for each
// part. The last chunk is missing, and the connection is closed, if the answer breaks off.
func chunkedAnswer(breaksOff bool, status int, headers string, parts ...string) script {
	return func(f *fakeTarget, c net.Conn, q *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nBy: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", status, q.Header.Get("Id"), f.ID, headers)
		for _, p := range parts {
			if p != "" {
				fmt.Fprintf(c, "%x\r\n%s\r\n", len(p), p)
			}
		}
		if breaksOff {
			return false
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

const (
	streamHeaders = sealHeader + "Content-Type: text/event-stream\r\n"
	plainHeaders  = sealHeader + "Content-Type: text/plain\r\n"
	htmlHeaders   = sealHeader + "Content-Type: text/html; charset=utf-8\r\n"
	// lastPiece is the number of events of a whole stream.
	lastPiece = 9
	wholeHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nfailed"
)

// brokenOff is an answer that breaks off.
type brokenOff struct {
	// body is what the engine sends of it, and rest the part of the body that is no whole event.
	body, rest string
}

func (b brokenOff) script() script {
	return chunkedAnswer(true, 200, streamHeaders, b.body, b.rest)
}

// hasHead reports whether the caller has the head when the answer breaks off, and hasEvent whether it
// has an event.
func (b brokenOff) hasHead() bool  { return b.body != "" }
func (b brokenOff) hasEvent() bool { return strings.Contains(b.body, "data") }

func brokenAnswers() map[string]brokenOff {
	return map[string]brokenOff{
		"before the first event":    {"", ""},
		"within the first event":    {"", "id: 1\nda"},
		"after a comment":           {": wait\n\n", ""},
		"between events":            {eventText(1, 4), ""},
		"within an event":           {eventText(1, 4), "id: 5\nda"},
		"within the ID of an event": {eventText(1, 4), "id: "},
		"after the last event":      {eventText(1, lastPiece), ""},
	}
}

// nextAnswer is what another engine answers to a stream that broke off.
type nextAnswer struct {
	script script
	// own is the body of a 200 answer that the caller may get if it has no event of another answer.
	own string
	// isOtherType is set if the answer isn't an event stream.
	isOtherType bool
	// hasNoEvent is set for a complete answer without an event: it continues a stream that had come
	// to its end, but for the end itself.
	hasNoEvent bool
}

func nextAnswers() map[string]nextAnswer {
	events := func(own string, headers string) nextAnswer {
		return nextAnswer{script: chunkedAnswer(false, 200, headers, own), own: own, isOtherType: headers == plainHeaders || headers == htmlHeaders}
	}
	return map[string]nextAnswer{
		"500":                {script: respond(500, "failed", sealHeader)},
		"500 without a seal": {script: respond(500, "failed")},
		"400":                {script: respond(400, "failed", sealHeader)},
		"404 of events":      {script: respond(404, "data: failed\n\n", streamHeaders)},
		"503":                {script: respond(503, "failed", sealHeader)},
		"503, not run":       {script: respond(503, "failed", notRunHeader)},
		"429":                {script: respond(429, "failed", sealHeader)},
		"204":                {script: respond(204, "", sealHeader)},
		"206 of events":      {script: chunkedAnswer(false, 206, streamHeaders, eventText(5, 9))},
		"302":                {script: respond(302, "failed", sealHeader+"Location: /x\r\n")},
		"no response":        {script: closeConn},
		"no HTTP": {script: func(_ *fakeTarget, c net.Conn, _ *http.Request) bool {
			io.WriteString(c, "failed\r\n\r\n")
			return false
		}},
		"no seal":                       {script: chunkedAnswer(false, 200, "Content-Type: text/event-stream\r\n", eventText(5, 9))},
		"encoded":                       {script: chunkedAnswer(false, 200, streamHeaders+"Content-Encoding: gzip\r\n", eventText(5, 9))},
		"plain text":                    {script: respond(200, "failed", plainHeaders)},
		"plain text of events":          events("data: failed\n\n", plainHeaders),
		"plain text of numbered events": events("id: 5\ndata: failed\n\n", plainHeaders),
		"HTML of numbered events":       events("id: 5\ndata: <html>\n\n", htmlHeaders),
		"plain text that is unlabelled": events("data base failed\n\n", sealHeader),
		"plain text as events":          events("failed\n\ndata: failed\n\n", streamHeaders),
		"JSON":                          {script: respond(200, `{"error":"failed"}`, sealHeader+"Content-Type: application/json\r\n")},
		"JSON as events":                events("{\"data\":\n\"failed\"}\n\n", streamHeaders),
		"text that begins like data":    events("database failed\n\n", streamHeaders),
		"text behind a comment":         events(": error\nfailed\n\n", streamHeaders),
		"a comment only":                {script: chunkedAnswer(false, 200, streamHeaders, ": wait\n\n"), hasNoEvent: true},
		"empty":                         {script: respond(200, "", streamHeaders), hasNoEvent: true},
		"empty, in chunks":              {script: chunkedAnswer(false, 200, streamHeaders), hasNoEvent: true},
		"empty plain text":              {script: respond(200, "", plainHeaders), isOtherType: true},
		"events without ID":             events("data: e\n\ndata: e\n\n", streamHeaders),
		"events from the start":         events(eventText(1, lastPiece), streamHeaders),
		"events from the start, short":  {script: chunkedAnswer(false, 200, streamHeaders, eventText(1, 3)), own: eventText(1, 3), hasNoEvent: true},
		"events with a gap":             events(eventText(7, lastPiece), streamHeaders),
		"events beyond the end":         events(eventText(12, 13), streamHeaders),
		"error event":                   events("event: error\ndata: failed\n\n", streamHeaders),
		"error event after an event":    events(eventText(5, 5)+"event: error\ndata: failed\n\n", streamHeaders),
		"error event, then broken off":  {script: chunkedAnswer(true, 200, streamHeaders, "event: error\ndata: failed\n\n"), own: "event: error\ndata: failed\n\n"},
		"head in the body":              events(wholeHead, streamHeaders),
		"head in the body after events": events(eventText(1, 6)+wholeHead+"\n\n", streamHeaders),
		"head within an event":          events("id: 5\n"+wholeHead+"\n\n", streamHeaders),
		"broken off as well":            {script: chunkedAnswer(true, 200, streamHeaders, eventText(1, 6), "id: 7\nda"), own: eventText(1, 6)},
		"broken off between events":     {script: chunkedAnswer(true, 200, streamHeaders, eventText(1, 6)), own: eventText(1, 6)},
	}
}

// resetListener listens for callers in HTTP/1.0, which tell a connection that was reset from one that
// was closed.
type resetListener struct {
	net.Listener
	// wasReset reports whether the last connection was reset.
	wasReset atomic.Bool
}

func (l *resetListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.wasReset.Store(false)
	return &resetConn{Conn: c, listener: l}, nil
}

type resetConn struct {
	net.Conn
	listener *resetListener
}

func (c *resetConn) SetLinger(sec int) error {
	c.listener.wasReset.Store(sec == 0)
	return nil
}

// callHTTP10 sends a request in HTTP/1.0.
func (s *testbed) callHTTP10(path string) callResult {
	const addr = "10.0.0.1:10"
	ln, err := s.net.Listen(addr)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	resets := &resetListener{Listener: ln}
	srv := &http.Server{Handler: s.gate}
	go srv.Serve(resets)
	defer srv.Close()
	c, err := s.net.Dialer("10.0.9.9")(context.Background(), addr)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST %sx HTTP/1.0\r\nHost: h\r\nId: a1\r\nKey: key\r\nLeft: 2000\r\nContent-Length: 1\r\n\r\nx", path)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return callResult{truncated: true}
	}
	b, err := io.ReadAll(resp.Body)
	return callResult{status: resp.StatusCode, header: resp.Header, body: string(b), truncated: err != nil || resets.wasReset.Load()}
}

// checkJoined returns what is wrong with the response to a caller whose first answer broke off, or "".
func checkJoined(res callResult, broken brokenOff, next nextAnswer) string {
	body, whole := strings.ReplaceAll(res.body, ": wait\n\n", ""), eventText(1, lastPiece)
	switch {
	case !broken.hasHead() && res.status != 200:
		return ""
	case res.status != 200:
		return "the caller has another head"
	case !broken.hasEvent() && strings.HasPrefix(next.own, body) && !(broken.hasHead() && next.isOtherType):
		whole = next.own
	case !strings.HasPrefix(whole, body):
		return "not a prefix of the events"
	}
	// Where nothing is known of a further event, only the end of the stream may have been missing.
	hasEnded := next.hasNoEvent && broken.rest == ""
	if res.truncated || hasEnded || body == whole && (body != "" || broken.rest == "") {
		return ""
	}
	return "looks complete"
}

// TestErrorWithinStream guards against errors of an engine in the middle of a stream that another engine
// began, and against streams that look complete without their last events.
func TestErrorWithinStream(t *testing.T) {
	calls := map[string]func(s *testbed) callResult{
		"HTTP/1.0": func(s *testbed) callResult { return s.callHTTP10(resumableStreamPath) },
		"HTTP/1.1": func(s *testbed) callResult { return s.call(resumableStreamPath, "prompt") },
	}
	for proto, call := range calls {
		forAllJoins(t, proto, func(t *testing.T, broken brokenOff, next nextAnswer) {
			s := newTestbed(t, nil, []script{closeConn, closeConn})
			firstThen(s, broken.script(), next.script)
			res := call(s)
			if what := checkJoined(res, broken, next); what != "" {
				t.Errorf("%s: status %d, truncated %t, body %q", what, res.status, res.truncated, res.body)
			}
			quicktest.Check(t, s.requestCount(), quicktest.Equals, 2)
		})
	}
}

// forAllJoins calls f for each answer that breaks off and each that follows it.
func forAllJoins(t *testing.T, name string, f func(*testing.T, brokenOff, nextAnswer)) {
	for brokenName, broken := range brokenAnswers() {
		for nextName, next := range nextAnswers() {
			t.Run(fmt.Sprintf("%s/%s/%s", name, brokenName, nextName), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { f(t, broken, next) })
			})
		}
	}
}

// TestErrorWithinStreamIsPassedOver: an answer that is no continuation must not end the stream if a third
// engine can continue it.
func TestErrorWithinStreamIsPassedOver(t *testing.T) {
	broken := brokenAnswers()["within an event"]
	for name, next := range nextAnswers() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestbed(t, nil, []script{closeConn, closeConn, closeConn})
				for i := range s.tables.Routes {
					s.tables.Routes[i].Attempts = 3
				}
				s.tables.Version = 2
				s.publish(2)
				inTurn(s, broken.script(), next.script, streamEvents(lastPiece, 0))
				res := s.call(resumableStreamPath, "prompt")
				quicktest.Check(t, res.truncated, quicktest.IsFalse)
				quicktest.Check(t, strings.ReplaceAll(res.body, ": wait\n\n", ""), quicktest.Equals, eventText(1, lastPiece))
			})
		})
	}
}

// silentWithin streams all events and is silent for pause after the part begun.
func silentWithin(begun string, pause time.Duration) script {
	return func(f *fakeTarget, c net.Conn, q *http.Request) bool {
		chunkedAnswer(true, 200, streamHeaders, begun)(f, c, q)
		time.Sleep(pause)
		rest := strings.TrimPrefix(eventText(1, lastPiece), begun)
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(rest), rest)
		return err == nil
	}
}

// TestErrorWhileEngineIsSilent: an answer of another engine that is no continuation must not end that of
// an engine which is silent and goes on.
func TestErrorWhileEngineIsSilent(t *testing.T) {
	for _, begun := range []string{eventText(1, 4), eventText(1, 4) + "id: 5\nda"} {
		broken := brokenOff{body: eventText(1, 4), rest: strings.TrimPrefix(begun, eventText(1, 4))}
		for name, next := range nextAnswers() {
			t.Run(name+broken.rest, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newTestbed(t, nil, []script{closeConn, closeConn})
					firstThen(s, silentWithin(begun, 1900*time.Millisecond), next.script)
					res := s.call(resumableStreamPath, "prompt", "Left", "5000")
					if what := checkJoined(res, broken, next); what != "" {
						t.Errorf("%s: status %d, truncated %t, body %q", what, res.status, res.truncated, res.body)
					}
					if !next.hasNoEvent && !strings.Contains(next.own, eventText(5, 5)) {
						quicktest.Check(t, res.truncated, quicktest.IsFalse)
						quicktest.Check(t, res.body, quicktest.Equals, eventText(1, lastPiece))
					}
					quicktest.Check(t, s.requestCount(), quicktest.Equals, 2)
					time.Sleep(2 * time.Second)
				})
			})
		}
	}
}

// inTurn has the targets follow the scripts in the order in which they get requests.
func inTurn(s *testbed, scripts ...script) {
	for _, f := range s.targets {
		f.script = func(f *fakeTarget, c net.Conn, q *http.Request) bool {
			return scripts[s.requestCount()-1](f, c, q)
		}
	}
}

// TestEventsWithoutIDAreNotRepeated: a stream with an event that has no ID can't be continued, as another
// engine would send that event again.
func TestEventsWithoutIDAreNotRepeated(t *testing.T) {
	for name, body := range map[string]string{
		"no IDs":               "data: a\n\ndata: b\n\n",
		"one without ID":       eventText(1, 2) + "data: b\n\n",
		"first without ID":     "data: b\n\n" + eventText(1, 2),
		"numbered, then error": eventText(1, 2) + "event: error\ndata: failed\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestbed(t, nil, []script{closeConn, closeConn})
				firstThen(s, chunkedAnswer(true, 200, streamHeaders, body), chunkedAnswer(false, 200, streamHeaders, body, eventText(3, 4)))
				res := s.call(resumableStreamPath, "prompt")
				quicktest.Check(t, res.truncated, quicktest.IsTrue)
				quicktest.Check(t, res.body, quicktest.Equals, body)
				quicktest.Check(t, s.requestCount(), quicktest.Equals, 1)
			})
		})
	}
}

// TestStalledStreamWithoutIDsIsKept: an engine whose stream can't be continued keeps it through a stall.
func TestStalledStreamWithoutIDsIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, []script{closeConn, closeConn})
		firstThen(s, func(_ *fakeTarget, c net.Conn, _ *http.Request) bool {
			const event = "9\r\ndata: a\n\n\r\n"
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: a1\r\n%sTransfer-Encoding: chunked\r\n\r\n%s", streamHeaders, event)
			time.Sleep(1900 * time.Millisecond)
			_, err := io.WriteString(c, event+"0\r\n\r\n")
			return err == nil
		}, closeConn)
		res := s.call(resumableStreamPath, "prompt", "Left", "3000")
		quicktest.Check(t, res.truncated, quicktest.IsFalse)
		quicktest.Check(t, res.body, quicktest.Equals, "data: a\n\ndata: a\n\n")
		quicktest.Check(t, s.requestCount(), quicktest.Equals, 1)
	})
}
