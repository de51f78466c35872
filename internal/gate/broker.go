package gate

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/timing"
)

const (
	// answerWithin is how long the scheduler has to say at least that a request
	// waits. After it the instance places the request by its own view. It answers within
	// milliseconds; short answers begin after 150 ms of the 300 ms that callers want.
	answerWithin = 120 * time.Millisecond
	// quietLink is how long a link may be quiet before the scheduler is not asked: a pulse
	// and the delay of a busy process.
	quietLink = link.PulseEvery + 150*time.Millisecond
	// startLink is how long a request waits for the scheduler after the start of the
	// instance, which looks for it every startLook.
	startLink = 400 * time.Millisecond
	startLook = 20 * time.Millisecond
	// alonePause is the pause between looks for an engine by the own view.
	alonePause = 50 * time.Millisecond
)

// broker gets engines for requests: from the scheduler of the site, or by the
// instance's own view while no scheduler answers.
type broker struct {
	server *Server
	next   atomic.Uint64

	mu      sync.Mutex
	pending map[string]*ask
	// held are the grants in use.
	held map[string]*hold
	// alone places by what this instance knows itself.
	alone map[string]*place.Core
}

// ask is a request that waits for engines.
type ask struct {
	granted chan place.Grant
	refused chan place.Refuse
	waiting chan struct{}
	lost    chan struct{}
}

// hold is a grant in use.
type hold struct {
	place.Holding
	at time.Time
}

// refusal says that no engine takes the request.
type refusal struct{ place.Refuse }

func (r *refusal) Error() string { return r.Reason }

// errNoEngine says that the time ran out without an engine.
var errNoEngine = errors.New("no engine was free in time")

func (b *broker) setup() {
	b.pending = make(map[string]*ask)
	b.held = make(map[string]*hold)
	b.alone = make(map[string]*place.Core)
}

// newID names an ask.
func (b *broker) newID() string {
	return fmt.Sprintf("%s/%x/%x", b.server.Name, b.server.born.UnixNano(), b.next.Add(1))
}

// get returns engines for a request; its holder must call end. Errors are of
// type *refusal, errNoEngine or those of ctx.
func (b *broker) get(ctx context.Context, a place.Ask) (place.Grant, error) {
	g, err := b.askSite(ctx, a)
	if !errors.Is(err, errUnanswered) {
		return g, err
	}
	return b.placeAlone(ctx, a)
}

// awaitLink lets an instance that has just started find the scheduler: what it
// would place by its own view, others place too without knowing of it. While control
// is found and has no leader, there is none to wait for.
func (b *broker) awaitLink(ctx context.Context) {
	for range int(startLink / startLook) {
		if b.server.Link.IsAttached() || time.Since(b.server.born) > startTime || ctx.Err() != nil {
			return
		}
		time.Sleep(startLook)
	}
}

// errUnanswered says that the scheduler did not answer.
var errUnanswered = errors.New("the scheduler does not answer")

// askSite asks the scheduler of the site.
func (b *broker) askSite(ctx context.Context, a place.Ask) (place.Grant, error) {
	if b.server.Link.Quiet() > quietLink {
		// It would not answer, and its link is about to end.
		return place.Grant{}, errUnanswered
	}
	p := &ask{
		granted: make(chan place.Grant, 1), refused: make(chan place.Refuse, 1),
		waiting: make(chan struct{}, 1), lost: make(chan struct{}),
	}
	b.mu.Lock()
	b.pending[a.ID] = p
	b.mu.Unlock()
	if !b.server.Link.Send(func(u *link.Up) { u.Asks = append(u.Asks, a) }) {
		b.remove(a.ID)
		return place.Grant{}, errUnanswered
	}
	timer := time.NewTimer(answerWithin)
	defer timer.Stop()
	for {
		select {
		case g := <-p.granted:
			b.keep(a, g, true)
			return g, nil
		case r := <-p.refused:
			b.remove(a.ID)
			return place.Grant{}, &refusal{r}
		case <-p.waiting:
			timer.Stop()
			continue
		case <-timer.C:
		case <-p.lost:
		case <-ctx.Done():
		}
		b.withdraw(a.ID)
		if ctx.Err() != nil {
			return place.Grant{}, errNoEngine
		}
		return place.Grant{}, errUnanswered
	}
}

func (b *broker) remove(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pending, id)
}

// withdraw takes an ask back. A grant that is on its way is not used.
func (b *broker) withdraw(id string) {
	b.remove(id)
	b.server.Link.Send(func(u *link.Up) { u.Withdrawn = append(u.Withdrawn, id) })
}

// keep notes a grant in use.
func (b *broker) keep(a place.Ask, g place.Grant, adopt bool) place.Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pending, a.ID)
	h := &hold{Holding: place.Holding{Ask: a, Lead: g.Lead, Helpers: g.Helpers, Memory: g.Memory}, at: time.Now()}
	b.held[a.ID] = h
	if c := b.core(a.Pool); c != nil && adopt {
		c.Step(h.at, place.Adopt{Holding: h.Holding})
	}
	return h.Holding
}

// core returns the own core of a pool, or nil if its engines aren't known.
func (b *broker) core(pool string) *place.Core { return b.alone[pool] }

// placeAlone places a request by the own view, and tells the scheduler if there is one.
func (b *broker) placeAlone(ctx context.Context, a place.Ask) (place.Grant, error) {
	started := time.Now()
	// The scheduler may still answer to the first ID.
	asked := a.ID
	a.ID = b.newID()
	for ctx.Err() == nil {
		b.mu.Lock()
		c := b.core(a.Pool)
		var out []place.Decision
		if c != nil {
			out = c.Step(time.Now(), place.Arrive{Ask: a})
		}
		b.mu.Unlock()
		for _, d := range out {
			switch d := d.(type) {
			case place.Grant:
				h := b.keep(a, d, false)
				b.server.Link.Send(func(u *link.Up) { u.Held = append(u.Held, h) })
				d.Waited = time.Since(started)
				b.server.Log.Info().Str("ask", asked).Str("grant", a.ID).Str("lead", d.Lead).Int("parts", len(d.Helpers)+1).Msg("placed by the own view")
				return d, nil
			case place.Refuse:
				return place.Grant{}, &refusal{d}
			}
		}
		if c != nil {
			b.mu.Lock()
			c.Step(time.Now(), place.Withdraw{ID: a.ID})
			b.mu.Unlock()
		}
		timing.Sleep(ctx, alonePause)
	}
	return place.Grant{}, errNoEngine
}

// begun reports the first event of an answer.
func (b *broker) begun(id string, after time.Duration) {
	e := place.Begin{ID: id, After: after}
	b.mu.Lock()
	if h := b.held[id]; h != nil {
		h.Begun = true
		if c := b.core(h.Ask.Pool); c != nil {
			c.Step(time.Now(), e)
		}
	}
	b.mu.Unlock()
	b.server.Link.Send(func(u *link.Up) { u.Begun = append(u.Begun, e) })
}

// end gives the engines of a grant back.
func (b *broker) end(e place.End) {
	b.mu.Lock()
	if h := b.held[e.ID]; h != nil {
		delete(b.held, e.ID)
		if c := b.core(h.Ask.Pool); c != nil {
			c.Step(time.Now(), e)
		}
	}
	b.mu.Unlock()
	b.server.Link.Send(func(u *link.Up) { u.Ended = append(u.Ended, e) })
}

// refresh tells the own cores which engines there are.
func (b *broker) refresh(v *view) {
	if v.index == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range v.index.Tables.Pools {
		p := &v.index.Tables.Pools[i]
		if p.Engine == nil {
			continue
		}
		c := b.alone[p.Name]
		if c == nil {
			c = &place.Core{Alone: true}
			b.alone[p.Name] = c
		}
		c.Step(time.Now(), place.Fleet{Engine: *p.Engine, Targets: v.pools[p.Name]})
	}
}

// waiting returns the ask of an ID that nobody has answered, or nil.
func (b *broker) waiting(id string) *ask {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending[id]
}
