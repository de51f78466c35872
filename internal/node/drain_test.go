package node

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// TestDrainOutlastsRequests: an entry must not end while a request is in flight, before
// callers have forgotten its address, or while they still send requests on open
// connections, and must end within the grace period in any case.
func TestDrainOutlastsRequests(t *testing.T) {
	const grace = 8 * time.Second
	for name, c := range map[string]struct {
		// busyFor is how long a request is in flight, and activeFor how long a caller sends
		// requests on an open connection; 0 means that none is open.
		busyFor, activeFor time.Duration
		min, max           time.Duration
	}{
		"idle":                   {0, 0, lookupLifetime, lookupLifetime + time.Second},
		"request in flight":      {5 * time.Second, 0, 5 * time.Second, 6 * time.Second},
		"connection in use":      {0, 4 * time.Second, 4*time.Second + drainQuietTime - drainPollInterval, 6 * time.Second},
		"request without end":    {time.Hour, 0, 7 * time.Second, grace},
		"connection always used": {0, time.Hour, 7 * time.Second, grace},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				took := playDrain(grace, c.busyFor, c.activeFor)
				quicktest.Assert(t, took >= c.min && took <= c.max, quicktest.IsTrue, quicktest.Commentf("%s", took))
			})
		})
	}
}

// playDrain returns how long a drain takes with a request in flight for busyFor, and a caller
// that sends requests on an open connection for activeFor; 0 means that none is open.
func playDrain(grace, busyFor, activeFor time.Duration) time.Duration {
	began := time.Now()
	var conns callerConns
	conns.connState(nil, http.StateNew)
	if activeFor == 0 {
		conns.connState(nil, http.StateClosed)
	}
	awaitDrained(grace, drainTime(grace), func() int64 {
		if time.Since(began) < activeFor {
			conns.connState(nil, http.StateActive)
		}
		if time.Since(began) < busyFor {
			return 1
		}
		return 0
	}, &conns)
	return time.Since(began)
}

// TestShutdownFitsGrace guards against a grace period whose parts add up to more than it.
func TestShutdownFitsGrace(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second} {
		longest := drainTime(grace) + endTimeout + endPollInterval + closeTimeout
		quicktest.Check(t, longest < grace, quicktest.IsTrue, quicktest.Commentf("%s of %s", longest, grace))
	}
}
