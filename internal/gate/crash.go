package gate

import (
	"context"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/poison"
	"github.com/bambooproxy/bambooproxy/internal/relay"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// hasCrashed reports whether the process of a target ended without notice: err ended the
// connection on which it had a request, and nothing listens on its address any more, or a later
// process has replaced it.
func (s *Server) hasCrashed(t site.Target, err error) bool {
	if !endsConnection(err) {
		return false
	}
	if s.blocklist.isReplaced(t) {
		return true
	}
	current, ok := s.views.load().readyTarget(t.ID, t.Pool)
	if !ok || current.StartedMs != t.StartedMs || s.health.isLeaving(t) {
		return false
	}
	return s.hasEnded(t, true)
}

// hasEnded reports whether the process of a target has ended, expectedly or not: nothing listens on its address any
// more, or a later process has replaced it. With confirmed, it takes another instance to tell that nothing listens.
func (s *Server) hasEnded(t site.Target, confirmed bool) bool {
	if s.blocklist.isReplaced(t) || s.views.load().hasLaterProcess(t) {
		return true
	}
	isGone, ctx := s.TargetClient.IsClosed, relay.ProbeAlone(context.Background())
	if confirmed {
		isGone, ctx = s.TargetClient.IsRefused, relay.Probe(context.Background())
	}
	// Many requests notice the end of one process at the same time.
	noticedAt := time.Now()
	key := fmt.Sprintf("%s/%d/%t", t.ID, t.StartedMs, confirmed)
	for {
		r, _, _ := s.processChecks.Do(key, func() (any, error) {
			began := time.Now()
			return processCheck{began, isGone(ctx, t.Address)}, nil
		})
		c := r.(processCheck)
		// One that began before the end was noticed may have reached the process while it was there.
		if c.refused || !c.began.Before(noticedAt) {
			return c.refused
		}
	}
}

// processCheck is the result of a check of a process, which began at a time.
type processCheck struct {
	began   time.Time
	refused bool
}

// endsConnection reports whether err means that the peer closed or reset the connection.
func endsConnection(err error) bool {
	for _, end := range [...]error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// endedWithProcess reports whether a response ended with its connection because the process of the target ended, so that it
// may not be complete. The request was sent at sentAt. A target that drains may be taken away before it has answered. Taking a
// whole answer for a truncated one does less harm than the reverse, so other instances need not confirm the end. After a pause
// of this instance another process may listen at the address by now: only news of the targets can tell, and without any the
// response isn't complete.
func (s *Server) endedWithProcess(t site.Target, resp *hop.Response, sentAt time.Time) bool {
	if !resp.EndsWithConnection() {
		return false
	}
	s.pauses.await(context.Background())
	return s.pauses.lacksNewsSince(sentAt) || s.hasEnded(t, false)
}

// readBody reads the whole body of a response of a target to a request that was sent at sentAt.
func (s *Server) readBody(t site.Target, resp *hop.Response, sentAt time.Time) (*body, error) {
	// The reader sees the closed connection.
	b, err := s.buffers.read(resp.Body, func() { _ = resp.NetConn().Close() })
	if err == nil && s.endedWithProcess(t, resp, sentAt) {
		b.release()
		return nil, io.ErrUnexpectedEOF
	}
	return b, err
}

// send is one send of a request to a target.
type send struct {
	target site.Target
	at     time.Time
	// written is how long the target has been writing the answer, at least.
	written time.Duration
	// lastEventAt is when the last event of the answer came; zero if none has.
	lastEventAt time.Time
	// isRecorded is set if watchSilence was called, and nothing came since.
	isRecorded bool
}

// minSilence is how long a connection must have been silent when its request ended, if no time-out of
// this instance ended it: an answer may pause as long.
const minSilence = maxCountedPause

// recordIfCrashed records if a send failed with err because the process of the target ended. If that
// isn't known yet, the next process of the target may show it. It reports whether the process has ended.
func (x *exchange) recordIfCrashed(s send, err error) (crashed bool) {
	noticedAt := time.Now()
	t := s.target
	// The process had ended already when another one replaced it.
	crashed = x.server.hasCrashed(t, err)
	if !crashed || x.server.blocklist.isReplaced(t) {
		x.watchSend(s, err, noticedAt)
		return crashed
	}
	x.server.Log.Warn().Str("id", x.call.ID).Str("digest", x.requestDigest()).Str("ask", x.grantID).Str("target", t.ID).Str("address", t.Address).
		Int64("born", t.StartedMs).Strs("prefix", x.call.SharedSegments).Dur("written", s.written).Msg("target process ended during a request")
	if s.written < poison.SurvivalTime {
		x.server.blocklist.recordCrash(t, x, poison.Send{Age: noticedAt.Sub(s.at), Repeated: x.crashes > 0}, noticedAt)
		x.crashes++
	}
	return true
}

// watchSend keeps a send that failed with err at noticedAt until it is known whether another process
// replaces that of the target, if the connection ended or fell silent.
func (x *exchange) watchSend(s send, err error, noticedAt time.Time) {
	silent, ended := isSilence(err), endsConnection(err)
	if x.ended() {
		// This instance closed the connection.
		silent, ended = noticedAt.Sub(s.lastByteAt()) >= minSilence, false
	}
	if s.written >= poison.SurvivalTime || !silent && !ended || silent && s.isRecorded {
		return
	}
	f := poison.FailedSend{Segments: x.segments(), SentAt: s.at, FailedAt: noticedAt, Silent: silent, Repeated: x.crashes > 0}
	if given := s.lastEventAt.Add(minSilence); !s.lastEventAt.IsZero() && given.Before(noticedAt) {
		f.SilentAt = given
	}
	x.server.blocklist.recordFailedSend(s.target, f)
	if !silent {
		// What is sent next is sent because this connection ended.
		x.crashes++
	}
}

// watchSilence is watchSend for a send that goes on although its target is silent.
func (x *exchange) watchSilence(s send) {
	now := time.Now()
	x.watchSend(s, &engine.Silent{After: now.Sub(s.lastByteAt())}, now)
}

// ended reports whether the caller has disconnected, or the time limit was reached.
func (x *exchange) ended() bool { return x.r.Context().Err() != nil || x.timeLeft() <= 0 }

// isSilence reports whether err means that nothing was received for the time allowed.
func isSilence(err error) bool {
	var silent *engine.Silent
	return errors.As(err, &silent) || errors.Is(err, os.ErrDeadlineExceeded)
}

// lastByteAt returns when the last event of the answer came, or else when the request was sent.
func (s send) lastByteAt() time.Time {
	if s.lastEventAt.IsZero() {
		return s.at
	}
	return s.lastEventAt
}
