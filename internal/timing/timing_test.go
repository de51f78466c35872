package timing_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/timing"
)

// TestSleep checks how long Sleep waits and what it returns if the context ends first, if it
// has already ended, or if the duration is not positive.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		quicktest.Check(t, timing.Sleep(t.Context(), time.Second), quicktest.IsTrue)
		quicktest.Check(t, time.Since(began), quicktest.Equals, time.Second)
		quicktest.Check(t, timing.Sleep(t.Context(), -time.Second), quicktest.IsTrue)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began = time.Now()
		quicktest.Check(t, timing.Sleep(ctx, time.Minute), quicktest.IsFalse)
		quicktest.Check(t, time.Since(began), quicktest.Equals, time.Second)
		quicktest.Check(t, timing.Sleep(ctx, 0), quicktest.IsFalse)
	})
}

// TestEvery checks the times of the calls and that Every returns when the context ends.
func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		began := time.Now()
		var calls []time.Duration
		timing.Every(ctx, time.Second, func() { calls = append(calls, time.Since(began)) })
		quicktest.Check(t, calls, quicktest.DeepEquals, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second})
		quicktest.Check(t, time.Since(began), quicktest.Equals, 3500*time.Millisecond)
	})
}
