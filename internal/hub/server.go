// Package hub implements control instances. It keeps the registry of tables and targets on
// the replicated log. The leader also sends registry updates to the other instances, lists
// the instances that are ready for callers, and schedules the requests of engine pools.
package hub

import (
	"context"
	"path/filepath"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/quorum"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/internal/store"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

const (
	// logDir is the folder of the log within Server.DataDir.
	logDir = "log"
	// heartbeatInterval and electionTimeout are the timing of the log. Round trips within a
	// region take milliseconds, and entries have no scheduler during an election.
	heartbeatInterval = 150 * time.Millisecond
	electionTimeout   = time.Second
	// restartDelay is the pause before a replica is started again after a disk failure.
	restartDelay = 500 * time.Millisecond
)

// Server runs one control instance. Set the exported fields, then call Setup and Run.
type Server struct {
	Name, DataCentre string
	// PeerAddr is the address of this instance for other instances, and ControlAddr that for
	// operators and targets.
	PeerAddr, ControlAddr string
	// SeedAddrs are the peer addresses of the control instances to contact first. If
	// Bootstrap is set, they bootstrap the replication group; otherwise this instance joins
	// an existing one.
	SeedAddrs []string
	Bootstrap bool
	// Voters is the number of voting control instances.
	Voters int
	// DataDir is the folder for the log in the file system FS.
	DataDir string
	// Regions are the regions of the data centres.
	Regions site.Regions
	// Fair is place.Core.Fair of the schedulers.
	Fair bool
	FS   store.FS
	// Clock is the clock of the leader's lease and of pauses of the process. It includes the time in which the
	// host was suspended; nil means the clock of the Go runtime.
	Clock func() time.Duration
	// Seed seeds the jitter of elections; 0 means a random seed.
	Seed uint64
	// Calls makes the calls to other instances.
	Calls *wire.Pool
	// LoadReader reads load reports from engines for the audit; nil turns the audit off.
	LoadReader LoadReader
	Log        *log.Logger
	Metrics    metrics.Registry

	registry  reg.Machine
	directory directory
	scheduler scheduler
	blocker   blocker
	client    *link.Client
	forwarder forwarder
	loads     loadRelay
	// evacuations are the evacuated data centres as last seen in the registry.
	evacuations evacuationTracker
	// pauses detects pauses of the process, in which calls wait unread.
	pauses timing.PauseDetector

	mu       sync.Mutex
	node     *quorum.Node
	leading  bool
	sessions map[*session]struct{}
	// entryList is the sorted list of the ready instances that linked instances reported;
	// nil after a change, until it is needed.
	entryList []link.Entry
	// broadcastTimer runs the next broadcast of the list; nil if none is due.
	broadcastTimer *time.Timer
	// loggedEntries is the length of the list that was last logged.
	loggedEntries int
	// pendingHeartbeats are the targets whose heartbeats are not yet forwarded to the leader.
	pendingHeartbeats map[string]bool
	// As a follower, heardCold holds the latest report of how much longer each target is cold that this
	// instance received, and leaderCold the targets that the leader takes for cold.
	heardCold, leaderCold map[string]*heardCold
	coldQueue             coldQueue
	// announced is when this instance first had the announcements of cold targets.
	announced map[announcedCold]time.Time
	// pendingDrains are the departures of targets that are being committed.
	pendingDrains map[link.Departure]bool
	// knowsEvacuations holds what control instances have announced since this one leads, by peer
	// address, and leadingSince is when it began to.
	knowsEvacuations map[string]bool
	leadingSince     time.Time

	// auditGroup holds the audit that runs while this instance leads; cancelAudit ends it.
	auditGroup  sync.WaitGroup
	cancelAudit context.CancelFunc
}

// Setup prepares the server for Run and returns the methods that other instances call.
func (s *Server) Setup() ([]wire.Method, []wire.StreamMethod) {
	s.sessions = make(map[*session]struct{})
	s.pendingHeartbeats = make(map[string]bool)
	s.heardCold, s.leaderCold = make(map[string]*heardCold), make(map[string]*heardCold)
	s.pendingDrains = make(map[link.Departure]bool)
	s.scheduler.server, s.scheduler.auditWake = s, make(chan struct{}, 1)
	s.blocker.server = s
	s.forwarder.server, s.loads.server = s, s
	s.client = &link.Client{
		Self:  link.Hello{Name: s.Name, PeerAddr: s.PeerAddr, IsControl: true, Evacuates: true},
		Calls: s.Calls, Follower: &follower{s}, Suspended: s.isLeader, Log: s.Log,
	}
	s.client.SetSeeds(s.SeedAddrs)
	s.pauses.Limit, s.pauses.Clock = pauseLimit, s.Clock
	if s.pauses.Clock == nil {
		began := time.Now()
		s.pauses.Clock = func() time.Duration { return time.Since(began) }
	}
	s.node = s.newNode()
	methods := []wire.Method{
		{Name: readIndexMethod, New: func() any { return new(readIndexRequest) }, Run: s.handleReadIndex},
		{Name: forwardMethod, New: func() any { return new(forwardRequest) }, Run: s.handleForward},
		{Name: evacuateMethod, New: func() any { return new(reg.Evacuate) }, Run: s.handleEvacuate},
		{Name: loadsMethod, New: func() any { return new(loadsRequest) }, Run: s.handleLoads},
	}
	for _, m := range s.node.Methods() {
		methods = append(methods, s.forward(m))
	}
	return methods, []wire.StreamMethod{{Name: link.Method, Run: s.serveLink}}
}

// SetSeeds replaces the control instances to contact first.
func (s *Server) SetSeeds(seeds []string) { s.client.SetSeeds(seeds) }

// newNode returns a replica of the log that is not started yet.
func (s *Server) newNode() *quorum.Node {
	return &quorum.Node{
		Addr: s.PeerAddr, InitialMembers: s.SeedAddrs, DataDir: filepath.Join(s.DataDir, logDir), JoinExisting: !s.Bootstrap,
		TargetVoters: s.Voters, FS: s.FS, Machine: &s.registry, Calls: s.Calls, Log: s.Log,
		Seed: s.Seed, Clock: s.Clock,
		Timing: quorum.Timing{HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout},
	}
}

// forward returns a method that calls the current replica: a replica is replaced after a
// disk failure, but its methods are registered only once.
func (s *Server) forward(m wire.Method) wire.Method {
	return wire.Method{Name: m.Name, New: m.New, Run: func(ctx context.Context, in any) (any, error) {
		for _, cur := range s.replica().Methods() {
			if cur.Name == m.Name {
				return cur.Run(ctx, in)
			}
		}
		return nil, errNoReplica
	}}
}

// replica returns the current replica of the log.
func (s *Server) replica() *quorum.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node
}

// Run runs the replica of the log, the link to the leader and, while this instance leads,
// the leader's work. It returns when ctx ends.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.runReplica(ctx) })
	g.Go(func() error { return s.watchLeadership(ctx) })
	g.Go(func() error { return s.client.Run(ctx) })
	g.Go(func() error { return s.sweep(ctx) })
	g.Go(func() error { return s.watchEvacuations(ctx) })
	g.Go(func() error { return s.watchDemand(ctx) })
	s.pauses.Start()
	g.Go(func() error {
		timing.Every(ctx, pauseNoteInterval, func() { s.pauses.Note() })
		return nil
	})
	return g.Wait()
}

func (s *Server) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, s.Metrics)
}

// runReplica runs the replica and replaces it whenever its disk fails, until ctx ends.
func (s *Server) runReplica(ctx context.Context) error {
	for {
		err := s.replica().Run(ctx)
		if ctx.Err() != nil {
			return nil
		}
		s.Log.Error().Err(err).Str("folder", s.DataDir).Msg("replica of the replicated log failed; restarting it")
		s.mu.Lock()
		s.node = s.newNode()
		s.mu.Unlock()
		s.registry.Reset()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartDelay):
		}
	}
}
