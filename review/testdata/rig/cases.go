package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	engineService = "huvo11a"
	plainService  = "wuno96b"
	apiKey        = "n2ctnfzs989anu6wsjnb"
)

// services are those of the example in PROTOCOL.md.
const services = `[{"name":"huvo11a","healthPath":"/health","maxConnections":354,"protocol":"h1","tls":false,"engine":{"slots":16,"kvCapacityTokens":405000,"kvTokenBytes":163840,"linkMbps":400000.0,"stride":34,"models":[{"name":"m"}],"step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,"chunk":2048,"report_lag_ms":200.0,"loadsPerS":0.0,"loads_at_once":8,"delays":[],"usual":{"prompt":11301,"answer":1266},"hopMs":0.1}},{"name":"wuno96b","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}]`

// newConfig returns a configuration with the routes, and the other parts of the example in PROTOCOL.md.
func newConfig(routes string) []byte {
	return []byte(`{"version":7,"routes":` + routes + `,"services":` + services +
		`,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["` + apiKey + `"],"priority":1}]}`)
}

// pickEntry returns the address of a random entry of the directory, other than the one given.
func (d *deployment) pickEntry(ctx context.Context, other string) string {
	for range 20 {
		hosts := append(append([]*process{}, d.controls...), d.entries...)
		h := hosts[rand.IntN(len(hosts))]
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		status, b := call(callCtx, plainClient, http.MethodGet, "http://"+d.addr(h.ip, directoryPort)+"/resolve?name=ficu95.example&region=ro-centru&zone="+h.zone, nil)
		cancel()
		var r struct {
			Addresses []string `json:"addresses"`
		}
		if status != http.StatusOK || json.Unmarshal(b, &r) != nil || len(r.Addresses) == 0 {
			continue
		}
		if a := r.Addresses[rand.IntN(len(r.Addresses))]; a != other {
			return a
		}
	}
	return d.addr(d.entries[0].ip, frontPort)
}

// ask is one request of a client for a stream of a number of events: an attempt, and another one if the
// first was broken off, which resumes behind the last event. It checks the order of the events.
func ask(ctx context.Context, d *deployment, path string, events int) {
	const deadline = 10 * time.Second
	began := time.Now()
	last, entry := 0, ""
	for try := range 2 {
		entry = d.pickEntry(ctx, entry)
		id, a := send(ctx, d.rec, attempt{entry: entry, path: path, key: apiKey, deadline: deadline - time.Since(began), lastEvent: last})
		if ctx.Err() != nil {
			return
		}
		if a.status == http.StatusOK {
			for _, e := range a.events {
				if e <= last {
					d.rec.violate("ORDER: request %s (try %d): event %d came again after event %d", id, try+1, e, last)
					return
				}
				if e > last+1 {
					d.rec.violate("ORDER: request %s (try %d): event %d follows event %d", id, try+1, e, last)
					return
				}
				last = e
			}
			if a.complete {
				if last < events {
					d.rec.violate("ORDER, MIXED: request %s (try %d): the answer %q ended as complete after event %d of %d", id, try+1, a.seal, last, events)
				}
				return
			}
		}
		if a.status != 0 && a.status != http.StatusOK && a.status != http.StatusServiceUnavailable && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return
		}
		// Clients honour Retry-After up to a third of the time that they have left.
		sleep(ctx, max(100*time.Millisecond, min(a.retryAfter, time.Until(began.Add(deadline))/3)))
	}
}

// clients runs clients that ask one request after the other until ctx ends.
func clients(ctx context.Context, count int, ask func(ctx context.Context)) (wait func()) {
	var wg sync.WaitGroup
	for range count {
		wg.Go(func() {
			for ctx.Err() == nil {
				ask(ctx)
				select {
				case <-ctx.Done():
				case <-time.After(time.Duration(rand.IntN(200)) * time.Millisecond):
				}
			}
		})
	}
	return wg.Wait
}

// resumeElsewhere kills entries under streams of a route that is split between a service with engines and
// one without, as in the example of PROTOCOL.md.
func resumeElsewhere(ctx context.Context, d *deployment, trouble bool) error {
	const events = 24
	config := newConfig(`[{"name":"r-2yhvz3p","host":"ficu95.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":300,"priority":1,"trafficSplit":[{"service":"huvo11a","weight":50},{"service":"wuno96b","weight":50}],"maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":250}]`)
	if err := d.start(ctx, 3, 6, config); err != nil {
		return err
	}
	for i := range 8 {
		service := engineService
		if i >= 5 {
			service = plainService
		}
		if _, err := d.startRunner(i+1, service, "-events", fmt.Sprint(events), "-gap", "50ms"); err != nil {
			return err
		}
	}
	sleep(ctx, 2*time.Second)
	runCtx, cancel := context.WithCancel(ctx)
	wait := clients(runCtx, 48, func(ctx context.Context) { ask(ctx, d, "/stream/2f", events) })
	sleep(ctx, 2*time.Second)
	for i := range 10 {
		p := d.entries[i%len(d.entries)]
		if trouble {
			d.rec.line("disruption: SIGKILL of %s", p.name)
			p.kill()
			sleep(ctx, 500*time.Millisecond)
			if err := p.start(); err != nil {
				cancel()
				return err
			}
		}
		sleep(ctx, 3*time.Second)
	}
	cancel()
	wait()
	return nil
}

// spotUnframed takes runners away two seconds after they said that they drain, while they write answers
// that have no length.
func spotUnframed(ctx context.Context, d *deployment, trouble bool) error {
	return killUnframed(ctx, d, trouble, true)
}

// crashUnframed is spotUnframed without the drain, for comparison.
func crashUnframed(ctx context.Context, d *deployment, trouble bool) error {
	return killUnframed(ctx, d, trouble, false)
}

func killUnframed(ctx context.Context, d *deployment, trouble, drain bool) error {
	const events = 80
	config := newConfig(`[{"name":"r-fi6y7z5","host":"ficu95.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":1500,"priority":1,"service":"huvo11a","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":600}]`)
	if err := d.start(ctx, 3, 3, config); err != nil {
		return err
	}
	flags := []string{"-events", fmt.Sprint(events), "-gap", "60ms", "-unframed"}
	var runners []*process
	for i := range 7 {
		p, err := d.startRunner(i+1, engineService, flags...)
		if err != nil {
			return err
		}
		runners = append(runners, p)
	}
	sleep(ctx, 2*time.Second)
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := clients(runCtx, 42, func(ctx context.Context) { ask(ctx, d, "/stream/2f", events) })
	sleep(ctx, 4*time.Second)
	for i := range 4 {
		if trouble {
			if drain {
				d.rec.line("disruption: %s drains", runners[i].name)
				runners[i].signal(syscall.SIGTERM)
			}
			sleep(ctx, 2200*time.Millisecond)
			d.rec.line("disruption: %s is gone (SIGKILL)", runners[i].name)
			runners[i].kill()
			sleep(ctx, 4*time.Second)
			p, err := d.startRunner(len(runners)+1, engineService, flags...)
			if err != nil {
				return err
			}
			runners = append(runners, p)
		}
		sleep(ctx, 3*time.Second)
	}
	cancel()
	wait()
	return nil
}

// busyUnframed lets runners of a service without engines crash that are full, and have told all entries so,
// while they write answers that have no length.
func busyUnframed(ctx context.Context, d *deployment, trouble bool) error {
	return killBusy(ctx, d, trouble, "3")
}

// fullUnframed is busyUnframed without Retry-After in the refusals, for comparison.
func fullUnframed(ctx context.Context, d *deployment, trouble bool) error {
	return killBusy(ctx, d, trouble, "")
}

func killBusy(ctx context.Context, d *deployment, trouble bool, retryAfter string) error {
	const events = 16
	config := newConfig(`[{"name":"r-2yhvz3p","host":"ficu95.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":1500,"priority":1,"service":"wuno96b","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":600}]`)
	if err := d.start(ctx, 3, 3, config); err != nil {
		return err
	}
	flags := []string{"-events", fmt.Sprint(events), "-gap", "60ms", "-unframed", "-slots", "6", "-queue", "6", "-retry-after", retryAfter}
	var runners []*process
	for i := range 3 {
		p, err := d.startRunner(i+1, plainService, flags...)
		if err != nil {
			return err
		}
		runners = append(runners, p)
	}
	sleep(ctx, 2*time.Second)
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := clients(runCtx, 60, func(ctx context.Context) { ask(ctx, d, "/stream/2f", events) })
	sleep(ctx, 6*time.Second)
	for i := range 7 {
		if trouble {
			d.rec.line("disruption: %s crashes (SIGKILL)", runners[i].name)
			runners[i].kill()
			sleep(ctx, 4*time.Second)
			p, err := d.startRunner(len(runners)+1, plainService, flags...)
			if err != nil {
				return err
			}
			runners = append(runners, p)
		}
		sleep(ctx, 4*time.Second)
	}
	cancel()
	wait()
	return nil
}
