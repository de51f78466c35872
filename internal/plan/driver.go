package plan

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Methods of the leader of the control plane.
const (
	OpenMethod  = "plan.open"
	CloseMethod = "plan.close"
	ListMethod  = "plan.list"
)

const (
	// stepInterval is how often the planner checks its orders and the demand.
	stepInterval = 2 * time.Second
	// orderTimeout bounds one attempt to deliver an order. It is sent again until the
	// engine has carried it out.
	orderTimeout = 10 * time.Second
	// maxOrderDelay bounds the delay with which an order may still arrive at an engine
	// after the attempt to deliver it has timed out.
	maxOrderDelay = 5 * time.Second
	// handoverDelay is how long a new planner waits before it sends orders to engines that
	// ignore fencing numbers. The old planner's lease ended before the new one began, so by
	// then its last order has arrived.
	handoverDelay = orderTimeout + maxOrderDelay
	// orderLifetime is how long the planner tries to carry out an order.
	orderLifetime = 15 * time.Minute
)

// Closing is the request of CloseMethod.
type Closing struct {
	ID    string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
}

// Listing is the request of ListMethod.
type Listing struct{}

// Done is an empty response.
type Done struct{}

// Control calls the leader of the control plane, and retries until it replies or ctx ends.
type Control interface {
	Call(ctx context.Context, method string, in, out any) error
}

// Site reports the demand on the pools.
type Site interface {
	Pools(ctx context.Context) ([]Pool, error)
}

// Engines sends orders to engines and lists the requests in progress on them.
type Engines interface {
	engine.Orderer
	Holdings(ctx context.Context, addr string) ([]engine.Holding, error)
}

// Driver runs the planner while this instance holds the planner's lease.
type Driver struct {
	// Self is the name of this instance.
	Self    string
	Members member.ViewSource
	Control Control
	Site    Site
	Engines Engines
	// Yield confirms that the planner no longer uses a lease that is handed over.
	Yield func(context.Context, member.Lease) error
	Log   *log.Logger

	balancer Balancer
	// epoch is the lease epoch for which balancer, epochStart and firstTried are valid.
	epoch      uint64
	epochStart time.Time
	// firstTried is the time at which this planner first tried each open order, by order ID.
	firstTried map[string]time.Time
}

// Run plans until ctx ends. It uses a single goroutine, so that no order is in flight when
// it confirms a handover.
func (d *Driver) Run(ctx context.Context) error {
	timing.Every(ctx, stepInterval, func() { d.step(ctx) })
	return nil
}

// lease returns the planner's lease if this instance may issue orders under it.
func (d *Driver) lease() (member.Lease, bool) {
	v := d.Members.View()
	if v == nil || v.PlannerLease.Holder != d.Self || !d.Members.Live() {
		return member.Lease{}, false
	}
	return v.PlannerLease, true
}

// step confirms a handover, or carries out the open orders and opens a new one.
func (d *Driver) step(ctx context.Context) {
	l, ok := d.lease()
	if !ok {
		return
	}
	if l.NextHolder != "" {
		_ = d.Yield(ctx, l) // On failure the next view shows the handover again.
		return
	}
	if l.Epoch != d.epoch {
		d.epoch, d.epochStart = l.Epoch, time.Now()
		d.balancer, d.firstTried = Balancer{}, make(map[string]time.Time)
		d.Log.Info().Uint64("epoch", d.epoch).Msg("started planning under a new lease")
	}
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	var b Book
	if err := d.Control.Call(ctx, ListMethod, &Listing{}, &b); err != nil {
		return
	}
	for _, p := range b.Permits {
		d.carryOut(ctx, p)
	}
	d.openOrder(ctx, &b)
}

// carryOut sends an engine its order once the engine is drained, and closes the order.
func (d *Driver) carryOut(ctx context.Context, p Permit) {
	if !p.Fencing && time.Since(d.epochStart) < handoverDelay {
		return
	}
	since, ok := d.firstTried[p.Command.ID]
	if !ok {
		since = time.Now()
		d.firstTried[p.Command.ID] = since
	}
	if time.Since(since) > orderLifetime {
		d.Log.Warn().Str("target", p.Target).Str("order", p.Command.ID).Msg("gave up on an order: the engine did not carry it out in time")
		d.closeOrder(ctx, p)
		return
	}
	held, err := d.Engines.Holdings(ctx, p.Addr)
	if err != nil || len(held) > 0 {
		return
	}
	// The lease is checked last, so that the order is sent before the lease ends.
	if l, ok := d.lease(); !ok || l.Epoch != d.epoch {
		return
	}
	c := p.Command
	c.Fence = d.epoch
	if err := d.Engines.Order(ctx, p.Addr, c); err != nil {
		return
	}
	d.Log.Info().Str("target", p.Target).Str("order", c.ID).Msg("engine carried out its order")
	d.closeOrder(ctx, p)
}

// closeOrder closes the permit. If that fails, the order is sent again, and the engine
// treats it as already done.
func (d *Driver) closeOrder(ctx context.Context, p Permit) {
	_ = d.Control.Call(ctx, CloseMethod, &Closing{ID: p.Command.ID, Fence: d.epoch}, &Done{})
}

// openOrder opens an order if the demand calls for a move.
func (d *Driver) openOrder(ctx context.Context, b *Book) {
	pools, err := d.Site.Pools(ctx)
	if err != nil {
		return
	}
	m, ok := d.balancer.Step(time.Now(), pools, b.Targets())
	if !ok {
		return
	}
	p := Permit{
		Target: m.Target.Name, Addr: m.Target.Addr, Fencing: m.Target.Fencing, Pool: m.From, Size: m.Size,
		Command: engine.Command{ID: uuid.NewString(), Fence: d.epoch},
	}
	p.Command.Set(m.Order)
	err = d.Control.Call(ctx, OpenMethod, &p, &Done{})
	if err == nil {
		d.Log.Info().Str("target", p.Target).Str("from", m.From).Str("to", m.To).Msg("opened an order to move an engine to another pool")
	} else if verd.From(err).Reason != verd.Conflict {
		d.Log.Warn().Str("target", p.Target).Err(err).Msg("cannot open an order to move an engine")
	}
}
