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
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zones are those of the deployment.
var zones = []string{"ro-centru-a", "ro-centru-b", "ro-centru-c"}

// deployment is a small deployment of the project's programs.
type deployment struct {
	program, dir string
	rec          *record

	net      int
	port     int
	controls []*process
	entries  []*process

	mu      sync.Mutex
	runners []*process
}

// Offsets of the ports, which are the same on all machines.
const (
	frontPort = iota
	readyPort
	controlPort
	directoryPort
	peersPort
	metricsPort
	runnerPort
	portCount
)

// process is a process that the case started, on an address of its own.
type process struct {
	name, ip, zone string
	argv           []string
	logPath        string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts the process.
func (p *process) start() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.argv[0], p.argv[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
	default:
		_ = cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// loopback returns an address of the case.
func (d *deployment) loopback(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.net, group, n)
}

func (d *deployment) addr(host string, port int) string {
	return fmt.Sprintf("%s:%d", host, d.port+port)
}

// findPorts chooses a range of addresses and ports that are free.
func (d *deployment) findPorts(hosts func() []string) error {
	for range 50 {
		d.net, d.port = 20+rand.IntN(200), 20000+rand.IntN(10000)
		if d.isFree(hosts()) {
			return nil
		}
	}
	return fmt.Errorf("%w: no free ports", errNotRun)
}

func (d *deployment) isFree(hosts []string) bool {
	for _, host := range hosts {
		for port := range portCount {
			ln, err := net.Listen("tcp4", d.addr(host, port))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

// start starts control instances and entries, and waits until they serve and the configuration is
// acknowledged.
func (d *deployment) start(ctx context.Context, controls, entries int, config []byte) error {
	err := d.findPorts(func() []string {
		var ips []string
		for i := range controls {
			ips = append(ips, d.loopback(0, i+1))
		}
		for i := range entries {
			ips = append(ips, d.loopback(1, i+1))
		}
		return ips
	})
	if err != nil {
		return err
	}
	var seeds []string
	for i := range controls {
		seeds = append(seeds, d.addr(d.loopback(0, i+1), controlPort))
	}
	for i := range controls {
		p, err := d.newNode("core", d.loopback(0, i+1), zones[i%len(zones)], i, seeds)
		if err != nil {
			return err
		}
		d.controls = append(d.controls, p)
	}
	for i := range entries {
		p, err := d.newNode("edge", d.loopback(1, i+1), zones[i%len(zones)], i, seeds)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, p)
	}
	for _, p := range append(append([]*process{}, d.controls...), d.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	if err := d.publish(ctx, config); err != nil {
		return err
	}
	for _, p := range append(append([]*process{}, d.controls...), d.entries...) {
		if err := d.writeSettings(p, false, seeds); err != nil {
			return err
		}
	}
	for _, p := range d.entries {
		if err := d.awaitReady(ctx, p); err != nil {
			return err
		}
	}
	d.rec.line("all instances are ready")
	return nil
}

// newNode returns a process of the deploy file, with the settings of its template.
func (d *deployment) newNode(class, ip, zone string, i int, seeds []string) (*process, error) {
	p := &process{name: fmt.Sprintf("%s-%s-%d", class, zone, i), ip: ip, zone: zone}
	folder := filepath.Join(d.dir, p.name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o700); err != nil {
		return nil, err
	}
	p.argv = []string{d.program, "node", filepath.Join(folder, "boot.toml")}
	p.logPath = filepath.Join(folder, "log")
	return p, d.writeSettings(p, true, seeds)
}

// writeSettings fills in deploy/settings.jsonc as the platform does.
func (d *deployment) writeSettings(p *process, first bool, seeds []string) error {
	isCore := strings.HasPrefix(p.name, "core")
	s := map[string]any{
		"name": p.name, "data_centre": p.zone,
		"regions":   map[string]string{zones[0]: "ro-centru", zones[1]: "ro-centru", zones[2]: "ro-centru"},
		"directory": d.addr(p.ip, directoryPort), "peers": d.addr(p.ip, peersPort), "metrics": d.addr(p.ip, metricsPort),
		"seeds": seeds, "first": first, "losses": 1, "grace": "8s",
		"repeats": map[string]any{"ratio": 0.2, "slack": 100, "window": "10s"}, "log": "info",
		"callers": "", "ready": "", "control": "", "data": "", "memory": 284,
	}
	if isCore {
		s["control"], s["data"], s["memory"] = d.addr(p.ip, controlPort), filepath.Join(d.dir, p.name, "data"), 280
	} else {
		s["callers"], s["ready"] = d.addr(p.ip, frontPort), d.addr(p.ip, readyPort)
	}
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.argv[2], b, 0o600)
}

// publish sends the configuration until a control instance acknowledges it.
func (d *deployment) publish(ctx context.Context, config []byte) error {
	for i := 0; ctx.Err() == nil && i < 200; i++ {
		host := d.controls[i%len(d.controls)].ip
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		status, _ := call(callCtx, plainClient, http.MethodPut, "http://"+d.addr(host, controlPort)+"/config", config)
		cancel()
		if status == http.StatusOK {
			d.rec.line("operator: configuration acknowledged by %s", host)
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("%w: configuration refused with %d", errNotRun, status)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%w: configuration not acknowledged", errNotRun)
}

// awaitReady waits until an entry answers its readiness probe with 200.
func (d *deployment) awaitReady(ctx context.Context, p *process) error {
	for i := 0; ctx.Err() == nil && i < 150; i++ {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		status, _ := call(callCtx, plainClient, http.MethodGet, "http://"+d.addr(p.ip, readyPort)+"/ready", nil)
		cancel()
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%w: %s is not ready", errNotRun, p.name)
}

// startRunner starts a runner as a process of its own.
func (d *deployment) startRunner(n int, service string, flags ...string) (*process, error) {
	return d.startRunnerAt(d.loopback(2, n), n, service, flags...)
}

// startRunnerAt is startRunner at an address of another one that has ended.
func (d *deployment) startRunnerAt(host string, n int, service string, flags ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{name: fmt.Sprintf("i-%s-%d", service, n), ip: host, zone: zones[n%len(zones)]}
	p.logPath = filepath.Join(d.dir, p.name+".log")
	var controls []string
	for _, c := range d.controls {
		controls = append(controls, d.addr(c.ip, controlPort))
	}
	p.argv = append([]string{
		self, "runner", "-id", p.name, "-service", service, "-addr", d.addr(p.ip, runnerPort), "-zone", p.zone, "-control", strings.Join(controls, ","),
	}, flags...)
	d.mu.Lock()
	d.runners = append(d.runners, p)
	d.mu.Unlock()
	return p, p.start()
}

// stop kills all processes that the case started, and adds what the runners noted to the record.
func (d *deployment) stop() {
	var wg sync.WaitGroup
	d.mu.Lock()
	all := append(append(append([]*process{}, d.controls...), d.entries...), d.runners...)
	d.mu.Unlock()
	for _, p := range all {
		wg.Go(p.kill)
	}
	wg.Wait()
	for _, p := range d.runners {
		b, err := os.ReadFile(p.logPath)
		if err == nil {
			for l := range strings.Lines(string(b)) {
				at, text := parseNote(l)
				d.rec.at(at, "%s: %s", p.name, text)
			}
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(d.dir))
	}
}

// parseNote returns the time and the text of a line that a runner noted.
func parseNote(line string) (time.Time, string) {
	ms, text, _ := strings.Cut(strings.TrimSpace(line), " ")
	n, err := strconv.ParseInt(ms, 10, 64)
	if err != nil {
		return time.Now(), line
	}
	return time.UnixMilli(n), text
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// call makes one HTTP call and returns its status, or 0 if there was no whole answer.
func call(ctx context.Context, client *http.Client, method, url string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// plainClient opens a connection for each call.
var plainClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}, CheckRedirect: func(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}}
