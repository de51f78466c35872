package main

import (
	"encoding/json"
	"fmt"
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
	// grace is how long a planned stop may take.
	grace = 8 * time.Second
	// stopSlack is how much longer is waited for the process.
	stopSlack = 2 * time.Second
	// loadTime is how long a program takes at most until it runs.
	loadTime = 300 * time.Millisecond
)

// Process is one process of the site. It is ended by its own ID only.
type Process struct {
	Place
	Book *Book
	// Program is the path of the program, Folder where its settings, log and data lie.
	Program, Folder string
	Seeds           []string

	// busy is held while a fault ends, pauses or starts the process.
	busy  sync.Mutex
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// wanted says that the process is meant to end.
	wanted  bool
	starts  int
	started time.Time
}

// Incarnation names the running process.
func (p *Process) Incarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s/%d", p.Name(), p.starts)
}

func (p *Process) data() string { return filepath.Join(p.Folder, "data") }

// Start runs the program; first says that the site starts for the first time.
func (p *Process) Start(first bool) error {
	if err := os.MkdirAll(p.data(), 0o700); err != nil {
		return err
	}
	if err := p.configure(first); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.Folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.Program, "node", p.settings())
	cmd.Stdout, cmd.Stderr = out, out
	// A site of many processes shares one machine.
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.ended, p.wanted = cmd, make(chan struct{}), false
	p.starts++
	p.started = time.Now()
	go p.wait(cmd, p.ended)
	return nil
}

func (p *Process) settings() string { return filepath.Join(p.Folder, "settings.json") }

// configure writes the settings file.
func (p *Process) configure(first bool) error {
	s := conf.Process{
		Name: p.Name(), DataCentre: p.DataCentre(), Peers: p.At(peersPort), Metrics: p.At(metricsPort), Directory: p.At(directoryPort),
		Bind: p.Own(), Seeds: p.Seeds, First: first, Losses: 1, Grace: table.Duration(grace), Memory: 256, Log: "info",
		Repeats: conf.Repeats{Ratio: 0.2, Slack: 100, Window: table.Duration(10 * time.Second)},
	}
	if p.Role == Control {
		s.Control, s.Data = p.At(controlPort), p.data()
	} else {
		s.Callers, s.Ready = p.At(callersPort), p.At(readyPort)
	}
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings(), b, 0o600)
}

// wait notes the end of a process that was not meant to end.
func (p *Process) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	wanted := p.wanted
	p.mu.Unlock()
	if !wanted {
		p.Book.Find("own end", "%s ended by itself: %v; its log is %s", p.Name(), err, filepath.Join(p.Folder, "log"))
	}
	close(ended)
}

// isStarted says whether the process was ever started.
func (p *Process) isStarted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// signal sends a signal to the running process.
func (p *Process) signal(s syscall.Signal, end bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = p.wanted || end
	// It fails only if the process has ended.
	_ = p.cmd.Process.Signal(s)
}

// Kill ends the process at once and waits for that.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL, true)
	<-p.ended
}

// Stop asks the process to end, and reports one that does not in time.
func (p *Process) Stop() {
	p.signal(syscall.SIGTERM, true)
	select {
	case <-p.ended:
	case <-time.After(grace + stopSlack):
		p.Book.Find("planned stop", "%s did not end within %s", p.Name(), grace+stopSlack)
		p.Kill()
	}
}

// Hup says that the settings have changed. A program that does not run yet can't take
// the signal, so a process that has just started gets none.
func (p *Process) Hup() {
	p.mu.Lock()
	young := time.Since(p.started) < loadTime
	p.mu.Unlock()
	if !young {
		p.signal(syscall.SIGHUP, false)
	}
}

// Wipe removes the data of a process that has ended.
func (p *Process) Wipe() error { return os.RemoveAll(p.data()) }

// Fill lets the files of the process grow no more until the returned function is
// called.
func (p *Process) Fill() (empty func()) {
	p.limit(0)
	return func() { p.limit(unix.RLIM_INFINITY) }
}

func (p *Process) limit(size uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// It fails only if the process has ended.
	_ = unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: size, Max: unix.RLIM_INFINITY}, nil)
}
