package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/platform"
)

// Mode is how a target treats the requests that reach it.
type Mode int32

// The modes of targets.
const (
	// Sound targets run and answer.
	Sound Mode = iota
	// Refusing targets say that they did not run the request.
	Refusing
	// Failing targets run it and answer with a failure.
	Failing
	// Silent targets run it and say nothing.
	Silent
	// Resetting targets run it and reset the connection.
	Resetting
	// Doubling targets answer twice.
	Doubling
	// Cutting targets break off in the middle of their answers.
	Cutting
	modes
)

const (
	announceEvery = 300 * time.Millisecond
	// drainBound is how soon after the acknowledgement nothing new may reach a target
	// that leaves; the platform allows 2 s.
	drainBound = 2 * time.Second
	// plainWork is how long a plain service works on a request.
	plainWork = 20 * time.Millisecond
	// freeBound is how long memory may stay set aside after its last use.
	freeBound = 4 * time.Second
	// readRate is the tokens that an engine reads in a second, passTime the time
	// between events.
	readRate = 500_000
	passTime = 20 * time.Millisecond
)

// Target stands in for one process that runs requests.
type Target struct {
	Place
	Book    *Book
	Touch   *Touch
	Control []string
	// Bounds says that bounds of time are checked.
	Bounds bool

	// busy is held while a fault ends and replaces the process.
	busy  sync.Mutex
	mode  atomic.Int32
	mu    sync.Mutex
	self  site.Target
	alive bool
	srv   *http.Server
	seals int
	// left is when control acknowledged that the target leaves.
	left    time.Time
	tickets map[string]*ticket
}

// ticket is memory set aside.
type ticket struct {
	tokens      int
	until, used time.Time
}

// Start begins a new process under an ID.
func (t *Target) Start(id, pool string) error {
	ln, err := net.Listen("tcp4", t.OwnAt(targetPort))
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = site.Target{
		ID: id, Pool: pool, Address: t.At(targetPort), DataCentre: t.DataCentre(), Slots: slots, State: site.Ready, StartedMs: time.Now().UnixMilli(),
	}
	t.alive, t.left, t.tickets = true, time.Time{}, make(map[string]*ticket)
	t.srv = &http.Server{Handler: t}
	go t.srv.Serve(ln)
	return nil
}

// ID is that of the present process.
func (t *Target) ID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self.ID
}

// Finish ends the process with its last request, and says that it has left.
func (t *Target) Finish() {
	t.mu.Lock()
	srv, self := t.srv, t.self
	t.alive = false
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	client := newClient(t.Own())
	if body, err := platform.EncodeDeregistration(self.StartedMs); err == nil {
		for _, c := range t.Control {
			if status, _, err := call(ctx, client, http.MethodDelete, "http://"+c+platform.TargetPath(self.ID), body); err == nil && status/100 == 2 {
				break
			}
		}
	}
	// What has not ended by then is broken off.
	_ = srv.Shutdown(ctx)
	srv.Close()
}

// Crash ends the process with all that it has.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.alive = false
	t.srv.Close()
}

// Run announces the target until ctx ends.
func (t *Target) Run(ctx context.Context) {
	client := newClient(t.Own())
	for ctx.Err() == nil {
		t.mu.Lock()
		t.self.Sequence++
		self, alive := t.self, t.alive
		t.mu.Unlock()
		if alive && t.announce(ctx, client, self) && self.State == site.Draining {
			t.mu.Lock()
			if t.left.IsZero() && t.self.StartedMs == self.StartedMs {
				t.left = time.Now()
			}
			t.mu.Unlock()
		}
		sleep(ctx, announceEvery)
	}
}

// announce tells the control instances in any order, until one acknowledges.
func (t *Target) announce(ctx context.Context, client *http.Client, self site.Target) bool {
	body, err := platform.EncodeTarget(self)
	if err != nil {
		t.Book.Find("soak", "%v", err)
		return false
	}
	for _, i := range rand.Perm(len(t.Control)) {
		status, _, err := call(ctx, client, http.MethodPut, "http://"+t.Control[i]+platform.TargetPath(self.ID), body)
		if err == nil && status/100 == 2 {
			return true
		}
	}
	return false
}

// Drain lets the target say that it leaves.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = site.Draining
}

// Set changes how requests are treated.
func (t *Target) Set(m Mode) { t.mode.Store(int32(m)) }

// ServeHTTP takes one request or order.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case platform.OrderPath:
		t.order(w, body)
		return
	case platform.ReportPath:
		t.report(w)
		return
	}
	q, send, err := platform.DecodeRequest(r.Header)
	t.mu.Lock()
	self, left := t.self, t.left
	t.seals++
	seal := fmt.Sprintf("%s.%d.%d", self.ID, self.StartedMs, t.seals)
	t.mu.Unlock()
	mode := Mode(t.mode.Load())
	if err != nil || send.TargetID != self.ID || mode == Refusing {
		status := http.StatusServiceUnavailable
		if err == nil && send.TargetID != self.ID {
			status = http.StatusMisdirectedRequest
		}
		reply(w, status, gate.ReplyInfo{RequestID: q.ID, NotRun: true}, "", nil)
		return
	}
	t.checkDrain(r, q.ID, left)
	if q.Key != "" {
		t.Book.Find("unasked", "%s got the key of %s", self.ID, q.ID)
	}
	ran := run{target: self.ID, seal: seal, answer: t.text(q.ID, seal), events: eventsOf(q.ID)}
	t.Book.Ran(q.ID, r.URL.RequestURI(), string(body), send.Organisation, ran)
	x := &exchange{t: t, w: w, r: r, q: q, run: ran, mode: mode}
	if q.PromptTokens > 0 {
		x.stream(send)
		return
	}
	x.plain()
}

// checkDrain wants nothing new some time after a departure was acknowledged.
func (t *Target) checkDrain(r *http.Request, id string, left time.Time) {
	from, _, err := net.SplitHostPort(r.RemoteAddr)
	late := time.Since(left) - drainBound
	if t.Bounds && err == nil && !left.IsZero() && late > 0 && t.Touch.IsCalm(left, from, coreName) {
		t.Book.Find("drain", "%s reached %s from %s %.3f s too late", id, t.Name(), from, late.Seconds())
	}
}

// order sets memory aside or gives it back.
func (t *Target) order(w http.ResponseWriter, body []byte) {
	o, err := platform.DecodeOrder(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.Tokens == 0 {
		delete(t.tickets, o.Ticket)
	} else {
		t.tickets[o.Ticket] = &ticket{tokens: o.Tokens, until: time.Now().Add(o.TTL), used: time.Now()}
	}
	w.WriteHeader(http.StatusOK)
}

// report tells the memory that is set aside.
func (t *Target) report(w http.ResponseWriter) {
	t.mu.Lock()
	used := 0
	for _, k := range t.tickets {
		used += k.tokens
	}
	t.mu.Unlock()
	b, err := platform.EncodeLoad(site.Load{KVUsed: used})
	if err != nil {
		t.Book.Find("soak", "%v", err)
	}
	// The connection tells the other side if this fails.
	_, _ = w.Write(b)
}

// CheckMemory wants nothing set aside for longer than allowed after its last renewal.
func (t *Target) CheckMemory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, k := range t.tickets {
		if hold := k.until.Sub(k.used); hold > freeBound {
			t.Book.Find("memory", "%s at %s is set aside for %s without a renewal", id, t.Name(), hold)
		}
	}
}

// CheckFree wants nothing set aside any more, some time after the last request.
func (t *Target) CheckFree() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, k := range t.tickets {
		if time.Now().Before(k.until) {
			t.Book.Find("memory", "%s at %s is still set aside %s after the last request", id, t.Name(), freeBound)
		}
	}
}

// reply writes an answer.
func reply(w http.ResponseWriter, status int, r gate.ReplyInfo, seal string, body []byte) {
	h := w.Header()
	for k, v := range platform.EncodeReply(r, seal) {
		h[k] = v
	}
	w.WriteHeader(status)
	// The connection tells the other side if this fails.
	_, _ = w.Write(body)
}

// newClient returns a client for calls to the site's own interfaces, each on a connection
// of its own from an IP, and each within the second that the platform's callers wait.
func newClient(host string) *http.Client {
	dial := dialFrom(host)
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) },
	}}
}

// call makes one HTTP call and reads the whole answer.
func call(ctx context.Context, c *http.Client, method, url string, body []byte) (status int, answer []byte, err error) {
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}
