package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestFairShare guards against a share that leaves room unused, or grants more than there is.
func TestFairShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		wants := rapid.SliceOfN(rapid.Float64Range(0.1, 50), 1, 12).Draw(t, "wants")
		room := rapid.Float64Range(1, 100).Draw(t, "room")
		flows, sum := make(map[string]*flow), 0.0
		for i, w := range wants {
			flows[fmt.Sprint(i)] = &flow{wanted: 1, wantedWork: w, at: now}
			sum += w
		}
		share := fairShare(now, flows, room)
		used := 0.0
		for _, w := range wants {
			used += min(w, share)
		}
		if got, want := used, min(sum, room); got < want-1e-6 || got > want+1e-6 {
			t.Fatalf("used %v, wanted %v", got, want)
		}
	})
}

// TestRetriesAreSpread guards against callers that are refused in a burst and come back at the
// same time, or are told a time that they don't wait for.
func TestRetriesAreSpread(t *testing.T) {
	c, now := &Core{Fair: true}, time.Unix(0, 0)
	c.Step(now, Fleet{Engine: publishedEngine()})
	j := &job{request: Request{TimeLeft: 2 * second, CallerLeft: 10 * second}, arrived: now, work: 100, value: 1}
	for range 100 {
		c.admission.want(now, j)
	}
	var tenths [10]int
	for range 1000 {
		d := c.retryAfter(now, j)
		quicktest.Assert(t, d >= minRetryAfter && d <= 10*second/3, quicktest.IsTrue, quicktest.Commentf("%s", d))
		tenths[min(9, int(10*(d-minRetryAfter)/maxRetrySpread))]++
	}
	for i, n := range tenths {
		quicktest.Check(t, n > 80 && n < 120, quicktest.IsTrue, quicktest.Commentf("%d in tenth %d", n, i))
	}
}
