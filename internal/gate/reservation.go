package gate

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

const (
	// reservationTTL is how long a reservation lasts without renewal. If this process
	// dies, it must expire within the 4 s that engines allow. It is also below the 9 s
	// after which engines report unused reserved memory, so that a reservation made by a
	// request that arrives late expires before the engine reports it.
	reservationTTL = 3500 * time.Millisecond
	// renewInterval is how often a reservation in use is renewed.
	renewInterval = 1200 * time.Millisecond
	// renewRetryInterval is the pause before a renewal that got no response is repeated.
	renewRetryInterval = 100 * time.Millisecond
	// reservationTimeout bounds the wait for the response to a request to reserve or
	// release.
	reservationTimeout = 400 * time.Millisecond
	// maxReleaseAttempts bounds the attempts to release a reservation. The pause between
	// them grows by releaseBackoff each time. After the last attempt the reservation
	// expires by its TTL.
	maxReleaseAttempts = 4
	releaseBackoff     = 500 * time.Millisecond
	// unusedLimit is after how long the helpers are asked with each renewal whether the reservations are in use. Engines
	// report unused reserved memory after 9 s, so that two looks and the release are in time.
	unusedLimit = 6 * time.Second
	// unusedLooks is how many looks in a row must show that, as load reports are a little old.
	unusedLooks = 2
	// maxReportBytes bounds the load report of a helper.
	maxReportBytes = 64 << 10
)

// errReservationRefused reports that an engine did not answer a reserve request with 200.
var errReservationRefused = errors.New("memory reservation not accepted by the helper engine (status other than 200)")

// reservations are the memory reservations on the helpers of one request.
type reservations struct {
	server    *Server
	requestID string
	helpers   []PrefillHelper
	// stop ends the renewal; done is closed when no renewal is in flight any more.
	stop, done chan struct{}
	// unused ends once a helper has shown that the lead engine doesn't use its reservation, or with release. The renewal
	// ends with it.
	unused     context.Context
	markUnused context.CancelFunc
}

// reserve reserves memory on all helpers that keep a part of the prompt. It either
// reserves on all of them, or releases what it got and returns an error.
func (s *Server) reserve(ctx context.Context, id string, helpers []PrefillHelper) (*reservations, error) {
	r := &reservations{server: s, requestID: id, stop: make(chan struct{}), done: make(chan struct{})}
	r.unused, r.markUnused = context.WithCancel(context.WithoutCancel(ctx))
	for _, h := range helpers {
		if h.ReservationID != "" {
			r.helpers = append(r.helpers, h)
		}
	}
	if len(r.helpers) == 0 {
		close(r.done)
		return r, nil
	}
	if err := r.reserveAll(ctx, reservationTTL); err != nil {
		close(r.done)
		r.release(ctx)
		return nil, err
	}
	go r.renewUntilStopped(context.WithoutCancel(ctx))
	return r, nil
}

// reserveAll reserves on all helpers concurrently.
func (r *reservations) reserveAll(ctx context.Context, ttl time.Duration) error {
	var wg sync.WaitGroup
	errs := make([]error, len(r.helpers))
	for i, h := range r.helpers {
		wg.Go(func() { errs[i] = r.reserveOne(ctx, h, ttl) })
	}
	wg.Wait()
	var combined error
	for _, err := range errs {
		combined = errors.CombineErrors(combined, err)
	}
	return combined
}

// reserveOne reserves memory on one helper, or renews the reservation.
func (r *reservations) reserveOne(ctx context.Context, h PrefillHelper, ttl time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	resp, err := r.server.TargetClient.Do(ctx, h.Target.Address, r.server.HeaderCodec.Reserve(h, ttl))
	status := 0
	if err == nil {
		status = resp.StatusCode
		r.recordNotice(h.Target, resp)
		resp.Close(drainBody(resp))
		if status != http.StatusOK {
			err = errReservationRefused
		}
	}
	r.server.Log.Info().Str("id", r.requestID).Str("target", h.Target.ID).Str("ticket", h.ReservationID).Int("tokens", h.ReservedTokens).
		Dur("hold", ttl).Int("status", status).Err(err).Msg("memory reservation attempted")
	return err
}

// recordNotice records what a helper engine asks of this instance in its response to an
// order.
func (r *reservations) recordNotice(t site.Target, resp *hop.Response) {
	reply := r.server.HeaderCodec.DecodeReply(resp.Header)
	var pause time.Duration
	if resp.StatusCode == http.StatusServiceUnavailable {
		pause = reply.RetryAfter
	}
	r.server.recordNotice(t, reply.Leaving, pause)
}

// renewUntilStopped renews the reservations until release is called, or the lead engine doesn't use one of them.
func (r *reservations) renewUntilStopped(ctx context.Context) {
	defer close(r.done)
	began := time.Now()
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	inUse, unusedInRow := false, 0
	for {
		select {
		case <-r.stop:
			return
		case <-timer.C:
		}
		if !inUse && time.Since(began) >= unusedLimit {
			switch helper := r.findUnused(ctx); {
			case helper == nil:
				inUse = true
			case unusedInRow+1 < unusedLooks:
				unusedInRow++
			default:
				r.server.Log.Warn().Str("id", r.requestID).Str("target", helper.Target.ID).Str("ticket", helper.ReservationID).
					Dur("age", time.Since(began)).Msg("reserved memory is not used, leaving the engine")
				metrics.GetOrRegisterCounter("gate.unused_reservations", r.server.Metrics).Inc(1)
				r.markUnused()
				return
			}
		}
		next := renewInterval
		if err := r.reserveAll(ctx, reservationTTL); err != nil {
			r.server.Log.Warn().Str("id", r.requestID).Err(err).Msg("memory reservation not renewed")
			if !errors.Is(err, errReservationRefused) {
				next = renewRetryInterval
			}
		}
		timer.Reset(next)
	}
}

// findUnused returns a helper whose load report shows that its reservation is not used, or nil. A helper
// without a report counts as used.
func (r *reservations) findUnused(ctx context.Context) *PrefillHelper {
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	var wg sync.WaitGroup
	unused := make([]bool, len(r.helpers))
	for i, h := range r.helpers {
		wg.Go(func() { unused[i] = r.isUnused(ctx, h) })
	}
	wg.Wait()
	if i := slices.Index(unused, true); i >= 0 {
		return &r.helpers[i]
	}
	return nil
}

func (r *reservations) isUnused(ctx context.Context, h PrefillHelper) bool {
	resp, err := r.server.TargetClient.Do(ctx, h.Target.Address, r.server.HeaderCodec.Report(h.Target))
	if err != nil {
		return false
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	resp.Close(err == nil && len(b) < maxReportBytes)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	unused, err := r.server.HeaderCodec.IsUnused(h, b)
	return err == nil && unused
}

// release ends the reservations in the background. It waits for a renewal in flight,
// which would reserve the memory again if it arrived after the release.
func (r *reservations) release(ctx context.Context) {
	close(r.stop)
	r.markUnused()
	ctx = context.WithoutCancel(ctx)
	for _, h := range r.helpers {
		go func() {
			<-r.done
			r.releaseOne(ctx, h)
		}()
	}
}

func (r *reservations) releaseOne(ctx context.Context, h PrefillHelper) {
	for attempt := range maxReleaseAttempts {
		time.Sleep(time.Duration(attempt) * releaseBackoff)
		ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
		resp, err := r.server.TargetClient.Do(ctx, h.Target.Address, r.server.HeaderCodec.Release(h))
		status := 0
		if err == nil {
			status = resp.StatusCode
			resp.Close(drainBody(resp))
		}
		cancel()
		r.server.Log.Info().Str("id", r.requestID).Str("target", h.Target.ID).Str("ticket", h.ReservationID).Int("status", status).
			Int("try", attempt+1).Err(err).Msg("memory release attempted")
		if err == nil && status < http.StatusInternalServerError {
			return
		}
	}
}
