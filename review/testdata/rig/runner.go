package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// heartbeatInterval is heartbeatIntervalMs of the settings.
	heartbeatInterval = 1200 * time.Millisecond
	// lateTime is how late a heartbeat may arrive.
	lateTime = 8 * time.Second
)

// runner is the stand-in for one runner. On SIGTERM it says that it is draining and goes on serving, or,
// with deregister, sends DELETE first and goes on serving.
type runner struct {
	id, service, addr, zone string
	controls                []string
	events                  int
	gap                     time.Duration
	unframed, deregister    bool
	// slots is how many requests run at a time, and queue how many more wait; pending counts both.
	slots   int
	queue   int64
	pending atomic.Int64
	// slot holds a value for each request that runs.
	slot chan struct{}
	// retryAfter is the Retry-After of such refusals, in seconds; "" means none.
	retryAfter string
	// listen is where the runner listens if its address leads there through a path of the case.
	listen string
	// via holds the paths that lead to other addresses.
	via    map[string]string
	client *http.Client
	born   int64

	// leaving is closed on SIGTERM.
	leaving  chan struct{}
	draining atomic.Bool
	seals    atomic.Int64
	mu       sync.Mutex
	sequence int
	// next is the address that the last heartbeat response named.
	next string
}

func runRunner(args []string) error {
	r := &runner{born: time.Now().UnixMilli()}
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	flags.StringVar(&r.id, "id", "", "")
	flags.StringVar(&r.service, "service", "", "")
	flags.StringVar(&r.addr, "addr", "", "")
	flags.StringVar(&r.zone, "zone", "", "")
	controls := flags.String("control", "", "")
	flags.IntVar(&r.events, "events", 24, "events of a stream")
	flags.DurationVar(&r.gap, "gap", 50*time.Millisecond, "time between events")
	flags.BoolVar(&r.unframed, "unframed", false, "answers have no length and end with their connection")
	flags.IntVar(&r.slots, "slots", 16, "requests that run at a time")
	flags.Int64Var(&r.queue, "queue", -1, "requests that wait for a slot, more are refused; -1 means any number")
	flags.StringVar(&r.retryAfter, "retry-after", "", "Retry-After of refusals")
	flags.BoolVar(&r.deregister, "deregister", false, "on SIGTERM, send DELETE first and go on serving")
	flags.StringVar(&r.listen, "listen", "", "")
	via := flags.String("via", "", "paths to control instances, as ADDRESS=PATH,...")
	_ = flags.Parse(args)
	r.controls = strings.Split(*controls, ",")
	r.via = make(map[string]string)
	for pair := range strings.SplitSeq(*via, ",") {
		if a, p, ok := strings.Cut(pair, "="); ok {
			r.via[a] = p
		}
	}
	r.slot = make(chan struct{}, r.slots)
	r.client = &http.Client{Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 1, DialContext: r.dial}}
	if r.listen == "" {
		r.listen = r.addr
	}
	ln, err := net.Listen("tcp4", r.listen)
	if err != nil {
		return err
	}
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	note("start %s", r.id)
	r.leaving = make(chan struct{})
	go func() {
		<-terminated
		close(r.leaving)
		if r.deregister {
			r.leave()
		} else {
			r.draining.Store(true)
		}
	}()
	go r.announce()
	return (&http.Server{Handler: r}).Serve(ln)
}

// dial connects to an address, through the path that leads there if there is one.
func (r *runner) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if p := r.via[addr]; p != "" {
		addr = p
	}
	return (&net.Dialer{Timeout: lateTime}).DialContext(ctx, network, addr)
}

// note writes one line to the log of the runner, with the time in Unix milliseconds.
func note(format string, args ...any) {
	fmt.Printf("%d %s\n", time.Now().UnixMilli(), fmt.Sprintf(format, args...))
}

// announce sends heartbeats, and says that the runner leaves once it got SIGTERM.
func (r *runner) announce() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	leaving := r.leaving
	for {
		// One that deregisters sends no heartbeat after that.
		if r.deregister && r.isLeaving() {
			return
		}
		if r.heartbeat() && r.draining.Load() {
			note("draining acknowledged")
		}
		select {
		case <-ticker.C:
		case <-leaving:
			leaving = nil
		}
	}
}

// isLeaving reports whether the runner is to leave.
func (r *runner) isLeaving() bool {
	select {
	case <-r.leaving:
		return true
	default:
		return false
	}
}

// heartbeat sends one heartbeat, to one control instance after the other until one acknowledges it.
func (r *runner) heartbeat() bool {
	targets := r.controls
	if r.next != "" {
		targets = append([]string{r.next}, targets...)
	}
	for _, c := range targets {
		if r.deregister && r.isLeaving() {
			return false
		}
		r.sequence++
		state := "ready"
		if r.draining.Load() {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state, "coldRemainingMs": 0,
			"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": r.sequence, "born": r.born,
		})
		status, answer := r.call(c, http.MethodPut, body)
		if status/100 != 2 {
			if c == r.next {
				r.next = ""
			}
			continue
		}
		var a struct {
			URL string `json:"heartbeatUrl"`
		}
		if json.Unmarshal(answer, &a) == nil && a.URL != "" {
			r.next = a.URL
		}
		return true
	}
	return false
}

// call calls a control instance. Without an answer within a second it returns status 0, so that the next one
// is called; the call itself goes on for some seconds, and may arrive late.
func (r *runner) call(control, method string, body []byte) (status int, answer []byte) {
	type result struct {
		status int
		answer []byte
	}
	done := make(chan result, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lateTime)
		defer cancel()
		var res result
		res.status, res.answer = call(ctx, r.client, method, "http://"+control+"/instances/"+r.id, body)
		done <- res
	}()
	select {
	case res := <-done:
		return res.status, res.answer
	case <-time.After(time.Second):
		return 0, nil
	}
}

// leave sends DELETE until a control instance acknowledges it.
func (r *runner) leave() {
	body, _ := json.Marshal(map[string]any{"born": r.born})
	for {
		for _, c := range r.controls {
			status, _ := r.call(c, http.MethodDelete, body)
			if status/100 == 2 {
				note("DELETE acknowledged by %s", c)
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// ServeHTTP serves requests, health checks, load reports and orders.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	h := w.Header()
	switch {
	case req.URL.Path == "/health":
		h.Set("Bambooproxy-Instance-Id", r.id)
		if r.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case req.URL.Path == "/report":
		h.Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":405000,"handles":0,"pace":1,"tickets":[],"born":%d}`, r.born)
		return
	case req.URL.Path == "/order":
		h.Set("Content-Type", "application/json")
		io.WriteString(w, `{"free":405000}`)
		return
	}
	id := req.Header.Get("Bambooproxy-Attempt-Id")
	h.Set("Bambooproxy-Attempt-Id", id)
	if want := req.Header.Get("Bambooproxy-Expect-Instance"); want != "" && want != r.id {
		h.Set("Bambooproxy-Instance-Id", r.id)
		h.Set("Bambooproxy-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer r.pending.Add(-1)
	if n := r.pending.Add(1); r.queue >= 0 && n > int64(r.slots)+r.queue {
		h.Set("Bambooproxy-Not-Executed", "1")
		if r.retryAfter != "" {
			h.Set("Retry-After", r.retryAfter)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.queue >= 0 {
		select {
		case r.slot <- struct{}{}:
			defer func() { <-r.slot }()
		case <-req.Context().Done():
			return
		}
	}
	after := 0
	if v := req.Header.Get("Last-Event-Id"); v != "" {
		after, _ = strconv.Atoi(v)
	}
	note("run %s %s %s bytes=%d last-event-id=%q", id, req.Method, req.URL.Path, len(body), req.Header.Get("Last-Event-Id"))
	h.Set("Bambooproxy-Runner-Seal", fmt.Sprintf("%s.%d.%d", r.id, r.born, r.seals.Add(1)))
	if strings.HasPrefix(req.URL.Path, "/status") {
		time.Sleep(30 * time.Millisecond)
		h.Set("Content-Type", "text/plain")
		w.Write(bytes.Repeat([]byte("x"), 800))
		note("end %s", id)
		return
	}
	out := io.Writer(w)
	flush := func() { _ = http.NewResponseController(w).Flush() }
	h.Set("Content-Type", "text/event-stream")
	if r.unframed {
		conn, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprint(buf, "HTTP/1.1 200 OK\r\nConnection: close\r\n")
		_ = h.Write(buf)
		fmt.Fprint(buf, "\r\n")
		out, flush = buf, func() { _ = buf.Flush() }
	}
	for i := after + 1; i <= r.events; i++ {
		select {
		case <-req.Context().Done():
			note("dropped %s at event %d", id, i)
			return
		case <-time.After(r.gap):
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: piece %d of %d\n\n", i, i, r.events); err != nil {
			note("dropped %s at event %d", id, i)
			return
		}
		flush()
	}
	note("end %s", id)
}
