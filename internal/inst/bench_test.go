package inst

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/internal/fake"
	"github.com/bambooproxy/bambooproxy/internal/httpx"
	"github.com/bambooproxy/bambooproxy/internal/trace"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// benchSite is one instance and one fake engine that answers at once, on loopback.
type benchSite struct {
	entryAddr, engineAddr string
	client                *http.Client
}

// freeAddr returns a loopback address with a free port.
func freeAddr(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(b, err, quicktest.IsNil)
	defer ln.Close()
	return ln.Addr().String()
}

func newBenchSite(b *testing.B) *benchSite {
	b.Helper()
	set := conf.Defaults()
	set.Name, set.DataCentre, set.Control = "i1", "dakar-a", true
	set.Callers, set.Peers, set.Operators = freeAddr(b), freeAddr(b), freeAddr(b)
	set.Seeds = []string{set.Peers}
	set.Tables = "testdata/tables.json"
	set.Drain = table.Duration(time.Millisecond)
	tp, err := trace.Open(b.Context(), trace.Place{To: trace.Off})
	quicktest.Assert(b, err, quicktest.IsNil)
	i := &Instance{Settings: set, Network: TCP{}, Log: &log.Logger{Level: log.PanicLevel}, Trace: tp, Incarnation: 1}
	t := engine.Target{
		Name: "t1", Addr: freeAddr(b), DataCentre: "dakar-a", Pool: "advice", Kind: table.Engine,
		Memory: 1 << 30, Incarnation: 1,
	}
	e := &fake.Engine{Target: t}
	srv := &http.Server{Addr: t.Addr, Handler: e}
	a := fake.Announcer{Client: &http.Client{}, Entries: []string{set.Callers}, Target: t, Report: e.Report}
	ctx, cancel := context.WithCancel(b.Context())
	errs := make(chan error, 3)
	go func() { errs <- i.Run(ctx) }()
	go func() { errs <- srv.ListenAndServe() }()
	go func() { a.Run(ctx); errs <- srv.Close() }()
	b.Cleanup(func() {
		cancel()
		for range cap(errs) {
			<-errs
		}
	})
	s := &benchSite{entryAddr: set.Callers, engineAddr: t.Addr, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	for s.postCompletion(b, completionBody(100)) != http.StatusOK {
		time.Sleep(50 * time.Millisecond)
	}
	return s
}

// completionBody returns a completion request with a prompt of the given number of tokens.
func completionBody(tokens int) []byte {
	return []byte(`{"model":"starter","stream":true,"max_tokens":1,"prompt":"` + strings.Repeat("log ", tokens) + `"}`)
}

// postCompletion sends a request to the entry and reads the whole answer. It returns the
// status, or 0 if the exchange failed.
func (s *benchSite) postCompletion(b *testing.B, body []byte) int {
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+s.entryAddr+"/v1/completions", bytes.NewReader(body))
	quicktest.Assert(b, err, quicktest.IsNil)
	req.Header.Set("Bamboo-Organisation", "levain")
	resp, err := s.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // Only the status counts.
	return resp.StatusCode
}

// generate sends a request directly to the engine and reads the whole answer.
func (s *benchSite) generate(b *testing.B, e *httpx.Engine, n int, body []byte) {
	st, err := e.Generate(b.Context(), s.engineAddr, engine.Generate{
		ID: fmt.Sprintf("request-%d", n), Grant: fmt.Sprintf("grant-%d", n), Epoch: 1, MaxTokens: 1,
		Body: bytes.NewReader(body), Size: int64(len(body)), PromptTokens: len(body) / 4,
	})
	quicktest.Assert(b, err, quicktest.IsNil)
	defer st.Close()
	for done := false; !done; {
		c, err := st.Next()
		quicktest.Assert(b, err, quicktest.IsNil)
		done = c.End
	}
}

// BenchmarkEngineDirect sends requests to the engine without an entry or a scheduler. It
// is the baseline of BenchmarkThroughEntry.
func BenchmarkEngineDirect(b *testing.B) {
	s := newBenchSite(b)
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) { return TCP{}.Dial(ctx, addr) }
	e := &httpx.Engine{Pooled: httpx.PooledTransport(dial), Fresh: httpx.Fresh(dial)}
	for _, tokens := range []int{1_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			body := completionBody(tokens)
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				s.generate(b, e, n, body)
			}
		})
	}
}

// BenchmarkThroughEntry sends requests to the engine through the entry and its scheduler.
func BenchmarkThroughEntry(b *testing.B) {
	s := newBenchSite(b)
	for _, tokens := range []int{1_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			body := completionBody(tokens)
			b.ReportAllocs()
			for b.Loop() {
				quicktest.Assert(b, s.postCompletion(b, body), quicktest.Equals, http.StatusOK)
			}
		})
	}
}

// BenchmarkThroughEntryParallel sends requests through the entry from many callers at
// once.
func BenchmarkThroughEntryParallel(b *testing.B) {
	s := newBenchSite(b)
	body := completionBody(1_000)
	b.ReportAllocs()
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if s.postCompletion(b, body) != http.StatusOK {
				b.Error("request was not answered with status 200")
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(runtime.GOMAXPROCS(0)), "procs")
}
