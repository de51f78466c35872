package inst

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/internal/fake"
	"github.com/bambooproxy/bambooproxy/internal/httpx"
	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/internal/trace"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// callerAddr is the address that callers dial from.
const callerAddr = "10.9.0.1:1"

// site is a deployment of instances, fake engines and fake services on an in-memory
// network. Instance n has the addresses 10.0.0.n: 80 for callers, 81 for peers, 82 for
// operators.
type site struct {
	t     *testing.T
	net   *memnet.Network
	spans *tracetest.InMemoryExporter
	wg    sync.WaitGroup
	// cancels stop what run has started, in the order of the starts.
	cancels []func()
	// announceAddrs are the addresses that targets announce themselves to.
	announceAddrs []string
}

// hostNetwork is the in-memory network as seen from one address.
type hostNetwork struct {
	net  *memnet.Network
	addr string
}

func (h hostNetwork) Listen(addr string) (net.Listener, error) { return h.net.Listen(addr) }

func (h hostNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return h.net.Dialer(h.addr)(ctx, addr)
}

func newSite(t *testing.T) *site {
	s := &site{t: t, net: &memnet.Network{}, spans: tracetest.NewInMemoryExporter(), announceAddrs: []string{"10.0.0.1:80"}}
	t.Cleanup(s.close)
	return s
}

// startInstance starts instance n in data centre dc. Instance 1 runs the control plane.
func (s *site) startInstance(n int, dc string) *Instance {
	return s.startInstanceWith(n, dc, &log.Logger{Level: log.PanicLevel}, func(*conf.Settings) {})
}

// startInstanceWith is startInstance with a logger l and a function that changes the
// settings.
func (s *site) startInstanceWith(n int, dc string, l *log.Logger, change func(*conf.Settings)) *Instance {
	set := conf.Defaults()
	set.Name = fmt.Sprintf("i%d", n)
	set.DataCentre = dc
	set.Callers = fmt.Sprintf("10.0.0.%d:80", n)
	set.Peers = fmt.Sprintf("10.0.0.%d:81", n)
	set.Operators = fmt.Sprintf("10.0.0.%d:82", n)
	set.Seeds = []string{"10.0.0.1:81"}
	set.Control = n == 1
	set.Tables = "testdata/tables.json"
	change(&set)
	tp := sdktrace.NewTracerProvider(sdktrace.WithSyncer(s.spans))
	i := &Instance{
		Settings: set,
		Network:  hostNetwork{s.net, set.Peers},
		Log:      l,
		Trace:    &trace.Provider{TracerProvider: tp, Shutdown: tp.Shutdown},
	}
	s.run(func(ctx context.Context) {
		if err := i.Run(ctx); err != nil {
			s.t.Errorf("instance %s: %v", set.Name, err)
		}
	})
	return i
}

// run runs f in a goroutine and returns the function that cancels its context.
func (s *site) run(f func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(s.t.Context())
	s.wg.Go(func() { f(ctx) })
	s.cancels = append(s.cancels, cancel)
	return cancel
}

// startTarget serves the handler that newHandler returns at 10.1.0.n:80 and announces it
// as a target. report may be nil.
func (s *site) startTarget(n int, dc, pool string, kind table.Kind, newHandler func(engine.Target) (http.Handler, func() engine.Report)) {
	t := engine.Target{
		Name: fmt.Sprintf("t%d", n), Addr: fmt.Sprintf("10.1.0.%d:80", n), DataCentre: dc,
		Pool: pool, Kind: kind, Memory: 400_000, Incarnation: 1,
	}
	handler, report := newHandler(t)
	ln, err := s.net.Listen(t.Addr)
	if err != nil {
		s.t.Fatal(err)
	}
	srv := &http.Server{Handler: handler}
	a := fake.Announcer{Client: s.clientFrom(t.Addr), Entries: s.announceAddrs, Target: t, Report: report}
	if e, ok := handler.(*fake.Engine); ok {
		a.Pool = e.Orders.Pool
	}
	s.run(func(ctx context.Context) {
		a.Run(ctx)
		srv.Close()
	})
	s.wg.Go(func() { _ = srv.Serve(ln) })
}

// startEngine starts fake engine n in pool advice.
func (s *site) startEngine(n int, dc string) *fake.Engine {
	e := &fake.Engine{Costs: fake.Costs{Prefill: 10 * time.Microsecond, Decode: 10 * time.Millisecond}}
	s.startTarget(n, dc, "advice", table.Engine, func(t engine.Target) (http.Handler, func() engine.Report) {
		e.Target, e.Client = t, s.clientFrom(t.Addr)
		return e, e.Report
	})
	return e
}

// startService starts fake service n in pool orders.
func (s *site) startService(n int, dc string) *fake.Service {
	v := &fake.Service{}
	s.startTarget(n, dc, "orders", table.Service, func(t engine.Target) (http.Handler, func() engine.Report) {
		v.Target = t
		return v, nil
	})
	return v
}

// clientFrom returns an HTTP client that dials from an address of the in-memory network.
func (s *site) clientFrom(from string) *http.Client {
	return &http.Client{Transport: httpx.Fresh(func(ctx context.Context, _, addr string) (net.Conn, error) {
		return s.net.Dialer(from)(ctx, addr)
	})}
}

// close stops everything that was started and waits for it.
func (s *site) close() {
	for _, stop := range s.cancels {
		stop()
	}
	s.wg.Wait()
	// Hanging dials end after httpx.Silence.
	time.Sleep(httpx.Silence)
}

// do makes one request from callerAddr and returns the exchange as text: lines of the
// request begin with ">", those of the response's status and headers with "<". headers
// holds names and values in turn.
func (s *site) do(method, url, body string, headers ...string) string {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.t.Context(), method, url, strings.NewReader(body))
	quicktest.Assert(s.t, err, quicktest.IsNil)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.clientFrom(callerAddr).Do(req)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	resp.Header.Del("Date")
	id := resp.Header.Get("Bamboo-Request")
	var out strings.Builder
	fmt.Fprintf(&out, "> %s %s\n%s< %d\n", method, url, indent("> ", body), resp.StatusCode)
	var lines strings.Builder
	_ = resp.Header.Write(&lines) // A strings.Builder never fails.
	out.WriteString(indent("< ", strings.ReplaceAll(lines.String(), "\r", "")))
	out.WriteString(indent("  ", string(b)))
	return mask(out.String(), id)
}

// mask replaces the request ID, and its first eight characters, which answers contain.
// They differ between runs.
func mask(s, id string) string {
	if id == "" {
		return s
	}
	s = strings.ReplaceAll(s, id, "REQUEST")
	return strings.ReplaceAll(s, id[:8], "REQUEST")
}

// indent puts prefix before each line of s, which may be empty.
func indent(prefix, s string) string {
	if s == "" {
		return ""
	}
	return prefix + strings.ReplaceAll(strings.TrimRight(s, "\n"), "\n", "\n"+prefix) + "\n"
}
