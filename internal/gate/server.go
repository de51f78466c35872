package gate

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/timing"
)

const (
	// defaultLeft is the time limit of a request that names none.
	defaultLeft = time.Minute
	// defaultBody bounds a body in bytes where the tables don't.
	defaultBody = 16 << 20
	// soon is when a caller may come back that met a passing state.
	soon = 200 * time.Millisecond
	// later is when a caller may come back that met a full fleet.
	later = time.Second
	// startTime is how long an instance that has started counts on getting tables
	// soon: an election and the search for the leader take two seconds. A request
	// waits for them up to startWait, or a startPart-th of its time.
	startTime = 5 * time.Second
	startWait = 1500 * time.Millisecond
	startPart = 3
	// startRetry is when a caller may come back that found no tables.
	startRetry = 800 * time.Millisecond
	// acceptAfterLeave is how long an instance that leaves takes new requests:
	// until callers have learnt of it.
	acceptAfterLeave = 2500 * time.Millisecond
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = time.Second
)

// Server takes the requests of callers.
type Server struct {
	Name, DataCentre string
	// Address is the one for callers.
	Address string
	Dialect Dialect
	Targets *hop.Client
	Link    *link.Client
	Budget  *Budget
	Log     *log.Logger
	Metrics metrics.Registry

	world  world
	broker broker
	health health
	// near are the ready instances to name to callers.
	near atomic.Pointer[[]link.Entry]
	// others is the number of ready instances of the site.
	others atomic.Int64
	// left is when the instance began to leave, in nanoseconds of its run; 0
	// while it serves.
	left atomic.Int64
	born time.Time

	// count is the number of requests in progress.
	count atomic.Int64
}

// Setup prepares the server before Run.
func (s *Server) Setup() {
	s.born = time.Now()
	s.world.setup()
	s.broker.server = s
	s.broker.setup()
	s.health.setup()
}

// Run keeps the upkeep going until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	timing.Every(ctx, sweepEvery, s.Targets.CloseExpired)
	s.Targets.Close()
	return nil
}

// IsReady says whether callers should come here.
func (s *Server) IsReady() bool {
	v := s.world.view()
	return s.left.Load() == 0 && v != nil && v.index != nil
}

// Leave begins a planned stop: callers are no longer sent here.
func (s *Server) Leave() { s.left.CompareAndSwap(0, int64(time.Since(s.born))+1) }

// leaving returns since when the instance leaves; 0 while it serves.
func (s *Server) leaving() time.Duration {
	at := s.left.Load()
	if at == 0 {
		return 0
	}
	return max(1, time.Since(s.born)-time.Duration(at))
}

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.count.Load() }

// ServeHTTP answers a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.count.Add(1)
	defer s.count.Add(-1)
	x := &exchange{server: s, w: w, r: r, start: time.Now(), view: s.world.view()}
	defer x.finish()
	if s.leaving() > 0 {
		w.Header().Set("Connection", "close")
	}
	if !x.prepare() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	s.Budget.note(x.pool.Name)
	if x.pool.Engine != nil {
		x.serveEngine(ctx)
		return
	}
	x.servePlain(ctx)
}
