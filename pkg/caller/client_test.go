package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/pkg/caller"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// fakeInstance is an instance that serves a list of entries and counts requests.
type fakeInstance struct {
	addr string
	// entries is the list that it serves; handler serves all other requests.
	entries         []string
	handler         http.HandlerFunc
	entriesRequests int
	// rawEntries, if set, is the response with the list of entries, as it is sent.
	rawEntries string
	requests   int
}

// ServeHTTP serves the list of entries and passes other requests to the handler.
func (i *fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/entries" {
		i.requests++
		i.handler(w, r)
		return
	}
	i.entriesRequests++
	if i.rawEntries != "" {
		respondRaw(i.rawEntries)(w, r)
		return
	}
	out := caller.Entries{Lifetime: 10}
	for _, a := range i.entries {
		out.Entries = append(out.Entries, caller.Entry{Addr: a})
	}
	_ = json.NewEncoder(w).Encode(out) // The client sees a failure as an invalid list.
}

// startSite runs instances on an in-memory network and returns a client with the first as its
// seed.
func startSite(t *testing.T, instances ...*fakeInstance) *caller.Client {
	t.Helper()
	var network memnet.Network
	for _, i := range instances {
		ln, err := network.Listen(i.addr)
		quicktest.Assert(t, err, quicktest.IsNil)
		srv := &http.Server{Handler: i}
		go func() { _ = srv.Serve(ln) }()
		t.Cleanup(func() { srv.Close() })
	}
	return &caller.Client{
		Seeds: []string{instances[0].addr}, Organisation: "levain",
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return network.Dialer("10.9.0.1:1")(ctx, addr)
		}},
	}
}

func respondOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fed") }

// respondRaw writes bytes as they are.
func respondRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, text)
	}
}

func respondError(status int, v verd.Verdict, retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(verd.Header, v.String())
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.WriteHeader(status)
	}
}

// postStatus sends one POST request and returns its status, or the verdict of its error.
func postStatus(t *testing.T, c *caller.Client) string {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://site/orders/renew", strings.NewReader("{}"))
	quicktest.Assert(t, err, quicktest.IsNil)
	resp, err := c.Do(r)
	if err != nil {
		return verd.From(err).Verdict.String()
	}
	resp.Body.Close()
	return resp.Status
}

// TestEntriesAreCached guards against a client that fetches the list of entries for each request,
// or keeps it beyond its lifetime.
func TestEntriesAreCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instance := &fakeInstance{addr: "10.0.0.1:80", entries: []string{"10.0.0.1:80"}, handler: respondOK}
		c := startSite(t, instance)
		for range 3 {
			quicktest.Check(t, postStatus(t, c), quicktest.Equals, "200 OK")
		}
		quicktest.Check(t, instance.entriesRequests, quicktest.Equals, 1)
		time.Sleep(11 * time.Second)
		quicktest.Check(t, postStatus(t, c), quicktest.Equals, "200 OK")
		quicktest.Check(t, instance.entriesRequests, quicktest.Equals, 2)
	})
}

// TestMalformedEntriesAreNotUsed guards against a list of entries from a malformed response.
func TestMalformedEntriesAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const list = `{"entries":[{"addr":"10.0.0.1:80"}],"lifetime_seconds":10}`
		instance := &fakeInstance{addr: "10.0.0.1:80", handler: respondOK, rawEntries: "HTTP/1.1 200 OK\r\nX Y: z\r\nConnection: close\r\n\r\n" + list}
		c := startSite(t, instance)
		quicktest.Check(t, postStatus(t, c), quicktest.Equals, "not-run")
		quicktest.Check(t, instance.requests, quicktest.Equals, 0)
		instance.rawEntries = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + list
		quicktest.Check(t, postStatus(t, c), quicktest.Equals, "200 OK")
	})
}

// TestRetriesOnlyNotRun guards against a retry of a request that may have run: after a response
// without the verdict not-run, or after a connection that ended early. A request that has not
// run must be retried, on another entry if one is unreachable.
func TestRetriesOnlyNotRun(t *testing.T) {
	for _, c := range []struct {
		name        string
		respond     http.HandlerFunc
		unreachable bool
		status      string
		sent        int
	}{
		{name: "gone", unreachable: true, status: "200 OK", sent: 1},
		{name: "not run", respond: respondError(503, verd.NotRun, "1"), status: "503 Service Unavailable", sent: 4},
		{name: "no use", respond: respondError(404, verd.NotRun, ""), status: "404 Not Found", sent: 1},
		{name: "unknown", respond: respondError(502, verd.MayHaveRun, "1"), status: "502 Bad Gateway", sent: 1},
		{name: "cut", respond: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, status: "may-have-run", sent: 1},
		{name: "malformed", respond: respondRaw("HTTP/1.1 000 X\r\nContent-Length: 3\r\n\r\nfed"), status: "may-have-run", sent: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instance := &fakeInstance{addr: "10.0.0.1:80", entries: []string{"10.0.0.1:80"}, handler: respondOK}
				if c.unreachable {
					instance.entries = []string{"10.0.0.2:80", "10.0.0.1:80"}
				} else {
					instance.handler = c.respond
				}
				client := startSite(t, instance)
				quicktest.Check(t, postStatus(t, client), quicktest.Equals, c.status)
				quicktest.Check(t, instance.requests, quicktest.Equals, c.sent)
			})
		})
	}
}

// TestStalledStreamTimesOut guards against a read that blocks forever on a stream that sends no
// more data while its connection stays open.
func TestStalledStreamTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instance := &fakeInstance{addr: "10.0.0.1:80", entries: []string{"10.0.0.1:80"}, handler: func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "data: 1\n\n")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}}
		c := startSite(t, instance)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://site/v1/completions", nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		resp, err := c.Do(r)
		quicktest.Assert(t, err, quicktest.IsNil)
		defer resp.Body.Close()
		caller.SetIdleTimeout(resp)
		start := time.Now()
		b, err := io.ReadAll(resp.Body)
		quicktest.Check(t, string(b), quicktest.Equals, "data: 1\n\n")
		quicktest.Check(t, verd.From(err).Reason, quicktest.Equals, verd.Timeout)
		quicktest.Check(t, time.Since(start), quicktest.Equals, caller.IdleTimeout)
	})
}

// A client needs the address of one instance, from which it fetches the list of entries.
func ExampleClient() {
	instance := &fakeInstance{handler: respondOK}
	srv := httptest.NewServer(instance)
	defer srv.Close()
	addr := srv.Listener.Addr().String()
	instance.entries = []string{addr}

	c := caller.Client{Seeds: []string{addr}, Organisation: "levain"}
	r, err := http.NewRequest(http.MethodPost, "http://site/v1/completions", strings.NewReader(`{"model":"starter"}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	resp, err := c.Do(r)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	fmt.Println(string(b), err)
	// Output: fed <nil>
}
