// Package demo runs a small site with fake targets in one process, to try the system out.
package demo

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"golang.org/x/sync/errgroup"

	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/internal/fake"
	"github.com/bambooproxy/bambooproxy/internal/inst"
	"github.com/bambooproxy/bambooproxy/internal/trace"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

const (
	// Instances is the number of instances, one in each data centre.
	Instances = 3
	// Engines is the number of fake engines.
	Engines = 6
	// engineMemory is the KV cache of one engine in tokens. The longest prompts need
	// more than twice as much.
	engineMemory = 450_000
	// firstPort is the port of the first listener; the others use the ports after it.
	firstPort = 18400
	// headerTimeout bounds the time to read the headers of a request to a fake target.
	headerTimeout = 10 * time.Second
)

// dataCentres are the data centres of the instances. All targets are in the first one.
var dataCentres = [Instances]string{"dakar-a", "dakar-b", "dakar-c"}

// tablesFile is the content of the tables file: the routes and pools of the site.
const tablesFile = `{
  "routes": [
    {"name": "advice", "match": {"model": "starter-advice"}, "pool": "advice", "limit": "50s", "class": "interactive"},
    {"name": "orders", "match": {"path": "/orders/"}, "pool": "orders", "limit": "10s", "once": true},
  ],
  "pools": [
    {"name": "advice", "kind": "engine", "model": "starter-advice"},
    {"name": "orders", "kind": "service"},
  ],
}
`

// Site is a site on loopback addresses: instances, fake engines and a fake service.
type Site struct {
	// Folder is the folder for the tables file and the data of the instances.
	Folder string
	Log    *log.Logger

	engines []*fake.Engine
	service *fake.Service
	spans   spanRecorder
}

// OrderRuns returns the number of executions of the order with an idempotency key.
func (s *Site) OrderRuns(key string) int { return s.service.Runs(key) }

// Entry returns the address for callers of instance n, from 0.
func (*Site) Entry(n int) string { return address(3 * n) }

// UsedMemory returns the KV cache in use on all engines, in tokens.
func (s *Site) UsedMemory() int {
	n := 0
	for _, e := range s.engines {
		n += e.Held()
	}
	return n
}

// address returns the address of listener n.
func address(n int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+n) }

// Run runs the site until ctx is done or a part of it fails.
func (s *Site) Run(ctx context.Context) error {
	file := filepath.Join(s.Folder, "tables.json")
	if err := os.WriteFile(file, []byte(tablesFile), 0o600); err != nil {
		return errors.Wrap(err, "write the tables file")
	}
	g, ctx := errgroup.WithContext(ctx)
	for n := range Instances {
		i := s.newInstance(n, file)
		g.Go(func() error { return i.Run(ctx) })
	}
	for n := range Engines {
		t := s.newTarget(n, "advice", table.Engine)
		e := &fake.Engine{
			Target: t, Client: &http.Client{},
			Costs: fake.Costs{Prefill: 4 * time.Microsecond, Decode: 5 * time.Millisecond},
		}
		s.engines = append(s.engines, e)
		s.runTarget(ctx, g, t, e, e.Report)
	}
	t := s.newTarget(Engines, "orders", table.Service)
	s.service = &fake.Service{Target: t}
	s.runTarget(ctx, g, t, s.service, nil)
	return g.Wait()
}

// newInstance returns instance n, which reads its tables from file.
func (s *Site) newInstance(n int, file string) *inst.Instance {
	settings := conf.Defaults()
	settings.Name = fmt.Sprintf("entry-%d", n)
	settings.DataCentre = dataCentres[n]
	settings.Callers, settings.Peers, settings.Operators = address(3*n), address(3*n+1), address(3*n+2)
	for k := range Instances {
		settings.Seeds = append(settings.Seeds, address(3*k+1))
	}
	settings.Replicas, settings.Control = settings.Seeds, true
	settings.Data = filepath.Join(s.Folder, settings.Name)
	settings.Tables = file
	settings.Drain = table.Duration(time.Second)
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(&s.spans))
	return &inst.Instance{
		Settings: settings, Network: inst.TCP{}, Log: s.Log, Incarnation: 1,
		Trace: &trace.Provider{TracerProvider: provider, Shutdown: provider.Shutdown},
	}
}

// newTarget returns the description of target n.
func (*Site) newTarget(n int, pool string, kind table.Kind) engine.Target {
	return engine.Target{
		Name: fmt.Sprintf("target-%d", n), Addr: address(3*Instances + n), DataCentre: dataCentres[0],
		Pool: pool, Kind: kind, Memory: engineMemory, Incarnation: 1,
	}
}

// runTarget runs a fake target in g until ctx is done, and announces it to only two of the
// entries.
func (s *Site) runTarget(ctx context.Context, g *errgroup.Group, t engine.Target, h http.Handler, report func() engine.Report) {
	srv := &http.Server{Addr: t.Addr, Handler: h, ReadHeaderTimeout: headerTimeout}
	a := fake.Announcer{Client: &http.Client{}, Entries: []string{s.Entry(0), s.Entry(1)}, Target: t, Report: report}
	if e, ok := h.(*fake.Engine); ok {
		a.Pool = e.Orders.Pool
	}
	g.Go(func() error {
		if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		a.Run(ctx)
		return srv.Close()
	})
}
