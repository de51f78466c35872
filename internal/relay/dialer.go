package relay

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/wire"
)

// hedgeDelay is how long one way to a target is tried alone: connections within a region take
// milliseconds.
const hedgeDelay = 50 * time.Millisecond

// ErrUnreachable reports that no way to a target was found, and that no other instance confirms
// that nothing listens there.
var ErrUnreachable = errors.New("target is out of reach, also through other instances")

// Dialer opens connections to targets, directly or through another instance if that is faster.
type Dialer struct {
	// Direct opens a connection to a target from this instance.
	Direct wire.DialFunc
	Calls  *wire.Pool
	// DataCentre is that of this instance, and Peers lists the instances that may relay.
	DataCentre string
	Peers      func() []Peer
	// OnCutOff is called when this instance has lost its own links to the targets; nil ignores it.
	OnCutOff func()
	Log      *log.Logger
	Metrics  metrics.Registry

	mu    sync.Mutex
	paths paths
}

// attempt is the outcome of one way to a target. The direct way has no relay.
type attempt struct {
	relay string
	conn  net.Conn
	err   error
}

// IsCutOff reports whether this instance has lost its own links to the targets.
func (d *Dialer) IsCutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.isCutOff()
}

// IsSuspect reports whether a direct connection to a target is unlikely to succeed.
func (d *Dialer) IsSuspect(target string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.isSuspect(target)
}

// Dial opens a connection to a target. Ways are tried one after the other, the next one when the
// last one has failed or taken hedgeDelay; the first that succeeds is used. An error wraps
// syscall.ECONNREFUSED only if every instance that answered was refused.
func (d *Dialer) Dial(ctx context.Context, target string) (net.Conn, error) {
	d.mu.Lock()
	relays, suspect := d.paths.relays(time.Now(), target, d.DataCentre, allowedPeers(ctx, d.Peers())), d.paths.isSuspect(target)
	d.mu.Unlock()
	if len(relays) == 0 {
		conn, err := d.Direct(ctx, target)
		if err == nil {
			d.recordDirect(target)
		}
		return conn, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &race{dialer: d, target: target, relays: relays, done: make(chan attempt, 1+len(relays))}
	r.start(ctx, "")
	if suspect {
		r.startNext(ctx)
	}
	return r.run(ctx)
}

// race tries several ways to one target at the same time.
type race struct {
	dialer *Dialer
	target string
	// relays are those not tried yet, tried the others.
	relays, tried []string
	// done receives each attempt, pending counts those that it has not received.
	done    chan attempt
	pending int
	// err is the error of the direct attempt, or the first one. confirmed is set if a relay was
	// refused, and refusedHere if the direct attempt was and that is enough.
	err                    error
	confirmed, refusedHere bool
}

// start starts one attempt.
func (r *race) start(ctx context.Context, relay string) {
	r.pending++
	go func() {
		a := attempt{relay: relay}
		if relay == "" {
			a.conn, a.err = r.dialer.Direct(ctx, r.target)
		} else {
			a.conn, a.err = r.dialer.open(ctx, relay, r.target)
		}
		r.done <- a
	}()
}

// startNext starts an attempt through the next relay. It returns false if there is none.
func (r *race) startNext(ctx context.Context) bool {
	if len(r.relays) == 0 {
		return false
	}
	relay := r.relays[0]
	r.relays, r.tried = r.relays[1:], append(r.tried, relay)
	r.start(ctx, relay)
	return true
}

// run returns the first connection, or an error when all attempts have failed.
func (r *race) run(ctx context.Context) (net.Conn, error) {
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	defer r.abandon()
	for {
		select {
		case a := <-r.done:
			r.pending--
			if a.err == nil {
				r.dialer.recordWon(r.target, a.relay, r.tried)
				return a.conn, nil
			}
			r.recordFailure(ctx, a)
			if !r.startNext(ctx) && (r.pending == 0 || r.confirmed) {
				return nil, r.failure()
			}
		case <-timer.C:
			r.startNext(ctx)
		case <-ctx.Done():
			if r.refusedHere {
				return nil, r.err
			}
			return nil, ctx.Err()
		}
		timer.Reset(hedgeDelay)
	}
}

func (r *race) recordFailure(ctx context.Context, a attempt) {
	isRefused := errors.Is(a.err, syscall.ECONNREFUSED)
	r.refusedHere = r.refusedHere || isRefused && a.relay == "" && probeOf(ctx) == probeAlone
	r.confirmed = r.confirmed || isRefused && a.relay != ""
	if r.err == nil || a.relay == "" || isRefused {
		r.err = a.err
	}
}

// failure returns the error of a race in which all attempts have failed.
func (r *race) failure() error {
	if !r.confirmed {
		if r.refusedHere {
			return r.err
		}
		return errors.Wrap(ErrUnreachable, r.err.Error())
	}
	r.dialer.mu.Lock()
	defer r.dialer.mu.Unlock()
	r.dialer.paths.recordDead(time.Now(), r.target)
	return r.err
}

// abandon closes the connections of attempts that are still pending. It does not wait for them.
func (r *race) abandon() {
	pending := r.pending
	go func() {
		for range pending {
			if a := <-r.done; a.conn != nil {
				a.conn.Close()
			}
		}
	}()
}

// recordWon records which way was the first to reach a target, after the relays in tried.
func (d *Dialer) recordWon(target, relay string, tried []string) {
	if relay == "" {
		d.recordDirect(target)
		return
	}
	metrics.GetOrRegisterCounter("relay.connections", d.Metrics).Inc(1)
	var failed []string
	for _, r := range tried {
		if r == relay {
			break
		}
		failed = append(failed, r)
	}
	d.mu.Lock()
	lost := d.paths.recordRelayed(time.Now(), target, relay, failed)
	d.mu.Unlock()
	if !lost {
		return
	}
	d.Log.Warn().Str("target", target).Str("relay", relay).Msg("targets out of reach, connecting through other instances")
	if d.OnCutOff != nil {
		d.OnCutOff()
	}
}

func (d *Dialer) recordDirect(target string) {
	d.mu.Lock()
	regained := d.paths.recordDirect(target)
	d.mu.Unlock()
	if regained {
		d.Log.Info().Str("target", target).Msg("targets in reach again")
	}
}

// open opens a tunnel through a relay.
func (d *Dialer) open(ctx context.Context, relay, target string) (net.Conn, error) {
	// The stream outlives ctx, which bounds only the wait for it.
	st, err := d.Calls.OpenWithin(ctx, context.WithoutCancel(ctx), relay, Method)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, st.Close)
	var m downMessage
	if err = st.Send(&upMessage{Address: target, Probe: probeOf(ctx) != noProbe}); err == nil {
		err = st.Receive(&m)
	}
	switch {
	case !stop() && err == nil:
		err = ctx.Err()
	case err == nil && m.Result == refused:
		err = errors.Wrapf(syscall.ECONNREFUSED, "dial %s through %s", target, relay)
	case err == nil && m.Result != opened:
		err = errors.Newf("%s doesn't reach %s", relay, target)
	}
	if err != nil {
		st.Close()
		return nil, err
	}
	return newConn(relay, target, st), nil
}
