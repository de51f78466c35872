package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/poison"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// What becomes of a target after a request to it has failed.
const drained, replaced, departed, stays = "drained", "replaced", "departed", "stays"

// TestReplacementIsEvidence: a request under which a target closed its connection or fell silent must
// be reported once a later process has the ID of the target, unless the former one had left, and not
// before. The address accepts connections all the time, as a frozen process or the next one would.
func TestReplacementIsEvidence(t *testing.T) {
	for _, path := range allPaths() {
		for _, fate := range []string{replaced, drained, departed, stays} {
			t.Run(path+"closed/"+fate, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playReplacement(t, path, closeConn, fate, 0) })
			})
			t.Run(path+"silent/"+fate, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playReplacement(t, path, neverRespond, fate, time.Second) })
			})
		}
	}
}

// playReplacement sends a request to a target, and checks what is reported. If it is replaced, its crash
// must have a window of minWindow at least, or none if that is 0.
func playReplacement(t *testing.T, path string, script script, fate string, minWindow time.Duration) {
	s := newPathTestbed(t, path, script)
	s.targets[0].StartedMs = 1
	s.publish(2)
	s.call(path, "body", "Parts", "a")
	quicktest.Assert(t, reportedCrashes(s), quicktest.HasLen, 0)
	switch fate {
	case drained:
		s.targets[0].State = site.Draining
	case departed:
		s.targets[0].State = site.Gone
	}
	s.publish(3)
	time.Sleep(time.Second)
	if fate != stays {
		s.targets[0].State, s.targets[0].StartedMs = site.Ready, 2
	}
	s.publish(4)
	got := reportedCrashes(s)
	if fate != replaced {
		quicktest.Assert(t, got, quicktest.HasLen, 0)
		return
	}
	quicktest.Assert(t, got, quicktest.HasLen, 1)
	quicktest.Assert(t, got[0].Suspects[0], quicktest.HasLen, 2)
	quicktest.Assert(t, got[0].Suspects[0][0], quicktest.Equals, "a")
	quicktest.Assert(t, got[0].Window >= minWindow && (got[0].Window > 0) == (minWindow > 0), quicktest.IsTrue)
}

// reportedCrashes returns what a new leader would be told of crashes.
func reportedCrashes(s *testbed) []poison.Crash {
	var m link.FollowerMessage
	s.gate.FillHandover(&m)
	return m.Crashes
}
