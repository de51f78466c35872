// Package inst runs one instance with all of its roles.
package inst

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/bambooproxy/bambooproxy/internal/admin"
	"github.com/bambooproxy/bambooproxy/internal/auth"
	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/internal/ctrl"
	"github.com/bambooproxy/bambooproxy/internal/entry"
	"github.com/bambooproxy/bambooproxy/internal/httpx"
	"github.com/bambooproxy/bambooproxy/internal/ledger"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/meter"
	"github.com/bambooproxy/bambooproxy/internal/plan"
	"github.com/bambooproxy/bambooproxy/internal/quorum"
	"github.com/bambooproxy/bambooproxy/internal/quota"
	"github.com/bambooproxy/bambooproxy/internal/sched"
	"github.com/bambooproxy/bambooproxy/internal/store"
	"github.com/bambooproxy/bambooproxy/internal/trace"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

const (
	// headerTimeout bounds the wait for the head of a request.
	headerTimeout = 10 * time.Second
	// maxHeader bounds the head of a request in bytes.
	maxHeader = 64 << 10
	// idleTimeout bounds the wait for another request on a connection.
	idleTimeout = time.Minute
	// closeTimeout bounds the end of the connections after a planned stop.
	closeTimeout = 3 * time.Second
	// maxConns bounds the connections to one listener.
	maxConns = 16_384
	// tracerName names the tracer of this program.
	tracerName = "bamboo"
)

// Network opens listeners and connections.
type Network = auth.Network

// Instance is one instance of the system.
type Instance struct {
	Settings conf.Settings
	Network  Network
	Log      *log.Logger
	Trace    *trace.Provider
	// Incarnation tells a restarted process from its predecessor.
	Incarnation uint64
	// Files keeps the durable state; nil means the operating system's.
	Files store.FS
	// Seed draws the jitter of elections; 0 stands for one by chance.
	Seed uint64

	metrics metrics.Registry
	peers   *wire.Pool
	agent   *ctrl.Agent
	client  *ctrl.Client
	planner *plan.Driver
	entries *entry.Server
	sched   *sched.Service
	control *ctrl.Server
	replica *replica
	owner   *quota.Owner
	quota   *quota.Client
	guard   guard
	// leave is closed when an operator wants a planned stop.
	leave  chan struct{}
	leaves sync.Once
}

// Run serves until ctx ends; it then stops gracefully.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.wire(); err != nil {
		return err
	}
	// The parts outlive ctx: a planned stop needs them.
	g, parts := errgroup.WithContext(context.WithoutCancel(ctx))
	parts, halt := context.WithCancel(parts)
	defer halt()
	if err := i.start(parts, g); err != nil {
		halt()
		return errors.CombineErrors(err, g.Wait())
	}
	g.Go(func() error {
		defer halt()
		select {
		case <-ctx.Done():
			i.drain(parts)
		case <-i.leave:
			i.drain(parts)
		case <-parts.Done():
		}
		return nil
	})
	err := g.Wait()
	return errors.CombineErrors(err, i.peers.Close())
}

// wire builds the parts and hands them to each other.
func (i *Instance) wire() error {
	s := i.Settings
	i.metrics = metrics.NewRegistry()
	i.leave = make(chan struct{})
	if err := i.guard.open(s, i.Network, i.Log); err != nil {
		return err
	}
	local := &wire.Server{}
	i.peers = &wire.Pool{Dial: i.guard.peers.Dial, Self: s.Peers, Local: local}
	self := member.Member{
		Name: s.Name, DataCentre: s.DataCentre, Callers: s.Callers, Operators: s.Operators,
		Peers: s.Peers, Incarnation: i.Incarnation, State: member.Serving,
	}
	i.client = &ctrl.Client{Seeds: s.Seeds, Calls: i.peers}
	i.agent = ctrl.NewAgent(self, i.client, i.peers, i.Log)
	i.owner = &quota.Owner{Self: s.Name, Members: i.agent}
	i.quota = &quota.Client{
		Self:    quota.Borrower{Name: s.Name, Incarnation: i.Incarnation},
		Members: i.agent, Calls: i.peers,
	}
	fresh := i.guard.around(httpx.Fresh(i.dialHTTP))
	engines := &httpx.Engine{Pooled: i.guard.around(httpx.Pooled(i.dialHTTP)), Fresh: fresh}
	i.entries = &entry.Server{
		Self: s.Name, Incarnation: i.Incarnation, Members: i.agent,
		Sched: &sched.Client{Members: i.agent, Calls: i.peers}, Quota: i.quota, Engine: engines,
		Ledger:   &ledger.Client{Control: i.client},
		Services: &httpx.Services{Fresh: fresh}, Metrics: i.metrics, Log: i.Log,
		Tracer: i.Trace.Tracer(tracerName), MaxBody: s.MaxBody,
	}
	i.guard.install(i.entries)
	i.sched = &sched.Service{
		Self: s.Name, Members: i.agent, Calls: i.peers, Engine: engines, Holder: i.entries, Log: i.Log, Metrics: i.metrics,
		Yield: i.agent.Yield, Changed: i.agent.Changed,
	}
	i.planner = &plan.Driver{
		Self: s.Name, Members: i.agent, Control: i.client, Engines: engines, Yield: i.agent.Yield, Log: i.Log,
		Site: &demand{members: i.agent, shards: &sched.Client{Members: i.agent, Calls: i.peers}},
	}
	local.Methods = slices.Concat(i.sched.Methods(), i.agent.Methods(), i.owner.Methods())
	if !s.Control {
		return nil
	}
	if err := i.wireControl(self.Process()); err != nil {
		return err
	}
	local.Methods = append(local.Methods, i.controlMethods()...)
	return nil
}

// start opens the listeners and starts every part.
func (i *Instance) start(ctx context.Context, g *errgroup.Group) error {
	ln, err := i.guard.peers.Listen(i.Settings.Peers)
	if err != nil {
		return errors.Wrap(err, "peers")
	}
	g.Go(func() error { return i.peers.Local.Serve(ctx, ln) })
	if i.control != nil {
		i.runControl(ctx, g)
	}
	g.Go(func() error { return i.agent.Run(ctx) })
	g.Go(func() error { return i.sched.Run(ctx) })
	g.Go(func() error { return i.planner.Run(ctx) })
	i.guard.run(ctx, g)
	g.Go(func() error { return (&meter.Process{Metrics: i.metrics}).Run(ctx) })
	g.Go(func() error { return i.entries.Run(ctx) })
	g.Go(func() error { return i.owner.Run(ctx) })
	g.Go(func() error { return i.quota.Run(ctx) })
	ops, err := i.admin().Handler()
	if err != nil {
		return err
	}
	if err := i.serveHTTP(ctx, g, i.Settings.Operators, ops); err != nil {
		return err
	}
	return i.serveHTTP(ctx, g, i.Settings.Callers, i.entries)
}

func (i *Instance) admin() *admin.Server {
	return &admin.Server{
		Self: i.Settings.Name, Members: i.agent, Metrics: i.metrics, Keys: i.guard.operators,
		Shards: &sched.Client{Members: i.agent, Calls: i.peers}, Control: i.client,
		Calls:    &ledger.Client{Control: i.client},
		Replicas: &quorum.Client{Seeds: i.Settings.Seeds, Calls: i.peers},
		Drain:    func() { i.leaves.Do(func() { close(i.leave) }) },
	}
}

func (i *Instance) serveHTTP(ctx context.Context, g *errgroup.Group, addr string, h http.Handler) error {
	ln, err := i.Network.Listen(addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
	httpx.Serve(ctx, g, srv, netutil.LimitListener(ln, maxConns), closeTimeout)
	return nil
}

func (i *Instance) dialHTTP(ctx context.Context, _, addr string) (net.Conn, error) {
	return i.Network.Dial(ctx, addr)
}
