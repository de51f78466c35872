package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/httpx"
	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/internal/prompt"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// TestErrorWithinCompletion guards against errors of an engine in the middle of a stream that another one
// began: each must fail the attempt, and nothing of it may reach the caller.
func TestErrorWithinCompletion(t *testing.T) {
	const text = "failed"
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { http.Error(w, text, code) }
	}
	body := func(format string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id := strings.TrimPrefix(r.URL.Path, httpx.PathStreams)
			fmt.Fprint(w, strings.ReplaceAll(format, "ID", id))
		}
	}
	for name, next := range map[string]http.HandlerFunc{
		"500": status(500), "400": status(400), "404": status(404), "503": status(503), "206": status(206),
		"204":                   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) },
		"302":                   func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/x", http.StatusFound) },
		"text":                  body("failed"),
		"text of events":        body("data: failed\n\n"),
		"empty":                 body(""),
		"heartbeats":            body("\n\n"),
		"no chunk":              body("{}\nnull\n"),
		"JSON":                  body(`{"error":"failed"}` + "\n"),
		"error chunk":           body(`{"id":"ID","offset":2,"error":"failed"}` + "\n"),
		"error chunk with text": body(`{"id":"ID","offset":2,"error":"failed","text":"failed","tokens":1,"end":true}` + "\n"),
		"another request":       body(`{"id":"other","offset":2,"text":"failed","tokens":1,"end":true}` + "\n"),
		"a gap":                 body(`{"id":"ID","offset":3,"text":"failed","tokens":1,"end":true}` + "\n"),
		"repeated":              body(`{"id":"ID","offset":1,"text":"failed","tokens":1,"end":true}` + "\n"),
		"without a count":       body(`{"id":"ID","offset":2,"text":"failed","end":true}` + "\n"),
		"within a chunk":        body(`{"id":"ID","offset":2,"text":"failed","tokens":1`),
		"head in the body":      body("HTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nfailed"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := httptest.NewRecorder()
				x := newExchange(&Server{Metrics: metrics.NewRegistry()}, w, httptest.NewRequest(http.MethodPost, "/v1/completions", nil))
				out := newCompletionWriter(x, &prompt.Request{Stream: true})
				begun := body(`{"id":"ID","offset":0,"text":"a","tokens":1}` + "\n" + `{"id":"ID","offset":1,"text":"b","tokens":1}` + "\n")
				err := relayFrom(t, out, begun)
				quicktest.Assert(t, engine.FailureOf(err), quicktest.Satisfies, func(f engine.Failure) bool { return f != nil })
				got := w.Body.String()
				quicktest.Assert(t, strings.Count(got, "data: "), quicktest.Equals, 2)
				err = relayFrom(t, out, next)
				quicktest.Check(t, engine.FailureOf(err), quicktest.Satisfies, func(f engine.Failure) bool { return f != nil })
				quicktest.Check(t, strings.ReplaceAll(w.Body.String(), ": heartbeat\n\n", ""), quicktest.Equals, got)
				err = relayFrom(t, out, body(`{"id":"ID","offset":2,"text":"c","tokens":1,"end":true,"finish":"stop"}`+"\n"))
				quicktest.Assert(t, err, quicktest.IsNil)
				quicktest.Check(t, out.text.String(), quicktest.Equals, "abc")
				quicktest.Check(t, strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n"), quicktest.IsTrue)
			})
		})
	}
}

// relayFrom relays the rest of a stream from an engine that is served by h.
func relayFrom(t *testing.T, out *completionWriter, h http.Handler) error {
	t.Helper()
	var n memnet.Network
	ln, err := n.Listen(serviceAddr)
	quicktest.Assert(t, err, quicktest.IsNil)
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	defer func() {
		srv.Close()
		time.Sleep(2 * httpx.Silence)
	}()
	e := &httpx.Engine{Fresh: httpx.Fresh(func(ctx context.Context, _, addr string) (net.Conn, error) { return n.Dialer(selfAddr)(ctx, addr) })}
	st, err := e.Resume(t.Context(), serviceAddr, out.x.id, out.nextOffset)
	if err != nil {
		return err
	}
	defer st.Close()
	return out.relay(st)
}
