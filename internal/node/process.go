// Package node runs one process of a site: an entry for callers, a control
// instance, or both.
package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/internal/guard"
	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/httpx"
	"github.com/bambooproxy/bambooproxy/internal/hub"
	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/meter"
	"github.com/bambooproxy/bambooproxy/internal/relay"
	"github.com/bambooproxy/bambooproxy/internal/store"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

const (
	// headerTimeout bounds the time to read the headers of a request.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the request line and headers of a request.
	maxHeaderBytes = 64 << 10
	// idleTimeout is how long a connection without a request stays open. It exceeds the
	// connection idle limit that callers keep, so that they close idle connections first.
	idleTimeout = 2 * time.Minute
	// controlIdleTimeout is idleTimeout at control instances, for targets, operators and look-ups. Targets
	// call every 1.2 s, and keep a connection to each instance that they called before. With 2 minutes,
	// the middle one of five instances had 2,190 to 3,100 connections open with 3,000 targets.
	controlIdleTimeout = 10 * time.Second
	// settingsPollInterval is how often the settings file is read again, since it may
	// change without a signal.
	settingsPollInterval = time.Second
	// heapLimitShare is the share of Settings.Memory that the Go runtime may use before
	// it collects garbage more often.
	heapLimitShare = 0.6
	// bufferDivisor divides Settings.Memory into the part for buffered responses, that for requests, and
	// that for configurations.
	bufferDivisor = 4
	// configWeight is the memory for a byte of a configuration while it is decoded.
	configWeight = 4
	// closeTimeout bounds the wait for in-flight requests when the HTTP servers close. In a planned stop they have what is left
	// of the grace period, which is as much if the drain took all its time.
	closeTimeout = 200 * time.Millisecond
	// controlCloseTimeout is closeTimeout of a control instance, whose calls end within 0.9 s.
	controlCloseTimeout = time.Second
	// controlDrainTime is how long a control instance that shuts down keeps answering
	// calls before its components are stopped.
	controlDrainTime = 300 * time.Millisecond
)

// Handlers constructs the HTTP handlers of a process. The adapter to the platform
// provides them.
type Handlers struct {
	// Control serves operators and targets.
	Control func(*hub.Server, *guard.Bodies) http.Handler
	// Directory serves lookups of instances.
	Directory func(link.EntryLister) http.Handler
	// Ready serves the readiness probe.
	Ready func(ready func() bool) http.Handler
	// LoadSource constructs the reader of the engines' load reports; nil if they are not
	// read.
	LoadSource func(*hop.Client) hub.LoadReader
}

// Process is one process of a site, with an entry, a control instance, or both.
type Process struct {
	Settings conf.Process
	// Path is the path of the settings file. Only changed seeds are reloaded from it.
	Path        string
	HeaderCodec gate.HeaderCodec
	Handlers    Handlers
	Log         *log.Logger

	network    network
	metrics    metrics.Registry
	peerPool   *wire.Pool
	peerServer *wire.Server
	gate       *gate.Server
	dialer     *relay.Dialer
	relay      *relay.Server
	link       *link.Client
	hub        *hub.Server
	callers    callerConns
	limits     connLimits
	heads      guard.Heads
	responses  *guard.Responses
	// controlBodies holds the bodies of requests to the control instance.
	controlBodies guard.Bodies
	// endsAt is the end of the grace period in Unix nanoseconds; 0 before the drain.
	endsAt atomic.Int64
}

// Run serves until ctx ends, then drains and shuts down. It returns an error if a
// listener can't be opened or a component fails.
func (p *Process) Run(ctx context.Context) error {
	s := p.Settings
	debug.SetMemoryLimit(int64(float64(s.Memory<<20) * heapLimitShare))
	p.setup()
	p.Log.Info().Str("name", s.Name).Str("data_centre", s.DataCentre).Int("regions", s.Regions.Count()).Strs("seeds", s.Seeds).Bool("first", s.First).
		Int("pid", os.Getpid()).Msg("process started")
	if _, ok := s.Regions[s.DataCentre]; !ok && len(s.Regions) > 0 {
		p.Log.Warn().Str("data_centre", s.DataCentre).Msg("data centre of this process is in no region")
	}
	// The components keep running after ctx ends, because the drain needs them.
	componentsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, componentsCtx := errgroup.WithContext(componentsCtx)
	if err := p.start(componentsCtx, g); err != nil {
		cancel()
		return errors.CombineErrors(err, g.Wait())
	}
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			p.drain()
		case <-componentsCtx.Done():
		}
		return nil
	})
	err := g.Wait()
	p.Log.Info().Err(err).Msg("process stopped")
	return err
}

// setup creates the components and connects them to each other.
func (p *Process) setup() {
	s := p.Settings
	p.network.bind = s.Bind
	p.metrics = metrics.NewRegistry()
	p.limits = newConnLimits(s.Memory<<20, maxDescriptors())
	p.network.targetReceiveBytes = p.limits.targetReceiveBytes(s.Memory << 20)
	p.heads.Limit = s.Memory << 20 / headDivisor
	p.responses = &guard.Responses{
		Bodies: guard.Bodies{Limit: s.Memory << 20 / headDivisor}, Name: "heads", Free: freeResponseBytes, Log: p.Log, Metrics: p.metrics,
	}
	p.controlBodies = guard.Bodies{Limit: s.Memory << 20 / bufferDivisor, Weight: configWeight}
	p.peerServer = &wire.Server{
		OnAcceptError: func(err error) { p.Log.Error().Err(err).Msg("connections from peers not accepted") },
		Memory:        s.Memory << 20, OnPressure: p.logPeerPressure, Closed: metrics.GetOrRegisterCounter("peers.closed", p.metrics),
	}
	p.peerPool = &wire.Pool{Dial: p.network.dial, Self: s.Peers, Local: p.peerServer}
	if s.Control != "" {
		p.hub = &hub.Server{
			Name: s.Name, DataCentre: s.DataCentre, PeerAddr: s.Peers, ControlAddr: s.Control, SeedAddrs: p.peerAddrs(s.Seeds), Bootstrap: s.First,
			Voters: 2*s.Losses + 1, DataDir: s.Data, Regions: s.Regions, Fair: s.Fair, FS: store.OS{}, Clock: sinceBoot, Calls: p.peerPool, Log: p.Log, Metrics: p.metrics,
		}
		if p.Handlers.LoadSource != nil {
			p.hub.LoadReader = p.Handlers.LoadSource(&hop.Client{Dial: p.network.dialTarget, Responses: p.responses})
		}
		p.peerServer.Methods, p.peerServer.Streams = p.hub.Setup()
	}
	if s.Callers == "" {
		return
	}
	p.dialer = &relay.Dialer{Direct: p.network.dialTarget, Calls: p.peerPool, DataCentre: s.DataCentre, Log: p.Log, Metrics: p.metrics}
	client := &hop.Client{Dial: p.dialer.Dial, Responses: p.responses}
	p.gate = &gate.Server{
		Name: s.Name, DataCentre: s.DataCentre, Address: s.Callers, Regions: s.Regions, Fair: s.Fair, HeaderCodec: p.HeaderCodec,
		TargetClient: client, Log: p.Log, Metrics: p.metrics,
		Clock: sinceBoot, DrainTime: drainTime(time.Duration(s.Grace)), BufferBytes: s.Memory << 20 / bufferDivisor,
		Budget: &gate.RetryBudget{Ratio: s.Repeats.Ratio, Slack: s.Repeats.Slack, Window: time.Duration(s.Repeats.Window)},
	}
	p.link = &link.Client{Self: link.Hello{Name: s.Name, PeerAddr: s.Peers, DataCentre: s.DataCentre}, Calls: p.peerPool, Follower: p.gate, Log: p.Log}
	p.link.SetSeeds(p.peerAddrs(s.Seeds))
	p.gate.Link = p.link
	p.gate.Setup()
	// Idle connections may have been cut silently.
	p.dialer.Peers, p.dialer.OnCutOff = p.gate.RelayPeers, client.Close
	p.relay = &relay.Server{Direct: p.network.dialTarget, IsSuspect: p.dialer.IsSuspect, Gate: p.gate, Log: p.Log}
	p.peerServer.Streams = append(p.peerServer.Streams, p.relay.Method())
}

// peerAddrs returns the peer addresses of the instances with the given control addresses,
// sorted and without duplicates. The peer port is the same on every instance.
func (p *Process) peerAddrs(seeds []string) []string {
	_, port, err := net.SplitHostPort(p.Settings.Peers)
	if err != nil {
		return nil // Not reachable: the settings were validated.
	}
	var out []string
	for _, seed := range seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// start opens the listeners and starts the components in g.
func (p *Process) start(ctx context.Context, g *errgroup.Group) error {
	s := p.Settings
	ln, err := p.network.listen(ctx, s.Peers)
	if err != nil {
		return errors.Wrapf(err, "listen for peers on %s", s.Peers)
	}
	g.Go(func() error { return p.peerServer.Serve(ctx, ln) })
	if p.hub != nil {
		g.Go(func() error { return p.hub.Run(ctx) })
	}
	if p.gate != nil {
		g.Go(func() error { return p.gate.Run(ctx) })
		g.Go(func() error { return p.link.Run(ctx) })
		if err := p.serveHTTP(ctx, g, "callers", s.Callers, p.limits.callers, newHTTPServer(p.gate, idleTimeout, p.callers.connState)); err != nil {
			return err
		}
	}
	idle := idleTimeout
	if p.hub != nil {
		idle = controlIdleTimeout
	}
	for _, l := range []struct {
		name, addr string
		maxConns   int
		handler    func() http.Handler
	}{
		{"control", s.Control, p.limits.control, func() http.Handler { return p.Handlers.Control(p.hub, &p.controlBodies) }},
		{"directory", s.Directory, p.limits.directory, func() http.Handler { return p.Handlers.Directory(p.instanceLister()) }},
		{"ready", s.Ready, p.limits.probes, func() http.Handler { return p.Handlers.Ready(p.isReady) }},
		{"metrics", s.Metrics, p.limits.probes, p.metricsHandler},
	} {
		if l.addr == "" {
			continue
		}
		if err := p.serveHTTP(ctx, g, l.name, l.addr, l.maxConns, newHTTPServer(l.handler(), idle, nil)); err != nil {
			return err
		}
	}
	g.Go(func() error { return p.watchSettings(ctx) })
	g.Go(func() error { return (&meter.Process{Metrics: p.metrics}).Run(ctx) })
	return nil
}

// instanceLister returns the component that answers lookups of instances in this process.
func (p *Process) instanceLister() link.EntryLister {
	if p.hub != nil {
		return p.hub
	}
	return p.gate
}

func (p *Process) isReady() bool { return p.gate == nil || p.gate.IsReady() }

func (p *Process) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// A failed write closes the connection, which the client sees.
		_ = meter.Write(w, p.metrics)
	})
}

// newHTTPServer returns a server that closes connections without a request after idle. The hook
// connState, which may be nil, gets the changes of connections.
func newHTTPServer(h http.Handler, idle time.Duration, connState func(net.Conn, http.ConnState)) *http.Server {
	return &http.Server{
		Handler: guard.Handler(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idle, MaxHeaderBytes: maxHeaderBytes, ConnState: connState,
	}
}

// serveHTTP runs a server with at most maxConns connections on an address in g.
func (p *Process) serveHTTP(ctx context.Context, g *errgroup.Group, name, addr string, maxConns int, srv *http.Server) error {
	ln, err := p.network.listenHTTP(ctx, addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	p.serveOn(ctx, g, name, ln, maxConns, srv)
	return nil
}

// serveOn runs a server with at most maxConns connections on a listener in g.
func (p *Process) serveOn(ctx context.Context, g *errgroup.Group, name string, ln net.Listener, maxConns int, srv *http.Server) {
	port := &guard.Port{Name: name, MaxConns: maxConns, Heads: &p.heads, Log: p.Log, Metrics: p.metrics}
	onRefuse := func(r *http.Request) {
		id := ""
		if p.HeaderCodec != nil {
			// Headers that can't be decoded leave the ID empty.
			call, _ := p.HeaderCodec.DecodeCall(r.Header)
			id = call.ID
		}
		p.Log.Info().Str("id", id).Str("port", name).Str("method", r.Method).Str("path", r.URL.Path).Msg("request refused while the servers close")
	}
	httpx.Serve(ctx, g, &httpx.Graceful{Server: srv, SendsAhead: guard.SendsAhead, OnRefuse: onRefuse}, port.Protect(srv, ln), p.closeTime)
}

// closeTime returns how long the HTTP servers may take to close once the components end.
func (p *Process) closeTime() time.Duration {
	switch end := p.endsAt.Load(); {
	case p.gate == nil:
		return controlCloseTimeout
	case end == 0:
		return closeTimeout
	default:
		return max(spareTime, time.Until(time.Unix(0, end))-spareTime)
	}
}

// drain blocks until the process can shut down. An entry waits for its in-flight requests
// within the grace period. A control instance waits for controlDrainTime; it transfers
// leadership only when its components are stopped.
func (p *Process) drain() {
	p.Log.Info().Msg("draining before shutdown")
	if p.gate == nil {
		time.Sleep(controlDrainTime)
		return
	}
	p.endsAt.Store(time.Now().Add(time.Duration(p.Settings.Grace)).UnixNano())
	p.gate.Drain()
	inFlight := func() int64 { return p.gate.InFlight() + p.relay.Active() }
	awaitDrained(time.Duration(p.Settings.Grace), p.gate.DrainLimit(), inFlight, &p.callers)
	active := p.gate.InFlight()
	p.gate.EndRequests()
	// While requests end they still use the link: without it they would place themselves locally.
	awaitEnded(endTimeout, p.gate.InFlight)
	p.Log.Info().Int64("active", active).Int("connections", p.callers.openCount()).Msg("drain finished")
}

// watchSettings reads the settings file at intervals and applies changed seeds. An
// invalid file is logged and otherwise ignored.
func (p *Process) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	current := p.Settings
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s, err := conf.LoadProcess(p.Path)
		if err != nil {
			p.Log.Warn().Err(err).Msg("settings not reloaded, keeping the current ones")
			continue
		}
		if slices.Equal(s.Seeds, current.Seeds) {
			continue
		}
		p.Log.Info().Strs("seeds", s.Seeds).Msg("seeds reloaded from the settings file")
		current = s
		if p.link != nil {
			p.link.SetSeeds(p.peerAddrs(s.Seeds))
		}
		if p.hub != nil {
			p.hub.SetSeeds(p.peerAddrs(s.Seeds))
		}
	}
}
