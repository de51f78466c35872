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
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/httpx"
	"github.com/bambooproxy/bambooproxy/internal/hub"
	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/meter"
	"github.com/bambooproxy/bambooproxy/internal/store"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

const (
	// headerTimeout bounds the wait for the head of a request.
	headerTimeout = 10 * time.Second
	// maxHeader bounds the head of a request in bytes.
	maxHeader = 64 << 10
	// idleTimeout bounds the wait for another request on a connection. Callers
	// keep idle connections up to the limit in the tables, which is shorter.
	idleTimeout = 2 * time.Minute
	// reloadEvery is how often the settings file is looked at: it may change
	// without a signal.
	reloadEvery = time.Second
	// memoryShare is the part of the allowed memory that the heap may take
	// before it is collected more often.
	memoryShare = 0.6
	// lastPart is the part of the grace that is left for the end of the process, and
	// stayPart the part for which an entry stays at least: until callers have learnt
	// that it leaves.
	lastPart = 10
	stayPart = 3
	// stopLook is how often an entry that stops looks whether it has answered all.
	stopLook = 50 * time.Millisecond
	// closeTimeout bounds the wait for calls in progress when the process ends.
	closeTimeout = 300 * time.Millisecond
	// controlStay is how long a control instance that stops answers calls after it
	// has handed over.
	controlStay = 300 * time.Millisecond
)

// Handlers are what a process serves, made by the adapter to the platform.
type Handlers struct {
	Control   func(*hub.Server) http.Handler
	Directory func(link.Lister) http.Handler
	Ready     func(ready func() bool) http.Handler
	// Loads asks engines what they do; nil means that nobody asks.
	Loads func(*hop.Client) hub.Loads
}

// Process is one process of a site.
type Process struct {
	Settings conf.Process
	// Path is the settings file, which is read again when it changes.
	Path     string
	Dialect  gate.Dialect
	Handlers Handlers
	Log      *log.Logger

	net     network
	metrics metrics.Registry
	peers   *wire.Pool
	local   *wire.Server
	gate    *gate.Server
	link    *link.Client
	hub     *hub.Server
}

// Run serves until ctx ends, and then stops gracefully.
func (p *Process) Run(ctx context.Context) error {
	s := p.Settings
	debug.SetMemoryLimit(int64(float64(s.Memory<<20) * memoryShare))
	p.wire()
	p.Log.Info().Str("name", s.Name).Str("data_centre", s.DataCentre).Strs("seeds", s.Seeds).Bool("first", s.First).
		Int("pid", os.Getpid()).Msg("started")
	// The parts outlive ctx: a planned stop needs them.
	parts, halt := context.WithCancel(context.WithoutCancel(ctx))
	defer halt()
	g, parts := errgroup.WithContext(parts)
	if err := p.start(parts, g); err != nil {
		halt()
		return errors.CombineErrors(err, g.Wait())
	}
	g.Go(func() error {
		defer halt()
		select {
		case <-ctx.Done():
			p.stop()
		case <-parts.Done():
		}
		return nil
	})
	err := g.Wait()
	p.Log.Info().Err(err).Msg("stopped")
	return err
}

// wire builds the parts and hands them to each other.
func (p *Process) wire() {
	s := p.Settings
	p.net.bind = s.Bind
	p.metrics = metrics.NewRegistry()
	p.local = &wire.Server{}
	p.peers = &wire.Pool{Dial: p.net.dial, Self: s.Peers, Local: p.local}
	if s.Control != "" {
		p.hub = &hub.Server{
			Name: s.Name, DataCentre: s.DataCentre, Peers: s.Peers, Seeds: p.peersOf(s.Seeds), First: s.First,
			Voters: 2*s.Losses + 1, Data: s.Data, Files: store.OS{}, Clock: bootClock, Pool: p.peers, Log: p.Log, Metrics: p.metrics,
		}
		if p.Handlers.Loads != nil {
			p.hub.Loads = p.Handlers.Loads(&hop.Client{Dial: p.net.dial})
		}
		p.local.Methods, p.local.Streams = p.hub.Setup()
	}
	if s.Callers == "" {
		return
	}
	p.gate = &gate.Server{
		Name: s.Name, DataCentre: s.DataCentre, Address: s.Callers, Dialect: p.Dialect,
		Targets: &hop.Client{Dial: p.net.dial}, Log: p.Log, Metrics: p.metrics,
		Budget: &gate.Budget{Ratio: s.Repeats.Ratio, Slack: s.Repeats.Slack, Window: time.Duration(s.Repeats.Window)},
	}
	p.link = &link.Client{Self: link.Hello{Name: s.Name, Peers: s.Peers, DataCentre: s.DataCentre}, Calls: p.peers, Follower: p.gate, Log: p.Log}
	p.link.SetSeeds(p.peersOf(s.Seeds))
	p.gate.Link = p.link
	p.gate.Setup()
}

// peersOf returns the addresses for other instances that go with control
// addresses: the port is the same everywhere.
func (p *Process) peersOf(seeds []string) []string {
	_, port, err := net.SplitHostPort(p.Settings.Peers)
	if err != nil {
		return nil // The settings were checked.
	}
	var out []string
	for _, a := range seeds {
		if host, _, err := net.SplitHostPort(a); err == nil {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// start opens the listeners and starts every part.
func (p *Process) start(ctx context.Context, g *errgroup.Group) error {
	s := p.Settings
	if p.hub != nil {
		ln, err := p.net.listen(ctx, s.Peers)
		if err != nil {
			return errors.Wrap(err, "peers")
		}
		g.Go(func() error { return p.local.Serve(ctx, ln) })
		g.Go(func() error { return p.hub.Run(ctx) })
	}
	if p.gate != nil {
		g.Go(func() error { return p.gate.Run(ctx) })
		g.Go(func() error { return p.link.Run(ctx) })
		if err := p.serveHTTP(ctx, g, s.Callers, p.gate); err != nil {
			return err
		}
	}
	for _, l := range []struct {
		addr    string
		handler func() http.Handler
	}{
		{s.Control, func() http.Handler { return p.Handlers.Control(p.hub) }},
		{s.Directory, func() http.Handler { return p.Handlers.Directory(p.lister()) }},
		{s.Ready, func() http.Handler { return p.Handlers.Ready(p.isReady) }},
		{s.Metrics, p.metricsHandler},
	} {
		if l.addr == "" {
			continue
		}
		if err := p.serveHTTP(ctx, g, l.addr, l.handler()); err != nil {
			return err
		}
	}
	g.Go(func() error { return p.follow(ctx) })
	g.Go(func() error { return (&meter.Process{Metrics: p.metrics}).Run(ctx) })
	return nil
}

// lister is what answers look-ups here.
func (p *Process) lister() link.Lister {
	if p.hub != nil {
		return p.hub
	}
	return p.gate
}

func (p *Process) isReady() bool { return p.gate == nil || p.gate.IsReady() }

func (p *Process) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// The connection tells the reader if this fails.
		_ = meter.Write(w, p.metrics)
	})
}

func (p *Process) serveHTTP(ctx context.Context, g *errgroup.Group, addr string, h http.Handler) error {
	ln, err := p.net.listen(ctx, addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
	httpx.Serve(ctx, g, srv, ln, closeTimeout)
	return nil
}

// stop is a planned stop. An entry finishes what it has; a control instance
// hands over when its parts end.
func (p *Process) stop() {
	p.Log.Info().Msg("stopping")
	if p.gate == nil {
		time.Sleep(controlStay)
		return
	}
	p.gate.Leave()
	grace := time.Duration(p.Settings.Grace)
	end := time.Now().Add(grace - grace/lastPart)
	least := time.Now().Add(grace / stayPart)
	for time.Now().Before(end) {
		if p.gate.Active() == 0 && time.Now().After(least) {
			break
		}
		time.Sleep(stopLook)
	}
	p.Log.Info().Int64("active", p.gate.Active()).Msg("requests ended")
}

// follow reads the settings file again when it has changed.
func (p *Process) follow(ctx context.Context) error {
	tick := time.NewTicker(reloadEvery)
	defer tick.Stop()
	last := p.Settings
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		s, err := conf.LoadProcess(p.Path)
		if err != nil {
			p.Log.Warn().Err(err).Msg("settings not read again")
			continue
		}
		if slices.Equal(s.Seeds, last.Seeds) {
			continue
		}
		p.Log.Info().Strs("seeds", s.Seeds).Msg("settings read again")
		last = s
		if p.link != nil {
			p.link.SetSeeds(p.peersOf(s.Seeds))
		}
		if p.hub != nil {
			p.hub.SetSeeds(p.peersOf(s.Seeds))
		}
	}
}
