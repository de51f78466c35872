package sched

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/policy"
	"github.com/bambooproxy/bambooproxy/internal/seed"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

func TestMain(m *testing.M) { seed.Main(m) }

// memory is the room of the one engine in tokens.
const memory = 1000

var shard = member.Shard{Pool: "advice", DataCentre: "dakar-a"}

// stand is a scheduler with one engine and one entry, without a network.
type stand struct {
	engine.Engine
	t       *testing.T
	service *Service
	stop    func()

	mu    sync.Mutex
	epoch uint64
	// live are the grants that the entry uses, held what the engine keeps.
	live map[string]LiveGrant
	held map[string]engine.Holding
	// deaf makes the entry answer no calls.
	deaf bool
}

func newStand(t *testing.T) *stand {
	s := &stand{t: t, epoch: 1, live: make(map[string]LiveGrant), held: make(map[string]engine.Holding)}
	s.start()
	return s
}

// start runs the scheduler and announces the engine every second.
func (s *stand) start() {
	ctx, cancel := context.WithCancel(s.t.Context())
	s.service = &Service{Self: "i1", Members: s, Calls: s, Engine: s, Log: &log.Logger{Level: log.PanicLevel}}
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.service.Run(ctx) })
	wg.Go(func() {
		for ctx.Err() == nil {
			_, _ = s.service.announce(ctx, s.announcement()) // There may be no scheduler yet.
			sleep(ctx, time.Second)
		}
	})
	s.stop = func() {
		cancel()
		wg.Wait()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *stand) announcement() *AnnounceCall {
	return &AnnounceCall{Shard: shard, News: engine.Announcement{Target: engine.Target{
		Name: "t1", Addr: "10.1.0.1:80", DataCentre: shard.DataCentre, Pool: shard.Pool,
		Kind: table.Engine, Memory: memory, Incarnation: 1,
	}}}
}

// restart replaces the scheduler by one with a new epoch.
func (s *stand) restart() {
	s.stop()
	s.mu.Lock()
	s.epoch++
	s.mu.Unlock()
	s.start()
	for range 4 {
		time.Sleep(policy.LeaseTime / 3)
		s.renew()
	}
}

// View names one instance, which schedules the shard.
func (s *stand) View() *member.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &member.View{
		Members: []member.Member{{Name: "i1", DataCentre: shard.DataCentre, Peers: "10.0.0.1:81", State: member.Serving}},
		Leases:  []member.Lease{{Shard: shard, Holder: "i1", Epoch: s.epoch}},
	}
}

// Live says that the configuration is in force.
func (*stand) Live() bool { return true }

// grants lists what the entry uses.
func (s *stand) grants() []LiveGrant {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []LiveGrant
	for _, g := range s.live {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b LiveGrant) int { return strings.Compare(a.Grant.ID, b.Grant.ID) })
	return out
}

// Call answers the question for live grants.
func (s *stand) Call(_ context.Context, _, _ string, _, out any) error {
	s.mu.Lock()
	deaf := s.deaf
	s.mu.Unlock()
	if deaf {
		return verd.New(verd.MayHaveRun, verd.Unreached, "deaf")
	}
	out.(*LiveReply).Grants = s.grants()
	return nil
}

// Holdings lists what the engine keeps.
func (s *stand) Holdings(context.Context, string) ([]engine.Holding, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []engine.Holding
	for _, h := range s.held {
		out = append(out, h)
	}
	return out, nil
}

// Cancel makes the engine forget a grant.
func (s *stand) Cancel(_ context.Context, _, grant string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, grant)
	return nil
}

func ask(id string, tokens int) policy.Ask {
	return policy.Ask{ID: id, Organisation: "levain", Prompt: tokens, Left: time.Minute}
}

// poll asks once, and returns the grant if there is one.
func (s *stand) poll(a policy.Ask) *policy.Grant {
	s.t.Helper()
	rep, err := s.service.ask(s.t.Context(), &AskCall{Shard: shard, Ask: a})
	quicktest.Assert(s.t, err, quicktest.IsNil)
	return rep.(*AskReply).Grant
}

// use lets the entry hold a grant and the engine keep its memory.
func (s *stand) use(g *policy.Grant, a policy.Ask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live[g.ID] = LiveGrant{Shard: shard, Grant: *g, Ask: a}
	s.held[g.ID] = engine.Holding{Grant: g.ID, ID: g.ID, Epoch: g.Epoch, Tokens: g.Share}
}

// renew renews what the entry uses, and hands over what is unknown.
func (s *stand) renew() {
	var call RenewCall
	for _, g := range s.grants() {
		call.Renewals = append(call.Renewals, Renewal{
			Shard: shard, Grant: g.Grant.ID, Progress: policy.Progress{First: time.Millisecond, Generated: 1},
		})
	}
	rep, err := s.service.renew(s.t.Context(), &call)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	for _, id := range rep.(*RenewReply).Unknown {
		s.mu.Lock()
		g := s.live[id]
		s.mu.Unlock()
		_, err := s.service.adopt(s.t.Context(), &AdoptCall{Grants: []LiveGrant{g}})
		quicktest.Assert(s.t, err, quicktest.IsNil)
	}
}

// drop makes the entry forget a grant, and the engine too if it is told.
func (s *stand) drop(id string, told bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.live, id)
	if told {
		delete(s.held, id)
	}
}

func (s *stand) heldTokens() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, h := range s.held {
		n += h.Tokens
	}
	return n
}
