package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// startSite starts all machines for the first time and waits until the first configuration is acknowledged and all runners
// are registered.
func (f *first) startSite(ctx context.Context) error {
	for _, p := range f.nodes {
		if err := p.start(true); err != nil {
			return err
		}
	}
	status, err := f.startOutside(ctx, controls(f.core...))
	if err != nil {
		return err
	}
	select {
	case s := <-status:
		if s != http.StatusOK {
			return fmt.Errorf("the first configuration was answered with %d", s)
		}
	case <-time.After(20 * time.Second):
		return fmt.Errorf("the first configuration was not acknowledged")
	}
	for range 100 {
		registered := 0
		for _, r := range f.runners {
			r.mu.Lock()
			if r.acked {
				registered++
			}
			r.mu.Unlock()
		}
		if registered == len(f.runners) {
			return nil
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return fmt.Errorf("not all runners are registered")
}

// writer has one heartbeat for a runner come from another writer, without some of the fields. Later the runner leaves.
func writer(ctx context.Context, s *site, trouble bool) (int, error) {
	f := newFirst(s)
	if err := f.startSite(ctx); err != nil {
		return cantRun, err
	}
	sleep(ctx, 3*time.Second)
	leaving := f.runners[1]
	done := make(chan struct{})
	go func() {
		defer close(done)
		sleep(ctx, 4*time.Second)
		if trouble {
			f.writeForeign(ctx, leaving)
		}
		sleep(ctx, 4*time.Second)
		leaving.drain()
	}()
	sent, served := f.traffic(ctx, f.nodes, 24*time.Second)
	<-done
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	s.rec.logf("%d requests sent, %d served; runner %s ran %d requests later than %s after its draining was acknowledged", sent, served, leaving.id, leaving.late, drainTime)
	switch {
	case leaving.leftAt.IsZero():
		return cantRun, fmt.Errorf("draining was not acknowledged")
	case leaving.late > 0:
		return broken, nil
	default:
		return held, nil
	}
}

// writeForeign sends a heartbeat that is not the runner's own: version and coldRemainingMs are missing, and born is the start
// of the writer.
func (f *first) writeForeign(ctx context.Context, r *runner) {
	body, _ := json.Marshal(object{
		"service": r.service, "address": r.address, "zone": r.zone, "slots": r.slots, "state": "ready", "sequence": 1, "born": time.Now().UnixMilli(),
	})
	list := controls(f.core...)
	to := list[rand.IntN(len(list))]
	status, answer, _, err := call(newHTTP(time.Second), http.MethodPut, "http://"+to+"/instances/"+r.id, http.Header{"Content-Type": {"application/json"}}, body)
	f.rec.logf("other writer: PUT /instances/%s %s to %s: %d %s %s", r.id, body, to, status, strings.TrimSpace(string(answer)), errText(err))
}
