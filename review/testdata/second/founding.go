package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// first is what the cases of a first start share: three core and three edge machines, a runner, an operator and a client.
type first struct {
	*site
	core, edge []*node
	runners    []*runner
	client     *client
	// more is the number of runners besides one in each zone.
	more int
}

func newFirst(s *site) *first {
	f := &first{site: s}
	for z := 1; z <= 3; z++ {
		f.core = append(f.core, s.add(fmt.Sprintf("core-%d", z), z, 1, true))
		f.edge = append(f.edge, s.add(fmt.Sprintf("edge-%d", z), z, 2, false))
	}
	for _, p := range s.nodes {
		p.seeds = controls(f.core...)
	}
	return f
}

// startOutside starts the runners and the operator's first configuration, whose status is sent once it is clear.
func (f *first) startOutside(ctx context.Context, list []string) (<-chan int, error) {
	for i := range 3 + f.more {
		z := 1 + i%3
		r := &runner{rec: f.rec, id: fmt.Sprintf("i-%d", i+1), address: addr(f.ip(z, 9+i/3), runnerPort), zone: zoneName(z), service: service, controls: list, slots: 6}
		if err := r.start(ctx); err != nil {
			return nil, err
		}
		f.runners = append(f.runners, r)
	}
	status := make(chan int, 1)
	go func() { status <- putConfig(ctx, f.rec, list, config(1)) }()
	return status, nil
}

// traffic sends requests for a time and returns how many were sent and served.
func (f *first) traffic(ctx context.Context, nodes []*node, d time.Duration) (sent, served int) {
	var dirs []string
	for _, p := range nodes {
		dirs = append(dirs, addr(p.ip, directoryPort))
	}
	f.client = &client{rec: f.rec, directories: dirs, zone: "zone-a"}
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	f.client.run(ctx, 250*time.Millisecond)
	return f.client.sent, f.client.served
}

// readBack reads the configuration as the operator does at the end of a day: again and again, at any daemon, for twice
// contactMs. It reports whether one came.
func (f *first) readBack(ctx context.Context, list []string) bool {
	client := newHTTP(time.Second)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); sleep(ctx, 300*time.Millisecond) {
		for _, to := range list {
			status, body, _, err := call(client, http.MethodGet, "http://"+to+"/config", nil, nil)
			f.rec.logf("operator: GET /config from %s: %d, %d bytes %v", to, status, len(body), errText(err))
			if err == nil && status == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// judge returns the exit code: CONFIG is broken if the configuration, read back at the end, doesn't come, and Fault if no
// request is served.
func (f *first) judge(ctx context.Context, list []string, sent, served int, status <-chan int) int {
	came := f.readBack(ctx, list)
	acked := "none: the operator still sends it"
	select {
	case s := <-status:
		acked = fmt.Sprint(s)
	default:
	}
	f.rec.logf("%d requests sent, %d served; answer to the first configuration: %s; it was read back: %t", sent, served, acked, came)
	if !came || served == 0 {
		return broken
	}
	return held
}

// founding loses one core machine for good during the first start, and an empty one comes at another address.
func founding(ctx context.Context, s *site, trouble bool) (int, error) {
	f := newFirst(s)
	for _, p := range []*node{f.core[0], f.edge[0], f.edge[1], f.core[1], f.edge[2]} {
		if err := p.start(true); err != nil {
			return cantRun, err
		}
	}
	// All machines start within 0.3 s.
	sleep(ctx, 250*time.Millisecond)
	lost := f.core[2]
	if err := lost.start(true); err != nil {
		return cantRun, err
	}
	core := f.core
	if trouble {
		sleep(ctx, 300*time.Millisecond)
		lost.kill()
		s.rec.logf("%s is gone for good", lost.name)
		sleep(ctx, time.Second)
		next := s.add("core-4", 3, 3, true)
		core = []*node{f.core[0], f.core[1], next}
		next.seeds = controls(core...)
		if err := next.start(false); err != nil {
			return cantRun, err
		}
		// The settings of the others name the new machine from now on.
		for _, p := range []*node{f.core[0], f.core[1], f.edge[0], f.edge[1], f.edge[2]} {
			p.seeds = controls(core...)
			if err := p.writeSettings(true); err != nil {
				return cantRun, err
			}
			p.signal(syscall.SIGHUP)
		}
	}
	status, err := f.startOutside(ctx, controls(core...))
	if err != nil {
		return cantRun, err
	}
	sleep(ctx, 8*time.Second)
	sent, served := f.traffic(ctx, append(core, f.edge...), 40*time.Second)
	return f.judge(ctx, controls(core...), sent, served, status), nil
}

// herd kills all processes of the core at the same moment during the first start; they are back within a second.
func herd(ctx context.Context, s *site, trouble bool) (int, error) {
	f := newFirst(s)
	for _, p := range []*node{f.core[0], f.edge[0], f.edge[1], f.core[1], f.edge[2]} {
		if err := p.start(true); err != nil {
			return cantRun, err
		}
	}
	sleep(ctx, 250*time.Millisecond)
	if err := f.core[2].start(true); err != nil {
		return cantRun, err
	}
	if trouble {
		for _, p := range f.core {
			p.kill()
		}
		s.rec.logf("all processes of the core were killed")
		sleep(ctx, 500*time.Millisecond)
		for _, p := range f.core {
			if err := p.start(false); err != nil {
				return cantRun, err
			}
		}
	}
	status, err := f.startOutside(ctx, controls(f.core...))
	if err != nil {
		return cantRun, err
	}
	sleep(ctx, 8*time.Second)
	sent, served := f.traffic(ctx, append(f.core, f.edge...), 40*time.Second)
	return f.judge(ctx, controls(f.core...), sent, served, status), nil
}
