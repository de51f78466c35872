package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// evacuateTime and outerTime are evacuateMs and outerMs: an unstable core may stretch the bound by the second.
	evacuateTime, outerTime = 5 * time.Second, 6 * time.Second
	// settleTime is the time between an evacuation and its end, and watchTime how long the runner is watched.
	settleTime, watchTime = 3 * time.Second, 3 * time.Second
	// triesAtFrozen is how often the operator asks the frozen control instance before it asks another one.
	triesAtFrozen = 2
	// cycles bounds the evacuations.
	cycles = 4
)

// staleWithdrawal freezes a control instance as it is sent the end of an evacuation. The operator sends that
// again, also to another one, and evacuates the zone once more before the frozen one wakes.
func staleWithdrawal(ctx context.Context, d *deployment, trouble bool) error {
	config := newConfig(`[{"name":"r-status","host":"ficu95.example","pathPrefix":"/status/","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"wuno96b","maxAttempts":2,"public":false,"sticky":false,"resumable":false}]`)
	if err := d.start(ctx, 3, 3, config); err != nil {
		return err
	}
	var evacuated *process
	for i := range 3 {
		p, err := d.startRunner(i+1, plainService)
		if err != nil {
			return err
		}
		if p.zone == zones[0] {
			evacuated = p
		}
	}
	sleep(ctx, 2*time.Second)
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := clients(runCtx, 8, func(ctx context.Context) { askStatus(ctx, d) })
	order := func(c *process, method string) bool {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		status, _ := call(callCtx, plainClient, method, "http://"+d.addr(c.ip, controlPort)+"/evacuation/"+zones[0], nil)
		d.rec.line("operator: %s /evacuation/%s to %s answered %d", method, zones[0], c.name, status)
		return status/100 == 2
	}
	until := func(c *process, method string) error {
		for range 20 {
			if order(c, method) {
				return nil
			}
			sleep(ctx, 200*time.Millisecond)
		}
		return fmt.Errorf("%w: %s not acknowledged", errNotRun, method)
	}
	for cycle := range cycles {
		if err := until(d.controls[1], http.MethodPost); err != nil {
			return err
		}
		sleep(ctx, settleTime)
		frozen := d.controls[2*(cycle%2)]
		if trouble {
			d.rec.line("disruption: SIGSTOP of %s", frozen.name)
			frozen.signal(syscall.SIGSTOP)
			sleep(ctx, 100*time.Millisecond)
			for range triesAtFrozen {
				order(frozen, http.MethodDelete)
			}
		}
		if err := until(d.controls[1], http.MethodDelete); err != nil {
			return err
		}
		sleep(ctx, time.Second)
		if err := until(d.controls[1], http.MethodPost); err != nil {
			return err
		}
		acked := time.Now()
		sleep(ctx, time.Second)
		if trouble {
			d.rec.line("disruption: SIGCONT of %s", frozen.name)
			frozen.signal(syscall.SIGCONT)
		}
		sleep(ctx, time.Until(acked.Add(evacuateTime+outerTime+watchTime)))
		if err := checkEvacuated(d, evacuated, acked.Add(evacuateTime+outerTime), time.Now()); err != nil {
			return err
		}
		if d.rec.violations() > 0 {
			break
		}
	}
	cancel()
	wait()
	return nil
}

// checkEvacuated checks that no request reached a runner of an evacuated zone in a period.
func checkEvacuated(d *deployment, r *process, from, to time.Time) error {
	b, err := os.ReadFile(r.logPath)
	if err != nil {
		return err
	}
	for l := range strings.Lines(string(b)) {
		if at, text := parseNote(l); strings.HasPrefix(text, "run ") && at.After(from) && at.Before(to) {
			d.rec.violate("EVAC: %s reached %s %.1f s after its zone was to be evacuated", strings.Fields(text)[1], r.name, at.Sub(from).Seconds())
		}
	}
	return nil
}

// askStatus sends one idempotent request.
func askStatus(ctx context.Context, d *deployment) {
	id := newAttemptID()
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	entry := d.pickEntry(ctx, "")
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/status/2f", nil)
	if err != nil {
		return
	}
	req.Host = "ficu95.example"
	req.Header.Set("Bambooproxy-Attempt-Id", id)
	req.Header.Set("Bambooproxy-Deadline-Ms", "3000")
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := plainClient.Do(req)
	if err != nil {
		d.rec.line("client: %s error %v", id, err)
		return
	}
	resp.Body.Close()
	d.rec.line("client: %s answered %d", id, resp.StatusCode)
}
