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

// The calls that the leader of control answers.
const (
	OpenMethod  = "plan.open"
	CloseMethod = "plan.close"
	ListMethod  = "plan.list"
)

const (
	// stepTime is how often the planner looks at its orders and at demand.
	stepTime = 2 * time.Second
	// orderTimeout bounds the delivery of one order; it is sent again until
	// the engine has carried it out.
	orderTimeout = 10 * time.Second
	// lateTime bounds how long an order may still arrive after its sender
	// has given up.
	lateTime = 5 * time.Second
	// handoverTime is what a new planner waits before it orders engines that
	// ignore fencing numbers: the last order of the old one has surely
	// arrived. Its lease had ended before the new one began.
	handoverTime = orderTimeout + lateTime
	// giveUpTime is how long an order is tried.
	giveUpTime = 15 * time.Minute
)

// Closing gives a permit back.
type Closing struct {
	ID    string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
}

// Listing asks for the open orders.
type Listing struct{}

// Done is an empty answer.
type Done struct{}

// Control calls the leader of control until it answers or ctx ends.
type Control interface {
	Call(ctx context.Context, method string, in, out any) error
}

// Site tells the planner of demand.
type Site interface {
	Pools(ctx context.Context) ([]Pool, error)
}

// Engines is what the planner asks of engines.
type Engines interface {
	engine.Orderer
	Holdings(ctx context.Context, addr string) ([]engine.Holding, error)
}

// Driver plans while this instance holds the planner's lease.
type Driver struct {
	// Self is the name of this instance.
	Self    string
	Members member.Source
	Control Control
	Site    Site
	Engines Engines
	// Yield confirms that a lease which is handed over is used no more.
	Yield func(context.Context, member.Lease) error
	Log   *log.Logger

	core  Core
	epoch uint64
	began time.Time
	// tried holds since when this planner has tried each open order.
	tried map[string]time.Time
}

// Run plans until ctx ends. One goroutine does it all, so that none of its
// orders is on its way when it confirms a handover.
func (d *Driver) Run(ctx context.Context) error {
	timing.Every(ctx, stepTime, func() { d.step(ctx) })
	return nil
}

// holds says whether this instance may issue orders.
func (d *Driver) holds() (member.Lease, bool) {
	v := d.Members.View()
	if v == nil || v.Planner.Holder != d.Self || !d.Members.Live() {
		return member.Lease{}, false
	}
	return v.Planner, true
}

func (d *Driver) step(ctx context.Context) {
	l, ok := d.holds()
	if !ok {
		return
	}
	if l.Next != "" {
		_ = d.Yield(ctx, l) // The view shows it again if this fails.
		return
	}
	if l.Epoch != d.epoch {
		d.epoch, d.began = l.Epoch, time.Now()
		d.core, d.tried = Core{}, make(map[string]time.Time)
		d.Log.Info().Uint64("epoch", d.epoch).Msg("planning")
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
	d.decide(ctx, &b)
}

// carryOut drains an engine and sends it its order.
func (d *Driver) carryOut(ctx context.Context, p Permit) {
	if !p.Fencing && time.Since(d.began) < handoverTime {
		return
	}
	since, ok := d.tried[p.Command.ID]
	if !ok {
		since = time.Now()
		d.tried[p.Command.ID] = since
	}
	if time.Since(since) > giveUpTime {
		d.Log.Warn().Str("target", p.Target).Str("order", p.Command.ID).Msg("order given up")
		d.finish(ctx, p)
		return
	}
	held, err := d.Engines.Holdings(ctx, p.Addr)
	if err != nil || len(held) > 0 {
		return
	}
	// The lease is looked at last: the order leaves before it ends.
	if l, ok := d.holds(); !ok || l.Epoch != d.epoch {
		return
	}
	c := p.Command
	c.Fence = d.epoch
	if err := d.Engines.Order(ctx, p.Addr, c); err != nil {
		return
	}
	d.Log.Info().Str("target", p.Target).Str("order", c.ID).Msg("order carried out")
	d.finish(ctx, p)
}

// finish gives the permit back. If that fails, the order is sent again,
// which engines take for done.
func (d *Driver) finish(ctx context.Context, p Permit) {
	_ = d.Control.Call(ctx, CloseMethod, &Closing{ID: p.Command.ID, Fence: d.epoch}, &Done{})
}

// decide opens an order if demand asks for one.
func (d *Driver) decide(ctx context.Context, b *Book) {
	pools, err := d.Site.Pools(ctx)
	if err != nil {
		return
	}
	m, ok := d.core.Step(time.Now(), pools, b.Targets())
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
		d.Log.Info().Str("target", p.Target).Str("from", m.From).Str("to", m.To).Msg("engine moves")
	} else if verd.From(err).Reason != verd.Conflict {
		d.Log.Warn().Str("target", p.Target).Err(err).Msg("no permit")
	}
}
