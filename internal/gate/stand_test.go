package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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

// plainDialect speaks short headers of the tests' own.
type plainDialect struct{}

func (plainDialect) Call(h http.Header) (Call, error) {
	ms, err := strconv.Atoi(h.Get("Left"))
	if err != nil {
		return Call{}, err
	}
	c := Call{ID: h.Get("Id"), Key: h.Get("Key"), Left: time.Duration(ms) * time.Millisecond, Prompt: 1000, Output: 100}
	if last := h.Get("Last"); last != "" {
		c.Last, err = strconv.ParseInt(last, 10, 64)
		c.Resumes = true
	}
	return c, err
}

func (plainDialect) Send(h http.Header, s Send) http.Header {
	out := http.Header{}
	out.Set("Id", h.Get("Id"))
	out.Set("Left", strconv.FormatInt(s.Left.Milliseconds(), 10))
	out.Set("Target", s.Target)
	out.Set("Organisation", s.Organisation)
	if s.Resumes {
		out.Set("Last", strconv.FormatInt(s.Last, 10))
	}
	return out
}

func (plainDialect) Reply(h http.Header) Reply {
	return Reply{Call: h.Get("Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != ""}
}

func (plainDialect) Answer(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Content-Length")
	return out
}

func (plainDialect) Reserve(h Helper, hold time.Duration) *hop.Request {
	return order(h, fmt.Sprintf("reserve %s %d %d", h.Ticket, h.Tokens, hold.Milliseconds()))
}

func (plainDialect) Release(h Helper) *hop.Request { return order(h, "release "+h.Ticket) }

func order(h Helper, text string) *hop.Request {
	return &hop.Request{Method: http.MethodPost, URI: "/order", Host: h.Target.Address, Header: http.Header{}, Body: []byte(text)}
}

// fake is a target that answers by a script and notes what it ran.
type fake struct {
	site.Target
	// answer writes an answer; it returns false to close the connection.
	answer func(f *fake, c net.Conn, q *http.Request) bool

	mu     sync.Mutex
	got    []*http.Request
	orders []string
	closed []time.Time
}

func (f *fake) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go f.exchange(c)
	}
}

func (f *fake) exchange(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			f.mu.Lock()
			f.closed = append(f.closed, time.Now())
			f.mu.Unlock()
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		f.mu.Lock()
		if q.URL.Path == "/order" {
			f.orders = append(f.orders, string(body))
		} else {
			f.got = append(f.got, q)
		}
		f.mu.Unlock()
		if q.URL.Path == "/order" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			continue
		}
		if !f.answer(f, c, q) {
			return
		}
	}
}

// runs returns how many requests reached it.
func (f *fake) runs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.got)
}

func (f *fake) request(i int) *http.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.got[i]
}

// The scripts of targets.

func answers(status int, body string, headers ...string) func(*fake, net.Conn, *http.Request) bool {
	return func(_ *fake, c net.Conn, q *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, q.Header.Get("Id"), strings.Join(headers, ""), len(body), body)
		return true
	}
}

const (
	sealed = "Seal: s\r\n"
	notRan = "Not-Run: 1\r\n"
)

func breaks(*fake, net.Conn, *http.Request) bool { return false }

func hangs(_ *fake, c net.Conn, _ *http.Request) bool {
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

// streams writes events from the one after the caller's last up to the last one;
// it closes the connection in the middle of the one after until, if any.
func streams(last, until int) func(*fake, net.Conn, *http.Request) bool {
	return func(f *fake, c net.Conn, q *http.Request) bool {
		from, _ := strconv.Atoi(q.Header.Get("Last"))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sBy: %s\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"), sealed, f.ID)
		for i := from + 1; i <= last; i++ {
			if until > 0 && i > until {
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

// stand is an entry before fake targets.
type stand struct {
	t      *testing.T
	net    memnet.Network
	gate   *Server
	tables site.Tables
	fakes  []*fake
	logs   strings.Builder
}

// Routes of the stand, by their paths.
const (
	lookPath   = "/look/"
	orderPath  = "/order-it/"
	streamPath = "/stream/"
	oncePath   = "/once/"
	publicPath = "/public/"
	gatePlace  = "10.0.0.1:80"
)

func newStand(t *testing.T, plain, engines []func(*fake, net.Conn, *http.Request) bool) *stand {
	t.Helper()
	s := &stand{t: t}
	route := func(path string, kind site.Kind, pool string) site.Route {
		return site.Route{
			Name: path, Host: "h", Prefix: path, Kind: kind, Limit: 3 * time.Second, Aim: 300 * time.Millisecond,
			Pause: 250 * time.Millisecond, Attempts: 2, Resumable: path == streamPath, Public: path == publicPath,
			Split: []site.Share{{Pool: pool, Weight: 1}},
		}
	}
	s.tables = site.Tables{
		Version: 1, Keyed: true, Organisations: []site.Organisation{{Name: "org", Keys: []string{"key"}}},
		Bounds: site.Bounds{Body: 1000},
		Pools: []site.Pool{{Name: "plain"}, {Name: "engines", Engine: &site.Engine{
			Slots: 16, Memory: 405_000, Step: time.Millisecond, Rate: 154_000, Pairs: 162 * time.Microsecond, Chunk: 2048, Stride: 34,
		}}},
		Routes: []site.Route{
			route(lookPath, site.Repeatable, "plain"), route(orderPath, site.Once, "plain"), route(publicPath, site.Repeatable, "plain"),
			route(streamPath, site.Stream, "engines"), route(oncePath, site.Stream, "engines"),
		},
	}
	for i, script := range plain {
		s.add("plain", i, script)
	}
	for i, script := range engines {
		s.add("engines", i+10, script)
	}
	s.gate = &Server{
		Name: "entry", DataCentre: "dc", Address: gatePlace, Dialect: plainDialect{},
		Targets: &hop.Client{Dial: s.net.Dialer("10.0.0.1")}, Metrics: metrics.NewRegistry(),
		Budget: &Budget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Log:    &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &s.logs}},
		Link:   &link.Client{},
	}
	s.gate.Setup()
	// It has run for a while.
	s.gate.born = s.gate.born.Add(-time.Minute)
	s.learn(1)
	ln, err := s.net.Listen(gatePlace)
	quicktest.Assert(t, err, quicktest.IsNil)
	srv := &http.Server{Handler: s.gate}
	go srv.Serve(ln)
	t.Cleanup(func() {
		srv.Close()
		s.gate.Targets.Close()
		// Connections that were ended early linger for half a second.
		time.Sleep(time.Second)
	})
	return s
}

func (s *stand) add(pool string, i int, script func(*fake, net.Conn, *http.Request) bool) {
	f := &fake{answer: script, Target: site.Target{
		ID: fmt.Sprintf("t%d", i), Pool: pool, Address: fmt.Sprintf("10.0.1.%d:80", i), DataCentre: "dc", Slots: 16, State: site.Ready,
	}}
	s.fakes = append(s.fakes, f)
	ln, err := s.net.Listen(f.Address)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	s.t.Cleanup(func() { ln.Close() })
	go f.serve(ln)
}

// learn tells the entry of the tables and the targets at a revision.
func (s *stand) learn(revision uint64) {
	var m reg.Machine
	apply := func(c reg.Command) {
		b, err := reg.Encode(c)
		quicktest.Assert(s.t, err, quicktest.IsNil)
		m.Apply(0, b)
	}
	apply(reg.Command{Publish: &reg.Publish{Tables: s.tables, Source: []byte("{}")}})
	u, err := m.Since(0)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	u.Revision = revision
	for _, f := range s.fakes {
		u.Targets = append(u.Targets, f.Target)
	}
	s.gate.Update(&u)
}

// runs returns how many requests reached any target.
func (s *stand) runs() int {
	n := 0
	for _, f := range s.fakes {
		n += f.runs()
	}
	return n
}

// got is an answer as its caller saw it.
type got struct {
	status int
	header http.Header
	body   string
	// cut says that the answer broke off; took is the time to its end.
	cut  bool
	took time.Duration
}

// call sends a request as a caller does. Headers stand as name, value.
func (s *stand) call(path, body string, headers ...string) got {
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Minute)
	defer cancel()
	return s.callWith(ctx, path, body, headers...)
}

func (s *stand) callWith(ctx context.Context, path, body string, headers ...string) got {
	c := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return s.net.Dialer("10.0.9.9")(ctx, addr)
		},
		DisableKeepAlives: true,
	}}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gatePlace+path+"x?y=1", strings.NewReader(body))
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
		return got{cut: true, took: time.Since(began)}
	}
	b, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	return got{status: resp.StatusCode, header: resp.Header, body: string(b), cut: err != nil, took: time.Since(began)}
}
