package wire

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

var (
	// errNoRoom is the error of a connection that was closed so that others have room.
	errNoRoom = errors.New("connection closed to make room for others")
	// errStreams is the error of a stream beyond the limit.
	errStreams = errors.New("too many streams")
)

// Pressure tells that a server closes connections because they exceed its limits.
type Pressure struct {
	// Cause is why the last one was closed: "connections", "memory", "silence" or "frames".
	Cause string
	// Closed is the number of those closed since the pressure began.
	Closed int64
	// Over is set once none was closed for a while.
	Over bool
}

const (
	causeConns   = "connections"
	causeMemory  = "memory"
	causeSilence = "silence"
	causeFrames  = "frames"
	// pressureChecks is how many checks without a closed connection end the pressure.
	pressureChecks = 10
)

// connState is what a server knows of a connection.
type connState struct {
	// since is when the last message was complete, or when the connection was opened.
	since time.Time
	// changed is when the last message was begun or complete, whatever came later.
	changed time.Time
	// checks counts the checks since the connection last changed its state.
	checks int
	// called is set once there was a complete message, and begun while one is being received.
	called, begun bool
	// active is set while a call or a stream is served, and stream if it is a stream.
	active, stream bool
	// held is the memory of the message that is being received, or of the kept buffer of an earlier one.
	held int64
}

// isOverdue reports whether a connection has been waiting too long for its peer.
func (c connState) isOverdue() bool {
	switch {
	case c.begun || !c.called && !c.active:
		return time.Duration(c.checks)*checkInterval > messageTimeout
	case c.active:
		return false
	default:
		return time.Duration(c.checks)*checkInterval > idleTimeout
	}
}

// rank orders connections by how little is lost when one is closed: those that never had a call, those
// without one now, and the others.
func (c connState) rank() int {
	switch {
	case c.active:
		return 2
	case c.called:
		return 1
	default:
		return 0
	}
}

// less reports whether c is to be closed rather than o: of the same rank, the one that has been waiting longer.
func (c connState) less(o connState) bool {
	if c.rank() != o.rank() {
		return c.rank() < o.rank()
	}
	return c.since.Before(o.since)
}

// chooseForRoom returns the connection to close for a new one: the one that has been waiting longest
// without a complete call. ok is false if all have a call.
func chooseForRoom[K comparable](conns map[K]connState) (victim K, ok bool) {
	for k, c := range conns {
		if !c.active && (!ok || c.less(conns[victim])) {
			victim, ok = k, true
		}
	}
	return victim, ok
}

// chooseForMemory returns the connection to close when messages exceed their memory: of those that hold
// some, the one that has held it longest. One with a call is chosen only if there is no other; streams
// are like connections without one, as they drop a buffer that they don't need.
func chooseForMemory[K comparable](conns map[K]connState) (victim K, ok bool) {
	hasCall := func(c connState) bool { return c.active && !c.stream }
	for k, c := range conns {
		o := conns[victim]
		if c.held > 0 && (!ok || hasCall(c) == hasCall(o) && c.changed.Before(o.changed) || !hasCall(c) && hasCall(o)) {
			victim, ok = k, true
		}
	}
	return victim, ok
}

// connTable holds the open connections of a server.
type connTable struct {
	limits limits
	closed metrics.Counter
	// onPressure is called when the pressure begins or ends; nil ignores it.
	onPressure func(Pressure)

	mu      sync.Mutex
	conns   map[*peerConn]connState
	streams int
	held    int64
	// pressure is the pressure at present, and quiet counts the checks since a connection was closed.
	pressure Pressure
	quiet    int
}

// add adds a connection and makes room for it. It returns false if there is none.
func (t *connTable) add(c *peerConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.limits.conns {
		victim, ok := chooseForRoom(t.conns)
		if !ok {
			t.noteLocked(causeConns)
			return false
		}
		t.closeLocked(victim, causeConns)
	}
	now := time.Now()
	t.conns[c] = connState{since: now, changed: now}
	return true
}

// makeRoom closes the connection that has been waiting longest without a call, if there is one.
func (t *connTable) makeRoom() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if victim, ok := chooseForRoom(t.conns); ok {
		t.closeLocked(victim, causeConns)
	}
}

// remove removes a connection.
func (t *connTable) remove(c *peerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeLocked(c)
}

func (t *connTable) removeLocked(c *peerConn) {
	s, ok := t.conns[c]
	if !ok {
		return
	}
	t.held -= s.held
	if s.stream {
		t.streams--
	}
	delete(t.conns, c)
}

// closeLocked closes a connection because of a limit.
func (t *connTable) closeLocked(c *peerConn, cause string) {
	t.removeLocked(c)
	t.noteLocked(cause)
	c.Close()
}

// note counts a connection that its own goroutine closes because of a limit.
func (t *connTable) note(cause string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteLocked(cause)
}

// noteLocked counts a connection that was closed because of a limit.
func (t *connTable) noteLocked(cause string) {
	t.closed.Inc(1)
	began := t.pressure.Closed == 0
	t.pressure.Cause, t.quiet = cause, 0
	t.pressure.Closed++
	if began && t.onPressure != nil {
		t.onPressure(t.pressure)
	}
}

// change changes the state of a connection. It returns false if the connection was closed.
func (t *connTable) change(c *peerConn, f func(s *connState)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.conns[c]
	if ok {
		f(&s)
		t.conns[c] = s
	}
	return ok
}

// openStream marks a connection as carrying a stream, unless there are too many.
func (t *connTable) openStream(c *peerConn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.conns[c]
	switch {
	case !ok:
		return errNoRoom
	case !s.stream && t.streams >= t.limits.streams:
		t.noteLocked(causeConns)
		return errStreams
	case !s.stream:
		t.streams++
	}
	s.active, s.stream = true, true
	t.conns[c] = s
	return nil
}

// endCall marks a connection as serving no call and no stream.
func (t *connTable) endCall(c *peerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.conns[c]
	if !ok {
		return
	}
	if s.stream {
		t.streams--
	}
	s.active, s.stream, s.checks = false, false, 0
	t.conns[c] = s
}

// hold sets the memory that a connection holds for messages, and closes others that have been waiting
// longer while all exceed their share. It returns errNoRoom if the connection was closed.
func (t *connTable) hold(c *peerConn, bytes int64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.conns[c]
	if !ok {
		return errNoRoom
	}
	t.held += bytes - s.held
	s.held = bytes
	t.conns[c] = s
	for t.held > t.limits.messageBytes {
		victim, ok := chooseForMemory(t.conns)
		if !ok {
			return errNoRoom // Not reachable: c holds some.
		}
		t.closeLocked(victim, causeMemory)
		if victim == c {
			return errNoRoom
		}
	}
	return nil
}

// check closes the connections that are overdue.
func (t *connTable) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, s := range t.conns {
		s.checks++
		t.conns[c] = s
		switch {
		case !s.isOverdue():
		case s.called && !s.begun:
			// Callers leave connections behind that they don't use any more.
			t.removeLocked(c)
			c.Close()
		default:
			t.closeLocked(c, causeSilence)
		}
	}
	if t.pressure.Closed == 0 {
		return
	}
	if t.quiet++; t.quiet > pressureChecks {
		t.pressure.Over = true
		if t.onPressure != nil {
			t.onPressure(t.pressure)
		}
		t.pressure = Pressure{}
	}
}
