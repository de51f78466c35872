package hub

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

// TestFleetAnnouncesItself has 600 targets announce themselves at once to a control instance that
// doesn't lead. All must be accepted within a second, after which they call another instance, and
// without a connection to the leader for each.
func TestFleetAnnouncesItself(t *testing.T) {
	const targets, maxDials = 600, 10
	runCluster(t, 3, 1, func(t *testing.T, cl *cluster) {
		cl.publish(1)
		time.Sleep(time.Second)
		f := cl.follower()
		f.dials.Store(0)
		began := time.Now()
		errs := make(chan error, targets)
		for i := range targets {
			w := clusterTarget(fmt.Sprint(i), 1, site.Ready)
			w.Address = fmt.Sprintf("10.0.2.1:%d", 1000+i)
			go func() { errs <- f.Announce(t.Context(), w) }()
		}
		for range targets {
			quicktest.Check(t, <-errs, quicktest.IsNil)
		}
		quicktest.Check(t, time.Since(began) < time.Second, quicktest.IsTrue)
		quicktest.Check(t, f.dials.Load() <= maxDials, quicktest.IsTrue, quicktest.Commentf("%d connections", f.dials.Load()))
		time.Sleep(time.Second)
		for _, e := range cl.entries {
			for i := range targets {
				quicktest.Check(t, e.state(fmt.Sprint(i)), quicktest.Equals, site.Ready)
			}
		}
	})
}

// TestForwardToOtherBuild: a leader of a build that doesn't take commands together must get them
// one by one.
func TestForwardToOtherBuild(t *testing.T) {
	runCluster(t, 3, 0, func(t *testing.T, cl *cluster) {
		const old = "10.0.0.9:7"
		lead := cl.leader()
		f := forwarder{server: &Server{Calls: &wire.Pool{Self: old, Local: &wire.Server{}}, node: lead.replica()}}
		w := clusterTarget("1", 1, site.Ready)
		b, err := lead.registry.EncodeCommand(reg.Command{Announce: &w})
		quicktest.Assert(t, err, quicktest.IsNil)
		_, err = f.propose(t.Context(), old, b)
		quicktest.Assert(t, err, quicktest.IsNil)
		got, ok := lead.registry.Target("1")
		quicktest.Assert(t, ok, quicktest.IsTrue)
		quicktest.Assert(t, got, quicktest.Equals, w)
	})
}
