package inst

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/member"
)

// TestLeaseOutlivesSilentConnections repeatedly makes every open connection to the
// control plane silent. The instance must renew its lease over new connections before it
// expires.
func TestLeaseOutlivesSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		second := s.startInstance(2, "dakar-b")
		time.Sleep(3 * time.Second)
		synctest.Wait()
		for i := range 300 {
			if i%50 == 0 {
				s.net.Silence("10.0.0.1:81", "10.0.0.2:81")
			}
			time.Sleep(100 * time.Millisecond)
			quicktest.Assert(t, second.agent.Live(), quicktest.IsTrue, quicktest.Commentf("after %d steps", i))
		}
		s.close()
	})
}

// TestLeaseHandoverOnDrain drains the scheduler of a shard. Its successor must hold the
// lease within a second, before the old lease would have expired.
func TestLeaseHandoverOnDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		first := s.startInstance(1, "dakar-a")
		stops := make(map[string]func())
		for _, n := range []int{2, 3} {
			i := s.startInstance(n, "dakar-b")
			stops[i.Settings.Name] = s.cancels[len(s.cancels)-1]
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		shard := member.Shard{Pool: "advice", DataCentre: "dakar-b"}
		previous, _, ok := first.agent.View().Scheduler(shard)
		quicktest.Assert(t, ok, quicktest.IsTrue)
		stops[previous.Holder]()
		time.Sleep(time.Second)
		synctest.Wait()
		current, _, ok := first.agent.View().Scheduler(shard)
		quicktest.Assert(t, ok, quicktest.IsTrue)
		quicktest.Check(t, current.Holder, quicktest.Not(quicktest.Equals), previous.Holder)
		quicktest.Check(t, current.NextHolder, quicktest.Equals, "")
		quicktest.Check(t, current.Epoch > previous.Epoch, quicktest.IsTrue)
		s.close()
	})
}
