// Package hub is the side of the control instances: it keeps the registry on the
// replicated log, tells the other instances what changes, knows which of them
// callers may use, and places the requests of engine pools.
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
	"github.com/bambooproxy/bambooproxy/internal/store"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

const (
	// logFolder is the part of the data folder for the log.
	logFolder = "log"
	// heartbeat and election are those of the log. Links of one region answer
	// within milliseconds, and entries have no scheduler during an election.
	heartbeat = 150 * time.Millisecond
	election  = time.Second
	// reopenEvery is the pause before a replica whose disk failed starts again.
	reopenEvery = 500 * time.Millisecond
)

// Server is the control part of one instance.
type Server struct {
	Name, DataCentre string
	// Peers is the address for other instances.
	Peers string
	// Seeds are the peer addresses of control instances to begin with. They
	// found the group where First is set.
	Seeds []string
	First bool
	// Voters is how many control instances vote.
	Voters int
	// Data is the folder for the log, on Files.
	Data  string
	Files store.FS
	// Clock is the time for the leader's lease; nil means the runtime's.
	Clock func() time.Duration
	// Seed draws the jitter of elections; 0 stands for one by chance.
	Seed uint64
	Pool *wire.Pool
	// Loads asks engines what they do; nil means that nobody asks.
	Loads   Loads
	Log     *log.Logger
	Metrics metrics.Registry

	machine reg.Machine
	dir     directory
	sched   scheduler
	client  *link.Client

	mu       sync.Mutex
	node     *quorum.Node
	leads    bool
	sessions map[*session]struct{}
	heard    map[string]bool

	// audits waits for the audit that runs while this instance leads, and unaudit ends it.
	audits  sync.WaitGroup
	unaudit context.CancelFunc
}

// Setup prepares the server before Run and returns the calls that it answers.
func (s *Server) Setup() ([]wire.Method, []wire.StreamMethod) {
	s.sessions = make(map[*session]struct{})
	s.heard = make(map[string]bool)
	s.sched.server = s
	s.client = &link.Client{
		Self:  link.Hello{Name: s.Name, Peers: s.Peers, Control: true},
		Calls: s.Pool, Follower: &follower{s}, Idle: s.isLeader, Log: s.Log,
	}
	s.client.SetSeeds(s.Seeds)
	s.node = s.newNode()
	methods := []wire.Method{{Name: readMethod, New: func() any { return new(readAsk) }, Run: s.onRead}}
	for _, m := range s.node.Methods() {
		methods = append(methods, s.delegate(m))
	}
	return methods, []wire.StreamMethod{{Name: link.Method, Run: s.serve}}
}

// SetSeeds replaces the control instances to look for.
func (s *Server) SetSeeds(seeds []string) { s.client.SetSeeds(seeds) }

func (s *Server) newNode() *quorum.Node {
	return &quorum.Node{
		Self: s.Peers, Founders: s.Seeds, Folder: filepath.Join(s.Data, logFolder), Join: !s.First,
		Voters: s.Voters, FS: s.Files, Machine: &s.machine, Calls: s.Pool, Log: s.Log,
		Seed: s.Seed, Clock: s.Clock,
		Timing: quorum.Timing{Heartbeat: heartbeat, Election: election},
	}
}

// delegate hands a call to the replica that runs now: one whose disk failed is
// replaced.
func (s *Server) delegate(m wire.Method) wire.Method {
	return wire.Method{Name: m.Name, New: m.New, Run: func(ctx context.Context, in any) (any, error) {
		for _, now := range s.replica().Methods() {
			if now.Name == m.Name {
				return now.Run(ctx, in)
			}
		}
		return nil, errNoReplica
	}}
}

func (s *Server) replica() *quorum.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.keepReplica(ctx) })
	g.Go(func() error { return s.watchLead(ctx) })
	g.Go(func() error { return s.client.Run(ctx) })
	g.Go(func() error { return s.sweep(ctx) })
	return g.Wait()
}

// counter returns the counter with the name.
func (s *Server) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, s.Metrics)
}

// keepReplica runs the replica, and starts it again after its disk has failed.
func (s *Server) keepReplica(ctx context.Context) error {
	for {
		err := s.replica().Run(ctx)
		if ctx.Err() != nil {
			return nil
		}
		s.Log.Error().Err(err).Str("folder", s.Data).Msg("replica stopped; it starts again")
		s.machine.Reset()
		s.mu.Lock()
		s.node = s.newNode()
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reopenEvery):
		}
	}
}
