// Command second plays the script cases of the second review: it starts the project's own program with
// the commands of the deploy file as separate processes on loopback addresses, next to small
// stand-ins for the platform, the operator, runners and clients.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes; each process has an IP of its own.
const (
	frontPort     = 8227
	readyPort     = 8220
	controlPort   = 8229
	directoryPort = 8230
	peerPort      = 7340
	metricsPort   = 9464
	runnerPort    = 8080
)

// record writes what happens, with the time since the start.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// site is a small deployment: three zones in one region.
type site struct {
	program, template string
	dir               string
	net               int
	rec               *record
	nodes             []*node
	// claim keeps other runs at the same time off the network of the site.
	claim net.Listener
}

// node is one process of the system.
type node struct {
	site  *site
	name  string
	ip    string
	zone  string
	core  bool
	seeds []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	wanted bool // the end of the process was caused here
}

func newSite(program, template string, rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "bamboo-review-")
	if err != nil {
		return nil, err
	}
	s := &site{program: program, template: template, dir: dir, rec: rec}
	for range 50 {
		s.net = 2 + rand.IntN(200)
		if s.isFree() {
			return s, nil
		}
	}
	return nil, fmt.Errorf("no free loopback network")
}

// isFree reports whether the ports of the site are free at a few of its addresses, and claims its network.
func (s *site) isFree() bool {
	claim, err := net.Listen("tcp4", addr(s.ip(0, 1), peerPort))
	if err != nil {
		return false
	}
	for _, ip := range []string{s.ip(1, 1), s.ip(2, 1), s.ip(3, 1)} {
		for _, port := range []int{frontPort, controlPort, directoryPort, peerPort, runnerPort} {
			ln, err := net.Listen("tcp4", addr(ip, port))
			if err != nil {
				claim.Close()
				return false
			}
			ln.Close()
		}
	}
	s.claim = claim
	return true
}

func (s *site) ip(zone, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.net, zone, n) }

func addr(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func zoneName(zone int) string { return "zone-" + string(rune('a'+zone-1)) }

// add adds a machine in a zone (1 to 3).
func (s *site) add(name string, zone, n int, core bool) *node {
	p := &node{site: s, name: name, ip: s.ip(zone, n), zone: zoneName(zone), core: core}
	s.nodes = append(s.nodes, p)
	return p
}

// controls returns the control addresses of machines.
func controls(list ...*node) []string {
	var out []string
	for _, p := range list {
		out = append(out, addr(p.ip, controlPort))
	}
	return out
}

// fill fills in the template of the settings as DEPLOY.md tells.
func (p *node) fill(bootstrap bool) (string, error) {
	b, err := os.ReadFile(p.site.template)
	if err != nil {
		return "", err
	}
	seeds, _ := json.Marshal(p.seeds)
	zones, _ := json.Marshal(map[string]string{"zone-a": "region", "zone-b": "region", "zone-c": "region"})
	front, ready, control, dataDir := "", "", "", ""
	if p.core {
		control, dataDir = addr(p.ip, controlPort), filepath.Join(p.site.dir, p.name, "data")
	} else {
		front, ready = addr(p.ip, frontPort), addr(p.ip, readyPort)
	}
	return strings.NewReplacer(
		"{{nodeName}}", p.name, "{{zone}}", p.zone, "{{zones|json}}", string(zones),
		"{{listen.front}}", front, "{{listen.ready}}", ready, "{{listen.control}}", control, "{{listen.directory}}", addr(p.ip, directoryPort),
		"{{ip}}", p.ip, "{{internalPorts.0}}", strconv.Itoa(peerPort), "{{seeds|json}}", string(seeds), "{{bootstrap|json}}", strconv.FormatBool(bootstrap),
		"{{tolerate.machines}}", "1", "{{dataDir}}", dataDir, "{{bounds.graceS}}", "8",
		"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.retryBudgetSlack}}", "100", "{{bounds.budgetWindowS}}", "10", "{{limits.memoryMb}}", "284",
	).Replace(string(b)), nil
}

// writeSettings replaces the settings file.
func (p *node) writeSettings(bootstrap bool) error {
	text, err := p.fill(bootstrap)
	if err != nil {
		return err
	}
	if strings.Contains(text, "{{") {
		return fmt.Errorf("template has a placeholder that the stand-in doesn't know")
	}
	path := p.settings()
	if err := os.MkdirAll(filepath.Join(filepath.Dir(path), "data"), 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func (p *node) settings() string { return filepath.Join(p.site.dir, p.name, "settings") }

// start starts the process: "target/bamboo node SETTINGS".
func (p *node) start(bootstrap bool) error {
	if err := p.writeSettings(bootstrap); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.site.dir, p.name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.site.program, "node", p.settings())
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.wanted = cmd, exited, false
	p.mu.Unlock()
	p.site.rec.logf("started %s (%s), bootstrap %t, seeds %v", p.name, p.ip, bootstrap, p.seeds)
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		wanted := p.wanted
		p.mu.Unlock()
		if !wanted {
			p.site.rec.logf("%s ended by itself: %v", p.name, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, if it runs.
func (p *node) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// kill ends the process and waits for its end.
func (p *node) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.wanted, p.cmd = true, nil
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// close ends all processes and removes the folder.
func (s *site) close() {
	var wg sync.WaitGroup
	for _, p := range s.nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.kill()
		}()
	}
	wg.Wait()
	s.claim.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		s.rec.logf("kept the folder of the processes")
	}
}
