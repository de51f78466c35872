package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// testCodec is a HeaderCodec with short headers for the tests.
type testCodec struct{}

func (testCodec) DecodeCall(h http.Header) (CallInfo, error) {
	ms, err := strconv.Atoi(h.Get("Left"))
	if err != nil {
		return CallInfo{}, err
	}
	c := CallInfo{ID: h.Get("Id"), Key: h.Get("Key"), TimeLimit: time.Duration(ms) * time.Millisecond, PromptTokens: 1000, MaxOutputTokens: 100}
	if n, err := strconv.Atoi(h.Get("Prompt")); err == nil {
		c.PromptTokens = n
	}
	if parts := h.Get("Parts"); parts != "" {
		c.SharedSegments = strings.Split(parts, ",")
	}
	if last := h.Get("Last"); last != "" {
		c.LastEventID, err = strconv.ParseInt(last, 10, 64)
		c.HasLastEventID = true
	}
	return c, err
}

func (testCodec) TargetHeader(h http.Header, s SendInfo) http.Header {
	out := http.Header{}
	out.Set("Id", h.Get("Id"))
	out.Set("Left", strconv.FormatInt(s.TimeLimit.Milliseconds(), 10))
	out.Set("Target", s.TargetID)
	out.Set("Organisation", s.Organisation)
	out.Set("Parts", h.Get("Parts"))
	if s.HasLastEventID {
		out.Set("Last", strconv.FormatInt(s.LastEventID, 10))
	}
	return out
}

func (testCodec) DecodeReply(h http.Header) ReplyInfo {
	// The zero value stands for a header that is missing or invalid.
	pause, _ := time.ParseDuration(h.Get("Pause"))
	cold, _ := time.ParseDuration(h.Get("Cold"))
	limit, err := strconv.ParseFloat(h.Get("Limit"), 64)
	return ReplyInfo{
		Limit: limit, HasLimit: err == nil, Cold: cold,
		RequestID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "",
		Leaving: h.Get("Leaving") != "", RetryAfter: pause,
	}
}

func (testCodec) CallerHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Content-Length")
	return out
}

func (testCodec) Reserve(h PrefillHelper, ttl time.Duration) *hop.Request {
	return orderRequest(h, fmt.Sprintf("reserve %s %d %d", h.ReservationID, h.ReservedTokens, ttl.Milliseconds()))
}

func (testCodec) Release(h PrefillHelper) *hop.Request {
	return orderRequest(h, "release "+h.ReservationID)
}

func (testCodec) Report(t site.Target) *hop.Request {
	return &hop.Request{Method: http.MethodGet, URI: reportPath, Host: t.Address, Header: http.Header{}}
}

func (testCodec) IsUnused(_ PrefillHelper, report []byte) (bool, error) {
	return string(report) == "unused", nil
}

// reportPath is the path of the load reports of fake targets.
const reportPath = "/report"

func orderRequest(h PrefillHelper, text string) *hop.Request {
	return &hop.Request{Method: http.MethodPost, URI: "/order", Host: h.Target.Address, Header: http.Header{}, Body: []byte(text)}
}

// fakeTarget is a target that responds as its script says and records what it receives.
type fakeTarget struct {
	site.Target
	// script writes a response; it returns false to close the connection.
	script   func(f *fakeTarget, c net.Conn, q *http.Request) bool
	listener net.Listener
	// answersEarly is set if the script runs before the body of the request is read.
	answersEarly bool

	mu       sync.Mutex
	requests []*http.Request
	orders   []string
	closed   []time.Time
	// report is the load report, and reports the number of times that it was read.
	report  string
	reports int
	// accepted is the number of connections.
	accepted int
}

func (f *fakeTarget) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go f.exchange(c)
	}
}

func (f *fakeTarget) exchange(c net.Conn) {
	defer c.Close()
	f.mu.Lock()
	f.accepted++
	f.mu.Unlock()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			f.mu.Lock()
			f.closed = append(f.closed, time.Now())
			f.mu.Unlock()
			return
		}
		var body []byte
		if !f.answersEarly {
			if body, err = io.ReadAll(q.Body); err != nil {
				return
			}
		}
		f.mu.Lock()
		report := f.report
		switch q.URL.Path {
		case "/order":
			f.orders = append(f.orders, string(body))
		case reportPath:
			f.reports++
		default:
			f.requests = append(f.requests, q)
		}
		f.mu.Unlock()
		if q.URL.Path == reportPath {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
			continue
		}
		if q.URL.Path == "/order" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			continue
		}
		if !f.script(f, c, q) {
			return
		}
	}
}

// setReport sets the load report.
func (f *fakeTarget) setReport(report string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.report = report
}

// received returns how often the load report was read, and the orders.
func (f *fakeTarget) received() (reports int, orders []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports, slices.Clone(f.orders)
}

// requestCount returns how many requests reached the target.
func (f *fakeTarget) requestCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

// openCount returns how many connections to the target are open.
func (f *fakeTarget) openCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepted - len(f.closed)
}

func (f *fakeTarget) request(i int) *http.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests[i]
}

// Scripts of targets.

func respond(status int, body string, headers ...string) func(*fakeTarget, net.Conn, *http.Request) bool {
	return func(_ *fakeTarget, c net.Conn, q *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, q.Header.Get("Id"), strings.Join(headers, ""), len(body), body)
		return true
	}
}

const (
	sealHeader   = "Seal: s\r\n"
	notRunHeader = "Not-Run: 1\r\n"
)

func closeConn(*fakeTarget, net.Conn, *http.Request) bool { return false }

func neverRespond(_ *fakeTarget, c net.Conn, _ *http.Request) bool {
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

// streamEvents writes the events after the caller's last one, up to the event last. If
// cutAfter is set, it closes the connection in the middle of the event after cutAfter.
func streamEvents(last, cutAfter int) func(*fakeTarget, net.Conn, *http.Request) bool {
	return func(f *fakeTarget, c net.Conn, q *http.Request) bool {
		from, _ := strconv.Atoi(q.Header.Get("Last"))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sBy: %s\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"), sealHeader, f.ID)
		for i := from + 1; i <= last; i++ {
			if cutAfter > 0 && i > cutAfter {
				fmt.Fprintf(c, "%x\r\n%s", 30, fmt.Sprintf("id: %d\nda", i))
				return false
			}
			ev := fmt.Sprintf("id: %d\ndata: e\n\n", i)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
			time.Sleep(20 * time.Millisecond)
		}
		io.WriteString(c, "0\r\n\r\n")
		return true
	}
}

// logBuffer collects the log lines of concurrent requests.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// testbed is a Server in front of fake targets.
type testbed struct {
	t       *testing.T
	net     memnet.Network
	gate    *Server
	tables  site.Tables
	targets []*fakeTarget
	logs    logBuffer
}

// Paths of the routes of a testbed.
const (
	idempotentPath         = "/look/"
	nonIdempotentPath      = "/order-it/"
	resumableStreamPath    = "/stream/"
	nonResumableStreamPath = "/once/"
	serviceStreamPath      = "/service-stream/"
	serviceOncePath        = "/service-once/"
	engineLookPath         = "/engine-look/"
	engineOrderPath        = "/engine-order/"
	publicPath             = "/public/"
	gateAddress            = "10.0.0.1:80"
)

func newTestbed(t *testing.T, plain, engines []func(*fakeTarget, net.Conn, *http.Request) bool) *testbed {
	t.Helper()
	s := &testbed{t: t}
	route := func(path string, kind site.Kind, pool string) site.Route {
		return site.Route{
			Name: path, Host: "h", Prefix: path, Kind: kind, Limit: 3 * time.Second, Aim: 300 * time.Millisecond,
			Pause: 250 * time.Millisecond, Attempts: 2, Resumable: path == resumableStreamPath || path == serviceStreamPath, Public: path == publicPath,
			Split: []site.PoolWeight{{Pool: pool, Weight: 1}},
		}
	}
	s.tables = site.Tables{
		Version: 1, Keyed: true, Organisations: []site.Organisation{{Name: "org", Keys: []string{"key"}}},
		Bounds: site.Bounds{Body: 1000},
		Pools: []site.Pool{{Name: "plain"}, {Name: "engines", Engine: &site.Engine{
			Slots: 16, Memory: 405_000, Step: time.Millisecond, Rate: 154_000, Pairs: 162 * time.Microsecond, Chunk: 2048, Stride: 34,
		}}},
		Routes: []site.Route{
			route(idempotentPath, site.Idempotent, "plain"), route(nonIdempotentPath, site.NonIdempotent, "plain"), route(publicPath, site.Idempotent, "plain"),
			route(resumableStreamPath, site.Streaming, "engines"), route(nonResumableStreamPath, site.Streaming, "engines"),
			route(serviceStreamPath, site.Streaming, "plain"), route(serviceOncePath, site.Streaming, "plain"),
			route(engineLookPath, site.Idempotent, "engines"), route(engineOrderPath, site.NonIdempotent, "engines"),
		},
	}
	for i, script := range plain {
		s.addTarget("plain", i, script)
	}
	for i, script := range engines {
		s.addTarget("engines", i+10, script)
	}
	s.gate = &Server{
		Name: "entry", DataCentre: "dc", Address: gateAddress, HeaderCodec: testCodec{},
		TargetClient: &hop.Client{Dial: s.net.Dialer("10.0.0.1")}, Metrics: metrics.NewRegistry(),
		Budget: &RetryBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Log:    &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &s.logs}},
		Link:   &link.Client{},
	}
	s.gate.Setup()
	// The startup period is over.
	s.gate.startedAt = s.gate.startedAt.Add(-time.Minute)
	s.gate.HandleConfirmed()
	s.publish(1)
	ln, err := s.net.Listen(gateAddress)
	quicktest.Assert(t, err, quicktest.IsNil)
	srv := &http.Server{Handler: s.gate}
	go srv.Serve(ln)
	t.Cleanup(func() {
		srv.Close()
		s.gate.TargetClient.Close()
		// Connections that are closed early linger for half a second.
		time.Sleep(time.Second)
	})
	return s
}

func (s *testbed) addTarget(pool string, i int, script func(*fakeTarget, net.Conn, *http.Request) bool) {
	f := &fakeTarget{script: script, Target: site.Target{
		ID: fmt.Sprintf("t%d", i), Pool: pool, Address: fmt.Sprintf("10.0.1.%d:80", i), DataCentre: "dc", Slots: 16, State: site.Ready,
	}}
	s.targets = append(s.targets, f)
	ln, err := s.net.Listen(f.Address)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	s.t.Cleanup(func() { ln.Close() })
	f.listener = ln
	go f.serve(ln)
}

// publish sends the tables and the targets to the server as an update.
func (s *testbed) publish(revision uint64) {
	var m reg.Machine
	apply := func(c reg.Command) {
		b, err := m.EncodeCommand(c)
		quicktest.Assert(s.t, err, quicktest.IsNil)
		m.Apply(0, b)
	}
	apply(reg.Command{Publish: &reg.Publish{Tables: s.tables, Source: []byte("{}")}})
	d, err := m.DeltaSince(0, false)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	d.Revision = revision
	for _, f := range s.targets {
		d.Targets = append(d.Targets, f.Target)
	}
	s.gate.ApplyUpdate(&d)
}

// requestCount returns how many requests reached any target.
func (s *testbed) requestCount() int {
	n := 0
	for _, f := range s.targets {
		n += f.requestCount()
	}
	return n
}

// callResult is a response as the caller received it.
type callResult struct {
	status int
	header http.Header
	body   string
	// truncated reports that the response ended early; took is the time until it ended.
	truncated bool
	took      time.Duration
}

// call sends a request as a caller does. Headers are given as pairs of name and value.
func (s *testbed) call(path, body string, headers ...string) callResult {
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Minute)
	defer cancel()
	return s.callContext(ctx, path, body, headers...)
}

func (s *testbed) callContext(ctx context.Context, path, body string, headers ...string) callResult {
	c := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return s.net.Dialer("10.0.9.9")(ctx, addr)
		},
		DisableKeepAlives: true,
	}}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateAddress+path+"x?y=1", strings.NewReader(body))
	quicktest.Assert(s.t, err, quicktest.IsNil)
	q.Host = "h"
	q.Header.Set("Id", "a1")
	q.Header.Set("Key", "key")
	q.Header.Set("Left", "2000")
	for i := 0; i < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	began := time.Now()
	resp, err := c.Do(q)
	if err != nil {
		return callResult{truncated: true, took: time.Since(began)}
	}
	b, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	return callResult{status: resp.StatusCode, header: resp.Header, body: string(b), truncated: err != nil, took: time.Since(began)}
}
