package gate

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/singleflight"

	"github.com/bambooproxy/bambooproxy/internal/guard"
	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/relay"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/internal/timing"
)

const (
	// defaultTimeout is the time limit of a request that has none.
	defaultTimeout = time.Minute
	// defaultMaxBodyBytes bounds a request body if the tables don't.
	defaultMaxBodyBytes = 16 << 20
	// shortRetryAfter is the Retry-After time for a condition that passes soon.
	shortRetryAfter = 200 * time.Millisecond
	// longRetryAfter is the Retry-After time if all targets are full.
	longRetryAfter = time.Second
	// startupPeriod is the time after the start of an instance in which requests wait for
	// tables and the link: an election and linking to the leader take two seconds. They
	// wait for tables up to maxTablesWait, or 1/tablesWaitDivisor of their own time limit.
	startupPeriod     = 5 * time.Second
	maxTablesWait     = 1500 * time.Millisecond
	tablesWaitDivisor = 3
	// noTablesRetryAfter is the Retry-After time if the instance has no tables.
	noTablesRetryAfter = 800 * time.Millisecond
	// writeGrace is how long after the deadline of a request its caller may still read the
	// response. After that the connection is closed, so that callers that read slowly or not at
	// all hold neither buffers nor engines.
	writeGrace = time.Second
	// lastWriteTime is how long after EndRequests writes in progress may take, and lastResponseTime how long the
	// responses that begin then may take: a busy process is late to write them.
	lastWriteTime    = 100 * time.Millisecond
	lastResponseTime = time.Second
	// idleSweepInterval is how often expired idle connections are closed.
	idleSweepInterval = time.Second
)

// Server serves the requests of callers.
type Server struct {
	Name, DataCentre string
	// Address is where callers reach this instance.
	Address string
	// Fair is place.Core.Fair of the cores for times without a scheduler.
	Fair bool
	// Regions are the regions of the data centres.
	Regions      site.Regions
	HeaderCodec  HeaderCodec
	TargetClient *hop.Client
	Link         *link.Client
	Budget       *RetryBudget
	// DrainTime is how long after Drain the requests in progress end at the latest, if the instance runs without delay.
	DrainTime time.Duration
	// Clock returns the time since some instant, including that in which the host was
	// suspended; nil means the clock of the Go runtime.
	Clock func() time.Duration
	// BufferBytes bounds the memory for buffered responses, and that for buffered requests; 0
	// means defaultBufferBytes.
	BufferBytes int64
	Log         *log.Logger
	Metrics     metrics.Registry

	views  viewStore
	placer placer
	health health
	// services decides about requests to plain services that are full.
	services services
	// blocklist holds the requests that must not be sent to targets.
	blocklist blocklist
	// buffers holds the responses of plain services until they are complete.
	buffers bodyBuffers
	// requestBodies holds the bodies of requests.
	requestBodies guard.Bodies
	pauses        pauseGuard
	// processChecks joins concurrent checks of the same target process.
	processChecks singleflight.Group
	// entries are the ready instances that are listed for callers.
	entries atomic.Pointer[[]link.Entry]
	// relays are the instances of other data centres that may relay for this one.
	relays atomic.Pointer[[]link.Entry]
	// instanceCount is the number of ready instances of the site.
	instanceCount atomic.Int64
	// peakCount is a higher number of them that still counts for the limits of cold targets.
	peakCount atomic.Pointer[countPeak]
	// drainStart is when the drain began, in nanoseconds since startedAt; 0 while the
	// instance serves.
	drainStart atomic.Int64
	// drainLate is by how much the drain is shorter than DrainTime, in nanoseconds.
	drainLate atomic.Int64
	// draining ends with Drain, and serving with EndRequests.
	draining, serving          context.Context
	startDraining, stopServing context.CancelFunc
	// answers are measured to tell what can't be answered during a drain.
	answers   answerTimes
	startedAt time.Time

	// inFlight is the number of requests in progress, and delay that of the timers; both are reported
	// to the leader.
	inFlight atomic.Int64
	delay    timerDelay
}

// Setup initialises the server. It must be called before Run and ServeHTTP.
func (s *Server) Setup() {
	s.startedAt = time.Now()
	s.draining, s.startDraining = context.WithCancel(context.Background())
	s.serving, s.stopServing = context.WithCancel(context.Background())
	s.views.setup()
	s.placer.server = s
	s.placer.setup()
	s.blocklist.server = s
	s.health.setup()
	s.health.coldShares = s.coldShares
	s.pauses = pauseGuard{Clock: s.Clock, Relink: s.Link.Reset, IsLinked: s.Link.IsLinked}
	if s.pauses.Clock == nil {
		s.pauses.Clock = func() time.Duration { return time.Since(s.startedAt) }
	}
	s.buffers.memory.Name, s.buffers.memory.Log, s.buffers.memory.Metrics = "bodies", s.Log, s.Metrics
	if s.buffers.memory.Limit = s.BufferBytes; s.buffers.memory.Limit == 0 {
		s.buffers.memory.Limit = defaultBufferBytes
	}
	s.requestBodies.Limit = s.buffers.memory.Limit
}

// Run closes expired idle connections and notes pauses of the process until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.pauses.start()
	lastSweep := time.Now()
	timing.Every(ctx, pauseCheckInterval, func() {
		s.pauses.note()
		s.delay.note(time.Now(), pauseCheckInterval)
		if time.Since(lastSweep) >= idleSweepInterval {
			lastSweep = time.Now()
			s.TargetClient.CloseExpired()
		}
	})
	s.TargetClient.Close()
	return nil
}

// IsReady reports whether callers should be sent to this instance.
func (s *Server) IsReady() bool {
	return s.drainStart.Load() == 0 && s.views.isUsable()
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := &exchange{server: s, w: w, r: r, start: time.Now()}
	defer x.logOutcome()
	defer func() { x.buffered.Release() }()
	s.pauses.await(r.Context())
	x.view = s.views.load()
	if s.drainingFor() > 0 && !guard.SendsAhead(r) {
		w.Header().Set("Connection", "close")
	}
	if !x.prepare() || x.refuseIfEvacuated() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	if x.isBound() {
		ctx = relay.Restrict(ctx, x.allowsRelay)
	}
	// This fails only on a closed connection, and then writes fail, too.
	_ = http.NewResponseController(w).SetWriteDeadline(x.deadline.Add(writeGrace))
	defer s.endWithServer(w, cancel)()
	s.Budget.recordRequest(x.pool.Name)
	x.serve(ctx)
}

// serve sends the request to targets and passes the answer on. The kind of the route alone decides how the answer reaches the
// caller, see hasEvents, and the pool alone how a target is chosen, see placement.
func (x *exchange) serve(ctx context.Context) {
	if x.pool.Engine == nil && !x.hasEvents() {
		x.servePlain(ctx)
		return
	}
	x.serveStream(ctx)
}

// endWithServer ends a request with EndRequests, and soon after it the writes that its caller holds up. The returned function
// ends that.
func (s *Server) endWithServer(w http.ResponseWriter, cancel context.CancelFunc) (stop func() bool) {
	return context.AfterFunc(s.serving, func() {
		// This fails only on a closed connection. It comes first, as the response has a deadline of its own.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(lastWriteTime))
		cancel()
	})
}

// extendWriteDeadline gives a response that begins after EndRequests time to be written.
func (x *exchange) extendWriteDeadline() {
	if x.server.serving.Err() != nil {
		// This fails only on a closed connection.
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(lastResponseTime))
	}
}
