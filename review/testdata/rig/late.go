package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// drainTime is drainMs of the settings.
	drainTime = 2 * time.Second
	// cutTime is how long the runner is partitioned from the control instances.
	cutTime = 4400 * time.Millisecond
	// leaveTime is how long after that the runner is told to leave.
	leaveTime = 100 * time.Millisecond
	// serveTime is how long a runner goes on serving after it was told to leave.
	serveTime = 10 * time.Second
	// lateRounds is the number of partitions.
	lateRounds = 3
)

// lateHeartbeat partitions a runner from the control instances. It crashes behind the cut and starts again, and
// is told to leave. It is one that sends DELETE first. A heartbeat of its own that the cut has delayed arrives after
// that.
func lateHeartbeat(ctx context.Context, d *deployment, trouble bool) error {
	config := newConfig(`[{"name":"r-status","host":"ficu95.example","pathPrefix":"/status/","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"wuno96b","maxAttempts":2,"public":false,"sticky":false,"resumable":false}]`)
	if err := d.start(ctx, 3, 3, config); err != nil {
		return err
	}
	for i := range 2 {
		if _, err := d.startRunner(i+1, plainService); err != nil {
			return err
		}
	}
	sleep(ctx, 2*time.Second)
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := clients(runCtx, 8, func(ctx context.Context) { askStatus(ctx, d) })
	for round := range lateRounds {
		if err := lateRound(ctx, d, 3+2*round, trouble); err != nil {
			return err
		}
	}
	cancel()
	wait()
	return nil
}

// lateRound plays one partition, of the n-th runner.
func lateRound(ctx context.Context, d *deployment, n int, trouble bool) error {
	host := d.loopback(2, n)
	var paths []*path
	var via []string
	for i, c := range d.controls {
		control := d.addr(c.ip, controlPort)
		p, err := newPath(fmt.Sprintf("%s:%d", host, d.port+portCount+i), control)
		if err != nil {
			return err
		}
		defer p.listener.Close()
		paths = append(paths, p)
		via = append(via, control+"="+p.listener.Addr().String())
	}
	setCut := func(cut bool) {
		if trouble {
			d.rec.line("disruption: partition between the runner and control: %v", cut)
			for _, p := range paths {
				p.setCut(cut)
			}
		}
	}
	flags := []string{"-deregister", "-via", strings.Join(via, ",")}
	before, err := d.startRunner(n, plainService, flags...)
	if err != nil {
		return err
	}
	sleep(ctx, 3*time.Second)
	setCut(true)
	d.rec.line("%s crashes and starts again", before.name)
	before.kill()
	again, err := d.startRunnerAt(host, n+1, plainService, flags...)
	if err != nil {
		return err
	}
	sleep(ctx, cutTime)
	setCut(false)
	sleep(ctx, leaveTime)
	d.rec.line("planned: %s is to leave", again.name)
	again.signal(syscall.SIGTERM)
	sleep(ctx, serveTime)
	again.kill()
	return checkDrained(d, again)
}

// checkDrained checks that no request reached a runner later than drainTime after its departure was
// acknowledged.
func checkDrained(d *deployment, r *process) error {
	b, err := os.ReadFile(r.logPath)
	if err != nil {
		return err
	}
	var acked time.Time
	for l := range strings.Lines(string(b)) {
		at, text := parseNote(l)
		switch {
		case strings.HasPrefix(text, "DELETE acknowledged") && acked.IsZero():
			acked = at
		case strings.HasPrefix(text, "run ") && !acked.IsZero() && at.Sub(acked) > drainTime:
			d.rec.violate("DRAIN: %s reached %s %.3f s after its departure was acknowledged", strings.Fields(text)[1], r.name, at.Sub(acked).Seconds())
		}
	}
	if acked.IsZero() {
		return fmt.Errorf("%w: the departure was not acknowledged", errNotRun)
	}
	return nil
}
