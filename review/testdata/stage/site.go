// Command stage plays one case of the review on loopback addresses: a small site of the project's own processes, with
// stand-ins for the platform, the operator, the runners and the clients.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// subnet is the third part of the addresses 127.0.x.y of a run, as takeSubnet has chosen it.
var subnet int

// The ports are the same on all machines, as on the platform. The address 127.0.x.1 with peerPort marks a subnet as taken.
const (
	frontPort   = 8227
	readyPort   = 8220
	controlPort = 8229
	lookupPort  = 8226
	peerPort    = 7340
	meterPort   = 9464
)

// process is one process of the site, with its settings.
type process struct {
	name, host string
	isControl  bool
	cmd        *exec.Cmd
	done       chan struct{}
}

// site is a small site: control instances and entries in zones of one region.
type site struct {
	dir      string
	bamboo   string
	losses   int
	record   *record
	mu       sync.Mutex
	controls []*process
	entries  []*process
}

// takeSubnet chooses a subnet on which the ports are free, until the returned listener is closed.
func takeSubnet() (net.Listener, error) {
	for range 50 {
		subnet = 1 + rand.IntN(250)
		mark, err := net.Listen("tcp4", net.JoinHostPort(loopback(1), strconv.Itoa(peerPort)))
		if err != nil {
			continue
		}
		if portsAreFree() {
			return mark, nil
		}
		mark.Close()
	}
	return nil, errors.New("no free loopback addresses")
}

func portsAreFree() bool {
	for _, port := range []int{frontPort, readyPort, controlPort, lookupPort, peerPort, meterPort} {
		ln, err := net.Listen("tcp4", net.JoinHostPort(loopback(10), strconv.Itoa(port)))
		if err != nil {
			return false
		}
		ln.Close()
	}
	return true
}

func loopback(n int) string { return fmt.Sprintf("127.0.%d.%d", subnet, n) }

func newSite(dir, bamboo string, controls, entries int, r *record) *site {
	s := &site{dir: dir, bamboo: bamboo, losses: (controls - 1) / 2, record: r}
	for i := range controls {
		s.controls = append(s.controls, &process{name: fmt.Sprintf("core-%d", i+1), host: loopback(10 + i), isControl: true})
	}
	for i := range entries {
		s.entries = append(s.entries, &process{name: fmt.Sprintf("edge-%d", i+1), host: loopback(40 + i)})
	}
	return s
}

// settings returns the settings file of a process, as the template of the deploy file gives it.
func (s *site) settings(p *process, first bool) map[string]any {
	var seeds []string
	for _, c := range s.controls[:min(3, len(s.controls))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.host, controlPort))
	}
	out := map[string]any{
		"name": p.name, "data_centre": "zone-a", "regions": map[string]string{"zone-a": "region"},
		"callers": "", "ready": "", "control": "", "directory": fmt.Sprintf("%s:%d", p.host, lookupPort),
		"peers": fmt.Sprintf("%s:%d", p.host, peerPort), "metrics": fmt.Sprintf("%s:%d", p.host, meterPort),
		"seeds": seeds, "first": first, "losses": s.losses, "data": "", "grace": "8s",
		"repeats": map[string]any{"ratio": 0.2, "slack": 106, "window": "10s"}, "memory": 284, "log": "info",
	}
	if p.isControl {
		out["control"] = fmt.Sprintf("%s:%d", p.host, controlPort)
		out["data"] = filepath.Join(s.dir, p.name)
		out["memory"] = 280
	} else {
		out["callers"] = fmt.Sprintf("%s:%d", p.host, frontPort)
		out["ready"] = fmt.Sprintf("%s:%d", p.host, readyPort)
	}
	return out
}

func (s *site) start(p *process, first bool) error {
	b, err := json.Marshal(s.settings(p, first))
	if err != nil {
		return err
	}
	file := filepath.Join(s.dir, p.name+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(s.bamboo, "node", file)
	cmd.Stdout, cmd.Stderr = out, out
	// A stage that is killed must leave no process behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	s.mu.Lock()
	p.cmd, p.done = cmd, done
	s.mu.Unlock()
	go func() {
		err := cmd.Wait()
		s.record.line("process %s ended: %v", p.name, err)
		close(done)
	}()
	return nil
}

func (s *site) startAll(first bool) error {
	for _, p := range append(append([]*process{}, s.controls...), s.entries...) {
		if err := s.start(p, first); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) signal(p *process, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// kill ends a process and waits for its end.
func (s *site) kill(p *process) {
	s.signal(p, syscall.SIGKILL)
	<-p.done
}

func (s *site) stopAll() {
	for _, p := range append(append([]*process{}, s.controls...), s.entries...) {
		if p.cmd != nil {
			s.kill(p)
		}
	}
}

// record is the record of a run.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   io.Writer
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// putConfig sends a configuration to one control instance after the other until one acknowledges it.
func (s *site) putConfig(ctx context.Context, config any) error {
	b, err := json.Marshal(config)
	if err != nil {
		return err
	}
	for i := 0; ctx.Err() == nil; i++ {
		status, body := s.put(ctx, s.controls[i%len(s.controls)], "/config", b)
		if status == http.StatusOK {
			s.record.line("configuration acknowledged by %s", s.controls[i%len(s.controls)].name)
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("configuration refused: %d %s", status, body)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ctx.Err()
}

// put makes one call to a control instance. The status is 0 without a response.
func (s *site) put(ctx context.Context, p *process, path string, body []byte) (status int, answer string) {
	return call(ctx, http.MethodPut, fmt.Sprintf("http://%s:%d%s", p.host, controlPort, path), body)
}

var platformClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func call(ctx context.Context, method, url string, body []byte) (status int, answer string) {
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	q.Header.Set("Content-Type", "application/json")
	resp, err := platformClient.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// awaitReady waits until all entries say that they are ready.
func (s *site) awaitReady(ctx context.Context) error {
	for _, p := range s.entries {
		for {
			if status, _ := call(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/ready", p.host, readyPort), nil); status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// runner is a stand-in for a runner. Its handler serves everything but reports and orders.
type runner struct {
	id, service, addr string
	site              *site
	handler           http.HandlerFunc
	ln                net.Listener
	sequence          int
	born              int64
}

func (s *site) newRunner(n int, service string, h http.HandlerFunc) (*runner, error) {
	r := &runner{id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), service: service, site: s, handler: h, born: time.Now().UnixMilli()}
	ln, err := net.Listen("tcp4", loopback(100+n)+":8080")
	if err != nil {
		return nil, err
	}
	r.ln, r.addr = ln, ln.Addr().String()
	go func() { _ = http.Serve(ln, r) }()
	return r, nil
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if want := q.Header.Get("Bambooproxy-Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("Bambooproxy-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/report":
		fmt.Fprint(w, `{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":405000,"handles":0,"pace":1}`)
	case "/order":
		fmt.Fprint(w, `{"free":400000}`)
	default:
		r.handler(w, q)
	}
}

// beat sends heartbeats until ctx ends.
func (r *runner) beat(ctx context.Context) {
	for ctx.Err() == nil {
		r.sequence++
		b, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.addr, "zone": "zone-a", "version": "v1", "slots": 16, "state": "ready", "coldRemainingMs": 0,
			"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": r.sequence, "born": r.born,
		})
		for i := range r.site.controls {
			if status, _ := r.site.put(ctx, r.site.controls[(r.sequence+i)%len(r.site.controls)], "/instances/"+r.id, b); status >= 200 && status < 300 {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(1200 * time.Millisecond):
		}
	}
}
