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

// engineMemory is the KV cache capacity of the only engine, in tokens.
const engineMemory = 1000

var shard = member.Shard{Pool: "advice", DataCentre: "dakar-a"}

// testbed is a scheduler with one engine and one entry, without a network between them.
type testbed struct {
	engine.Engine
	t       *testing.T
	service *Service
	stop    func()

	mu    sync.Mutex
	epoch uint64
	// inUse lists the grants that the entry is using. holdings lists the requests for which
	// the engine has reserved memory. Both are keyed by grant ID.
	inUse    map[string]LiveGrant
	holdings map[string]engine.Holding
	// unresponsive makes calls to the entry fail.
	unresponsive bool
}

func newTestbed(t *testing.T) *testbed {
	s := &testbed{t: t, epoch: 1, inUse: make(map[string]LiveGrant), holdings: make(map[string]engine.Holding)}
	s.start()
	return s
}

// start runs the scheduler, and announces the engine to it every second.
func (s *testbed) start() {
	ctx, cancel := context.WithCancel(s.t.Context())
	s.service = &Service{Self: "i1", Members: s, Calls: s, Engine: s, Log: &log.Logger{Level: log.PanicLevel}}
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.service.Run(ctx) })
	wg.Go(func() {
		for ctx.Err() == nil {
			_, _ = s.service.handleAnnounce(ctx, s.announcement()) // Fails until the scheduler has started.
			sleepContext(ctx, time.Second)
		}
	})
	s.stop = func() {
		cancel()
		wg.Wait()
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *testbed) announcement() *AnnounceCall {
	return &AnnounceCall{Shard: shard, Announcement: engine.Announcement{Target: engine.Target{
		Name: "t1", Addr: "10.1.0.1:80", DataCentre: shard.DataCentre, Pool: shard.Pool,
		Kind: table.Engine, Memory: engineMemory, Incarnation: 1,
	}}}
}

// replaceScheduler stops the scheduler, starts one with a new epoch and waits for the end
// of its takeover.
func (s *testbed) replaceScheduler() {
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

// View returns a view with one instance, which holds the lease of the shard.
func (s *testbed) View() *member.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &member.View{
		Members: []member.Member{{Name: "i1", DataCentre: shard.DataCentre, PeerAddr: "10.0.0.1:81", State: member.Serving}},
		Leases:  []member.Lease{{Shard: shard, Holder: "i1", Epoch: s.epoch}},
	}
}

// Live reports that the configuration lease is valid.
func (*testbed) Live() bool { return true }

// grantsInUse returns the grants that the entry is using, sorted by ID.
func (s *testbed) grantsInUse() []LiveGrant {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []LiveGrant
	for _, g := range s.inUse {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b LiveGrant) int { return strings.Compare(a.Grant.ID, b.Grant.ID) })
	return out
}

// Call replies to a LiveGrantsCall in place of the entry.
func (s *testbed) Call(_ context.Context, _, _ string, _, out any) error {
	s.mu.Lock()
	unresponsive := s.unresponsive
	s.mu.Unlock()
	if unresponsive {
		return verd.New(verd.MayHaveRun, verd.Unreached, "entry does not answer")
	}
	out.(*LiveGrantsReply).Grants = s.grantsInUse()
	return nil
}

// Holdings returns the requests for which the engine has reserved memory.
func (s *testbed) Holdings(context.Context, string) ([]engine.Holding, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []engine.Holding
	for _, h := range s.holdings {
		out = append(out, h)
	}
	return out, nil
}

// Cancel frees the memory that the engine has reserved for a grant.
func (s *testbed) Cancel(_ context.Context, _, grant string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.holdings, grant)
	return nil
}

func ask(id string, tokens int) policy.Ask {
	return policy.Ask{ID: id, Organisation: "levain", Prompt: tokens, Left: time.Minute}
}

// poll polls once and returns the grant, or nil if the request has to wait.
func (s *testbed) poll(a policy.Ask) *policy.Grant {
	s.t.Helper()
	rep, err := s.service.handleAsk(s.t.Context(), &AskCall{Shard: shard, Ask: a})
	quicktest.Assert(s.t, err, quicktest.IsNil)
	return rep.(*AskReply).Grant
}

// use starts a request under a grant: the entry uses it and the engine reserves its memory.
func (s *testbed) use(g *policy.Grant, a policy.Ask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse[g.ID] = LiveGrant{Shard: shard, Grant: *g, Ask: a}
	s.holdings[g.ID] = engine.Holding{Grant: g.ID, ID: g.ID, Epoch: g.Epoch, Tokens: g.Share}
}

// renew renews the grants in use, and has those adopted that the scheduler does not know.
func (s *testbed) renew() {
	var call RenewCall
	for _, g := range s.grantsInUse() {
		call.Renewals = append(call.Renewals, Renewal{
			Shard: shard, Grant: g.Grant.ID, Progress: policy.Progress{First: time.Millisecond, Generated: 1},
		})
	}
	rep, err := s.service.handleRenew(s.t.Context(), &call)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	for _, id := range rep.(*RenewReply).Unknown {
		s.mu.Lock()
		g := s.inUse[id]
		s.mu.Unlock()
		_, err := s.service.handleAdopt(s.t.Context(), &AdoptCall{Grants: []LiveGrant{g}})
		quicktest.Assert(s.t, err, quicktest.IsNil)
	}
}

// forget ends the use of a grant by the entry and, if onEngine is set, also frees the
// memory that the engine has reserved for it.
func (s *testbed) forget(id string, onEngine bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inUse, id)
	if onEngine {
		delete(s.holdings, id)
	}
}

func (s *testbed) heldTokens() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, h := range s.holdings {
		n += h.Tokens
	}
	return n
}
