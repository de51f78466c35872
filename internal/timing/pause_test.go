package timing_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/timing"
)

// TestPauseDetector: only a time between two notes above the limit is a pause, also one in which the runtime's
// clock stood still, and there are none before the start.
func TestPauseDetector(t *testing.T) {
	var now time.Duration
	p := timing.PauseDetector{Clock: func() time.Duration { return now }, Limit: 400 * time.Millisecond}
	now = time.Hour
	quicktest.Check(t, p.Note(), quicktest.IsFalse)
	p.Start()
	for _, c := range []struct {
		after  time.Duration
		paused bool
		count  int
		ended  time.Duration
	}{
		{0, false, 0, time.Hour},
		{400 * time.Millisecond, false, 0, time.Hour + 400*time.Millisecond},
		{401 * time.Millisecond, true, 1, 0},
		{300 * time.Millisecond, false, 1, 300 * time.Millisecond},
		{time.Minute, true, 2, 0},
		{100 * time.Millisecond, false, 2, 100 * time.Millisecond},
	} {
		now += c.after
		quicktest.Check(t, p.Note(), quicktest.Equals, c.paused, quicktest.Commentf("%s", now))
		count, ended := p.Last()
		quicktest.Check(t, count, quicktest.Equals, c.count)
		quicktest.Check(t, ended, quicktest.Equals, c.ended, quicktest.Commentf("%s", now))
	}
}
