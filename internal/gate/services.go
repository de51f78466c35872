package gate

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/meter"
)

// fullReason is the reason of a refusal because the pool of services is full.
const fullReason = "the services are full"

// services holds the admission of each pool of plain services.
type services struct {
	mu    sync.Mutex
	pools map[string]*servicePool
}

// servicePool is an admission, and the timer of its next step.
type servicePool struct {
	admission
	timer *time.Timer
}

// pool returns the admission of a pool. The caller holds mu.
func (s *services) pool(name string) *servicePool {
	if s.pools == nil {
		s.pools = make(map[string]*servicePool)
	}
	p := s.pools[name]
	if p == nil {
		p = &servicePool{}
		s.pools[name] = p
	}
	return p
}

// step lets the admission of a pool decide now, and again when the next turn comes. The caller holds mu.
func (s *services) step(p *servicePool) {
	next := p.step(time.Now())
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	if next > 0 {
		p.timer = time.AfterFunc(next, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.step(p)
		})
	}
}

// awaitTurn waits until the request may be sent to a target of its pool. It returns false if it is refused, with
// when to try again, or if ctx ends. Only a pool that is full makes requests wait.
func (x *exchange) awaitTurn(ctx context.Context) (retryAfter time.Duration, ok bool) {
	s := &x.server.services
	t := &ticket{
		rank: x.rank, organisation: x.org, aim: x.route.Aim, left: x.timeLeft(), waited: time.Since(x.start),
		phase: rand.Float64(), done: make(chan struct{}),
	}
	s.mu.Lock()
	p := s.pool(x.pool.Name)
	d := p.arrive(time.Now(), t, x.sends == 0)
	s.step(p)
	s.mu.Unlock()
	switch d {
	case admitSend:
		return 0, true
	case admitRefuse:
		return x.refuseTurn(t), false
	}
	began := time.Now()
	defer func() { x.queueTime += time.Since(began) }()
	metrics.GetOrRegisterCounter("gate.service_waits", x.server.Metrics).Inc(1)
	select {
	case <-t.done:
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		p.withdraw(t)
		return shortRetryAfter, false
	}
	if t.retryAfter > 0 {
		return x.refuseTurn(t), false
	}
	return 0, true
}

// refuseTurn counts the refusal of a request by the admission.
func (x *exchange) refuseTurn(t *ticket) (retryAfter time.Duration) {
	metrics.GetOrRegisterCounter(meter.Label("gate.service_refusals", "rank", strconv.Itoa(t.rank)), x.server.Metrics).Inc(1)
	return t.retryAfter
}

// recordAnswered tells the admission how long a target took for its answer, and after which time its caller had what
// the target latency is about: the answer, or the first event.
func (x *exchange) recordAnswered(took, latency time.Duration) {
	s := &x.server.services
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(x.pool.Name).answered(time.Now(), took, latency, x.route.Aim)
}

// recordFull tells the admission that the target has refused the request because it is full.
func (x *exchange) recordFull() {
	s := &x.server.services
	anotherIsFree, inFlight := x.poolState()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(x.pool.Name)
	if p.refused(time.Now(), anotherIsFree, inFlight) {
		metrics.GetOrRegisterCounter("gate.service_shortages", x.server.Metrics).Inc(1)
		x.server.Log.Warn().Str("pool", x.pool.Name).Str("target", x.target).Float64("rate", p.rate).Dur("answers", p.answerTime).
			Msg("pool of services is full")
	}
}

// poolState reports whether a target accepts requests of this instance and has not failed or refused the
// last one, and how many other requests of this instance are in flight at the pool.
func (x *exchange) poolState() (isFree bool, inFlight int) {
	for _, t := range x.server.views.load().pools[x.pool.Name] {
		n, ejected := x.server.health.state(t.ID)
		inFlight += n
		wait, ok := x.server.health.opensIn(t, x.server.limitShares())
		isFree = isFree || ok && wait == 0 && !ejected && x.allows(t.DataCentre)
	}
	return isFree, inFlight - 1
}
