package hub

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// TestCallReadAfterPauseIsRefused guards against calls without a version that waited in a paused control instance,
// and revert what was ordered at others meanwhile. They must be refused as not run, and new ones be taken soon.
func TestCallReadAfterPauseIsRefused(t *testing.T) {
	for _, pause := range []time.Duration{500 * time.Millisecond, 6 * time.Second} {
		for _, isLeader := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/leader=%v", pause, isLeader), func(t *testing.T) {
				runCluster(t, 3, 2, func(_ *testing.T, cl *cluster) { cl.callAfterPause(pause, isLeader) })
			})
		}
	}
}

// callAfterPause pauses a control instance and then calls it.
func (cl *cluster) callAfterPause(pause time.Duration, isLeader bool) {
	cl.publish(1)
	paused := cl.follower()
	if isLeader {
		paused = cl.leader()
	}
	quicktest.Assert(cl.t, cl.announce("1", 1, site.Ready), quicktest.IsNil)
	cl.evacuate("dc")

	paused.suspended.Add(int64(pause))
	var wg sync.WaitGroup
	for range 2 {
		for _, call := range []func() error{
			func() error { return paused.EndEvacuation(cl.t.Context(), "dc") },
			func() error { return paused.Evacuate(cl.t.Context(), "other") },
			func() error { return paused.Deregister(cl.t.Context(), "1", 0) },
		} {
			wg.Go(func() {
				err := call()
				if quicktest.Check(cl.t, err, quicktest.IsNotNil) {
					quicktest.Check(cl.t, verd.From(err).Verdict, quicktest.Equals, verd.NotRun)
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
	}
	wg.Wait()
	cl.wantEvacuated("dc")
	for _, e := range cl.entries {
		quicktest.Check(cl.t, e.state("1"), quicktest.Equals, site.Ready)
	}
	quicktest.Assert(cl.t, paused.EndEvacuation(cl.t.Context(), "dc"), quicktest.IsNil)
	quicktest.Assert(cl.t, paused.Deregister(cl.t.Context(), "1", 0), quicktest.IsNil)
	cl.wantEvacuated()
}

// TestLateChangeAtLeaderIsRefused guards against a change that reaches the leader late: the operator has had it
// acknowledged by another control instance, and reverted it since.
func TestLateChangeAtLeaderIsRefused(t *testing.T) {
	runCluster(t, 3, 2, func(t *testing.T, cl *cluster) {
		cl.publish(1)
		cl.evacuate("dc")
		bound, err := cl.follower().bindEvacuation(t.Context())
		quicktest.Assert(t, err, quicktest.IsNil)
		late := reg.Evacuate{DataCentre: "dc", Withdrawn: true, After: bound}
		cl.endEvacuation("dc")
		cl.evacuate("dc")
		r, err := cl.follower().sendEvacuation(t.Context(), &late)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, r.Outdated, quicktest.IsTrue)
		cl.wantEvacuated("dc")
		// A change that is in the log already, behind the others, has no effect, either.
		b, err := cl.leader().registry.EncodeCommand(reg.Command{Evacuate: &late})
		quicktest.Assert(t, err, quicktest.IsNil)
		_, err = cl.leader().replica().ProposeLocal(t.Context(), b)
		quicktest.Assert(t, err, quicktest.IsNil)
		cl.wantEvacuated("dc")
	})
}

// TestCallerThatLeftChangesNothing guards against the calls of operators that have given up: they may have waited on
// the way to this instance, with the end of their connection behind them.
func TestCallerThatLeftChangesNothing(t *testing.T) {
	runCluster(t, 3, 1, func(t *testing.T, cl *cluster) {
		cl.publish(1)
		cl.evacuate("dc")
		for _, c := range cl.controls {
			ctx, cancel := context.WithTimeout(t.Context(), callerCheckTime/2)
			quicktest.Assert(t, c.EndEvacuation(ctx, "dc"), quicktest.IsNotNil)
			cancel()
		}
		cl.wantEvacuated("dc")
	})
}

// TestConcurrentEvacuations: orders that operators send at the same time to all control instances must all be
// acknowledged, although each changes the list that the others are bound to.
func TestConcurrentEvacuations(t *testing.T) {
	runCluster(t, 3, 1, func(t *testing.T, cl *cluster) {
		cl.publish(1)
		time.Sleep(2 * time.Second)
		var wg sync.WaitGroup
		var want []string
		for i := range 8 {
			dc := fmt.Sprintf("dc%d", i)
			want = append(want, dc)
			wg.Go(func() { quicktest.Check(t, cl.controls[cl.seeds[i%3]].Evacuate(t.Context(), dc), quicktest.IsNil) })
		}
		wg.Wait()
		cl.wantEvacuated(want...)
	})
}
