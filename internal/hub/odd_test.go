package hub

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// TestOddCommandsStayOutOfLog guards against a log that grows by entries which no replica applies, with each
// heartbeat of a target or each report on it: commands that can't be decoded are refused for good, and a target
// with the last number gets no change that can't be newer.
func TestOddCommandsStayOutOfLog(t *testing.T) {
	runCluster(t, 3, 3, func(t *testing.T, cl *cluster) {
		cl.publish(1)
		last := clusterTarget("1", math.MaxUint64, site.Ready)
		quicktest.Assert(t, cl.leader().Announce(t.Context(), last), quicktest.IsNil)
		time.Sleep(time.Second)
		before := cl.leader().replica().Status().Commit
		odd, manyKeys := clusterTarget("2", 1, site.Ready), tables(2)
		odd.ID = "\xff"
		manyKeys.Organisations = []site.Organisation{{Name: "o"}}
		for i := range 131_073 {
			manyKeys.Organisations[0].Keys = append(manyKeys.Organisations[0].Keys, fmt.Sprint(i))
		}
		for name, err := range map[string]error{
			"announce":   cl.leader().Announce(t.Context(), odd),
			"deregister": cl.follower().Deregister(t.Context(), odd.ID, 0),
			"publish":    cl.leader().Publish(t.Context(), manyKeys, []byte("{}")),
		} {
			e := verd.From(err)
			quicktest.Check(t, e.Reason, quicktest.Equals, verd.BadRequest, quicktest.Commentf("%s: %v", name, err))
			quicktest.Check(t, e.Verdict, quicktest.Equals, verd.NotRun, quicktest.Commentf("%s", name))
		}
		for range 5 {
			cl.reportLeaving(1)
			time.Sleep(time.Second)
		}
		quicktest.Check(t, cl.leader().replica().Status().Commit, quicktest.Equals, before)
		quicktest.Check(t, cl.leader().Announce(t.Context(), clusterTarget("3", 1, site.Ready)), quicktest.IsNil)
		time.Sleep(time.Second)
		for _, e := range cl.entries {
			quicktest.Check(t, e.state("3"), quicktest.Equals, site.Ready)
		}
	})
}
