// Package inst runs one instance: the entry for callers, the schedulers of the shards
// whose leases it holds, the planner and, if configured, a control plane replica.
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
	// headerTimeout bounds the time to read the headers of a request.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of the headers of a request.
	maxHeaderBytes = 64 << 10
	// idleTimeout bounds the wait for the next request on a kept connection.
	idleTimeout = time.Minute
	// closeTimeout bounds how long open connections may take to finish at a shutdown.
	closeTimeout        = 3 * time.Second
	maxConnsPerListener = 16_384
	tracerName          = "bamboo"
)

// Network opens listeners and connections.
type Network = auth.Network

// Instance runs the roles of one instance in one process.
type Instance struct {
	Settings conf.Settings
	Network  Network
	Log      *log.Logger
	Trace    *trace.Provider
	// Incarnation distinguishes this process from earlier ones of the same instance.
	Incarnation uint64
	// FS is the file system for durable state; nil means that of the operating system.
	FS store.FS
	// Seed seeds the jitter of election timeouts; 0 means a random seed.
	Seed uint64

	metrics       metrics.Registry
	peerPool      *wire.Pool
	agent         *ctrl.Agent
	controlClient *ctrl.Client
	planner       *plan.Driver
	entry         *entry.Server
	scheduler     *sched.Service
	controlServer *ctrl.Server
	replica       *replica
	quotaOwner    *quota.Owner
	quotaClient   *quota.Client
	secrets       secrets
	// drainRequested is closed when an operator requests that this instance drain and stop.
	drainRequested chan struct{}
	drainOnce      sync.Once
}

// Run serves until ctx ends or an operator requests a drain; it then drains and returns.
// It returns earlier with an error if a component fails.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.build(); err != nil {
		return err
	}
	// The components keep running after ctx has ended, as the drain needs them.
	g, serveCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	serveCtx, cancel := context.WithCancel(serveCtx)
	defer cancel()
	if err := i.start(serveCtx, g); err != nil {
		cancel()
		return errors.CombineErrors(err, g.Wait())
	}
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			i.drain(serveCtx)
		case <-i.drainRequested:
			i.drain(serveCtx)
		case <-serveCtx.Done():
		}
		return nil
	})
	err := g.Wait()
	return errors.CombineErrors(err, i.peerPool.Close())
}

// build creates the components and connects them to each other.
func (i *Instance) build() error {
	s := i.Settings
	i.metrics = metrics.NewRegistry()
	i.drainRequested = make(chan struct{})
	if err := i.secrets.load(s, i.Network, i.Log); err != nil {
		return err
	}
	local := &wire.Server{OnAcceptError: func(err error) { i.Log.Error().Err(err).Msg("connections from peers not accepted") }}
	i.peerPool = &wire.Pool{Dial: i.secrets.peerNetwork.Dial, Self: s.Peers, Local: local}
	self := member.Member{
		Name: s.Name, DataCentre: s.DataCentre, CallerAddr: s.Callers, OperatorAddr: s.Operators,
		PeerAddr: s.Peers, Incarnation: i.Incarnation, State: member.Serving,
	}
	i.controlClient = &ctrl.Client{Seeds: s.Seeds, Calls: i.peerPool}
	i.agent = ctrl.NewAgent(self, i.controlClient, i.peerPool, i.Log)
	i.quotaOwner = &quota.Owner{Self: s.Name, Members: i.agent}
	i.quotaClient = &quota.Client{
		Self:    quota.Borrower{Name: s.Name, Incarnation: i.Incarnation},
		Members: i.agent, Calls: i.peerPool,
	}
	fresh := i.secrets.withCredentials(httpx.Fresh(i.dialHTTP))
	engines := &httpx.Engine{Pooled: i.secrets.withCredentials(httpx.PooledTransport(i.dialHTTP)), Fresh: fresh}
	i.entry = &entry.Server{
		Self: s.Name, Incarnation: i.Incarnation, Members: i.agent,
		Sched: &sched.Client{Members: i.agent, Calls: i.peerPool}, Quota: i.quotaClient, Engine: engines,
		Ledger:   &ledger.Client{Control: i.controlClient},
		Services: &httpx.Services{Fresh: fresh}, Metrics: i.metrics, Log: i.Log,
		Tracer: i.Trace.Tracer(tracerName), MaxBody: s.MaxBody,
	}
	i.secrets.requireTokens(i.entry)
	i.scheduler = &sched.Service{
		Self: s.Name, Members: i.agent, Calls: i.peerPool, Engine: engines, Holder: i.entry, Log: i.Log, Metrics: i.metrics,
		Yield: i.agent.ConfirmHandover, Changed: i.agent.ViewChanged,
	}
	i.planner = &plan.Driver{
		Self: s.Name, Members: i.agent, Control: i.controlClient, Engines: engines, Yield: i.agent.ConfirmHandover, Log: i.Log,
		Site: &loadSource{members: i.agent, schedulers: &sched.Client{Members: i.agent, Calls: i.peerPool}},
	}
	local.Methods = slices.Concat(i.scheduler.Methods(), i.agent.Methods(), i.quotaOwner.Methods())
	if !s.Control {
		return nil
	}
	if err := i.buildControl(self.Process()); err != nil {
		return err
	}
	local.Methods = append(local.Methods, i.controlMethods()...)
	return nil
}

// start opens the listeners and starts every component.
func (i *Instance) start(ctx context.Context, g *errgroup.Group) error {
	ln, err := i.secrets.peerNetwork.Listen(i.Settings.Peers)
	if err != nil {
		return errors.Wrapf(err, "listen for peers on %s", i.Settings.Peers)
	}
	g.Go(func() error { return i.peerPool.Local.Serve(ctx, ln) })
	if i.controlServer != nil {
		i.runControl(ctx, g)
	}
	g.Go(func() error { return i.agent.Run(ctx) })
	g.Go(func() error { return i.scheduler.Run(ctx) })
	g.Go(func() error { return i.planner.Run(ctx) })
	i.secrets.watch(ctx, g)
	g.Go(func() error { return (&meter.Process{Metrics: i.metrics}).Run(ctx) })
	g.Go(func() error { return i.entry.Run(ctx) })
	g.Go(func() error { return i.quotaOwner.Run(ctx) })
	g.Go(func() error { return i.quotaClient.Run(ctx) })
	ops, err := i.admin().Handler()
	if err != nil {
		return err
	}
	if err := i.serveHTTP(ctx, g, i.Settings.Operators, ops); err != nil {
		return err
	}
	return i.serveHTTP(ctx, g, i.Settings.Callers, i.entry)
}

func (i *Instance) admin() *admin.Server {
	return &admin.Server{
		Self: i.Settings.Name, Members: i.agent, Metrics: i.metrics, Keys: i.secrets.operators,
		Shards: &sched.Client{Members: i.agent, Calls: i.peerPool}, Control: i.controlClient,
		Calls:    &ledger.Client{Control: i.controlClient},
		Replicas: &quorum.Client{Seeds: i.Settings.Seeds, Calls: i.peerPool},
		Drain:    func() { i.drainOnce.Do(func() { close(i.drainRequested) }) },
	}
}

func (i *Instance) serveHTTP(ctx context.Context, g *errgroup.Group, addr string, h http.Handler) error {
	ln, err := i.Network.Listen(addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	httpx.Serve(ctx, g, &httpx.Graceful{Server: srv}, netutil.LimitListener(ln, maxConnsPerListener), func() time.Duration { return closeTimeout })
	return nil
}

func (i *Instance) dialHTTP(ctx context.Context, _, addr string) (net.Conn, error) {
	return i.Network.Dial(ctx, addr)
}
