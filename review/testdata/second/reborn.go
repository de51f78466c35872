package main

import (
	"context"
	"fmt"
	"time"
)

// cutTime is how long a runner is partitioned from control: the default of for_s.
const cutTime = 5 * time.Second

// reborn partitions one of five runners from control; it crashes behind the cut and starts again under its ID. When the cut
// has healed it leaves: it deregisters first and goes on serving.
func reborn(ctx context.Context, s *site, trouble bool) (int, error) {
	f := newFirst(s)
	f.more = 2
	if err := f.startSite(ctx); err != nil {
		return cantRun, err
	}
	sleep(ctx, 3*time.Second)
	leaving := f.runners[1]
	done := make(chan error, 1)
	go func() {
		sleep(ctx, 3*time.Second)
		if trouble {
			leaving.setCut(true)
			sleep(ctx, 2*time.Second)
			leaving.crash()
			sleep(ctx, 500*time.Millisecond)
			if err := leaving.open(); err != nil {
				done <- err
				return
			}
			sleep(ctx, cutTime-2500*time.Millisecond)
			leaving.mu.Lock()
			leaving.deleted = true
			leaving.mu.Unlock()
			leaving.setCut(false)
		} else {
			sleep(ctx, cutTime)
		}
		leaving.leave(ctx)
		done <- nil
	}()
	sent, served := f.traffic(ctx, f.nodes, 24*time.Second)
	if err := <-done; err != nil {
		return cantRun, err
	}
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	s.rec.logf("%d requests sent, %d served; runner %s ran %d requests later than %s after its deregistration was acknowledged", sent, served, leaving.id, leaving.late, drainTime)
	switch {
	case leaving.leftAt.IsZero():
		return cantRun, fmt.Errorf("the deregistration was not acknowledged")
	case leaving.late > 0:
		return broken, nil
	default:
		return held, nil
	}
}
