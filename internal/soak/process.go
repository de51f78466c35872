package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

const (
	// stopGrace is the grace period for a planned stop in the settings of the processes.
	stopGrace = 8 * time.Second
	// stopSlack is how long after the grace period a process may still be running.
	stopSlack = 2 * time.Second
	// startupTime is the longest time that a new process needs before it handles signals.
	startupTime = 300 * time.Millisecond
)

// Process is one process of the site. It is signalled by its own process ID only.
type Process struct {
	Endpoint
	Recorder *Recorder
	// Program is the path of the program, Dir the directory of its settings, log and data.
	Program, Dir string
	Seeds        []string

	// faultMu is held while a fault stops, pauses, restarts or reconfigures the process.
	faultMu sync.Mutex
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	// exitExpected is set once the soak has signalled the process to stop.
	exitExpected bool
	starts       int
	started      time.Time
}

// Incarnation returns a name that changes with each start of the process.
func (p *Process) Incarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s/%d", p.Name(), p.starts)
}

func (p *Process) dataDir() string { return filepath.Join(p.Dir, "data") }

// Start starts the program. With first, the process may create a new site.
func (p *Process) Start(first bool) error {
	if err := os.MkdirAll(p.dataDir(), 0o700); err != nil {
		return err
	}
	if err := p.writeSettings(first); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.Dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.Program, "node", p.settingsPath())
	cmd.Stdout, cmd.Stderr = out, out
	// All processes of the site share one machine.
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited, p.exitExpected = cmd, make(chan struct{}), false
	p.starts++
	p.started = time.Now()
	go p.awaitExit(cmd, p.exited)
	return nil
}

func (p *Process) settingsPath() string { return filepath.Join(p.Dir, "settings.json") }

// writeSettings writes the settings file.
func (p *Process) writeSettings(first bool) error {
	s := conf.Process{
		Name: p.Name(), DataCentre: p.DataCentre(), Peers: p.ProxyAddr(peersPort), Metrics: p.ProxyAddr(metricsPort), Directory: p.ProxyAddr(directoryPort),
		Bind: p.ProcessHost(), Seeds: p.Seeds, First: first, Losses: 1, Grace: table.Duration(stopGrace), Memory: 256, Log: "info",
		// Few retries for each entry, so that silent targets use them up as on large sites.
		Repeats: conf.Repeats{Ratio: 0.2, Slack: 15, Window: table.Duration(10 * time.Second)},
	}
	if p.Role == Control {
		s.Control, s.Data = p.ProxyAddr(controlPort), p.dataDir()
	} else {
		s.Callers, s.Ready = p.ProxyAddr(callersPort), p.ProxyAddr(readyPort)
	}
	b, err := json.Marshal(s)
	if err != nil {
		return err
	}
	// Settings that are not set are left out, as the other build may not know them.
	var set map[string]any
	if err := json.Unmarshal(b, &set); err != nil {
		return err
	}
	maps.DeleteFunc(set, func(_ string, v any) bool { return v == nil || v == false })
	if b, err = json.MarshalIndent(set, "", "  "); err != nil {
		return err
	}
	return os.WriteFile(p.settingsPath(), b, 0o600)
}

// awaitExit waits for the process and reports an exit that the soak did not cause.
func (p *Process) awaitExit(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	expected := p.exitExpected
	p.mu.Unlock()
	if !expected {
		p.Recorder.AddViolation("own end", "%s exited unexpectedly: %v; its log is %s", p.Name(), err, filepath.Join(p.Dir, "log"))
	}
	close(exited)
}

// isStarted reports whether the process was ever started.
func (p *Process) isStarted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// signal sends a signal to the process. With exitExpected, its exit is not a violation.
func (p *Process) signal(s syscall.Signal, exitExpected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = p.exitExpected || exitExpected
	// This fails only if the process has ended.
	_ = p.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its exit.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL, true)
	<-p.exited
}

// Stop terminates the process. It reports and kills one that does not exit in time.
func (p *Process) Stop() {
	p.signal(syscall.SIGTERM, true)
	select {
	case <-p.exited:
	case <-time.After(stopGrace + stopSlack):
		p.Recorder.AddViolation("planned stop", "%s did not exit within %s", p.Name(), stopGrace+stopSlack)
		p.Kill()
	}
}

// Reload makes the process read its settings again. A process that has just started gets
// no signal, because it may not handle signals yet.
func (p *Process) Reload() {
	p.mu.Lock()
	starting := time.Since(p.started) < startupTime
	p.mu.Unlock()
	if !starting {
		p.signal(syscall.SIGHUP, false)
	}
}

// Wipe deletes the data directory of a process that has ended.
func (p *Process) Wipe() error { return os.RemoveAll(p.dataDir()) }

// FillDisk prevents the files of the process from growing until the returned function is
// called.
func (p *Process) FillDisk() (restore func()) {
	p.limitFileSize(0)
	return func() { p.limitFileSize(unix.RLIM_INFINITY) }
}

func (p *Process) limitFileSize(size uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// This fails only if the process has ended.
	_ = unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: size, Max: unix.RLIM_INFINITY}, nil)
}
