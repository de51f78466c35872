package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/platform"
)

// Mode is how a target handles the requests that reach it.
type Mode int32

// The modes of targets.
const (
	// Healthy targets execute requests and answer.
	Healthy Mode = iota
	// Refusing targets reject requests as not executed.
	Refusing
	// Failing targets execute requests and answer with status 500.
	Failing
	// Unresponsive targets execute requests and never answer.
	Unresponsive
	// Resetting targets execute requests and reset the connection.
	Resetting
	// Duplicating targets send a plain answer twice.
	Duplicating
	// Truncating targets close the connection in the middle of their answers.
	Truncating
	modeCount
)

const (
	announceInterval = 300 * time.Millisecond
	// drainBound is how long after control acknowledged a drain new requests may still
	// reach the target; the platform allows 2 s.
	drainBound = 2 * time.Second
	// plainServiceTime is how long a plain service takes to execute a request.
	plainServiceTime = 20 * time.Millisecond
	// releaseBound is how long KV cache memory may stay reserved after the last renewal.
	releaseBound = 4 * time.Second
	// prefillRate is the prefill rate of an engine in tokens per second, eventInterval the
	// time between the events of a stream.
	prefillRate   = 500_000
	eventInterval = 50 * time.Millisecond
	// listenTimeout and listenInterval bound the attempts to listen at an address again.
	listenTimeout  = 2 * time.Second
	listenInterval = 10 * time.Millisecond
)

// Target simulates a process that executes requests: an engine or a plain service.
type Target struct {
	Endpoint
	Recorder     *Recorder
	Disturbances *Disturbances
	ControlAddrs []string
	// CheckTimeBounds enables the checks of time bounds.
	CheckTimeBounds bool

	// faultMu is held while a fault replaces the target, limitMu while it names a limit.
	faultMu   sync.Mutex
	limitMu   sync.Mutex
	limit     requestLimit
	mode      atomic.Int32
	mu        sync.Mutex
	announced site.Target
	running   bool
	srv       *http.Server
	// seals counts the seals issued, so that each execution gets a unique one.
	seals int
	// drainAckedAt is when control acknowledged the drain, or zero.
	drainAckedAt time.Time
	reservations map[string]*reservation
}

// reservation is KV cache memory reserved under a ticket.
type reservation struct {
	tokens           int
	expires, renewed time.Time
}

// Start starts a new incarnation of the target under an ID.
func (t *Target) Start(id, pool string) error {
	ln, err := listenAgain(func() (net.Listener, error) { return net.Listen("tcp4", t.ProcessAddr(targetPort)) })
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announced = site.Target{
		ID: id, Pool: pool, Address: t.ProxyAddr(targetPort), DataCentre: t.DataCentre(), Slots: targetSlots, State: site.Ready, StartedMs: time.Now().UnixMilli(),
	}
	// A limit binds the process that has named it.
	t.limit.set(0)
	t.running, t.drainAckedAt, t.reservations = true, time.Time{}, make(map[string]*reservation)
	t.srv = &http.Server{Handler: t}
	go t.srv.Serve(ln)
	return nil
}

// listenAgain opens a listener at an address whose last one may just have been closed. A process
// that is being started holds a copy of the closed one until it executes its program.
func listenAgain(listen func() (net.Listener, error)) (net.Listener, error) {
	for deadline := time.Now().Add(listenTimeout); ; time.Sleep(listenInterval) {
		ln, err := listen()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return ln, err
		}
	}
}

// ID returns the ID of the current incarnation.
func (t *Target) ID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.announced.ID
}

// Shutdown deregisters the target at control and ends it after its last request, or after
// requestTimeout.
func (t *Target) Shutdown() {
	t.mu.Lock()
	srv, announced := t.srv, t.announced
	t.running = false
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	client := newClient(t.ProcessHost())
	if body, err := platform.EncodeDeregistration(announced.StartedMs); err == nil {
		for _, c := range t.ControlAddrs {
			if status, _, err := doCall(ctx, client, http.MethodDelete, "http://"+c+platform.TargetPath(announced.ID), body); err == nil && status/100 == 2 {
				break
			}
		}
	}
	// Requests that are still open are cut off.
	_ = srv.Shutdown(ctx)
	srv.Close()
}

// Crash ends the target and cuts off its requests.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = false
	t.srv.Close()
}

// Run sends announcements until ctx ends, and notes when control acknowledges a drain.
func (t *Target) Run(ctx context.Context) {
	client := newClient(t.ProcessHost())
	for ctx.Err() == nil {
		t.mu.Lock()
		t.announced.Sequence++
		announced, running := t.announced, t.running
		t.mu.Unlock()
		if running && t.announce(ctx, client, announced) && announced.State == site.Draining {
			t.mu.Lock()
			if t.drainAckedAt.IsZero() && t.announced.StartedMs == announced.StartedMs {
				t.drainAckedAt = time.Now()
			}
			t.mu.Unlock()
		}
		sleep(ctx, announceInterval)
	}
}

// announce sends an announcement to the control instances in random order until one
// acknowledges it.
func (t *Target) announce(ctx context.Context, client *http.Client, announced site.Target) bool {
	body, err := platform.EncodeTarget(announced)
	if err != nil {
		t.Recorder.AddViolation("soak", "encode the announcement of %s: %v", announced.ID, err)
		return false
	}
	for _, i := range rand.Perm(len(t.ControlAddrs)) {
		status, _, err := doCall(ctx, client, http.MethodPut, "http://"+t.ControlAddrs[i]+platform.TargetPath(announced.ID), body)
		if err == nil && status/100 == 2 {
			return true
		}
	}
	return false
}

// Drain makes the target announce that it is draining.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announced.State = site.Draining
}

// SetMode changes how requests are handled.
func (t *Target) SetMode(m Mode) { t.mode.Store(int32(m)) }

// ServeHTTP handles one request, order or load query.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case platform.OrderPath:
		t.handleReservation(w, body)
		return
	case platform.ReportPath:
		t.handleReport(w)
		return
	}
	call, send, err := platform.DecodeRequest(r.Header)
	t.mu.Lock()
	announced, drainAckedAt := t.announced, t.drainAckedAt
	t.seals++
	seal := fmt.Sprintf("%s.%d.%d", announced.ID, announced.StartedMs, t.seals)
	t.mu.Unlock()
	mode := Mode(t.mode.Load())
	if err != nil || send.TargetID != announced.ID || mode == Refusing {
		status := http.StatusServiceUnavailable
		if err == nil && send.TargetID != announced.ID {
			status = http.StatusMisdirectedRequest
		}
		reply := t.reply(r, call.ID)
		reply.NotRun = true
		writeReply(w, status, reply, "", nil)
		return
	}
	t.checkDrain(r, call.ID, drainAckedAt)
	t.checkLimit(call.ID, hostOf(r))
	if call.Key != "" {
		t.Recorder.AddViolation("unasked", "%s received the API key of the caller with request %s", announced.ID, call.ID)
	}
	executed := execution{target: announced.ID, host: t.ProcessHost(), seal: seal, answer: t.plainAnswer(call.ID, seal), events: eventCount(call.ID)}
	t.Recorder.RecordExecution(call.ID, r.URL.RequestURI(), string(body), send.Organisation, executed)
	x := &exchange{target: t, w: w, r: r, call: call, execution: executed, mode: mode}
	if call.PromptTokens > 0 {
		x.serveStream(send)
		return
	}
	x.servePlain()
}

// reply returns the header values of a response.
func (t *Target) reply(r *http.Request, id string) gate.ReplyInfo {
	reply := gate.ReplyInfo{RequestID: id}
	t.limit.name(&reply, hostOf(r))
	return reply
}

// hostOf returns the IP that a request comes from.
func hostOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// checkDrain reports a request that arrives more than drainBound after the drain was
// acknowledged.
func (t *Target) checkDrain(r *http.Request, id string, drainAckedAt time.Time) {
	from := hostOf(r)
	late := time.Since(drainAckedAt) - drainBound
	if t.CheckTimeBounds && !drainAckedAt.IsZero() && late > 0 && t.Disturbances.IsUndisturbed(drainAckedAt, from, controlPlaneName, t.silenceName()) {
		t.Recorder.AddViolation("drain", "request %s reached draining %s from %s %.3f s too late", id, t.Name(), from, late.Seconds())
	}
}

// handleReservation reserves or releases memory.
func (t *Target) handleReservation(w http.ResponseWriter, body []byte) {
	o, err := platform.DecodeOrder(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.Tokens == 0 {
		delete(t.reservations, o.Ticket)
	} else {
		t.reservations[o.Ticket] = &reservation{tokens: o.Tokens, expires: time.Now().Add(o.TTL), renewed: time.Now()}
	}
	w.WriteHeader(http.StatusOK)
}

// handleReport answers with the reserved memory.
func (t *Target) handleReport(w http.ResponseWriter) {
	t.mu.Lock()
	used := 0
	for _, res := range t.reservations {
		used += res.tokens
	}
	t.mu.Unlock()
	b, err := platform.EncodeLoad(site.Load{KVUsed: used})
	if err != nil {
		t.Recorder.AddViolation("soak", "encode the load report of %s: %v", t.Name(), err)
	}
	// If this fails, the client sees the broken connection.
	_, _ = w.Write(b)
}

// CheckReservations reports reservations that outlast their last renewal by more than
// releaseBound.
func (t *Target) CheckReservations() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, res := range t.reservations {
		if duration := res.expires.Sub(res.renewed); duration > releaseBound {
			t.Recorder.AddViolation("memory", "reservation %s at %s lasts %s without a renewal", id, t.Name(), duration)
		}
	}
}

// CheckReleased reports reservations that are still held. It is called releaseBound after
// the last request.
func (t *Target) CheckReleased() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, res := range t.reservations {
		if time.Now().Before(res.expires) {
			t.Recorder.AddViolation("memory", "reservation %s at %s is still held %s after the last request", id, t.Name(), releaseBound)
		}
	}
}

// writeReply writes a response with the headers of a reply.
func writeReply(w http.ResponseWriter, status int, r gate.ReplyInfo, seal string, body []byte) {
	h := w.Header()
	for k, v := range platform.EncodeReply(r, seal) {
		h[k] = v
	}
	w.WriteHeader(status)
	// If this fails, the client sees the broken connection.
	_, _ = w.Write(body)
}

// newClient returns an HTTP client for the site's control and directory interfaces. It uses
// host as the source address, a new connection for each call, and the same timeout of 1 s
// as the platform's own clients.
func newClient(host string) *http.Client {
	dial := dialFrom(host)
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) },
	}}
}

// doCall makes one HTTP call and reads the whole response.
func doCall(ctx context.Context, c *http.Client, method, url string, body []byte) (status int, answer []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}
