package guard

import (
	"iter"
	"time"
)

// phase is what a connection is used for.
type phase int32

const (
	// waiting connections have no complete head of a request: they are new, idle, or the head is being read.
	waiting phase = iota
	// reading connections have a request whose body is incomplete.
	reading
	// busy connections have a complete request, which may have been passed on.
	busy
)

const (
	// blockedTime is how long a response may go unread before its connection can make room for another one.
	blockedTime = 3 * time.Second
	// freshTime is how long a connection has at least for its next request, also if others need its place.
	freshTime = 300 * time.Millisecond
)

// connState is what is known of a connection.
type connState struct {
	phase phase
	// since is when the connection began to wait, or when its body last made progress.
	since time.Time
	// blockedSince is when a write began that has not ended; zero if there is none.
	blockedSince time.Time
	// headBytes is the memory that is reserved for the head of its request.
	headBytes int64
}

// pickIdlest returns the connection to close for another one: the one that has waited longest for a request, or
// for more of its body, and for freshTime at least. If there is none, it is the one whose response has gone unread
// for longest, and for blockedTime at least. It returns false if there is none of these either.
func pickIdlest[K any](conns iter.Seq2[K, connState], now time.Time) (idlest K, ok bool) {
	var unread K
	var idleSince, blockedSince time.Time
	for k, s := range conns {
		switch {
		case s.phase != busy:
			if now.Sub(s.since) >= freshTime && (!ok || s.since.Before(idleSince)) {
				idlest, idleSince, ok = k, s.since, true
			}
		case s.blockedSince.IsZero() || now.Sub(s.blockedSince) < blockedTime:
		case blockedSince.IsZero() || s.blockedSince.Before(blockedSince):
			unread, blockedSince = k, s.blockedSince
		}
	}
	if !ok && !blockedSince.IsZero() {
		return unread, true
	}
	return idlest, ok
}

// pickStalledHead returns the connection to close for the memory of its head: the one that has waited longest
// for the rest of it, and for stallTime at least. It returns false if there is none.
func pickStalledHead[K any](conns iter.Seq2[K, connState], now time.Time) (stalled K, ok bool) {
	var since time.Time
	for k, s := range conns {
		if s.phase == waiting && s.headBytes > 0 && now.Sub(s.since) >= stallTime && (!ok || s.since.Before(since)) {
			stalled, since, ok = k, s.since, true
		}
	}
	return stalled, ok
}
