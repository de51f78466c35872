package crowd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/platform"
)

const (
	// memory is Settings.Memory of each process in megabytes, and descriptors its limit of open files.
	memory      = 96
	descriptors = 256
	// maxOpen bounds the descriptors that a process may have open: it keeps some for its own files
	// and connections.
	maxOpen = descriptors * 7 / 8
	// patience bounds each wait. It only guards against a test that hangs.
	patience = 40 * time.Second
	// maxBodyBytes and maxHeaderBytes are the limits of the tables.
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
	// largeAnswerBytes is the size of the answers for largePath.
	largeAnswerBytes = 2 << 20
	// ordinaryBytes is the size of the body of an ordinary request.
	ordinaryBytes = 30 << 10

	hostName     = "crowd.example"
	routePath    = "/look/"
	largePath    = routePath + "large"
	unroutedPath = "/nowhere/"
	pool         = "plain"
	dataCentre   = "dc-a"

	callersPort   = 8400
	peersPort     = 8401
	controlPort   = 8402
	directoryPort = 8403
	readyPort     = 8404
	metricsPort   = 8405
	targetPort    = 8406
)

// program is the path of the program under test, which TestMain builds.
var program string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "bamboo")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/bamboo").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// testSite is a site of one control instance, one entry and one target.
type testSite struct {
	t              *testing.T
	control, entry *process
	target         *target
	lastID         int
	// lastVersion is the version of the tables that was last published.
	lastVersion int64
}

// process is one process of the site.
type process struct {
	settings conf.Process
	pid      int
	logPath  string
	exited   chan struct{}
}

// hostOf returns the loopback address of a process of this test run. Other runs on the same machine
// have other addresses.
func hostOf(index int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 200+pid%50, pid/50%250, index)
}

func addr(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// newSite starts a site that is stopped at the end of the test, and waits until it serves.
func newSite(t *testing.T) *testSite {
	t.Helper()
	s := &testSite{t: t}
	controlAddr := addr(hostOf(1), controlPort)
	newSettings := func(name string, index int) conf.Process {
		host := hostOf(index)
		return conf.Process{
			Name: name, DataCentre: dataCentre, Peers: addr(host, peersPort), Directory: addr(host, directoryPort), Metrics: addr(host, metricsPort),
			Ready: addr(host, readyPort), Seeds: []string{controlAddr}, First: true, Grace: table.Duration(2 * time.Second), Memory: memory, Log: "info",
			Repeats: conf.Repeats{Ratio: 0.1, Slack: 10, Window: table.Duration(10 * time.Second)},
		}
	}
	control := newSettings("control-0", 1)
	control.Control, control.Data = controlAddr, t.TempDir()
	s.control = startProcess(t, control)
	entry := newSettings("entry-0", 2)
	entry.Callers = addr(hostOf(2), callersPort)
	s.entry = startProcess(t, entry)
	s.target = startTarget(t, addr(hostOf(3), targetPort), controlAddr)
	s.await("the tables are published", s.publish)
	s.await("an ordinary request is served", s.sendOrdinary)
	if t.Failed() {
		t.FailNow()
	}
	return s
}

// tables returns the tables of a version.
func tables(version int64) *site.Tables {
	return &site.Tables{
		Version: version, Bounds: site.Bounds{Header: maxHeaderBytes, Body: maxBodyBytes},
		Routes: []site.Route{{
			Name: "look", Host: hostName, Prefix: routePath, Kind: site.Idempotent, Limit: 2 * patience, Aim: time.Second,
			Attempts: 2, Public: true, Split: []site.PoolWeight{{Pool: pool, Weight: 1}},
		}},
		Pools: []site.Pool{{Name: pool, Connections: 400}},
	}
}

// startProcess starts a process with lowered limits.
func startProcess(t *testing.T, s conf.Process) *process {
	t.Helper()
	dir := t.TempDir()
	b, err := json.Marshal(s)
	quicktest.Assert(t, err, quicktest.IsNil)
	settings := filepath.Join(dir, "settings.json")
	quicktest.Assert(t, os.WriteFile(settings, b, 0o600), quicktest.IsNil)
	p := &process{settings: s, logPath: filepath.Join(dir, "log"), exited: make(chan struct{})}
	out, err := os.Create(p.logPath)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer out.Close()
	// The limit has to be there before the program reads it.
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" node "$1"`, descriptors), program, settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	// A test that panics runs no cleanup.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	quicktest.Assert(t, cmd.Start(), quicktest.IsNil)
	p.pid = cmd.Process.Pid
	go func() {
		// The log has the cause of an exit.
		_ = cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		// This fails only if the process has ended.
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
	})
	return p
}

// isAlive reports whether the process is still the one that was started.
func (p *process) isAlive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// peakMemory returns the peak of the resident memory in bytes.
func (p *process) peakMemory() (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	line, _, _ := strings.Cut(rest, "kB")
	n, err := strconv.ParseInt(strings.TrimSpace(line), 10, 64)
	return n << 10, err
}

// openDescriptors returns the number of open descriptors.
func (p *process) openDescriptors() (int, error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	return len(list), err
}

// check checks that the process lives within its limits.
func (p *process) check(t *testing.T) {
	t.Helper()
	if !p.isAlive() {
		b, err := os.ReadFile(p.logPath)
		t.Errorf("%s ended (%v); its log ends with:\n%s", p.settings.Name, err, b[max(0, len(b)-2000):])
		return
	}
	peak, err := p.peakMemory()
	quicktest.Check(t, err, quicktest.IsNil)
	open, err := p.openDescriptors()
	quicktest.Check(t, err, quicktest.IsNil)
	if peak > memory<<20 {
		t.Errorf("%s has a peak memory of %d MB, more than %d", p.settings.Name, peak>>20, memory)
	}
	if open > maxOpen {
		t.Errorf("%s has %d descriptors open, more than %d", p.settings.Name, open, maxOpen)
	}
	t.Logf("%s: peak memory %d MB, %d descriptors open", p.settings.Name, peak>>20, open)
}

// check checks that both processes live within their limits and that an ordinary request is served.
func (s *testSite) check() {
	s.t.Helper()
	s.entry.check(s.t)
	s.control.check(s.t)
	s.await("an ordinary request is served", s.sendOrdinary)
	s.entry.check(s.t)
	s.control.check(s.t)
}

// errRefused reports a request that was refused as not run, or for which no connection was made. It may be sent again.
var errRefused = errors.New("refused")

// await calls f until it returns no error or one other than errRefused, or patience is over.
func (s *testSite) await(what string, f func() error) {
	s.t.Helper()
	began := time.Now()
	for {
		err := f()
		if err == nil {
			return
		}
		if !errors.Is(err, errRefused) || time.Since(began) > patience {
			s.t.Errorf("not so: %s: %v", what, err)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sendOrdinary sends one ordinary request on a connection of its own.
func (s *testSite) sendOrdinary() error { return s.send(routePath + "1") }

// send sends one request of ordinary size to a path.
func (s *testSite) send(path string) error {
	s.lastID++
	id := fmt.Sprintf("ordinary-%d", s.lastID)
	body := bytes.Repeat([]byte("b"), ordinaryBytes)
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+s.entry.settings.Callers+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Host, req.Header = hostName, platform.EncodeCall(gate.CallInfo{ID: id, TimeLimit: patience})
	status, err := do(req)
	return wantStatus(status, err)
}

// publish publishes the next version of the tables.
func (s *testSite) publish() error {
	s.lastVersion++
	doc, err := platform.EncodeTables(tables(s.lastVersion))
	if err != nil {
		return err
	}
	status, err := call(http.MethodPut, "http://"+s.control.settings.Control+platform.ConfigPath, doc)
	return wantStatus(status, err)
}

// wantStatus returns an error unless a call was answered with status 200.
func wantStatus(status int, err error) error {
	switch {
	case err != nil:
		return err
	case status == http.StatusServiceUnavailable:
		return errRefused
	case status != http.StatusOK:
		return errors.Newf("status %d", status)
	default:
		return nil
	}
}

// call makes one HTTP call on a connection of its own.
func call(method, url string, body []byte) (status int, err error) {
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	return do(req)
}

func do(req *http.Request) (status int, err error) {
	c := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return 0, errors.Mark(err, errRefused)
		}
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.StatusCode == http.StatusServiceUnavailable && req.Host == hostName && resp.Header.Get("Retry-After") == "" {
		return 0, errors.New("refused without Retry-After")
	}
	return resp.StatusCode, nil
}

// target is a stand-in for a plain service that answers each request at once.
type target struct {
	announced site.Target
	seals     atomic.Int64
}

// startTarget starts a target that announces itself until the end of the test.
func startTarget(t *testing.T, address, controlAddr string) *target {
	t.Helper()
	x := &target{announced: site.Target{
		ID: "target-0", Pool: pool, Address: address, DataCentre: dataCentre, Slots: 16, State: site.Ready, StartedMs: time.Now().UnixMilli(),
	}}
	ln, err := net.Listen("tcp4", address)
	quicktest.Assert(t, err, quicktest.IsNil)
	srv := &http.Server{Handler: x}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	x.announce(t, controlAddr)
	return x
}

// announce sends the heartbeats of the target until the end of the test.
func (x *target) announce(t *testing.T, controlAddr string) {
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			x.announced.Sequence++
			if body, err := platform.EncodeTarget(x.announced); err == nil {
				// The next heartbeat follows soon.
				_, _ = call(http.MethodPut, "http://"+controlAddr+platform.TargetPath(x.announced.ID), body)
			}
			select {
			case <-ctx.Done():
			case <-time.After(300 * time.Millisecond):
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// ServeHTTP answers one request.
func (x *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	c, send, err := platform.DecodeRequest(r.Header)
	status := http.StatusOK
	reply := gate.ReplyInfo{RequestID: c.ID}
	if err != nil || send.TargetID != x.announced.ID {
		status, reply.NotRun = http.StatusMisdirectedRequest, true
	}
	for k, v := range platform.EncodeReply(reply, fmt.Sprint("seal-", x.seals.Add(1))) {
		w.Header()[k] = v
	}
	w.WriteHeader(status)
	if r.URL.Path == largePath {
		// If this fails, the client sees the broken connection.
		_, _ = w.Write(make([]byte, largeAnswerBytes))
	}
}
