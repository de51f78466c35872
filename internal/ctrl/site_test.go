package ctrl

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// controlAddr is the peer address of the control instance.
const controlAddr = "control"

// site is a control instance and members that call each other without a network.
type site struct {
	t      testing.TB
	server *Server
	log    *closableLog
	wg     sync.WaitGroup
	stops  []context.CancelFunc

	mu    sync.Mutex
	hosts map[string]*wire.Server
	// partitioned has the partitioned addresses: calls from and to them hang.
	partitioned map[string]bool
	// loseReply has the methods whose next reply is lost.
	loseReply map[string]bool
	// lossRand, if set, loses one request and one reply in lossOneIn.
	lossRand *rand.Rand
}

// lossOneIn is the number of messages of which one is lost on average.
const lossOneIn = 8

func newSite(t testing.TB) *site {
	s := &site{t: t, hosts: make(map[string]*wire.Server), partitioned: make(map[string]bool), loseReply: make(map[string]bool)}
	s.restart(&Machine{})
	return s
}

// closableLog is a log that can be closed: its instance is then no longer the leader.
type closableLog struct {
	MemoryLog
	closed atomic.Bool
}

func (g *closableLog) Barrier(context.Context) error {
	if g.closed.Load() {
		return verd.New(verd.NotRun, verd.Unavailable, "not the leader")
	}
	return nil
}

func (g *closableLog) Leader() (string, bool) { return "", false }

// restart replaces the leader by a new one with the state machine m.
func (s *site) restart(m *Machine) {
	if s.log != nil {
		s.log.closed.Store(true)
	}
	s.log = &closableLog{MemoryLog: MemoryLog{Machine: m}}
	s.server = &Server{Tables: tables("a", "b"), Machine: m, Replicated: s.log, Log: quietLogger()}
	s.serve(controlAddr, s.server.Methods())
}

func (s *site) serve(addr string, methods []wire.Method) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[addr] = &wire.Server{Methods: methods}
}

func (s *site) setPartitioned(addr string, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned[addr] = partitioned
}

// loseNextReply loses the reply to the next call of a method.
func (s *site) loseNextReply(method string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseReply[method] = true
}

func (s *site) run(f func(context.Context)) context.CancelFunc {
	ctx, cancel := context.WithCancel(s.t.Context())
	s.wg.Go(func() { f(ctx) })
	s.stops = append(s.stops, cancel)
	return cancel
}

func (s *site) close() {
	for _, stop := range s.stops {
		stop()
	}
	s.wg.Wait()
}

// startMember starts member n in a data centre and returns the function that stops
// it.
func (s *site) startMember(n int, dc string) (*Agent, context.CancelFunc) {
	name := fmt.Sprintf("m%03d", n)
	m := member.Member{Name: name, DataCentre: dc, PeerAddr: name, Incarnation: 1, State: member.Serving}
	a := NewAgent(m, s.client(name), hostCaller{s, name}, quietLogger())
	s.serve(name, a.Methods())
	return a, s.run(func(ctx context.Context) { _ = a.Run(ctx) })
}

func (s *site) client(from string) *Client {
	return &Client{Seeds: []string{controlAddr}, Calls: hostCaller{s, from}}
}

// hostCaller makes the calls of one host.
type hostCaller struct {
	site *site
	from string
}

func (l hostCaller) Call(ctx context.Context, addr, method string, in, out any) error {
	l.site.mu.Lock()
	partitioned := l.site.partitioned[l.from] || l.site.partitioned[addr]
	host := l.site.hosts[addr]
	replyLost := l.site.loseReply[method]
	delete(l.site.loseReply, method)
	requestLost := l.site.drawLoss()
	replyLost = replyLost || l.site.drawLoss()
	l.site.mu.Unlock()
	if requestLost {
		return verd.New(verd.MayHaveRun, verd.Unreached, "request of %s lost", method)
	}
	if host == nil {
		return verd.New(verd.NotRun, verd.Unreached, "dial %s", addr)
	}
	if partitioned {
		<-ctx.Done()
		return verd.Wrap(ctx.Err(), verd.MayHaveRun, verd.Unreached, "call %s", method)
	}
	err := (&wire.Pool{Self: addr, Local: host}).Call(ctx, addr, method, in, out)
	if replyLost {
		return verd.New(verd.MayHaveRun, verd.Unreached, "reply of %s lost", method)
	}
	return err
}

func (s *site) drawLoss() bool { return s.lossRand != nil && s.lossRand.IntN(lossOneIn) == 0 }

func quietLogger() *log.Logger { return &log.Logger{Level: log.PanicLevel} }

// tables returns tables with one route and one pool for each name.
func tables(names ...string) table.Tables {
	var t table.Tables
	for _, n := range names {
		t.Routes = append(t.Routes, table.Route{Name: n, Match: table.Match{Model: n}, Pool: n, Limit: table.Duration(time.Minute)})
		t.Pools = append(t.Pools, table.Pool{Name: n, Kind: table.Engine, Model: n})
	}
	return t
}

// apply sends a change as an operator and returns its outcome and how long it took.
func (s *site) apply(c Change) (Outcome, time.Duration) {
	s.t.Helper()
	var out Outcome
	began := time.Now()
	ctx, stop := context.WithTimeout(s.t.Context(), 10*time.Second)
	defer stop()
	err := s.client("operator").Call(ctx, applyMethod, &c, &out)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	return out, time.Since(began)
}
