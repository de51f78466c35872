package node

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/hub"
	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/internal/relay"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/internal/store"
	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/platform"
)

// serveFunc handles a request at a target.
type serveFunc func(e *testTarget, w http.ResponseWriter, c gate.CallInfo)

// fleet is a site of three control instances, some entries and targets on an in-memory
// network, with callers and targets that speak the platform's protocol.
type fleet struct {
	t     *testing.T
	net   memnet.Network
	serve serveFunc
	// slots is the number of slots of each target; 0 means 16.
	slots int
	// regions are in the settings of all instances, and targetDC returns the data centre of a target;
	// nil means dc. bind changes the tables before they are published; nil leaves them.
	regions  site.Regions
	targetDC func(number int) string
	bind     func(t *site.Tables)

	controls []*hub.Server
	// stopControl ends the control instance with the same index.
	stopControl []context.CancelFunc
	entries     []*http.Server
	wait        sync.WaitGroup

	mu       sync.Mutex
	arrivals []arrival
	crashes  []time.Time
	started  int
	// cold returns how much longer a target is cold, which its heartbeats tell; nil means that none
	// is.
	cold func(e *testTarget) time.Duration
}

// arrival is a request that reached an engine.
type arrival struct {
	at     time.Time
	call   gate.CallInfo
	target string
	entry  string
	// helpers are the addresses of the helpers.
	helpers []string
}

// testTarget is the process of an engine or a service.
type testTarget struct {
	site.Target
	fleet  *fleet
	number int
	http   *http.Server
	stop   context.CancelFunc
	// crashed and silent are guarded by fleet.mu. A silent process keeps its connections open.
	crashed, silent bool
	listener        net.Listener
}

const (
	entryHost = "10.0.1.%d"
	// heartbeat is how often targets announce themselves, and restartTime how long it takes
	// until another process replaces one that crashed.
	heartbeat   = 1200 * time.Millisecond
	restartTime = 3 * time.Second
	eventPause  = 45 * time.Millisecond
	// enginePool and servicePool are the pools, and the paths those of their routes.
	enginePool, servicePool         = "engines", "services"
	chatPath, lookupPath, orderPath = "/chat/", "/lookup/", "/order/"
)

// entryDC returns the data centre of an entry: the first three are in that of the targets.
func entryDC(i int) string { return []string{"dc", "dc2"}[min(i/3, 1)] }

// newFleet starts a site and waits until it serves. It ends with the context.
func newFleet(ctx context.Context, t *testing.T, entries, engines, services int, serve serveFunc, options ...func(f *fleet)) *fleet {
	t.Helper()
	f := &fleet{t: t, serve: serve}
	for _, set := range options {
		set(f)
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("10.0.0.%d:7", i+1))
	}
	logger := &log.Logger{Level: log.PanicLevel}
	for i, addr := range seeds {
		local := &wire.Server{}
		pool := &wire.Pool{Dial: f.net.Dialer(addr), Self: addr, Local: local}
		c := &hub.Server{
			Name: addr, DataCentre: "dc", PeerAddr: addr, SeedAddrs: seeds, Bootstrap: true, Voters: 3, Seed: uint64(i + 1),
			DataDir: "/data", Regions: f.regions, FS: &store.Mem{}, Calls: pool, Log: logger, Metrics: metrics.NewRegistry(),
		}
		f.controls = append(f.controls, c)
		local.Methods, local.Streams = c.Setup()
		ln, err := f.net.Listen(addr)
		quicktest.Assert(t, err, quicktest.IsNil)
		ctx, stop := context.WithCancel(ctx)
		f.stopControl = append(f.stopControl, stop)
		f.wait.Go(func() { _ = local.Serve(ctx, ln) })
		f.wait.Go(func() { _ = c.Run(ctx); pool.Close() })
	}
	time.Sleep(3 * time.Second)
	f.publish(ctx)
	for i := range entries {
		host := fmt.Sprintf(entryHost, i+1)
		calls := &wire.Pool{Dial: f.net.Dialer(host + ":7"), Self: host + ":7"}
		dialer := &relay.Dialer{Direct: f.net.Dialer(host), Calls: calls, DataCentre: entryDC(i), Log: logger, Metrics: metrics.NewRegistry()}
		client := &hop.Client{Dial: dialer.Dial}
		g := &gate.Server{
			Name: host, DataCentre: entryDC(i), Address: host + ":80", Regions: f.regions, HeaderCodec: platform.HeaderCodec{},
			TargetClient: client, Metrics: metrics.NewRegistry(), Log: logger,
			Budget: &gate.RetryBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		}
		g.Link = &link.Client{Self: link.Hello{Name: host, PeerAddr: host + ":7", DataCentre: entryDC(i)}, Calls: calls, Follower: g, Log: logger}
		g.Link.SetSeeds(seeds)
		g.Setup()
		dialer.Peers, dialer.OnCutOff = g.RelayPeers, client.Close
		tunnels := &relay.Server{Direct: f.net.Dialer(host), IsSuspect: dialer.IsSuspect, Gate: g, Log: logger}
		peers := &wire.Server{Streams: []wire.StreamMethod{tunnels.Method()}}
		peerListener, err := f.net.Listen(host + ":7")
		quicktest.Assert(t, err, quicktest.IsNil)
		f.wait.Go(func() { _ = peers.Serve(ctx, peerListener) })
		ln, err := f.net.Listen(host + ":80")
		quicktest.Assert(t, err, quicktest.IsNil)
		srv := &http.Server{Handler: g}
		f.entries = append(f.entries, srv)
		f.wait.Go(func() { _ = g.Run(ctx) })
		f.wait.Go(func() { _ = g.Link.Run(ctx); calls.Close() })
		f.wait.Go(func() { _ = srv.Serve(ln) })
	}
	for range engines {
		f.startTarget(ctx, enginePool)
	}
	for range services {
		f.startTarget(ctx, servicePool)
	}
	time.Sleep(3 * time.Second)
	return f
}

func (f *fleet) publish(ctx context.Context) {
	tables := fleetTables()
	if f.bind != nil {
		f.bind(tables)
	}
	quicktest.Assert(f.t, f.controls[0].Publish(ctx, tables, []byte("{}")), quicktest.IsNil)
}

func fleetTables() *site.Tables {
	return &site.Tables{
		Version: 1, Keyed: true, Organisations: []site.Organisation{{Name: "org", Keys: []string{"key"}}}, Bounds: site.Bounds{Body: 1000},
		Pools: []site.Pool{{Name: servicePool}, {Name: enginePool, Engine: &site.Engine{
			Slots: 16, Memory: 405_000, Step: 1310 * time.Microsecond, Rate: 154_000, Pairs: 162 * time.Microsecond, Chunk: 2048, Stride: 34,
		}}},
		Routes: []site.Route{{
			Name: "chat", Host: "h", Prefix: chatPath, Kind: site.Streaming, Limit: 10 * time.Second, Aim: 300 * time.Millisecond,
			Pause: 250 * time.Millisecond, Attempts: 2, Resumable: true, Split: []site.PoolWeight{{Pool: enginePool, Weight: 1}},
		}, {
			Name: "lookup", Host: "h", Prefix: lookupPath, Kind: site.Idempotent, Limit: time.Second, Aim: 150 * time.Millisecond,
			Attempts: 2, Split: []site.PoolWeight{{Pool: servicePool, Weight: 1}},
		}, {
			Name: "order", Host: "h", Prefix: orderPath, Kind: site.NonIdempotent, Limit: time.Second, Aim: 150 * time.Millisecond,
			Attempts: 2, Split: []site.PoolWeight{{Pool: servicePool, Weight: 1}},
		}},
	}
}

// crossPools leads each route to the other kind of pool.
func crossPools(t *site.Tables) {
	for i := range t.Routes {
		s := &t.Routes[i].Split[0]
		if s.Pool == enginePool {
			s.Pool = servicePool
		} else {
			s.Pool = enginePool
		}
	}
}

// startTarget starts the process of a target at an address of its own, and announces it until it ends.
func (f *fleet) startTarget(ctx context.Context, pool string) { f.startTargetAt(ctx, pool, "") }

// startTargetAt starts the process of a target at an address, or at one of its own.
func (f *fleet) startTargetAt(ctx context.Context, pool, address string) {
	f.mu.Lock()
	f.started++
	n := f.started
	f.mu.Unlock()
	if address == "" {
		address = fmt.Sprintf("10.0.2.%d:80", n)
	}
	fleetCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	e := &testTarget{fleet: f, number: n, stop: cancel, Target: site.Target{
		ID: fmt.Sprintf("%s-%03d", pool, n), Pool: pool, Address: address, DataCentre: "dc", Slots: cmp.Or(f.slots, 16), State: site.Ready, StartedMs: int64(n),
	}}
	if f.targetDC != nil {
		e.DataCentre = f.targetDC(n)
	}
	e.http = &http.Server{Handler: e}
	ln, err := f.net.Listen(e.Address)
	quicktest.Assert(f.t, err, quicktest.IsNil)
	e.listener = ln
	f.wait.Go(func() { _ = e.http.Serve(ln) })
	f.wait.Go(func() {
		defer e.http.Close()
		defer func() {
			if e.isSilent() {
				<-fleetCtx.Done()
			}
		}()
		for ctx.Err() == nil {
			e.Sequence++
			// A control instance without a leader refuses, and the next announcement counts. Those that
			// tell whether the target is cold go to the others, too.
			t, attempts := e.announcement()
			for i := range attempts {
				if f.controls[(int(e.Sequence)+i)%len(f.controls)].Announce(ctx, t) == nil {
					break
				}
			}
			select {
			case <-ctx.Done():
			case <-time.After(heartbeat):
			}
		}
	})
}

// announcement returns what a heartbeat tells, and how many control instances get it if they refuse.
func (e *testTarget) announcement() (t site.Target, attempts int) {
	t = e.Target
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if e.fleet.cold == nil {
		return t, 1
	}
	t.Cold = e.fleet.cold(e)
	return t, len(e.fleet.controls)
}

// crash ends the process at once, and starts another one after restartTime.
func (e *testTarget) crash(ctx context.Context) {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.crashed {
		return
	}
	e.crashed = true
	f.crashes = append(f.crashes, time.Now())
	e.stop()
	e.http.Close()
	f.wait.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(restartTime):
			f.startTarget(ctx, e.Pool)
		}
	})
}

// replace ends the process, and starts another one at the same address after a time. If it is silent,
// it keeps its connections open and accepts others until then.
func (e *testTarget) replace(ctx context.Context, silent bool, after time.Duration) {
	f := e.fleet
	f.mu.Lock()
	if e.crashed {
		f.mu.Unlock()
		return
	}
	e.crashed, e.silent = true, silent
	f.crashes = append(f.crashes, time.Now())
	f.mu.Unlock()
	e.stop()
	if !silent {
		e.http.Close()
	}
	f.wait.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(after):
			e.listener.Close()
			f.startTargetAt(ctx, e.Pool, e.Address)
		}
	})
}

func (e *testTarget) isSilent() bool {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.silent
}

// ServeHTTP records a request and serves it.
func (e *testTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, s, err := platform.DecodeRequest(r.Header)
	if err != nil || s.TargetID != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	f := e.fleet
	f.mu.Lock()
	a := arrival{at: time.Now(), call: c, target: e.ID, entry: r.RemoteAddr}
	for _, h := range s.Helpers {
		a.helpers = append(a.helpers, h.Target.Address)
	}
	f.arrivals = append(f.arrivals, a)
	f.mu.Unlock()
	f.serve(e, &silenceWriter{w, e, r.Context()}, c)
	if e.isSilent() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// silenceWriter writes nothing once the process of its target is silent.
type silenceWriter struct {
	http.ResponseWriter
	target *testTarget
	// ctx ends with the connection.
	ctx context.Context
}

func (w *silenceWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *silenceWriter) Write(b []byte) (int, error) {
	if w.target.isSilent() {
		<-w.ctx.Done()
		return 0, w.ctx.Err()
	}
	return w.ResponseWriter.Write(b)
}

// writeHead sets the headers of a response.
func writeHead(w http.ResponseWriter, r gate.ReplyInfo) {
	for k, v := range platform.EncodeReply(r, "seal") {
		w.Header()[k] = v
	}
}

// writeStream writes the events of an answer after the caller's last one.
func writeStream(w http.ResponseWriter, c gate.CallInfo, last int64) {
	for i := c.LastEventID + 1; i <= last; i++ {
		time.Sleep(eventPause)
		fmt.Fprintf(w, "id: %d\ndata: e\n\n", i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// call sends a request that is like no other to an entry. It returns the status, and whether the
// whole answer came.
func (f *fleet) call(ctx context.Context, entry int, path string, c gate.CallInfo) (status int, whole bool) {
	return f.send(ctx, entry, path, "prompt of "+c.ID, c)
}

// send sends a request with this body to an entry and returns the same as call.
func (f *fleet) send(ctx context.Context, entry int, path, body string, c gate.CallInfo) (status int, whole bool) {
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
		return f.net.Dialer("10.0.9.9")(ctx, addr)
	}, DisableKeepAlives: true}}
	c.Key, c.TimeLimit, c.PromptTokens, c.MaxOutputTokens = "key", 10*time.Second, max(5000, c.PromptTokens), cmp.Or(c.MaxOutputTokens, 1000)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fmt.Sprintf(entryHost, entry+1)+":80"+path, strings.NewReader(body))
	quicktest.Assert(f.t, err, quicktest.IsNil)
	q.Host, q.Header = "h", platform.EncodeCall(c)
	resp, err := client.Do(q)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err == nil && resp.StatusCode == http.StatusOK
}

// close ends the fleet; cancel ends its context.
func (f *fleet) close(cancel context.CancelFunc) {
	cancel()
	for _, e := range f.entries {
		e.Close()
	}
	f.wait.Wait()
	time.Sleep(3 * time.Second)
}
