package site

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// TestColdLeft guards against targets that are taken for warm too early, by clocks that differ, or for
// cold long after that time by instances that have just started.
func TestColdLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		for _, c := range []struct {
			name        string
			until, want time.Duration
		}{
			{"just announced", 20 * time.Second, 20 * time.Second},
			{"half of the time is over", 8 * time.Second, 13 * time.Second},
			{"over, but not for certain", -3 * time.Second, 2 * time.Second},
			{"over", -6 * time.Second, 0},
			{"by a clock that is ahead", time.Hour, 20 * time.Second},
		} {
			target := Target{Cold: 20 * time.Second, ColdUntilMs: now.Add(c.until).UnixMilli()}
			quicktest.Check(t, target.ColdLeft(now), quicktest.Equals, c.want, quicktest.Commentf("%s", c.name))
		}
		quicktest.Check(t, (&Target{Cold: time.Second}).ColdLeft(now), quicktest.Equals, time.Second)
	})
}
