package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	hostName = "h.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	tenant   = "hule930"
	service  = "huvo11a"
)

// newHTTP returns a client with a new connection for each call and the time-out of the platform's clients.
func newHTTP(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true,
	}}
}

// call makes one call and returns the status; 0 without a response.
func call(c *http.Client, method, url string, header http.Header, body []byte) (status int, answer []byte, h http.Header, err error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if host := header.Get("Host"); host != "" {
		req.Host = host
		req.Header.Del("Host")
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, resp.Header, err
}

type object = map[string]any

// config returns a configuration with one service and two routes.
func config(version int) object {
	route := func(name, prefix, kind string) object {
		return object{"name": name, "host": hostName, "pathPrefix": prefix, "kind": kind, "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 1, "service": service, "maxAttempts": 2, "public": false}
	}
	return object{
		"version": version,
		"routes":  []object{route("r-look", "/look/", "idempotent"), route("r-book", "/book/", "non_idempotent")},
		"services": []object{{
			"name": service, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false,
		}},
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []object{{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

// putConfig sends a configuration until it has a clear response: to any of the daemons that serve control, with increasing
// pauses after failures. It returns the status, or 0 if ctx ends first.
func putConfig(ctx context.Context, rec *record, list []string, c object) int {
	body, _ := json.Marshal(c)
	client := newHTTP(time.Second)
	pause := 100 * time.Millisecond
	for ctx.Err() == nil {
		to := list[rand.IntN(len(list))]
		status, answer, _, err := call(client, http.MethodPut, "http://"+to+"/config", http.Header{"Content-Type": {"application/json"}}, body)
		rec.logf("operator: PUT /config version %v to %s: %d %s %v", c["version"], to, status, strings.TrimSpace(string(answer)), errText(err))
		switch status {
		case 200, 400, 409, 412, 413, 422:
			return status
		}
		sleep(ctx, pause)
		pause = min(2*pause, 2*time.Second)
	}
	return 0
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return "(" + err.Error() + ")"
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runner is a sound runner of a plain service.
type runner struct {
	rec      *record
	id       string
	address  string
	zone     string
	service  string
	controls []string
	born     int64
	slots    int

	sequence atomic.Uint64
	seals    atomic.Uint64
	mu       sync.Mutex
	ran      map[string]int
	acked    bool
	// draining is set once the runner reports that it leaves, and leftAt is when that was first acknowledged.
	draining bool
	leftAt   time.Time
	// late counts the requests that were run later than drainTime after leftAt.
	late int
	// cut is set while the runner is partitioned from control: what it sends there doesn't arrive.
	cut bool
	// deleted is set once the runner leaves without a word of draining: it sends no more heartbeats.
	deleted bool
	srv     *http.Server
}

// drainTime is the bound drainMs of the pages.
const drainTime = 2000 * time.Millisecond

// drain has the runner report from its next heartbeat on that it leaves. It goes on serving.
func (r *runner) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	r.rec.logf("runner %s: reports draining from now on", r.id)
}

func (r *runner) start(ctx context.Context) error {
	r.ran = make(map[string]int)
	if err := r.open(); err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		r.crash()
	}()
	go r.beat(ctx)
	return nil
}

// open starts an incarnation of the runner.
func (r *runner) open() error {
	ln, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born = time.Now().UnixMilli()
	r.sequence.Store(0)
	r.srv = &http.Server{Handler: r}
	go func(srv *http.Server) { _ = srv.Serve(ln) }(r.srv)
	r.rec.logf("runner %s: started at %s, born %d", r.id, r.address, r.born)
	return nil
}

// crash ends the incarnation and its connections.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.srv.Close()
	r.rec.logf("runner %s: ended", r.id)
}

// setCut begins or ends a partition of the runner from control.
func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.rec.logf("runner %s: partitioned from control: %t", r.id, cut)
}

// leave deregisters the runner, which goes on serving. It returns once that is acknowledged.
func (r *runner) leave(ctx context.Context) {
	client := newHTTP(time.Second)
	r.mu.Lock()
	r.deleted = true
	r.mu.Unlock()
	for i := rand.IntN(len(r.controls)); ctx.Err() == nil; i++ {
		body, _ := json.Marshal(object{"born": r.born})
		to := r.controls[i%len(r.controls)]
		status, answer, _, err := call(client, http.MethodDelete, "http://"+to+"/instances/"+r.id, http.Header{"Content-Type": {"application/json"}}, body)
		r.rec.logf("runner %s: DELETE /instances/%s %s to %s: %d %s %v", r.id, r.id, body, to, status, strings.TrimSpace(string(answer)), errText(err))
		if err == nil && status/100 == 2 {
			r.mu.Lock()
			r.leftAt = time.Now()
			r.mu.Unlock()
			return
		}
		sleep(ctx, 200*time.Millisecond)
	}
}

// beat sends heartbeats: to the next daemon after a failure.
func (r *runner) beat(ctx context.Context) {
	client := newHTTP(time.Second)
	for i := rand.IntN(len(r.controls)); ctx.Err() == nil; {
		state := "ready"
		r.mu.Lock()
		if r.draining {
			state = "draining"
		}
		silent, born := r.cut || r.deleted, r.born
		r.mu.Unlock()
		if silent {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		body, _ := json.Marshal(object{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state, "coldRemainingMs": 0,
			"sequence": r.sequence.Add(1), "born": born,
		})
		status, _, _, err := call(client, http.MethodPut, "http://"+r.controls[i%len(r.controls)]+"/instances/"+r.id, http.Header{"Content-Type": {"application/json"}}, body)
		if err == nil && status/100 == 2 {
			r.mu.Lock()
			if !r.acked {
				r.rec.logf("runner %s: first heartbeat acknowledged", r.id)
			}
			r.acked = true
			if state == "draining" && r.leftAt.IsZero() {
				r.leftAt = time.Now()
				r.rec.logf("runner %s: draining acknowledged with %d by %s", r.id, status, r.controls[i%len(r.controls)])
			}
			r.mu.Unlock()
			sleep(ctx, 1200*time.Millisecond)
			continue
		}
		i++
		sleep(ctx, 200*time.Millisecond)
	}
}

// ServeHTTP runs a request.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Bambooproxy-Attempt-Id")
	w.Header().Set("Bambooproxy-Attempt-Id", id)
	if req.URL.Path == "/health" {
		w.Header().Set("Bambooproxy-Instance-Id", r.id)
		return
	}
	if want := req.Header.Get("Bambooproxy-Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("Bambooproxy-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(req.Body); err != nil {
		return
	}
	r.mu.Lock()
	r.ran[id]++
	note := ""
	if after := time.Since(r.leftAt); !r.leftAt.IsZero() && after > drainTime {
		r.late++
		note = fmt.Sprintf(", %.3f s after its draining was acknowledged", after.Seconds())
	}
	r.mu.Unlock()
	r.rec.logf("runner %s: ran %s %s id %s%s", r.id, req.Method, req.URL.Path, id, note)
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("Bambooproxy-Runner-Seal", fmt.Sprintf("%s.%d", r.id, r.seals.Add(1)))
	_, _ = io.WriteString(w, strings.Repeat("x", 800))
}

// client sends requests as the pages tell: it asks up to three daemons that serve directory where to connect.
type client struct {
	rec         *record
	directories []string
	zone        string

	sent, served int
	// answers counts the responses by status; 0 stands for none.
	answers map[int]int
}

// run sends a request every interval until ctx ends.
func (c *client) run(ctx context.Context, interval time.Duration) {
	for n := 0; ctx.Err() == nil; n++ {
		c.send(n)
		sleep(ctx, interval)
	}
}

func (c *client) resolve() []string {
	look := newHTTP(time.Second)
	for _, i := range rand.Perm(len(c.directories))[:min(3, len(c.directories))] {
		q := url.Values{"name": {hostName}, "region": {"region"}, "zone": {c.zone}}
		status, b, _, err := call(look, http.MethodGet, "http://"+c.directories[i]+"/resolve?"+q.Encode(), nil, nil)
		var r struct{ Addresses []string }
		if err == nil && status == 200 && json.Unmarshal(b, &r) == nil && len(r.Addresses) > 0 {
			return r.Addresses
		}
	}
	return nil
}

func (c *client) send(n int) {
	c.sent++
	id := strconv.FormatUint(rand.Uint64(), 16)
	addrs := c.resolve()
	if len(addrs) == 0 {
		c.rec.logf("client: request %d id %s: no look-up names an address", n, id)
		return
	}
	to := addrs[rand.IntN(len(addrs))]
	method, path := http.MethodGet, "/look/"+strconv.Itoa(n)
	if n%2 == 1 {
		method, path = http.MethodPost, "/book/"+strconv.Itoa(n)
	}
	h := http.Header{"Host": {hostName}, "Bambooproxy-Attempt-Id": {id}, "Bambooproxy-Deadline-Ms": {"3000"}, "Authorization": {"Bearer " + apiKey}}
	status, b, hd, err := call(newHTTP(3500*time.Millisecond), method, "http://"+to+path, h, nil)
	if status == 200 && hd.Get("Bambooproxy-Runner-Seal") != "" && len(b) == 800 {
		c.served++
	}
	if c.answers == nil {
		c.answers = make(map[int]int)
	}
	c.answers[status]++
	c.rec.logf("client: %s %s id %s to %s: %d, %d bytes %v", method, path, id, to, status, len(b), errText(err))
}
