package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// lookupLifetime is how long callers keep the address of an entry after it has left the
	// look-ups, and send requests on their open connections to it.
	lookupLifetime = 3 * time.Second
	// drainQuietTime is how long no request may have come before an entry with open
	// connections ends. A caller's next request on a connection that is being closed would
	// be cut off.
	drainQuietTime = 700 * time.Millisecond
	// drainPollInterval is how often a draining entry checks whether it can end, and endPollInterval how
	// often it checks whether the last requests have ended.
	drainPollInterval = 50 * time.Millisecond
	endPollInterval   = 5 * time.Millisecond
	// endTimeout bounds the wait for the responses to requests that can't end in the grace period.
	endTimeout = 150 * time.Millisecond
	// maxShutdownTime is the part of the grace period that remains after the drain: for those responses, for closing
	// the servers, and spareTime. Of a short grace period, it is the part that shutdownDivisor gives.
	maxShutdownTime = endTimeout + closeTimeout + spareTime
	// spareTime is what a process keeps of its grace period for its own end.
	spareTime       = 150 * time.Millisecond
	shutdownDivisor = 2
	// minDrainDivisor divides the grace period into the shortest drain if that is less than
	// lookupLifetime.
	minDrainDivisor = 2
)

// callerConns counts the connections of callers, and notes when their last request began.
type callerConns struct {
	mu   sync.Mutex
	open int
	// lastActive is the time of the last request.
	lastActive time.Time
}

// connState is the hook of an http.Server for changes of its connections.
func (c *callerConns) connState(_ net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.open++
	case http.StateActive:
		c.lastActive = time.Now()
	case http.StateClosed, http.StateHijacked:
		c.open--
	case http.StateIdle:
	}
}

// openCount returns the number of open connections.
func (c *callerConns) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// isQuiet reports whether no caller is connected, or none has sent a request for
// drainQuietTime.
func (c *callerConns) isQuiet(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open == 0 || now.Sub(c.lastActive) >= drainQuietTime
}

// drainTime returns how long a drain may take at most within a grace period.
func drainTime(grace time.Duration) time.Duration {
	return grace - min(grace/shutdownDivisor, maxShutdownTime)
}

// awaitDrained waits until an entry that drains can end without cutting off a request:
// callers no longer know its address, none of their requests is in flight, and none is about
// to come on an open connection. It returns after the time limit in any case.
func awaitDrained(grace, limit time.Duration, inFlight func() int64, conns *callerConns) {
	began := time.Now()
	deadline := began.Add(limit)
	earliest := began.Add(min(lookupLifetime, grace/minDrainDivisor))
	for now := began; now.Before(deadline); now = time.Now() {
		if inFlight() == 0 && now.After(earliest) && conns.isQuiet(now) {
			return
		}
		time.Sleep(min(drainPollInterval, time.Until(deadline)))
	}
}

// awaitEnded waits until no request is in flight, at most for a time.
func awaitEnded(limit time.Duration, inFlight func() int64) {
	for began := time.Now(); inFlight() > 0 && time.Since(began) < limit; {
		time.Sleep(endPollInterval)
	}
}
