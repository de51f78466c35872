package gate

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/place"
)

// serviceReplay is a replay of entries before plain services, on the clock of synctest. Each service has
// 6 slots and a queue of 24, and works for 15 to 60 ms on a request; a hop takes 1 ms.
type serviceReplay struct {
	rng      *rand.Rand
	entries  []*replayEntry
	services []*replayService
	// queued is set if entries use an admission.
	queued bool
	// rates returns the requests a second of an organisation at a time, as a part of the capacity.
	rates  func(org int, at time.Duration) float64
	events map[time.Duration][]func()
	now    time.Duration
	counts map[string]*replayCounts
}

// replayEntry is one entry.
type replayEntry struct {
	admission admission
	budget    RetryBudget
	inFlight  []int
	health    []place.Backoff
	waiting   []*replayRequest
}

// replayService is one service.
type replayService struct {
	running int
	queue   []func()
	lost    bool
}

// replayRequest is one attempt of a caller.
type replayRequest struct {
	ticket
	org      int
	first    time.Duration
	deadline time.Duration
	sends    int
	failed   []int
	entry    *replayEntry
}

// replayCounts counts requests of one rank or organisation. A request that was refused, came again and was
// answered is not refused, but late unless it was within the target latency of its first attempt.
type replayCounts struct{ all, onTime, late, refused, repeated, returned int }

const (
	replayOrgs     = 8
	replayMeanWork = 37500 * time.Microsecond
	replayHop      = time.Millisecond
)

// rankOf returns the rank of the requests of an organisation: one of eight is of rank 0, two are of rank 2.
func rankOf(org int) int { return []int{0, 1, 1, 1, 1, 1, 2, 2}[org] }

func (s *serviceReplay) after(d time.Duration, f func()) {
	at := s.now + max(d, time.Millisecond).Truncate(time.Millisecond)
	s.events[at] = append(s.events[at], f)
}

// play runs the replay; arrivals from 2 s on count.
func (s *serviceReplay) play(length time.Duration) {
	s.events, s.counts = make(map[time.Duration][]func()), make(map[string]*replayCounts)
	capacity := float64(len(s.services)*6) / replayMeanWork.Seconds()
	for s.now = 0; s.now < length+4*time.Second; s.now += time.Millisecond {
		time.Sleep(time.Millisecond)
		for _, f := range s.events[s.now] {
			f()
		}
		delete(s.events, s.now)
		for org := range replayOrgs {
			if s.now < length {
				s.sendNew(org, s.rates(org, s.now)*capacity/1000)
			}
		}
		for _, e := range s.entries {
			s.stepEntry(e)
		}
	}
}

// sendNew has callers of an organisation send new requests, a number of them on average.
func (s *serviceReplay) sendNew(org int, n float64) {
	for ; n > 0; n-- {
		if s.rng.Float64() < n {
			r := &replayRequest{org: org, first: s.now}
			s.count(r, func(c *replayCounts) { c.all++ })
			s.arrive(r)
		}
	}
}

// count changes the counts of the rank and of the organisation of a request.
func (s *serviceReplay) count(r *replayRequest, change func(*replayCounts)) {
	if r.first < 2*time.Second {
		return
	}
	for _, key := range []string{fmt.Sprint("rank ", rankOf(r.org)), fmt.Sprint("organisation ", r.org), "all"} {
		if s.counts[key] == nil {
			s.counts[key] = &replayCounts{}
		}
		change(s.counts[key])
	}
}

// arrive has a caller send a request to an entry at random: a new one, or one that was refused.
func (s *serviceReplay) arrive(r *replayRequest) {
	if r.deadline == 0 {
		r.deadline = s.now + 2*time.Second
	}
	r.entry = s.entries[s.rng.IntN(len(s.entries))]
	r.entry.budget.recordRequest("p")
	s.ask(r, true)
}

// ask asks the admission of the entry about the next send of a request.
func (s *serviceReplay) ask(r *replayRequest, isNew bool) {
	if !s.queued {
		s.send(r)
		return
	}
	left := r.deadline - s.now
	r.ticket = ticket{rank: rankOf(r.org), organisation: fmt.Sprint(r.org), aim: 200 * time.Millisecond, left: left, waited: s.now - r.first, phase: s.rng.Float64()}
	switch r.entry.admission.arrive(time.Now(), &r.ticket, isNew) {
	case admitSend:
		s.send(r)
	case admitWait:
		r.entry.waiting = append(r.entry.waiting, r)
	case admitRefuse:
		s.refuse(r, r.retryAfter)
	}
	s.collect(r.entry)
}

// stepEntry lets time pass at an entry.
func (s *serviceReplay) stepEntry(e *replayEntry) {
	if len(e.waiting) > 0 {
		e.admission.step(time.Now())
		s.collect(e)
	}
}

// collect carries out the decisions of the admission of an entry.
func (s *serviceReplay) collect(e *replayEntry) {
	var decided []*replayRequest
	e.waiting = slices.DeleteFunc(e.waiting, func(r *replayRequest) bool {
		if r.decided {
			decided = append(decided, r)
		}
		return r.decided
	})
	for _, r := range decided {
		if r.retryAfter > 0 {
			s.refuse(r, r.retryAfter)
		} else {
			s.send(r)
		}
	}
}

// refuse has a caller come again, if it has the time.
func (s *serviceReplay) refuse(r *replayRequest, after time.Duration) {
	if after > (r.deadline-s.now)/3 {
		s.count(r, func(c *replayCounts) { c.refused++ })
		return
	}
	s.count(r, func(c *replayCounts) { c.returned++ })
	s.after(after, func() { s.arrive(&replayRequest{org: r.org, first: r.first, deadline: r.deadline}) })
}

// pick returns the target that servePlain would choose; -1 if the request has failed at all of them.
func (s *serviceReplay) pick(r *replayRequest) int {
	best, cost := -1, 0.0
	for i := range s.services {
		c := float64(r.entry.inFlight[i]) + s.rng.Float64()/4
		if r.entry.health[i].IsEjected(time.Now()) {
			c += 1000
		}
		if !slices.Contains(r.failed, i) && (best < 0 || c < cost) {
			best, cost = i, c
		}
	}
	return best
}

// send sends a request to a target, or refuses it.
func (s *serviceReplay) send(r *replayRequest) {
	e, target := r.entry, s.pick(r)
	if target < 0 || r.sends >= 3 || r.sends > 0 && !e.budget.acquireRetry("p", len(s.entries)) {
		s.refuse(r, longRetryAfter)
		return
	}
	if r.sends++; r.sends > 1 {
		s.count(r, func(c *replayCounts) { c.repeated++ })
	}
	e.inFlight[target]++
	began := s.now
	s.after(replayHop, func() {
		s.serve(s.services[target], func(ok bool) {
			s.after(replayHop, func() {
				e.inFlight[target]--
				if ok {
					e.health[target].Reset()
					s.answer(r, s.now-began)
					return
				}
				s.fail(r, target)
			})
		})
	})
}

// serve has a service work on a request now or later, or refuse it.
func (s *serviceReplay) serve(v *replayService, finish func(ok bool)) {
	switch {
	case v.lost:
		finish(false)
	case v.running < 6:
		s.work(v, finish)
	case len(v.queue) < 24:
		v.queue = append(v.queue, func() { s.work(v, finish) })
	default:
		finish(false)
	}
}

// fail takes in that a target could not be reached or has refused a request.
func (s *serviceReplay) fail(r *replayRequest, target int) {
	e := r.entry
	e.health[target].Fail(time.Now(), minEjection, maxEjection)
	if !s.services[target].lost && s.queued {
		anotherIsFree := slices.ContainsFunc(e.health, func(h place.Backoff) bool { return !h.IsEjected(time.Now()) })
		e.admission.refused(time.Now(), anotherIsFree, e.inFlight[0]+e.inFlight[1]+e.inFlight[2])
	}
	r.failed = append(r.failed, target)
	s.ask(r, false)
}

// work has a service work on a request.
func (s *serviceReplay) work(v *replayService, finish func(ok bool)) {
	v.running++
	s.after(15*time.Millisecond+time.Duration(s.rng.Int64N(int64(45*time.Millisecond))), func() {
		v.running--
		finish(true)
		if len(v.queue) > 0 {
			next := v.queue[0]
			v.queue = v.queue[1:]
			next()
		}
	})
}

// answer counts an answer.
func (s *serviceReplay) answer(r *replayRequest, took time.Duration) {
	r.entry.admission.answered(time.Now(), took, took, 200*time.Millisecond)
	s.count(r, func(c *replayCounts) {
		switch {
		case s.now > r.deadline:
			c.refused++
		case s.now-r.first > 200*time.Millisecond:
			c.late++
		default:
			c.onTime++
		}
	})
}

// newServiceReplay returns a replay of entries before 3 services.
func newServiceReplay(seed uint64, entries int, rates func(org int, at time.Duration) float64) *serviceReplay {
	s := &serviceReplay{rng: rand.New(rand.NewPCG(seed, 9)), rates: rates, services: []*replayService{{}, {}, {}}}
	for range entries {
		s.entries = append(s.entries, &replayEntry{budget: RetryBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, inFlight: make([]int, 3), health: make([]place.Backoff, 3)})
	}
	return s
}

// TestReplayOfServices guards against services under which, when they are short, requests of a high rank, or
// of organisations that send no more than before, are late or refused as often as the others; under which
// a rank is hardly served at all; that serve less in all than without an admission; and that refuse
// anything while they aren't short. It prints who waits, who is refused and who is late.
func TestReplayOfServices(t *testing.T) {
	burst := func(times float64) func(int, time.Duration) float64 {
		return func(_ int, at time.Duration) float64 {
			if at >= 2*time.Second && at < 7*time.Second {
				return times / replayOrgs
			}
			return 0.5 / replayOrgs
		}
	}
	for _, c := range []struct {
		name    string
		entries int
		rates   func(org int, at time.Duration) float64
		lose    bool
		// least is how many in 100 requests must be on time.
		least map[string]float64
	}{
		{name: "half of the capacity", entries: 85, rates: burst(0.5), least: map[string]float64{"all": 99.9}},
		{name: "nearly the capacity", entries: 85, rates: burst(0.95), least: map[string]float64{"all": 97}},
		{name: "three times the capacity", entries: 85, rates: burst(3), least: map[string]float64{"rank 0": 50}},
		{name: "one organisation", entries: 85, rates: func(org int, at time.Duration) float64 {
			if org == 1 && at >= 2*time.Second && at < 7*time.Second {
				return 2.5
			}
			return 0.5 / replayOrgs
		}, least: map[string]float64{"rank 0": 70, "organisation 2": 70, "organisation 5": 70, "rank 2": 70}},
		{name: "one service lost", entries: 85, rates: burst(0.9), lose: true},
		{name: "an entry alone", entries: 1, rates: burst(3), least: map[string]float64{"rank 0": 90}},
	} {
		for seed := range uint64(2) {
			var played [2]*serviceReplay
			for i := range played {
				synctest.Test(t, func(*testing.T) {
					s := newServiceReplay(seed+1, c.entries, c.rates)
					s.queued, s.services[2].lost = i == 1, c.lose
					s.play(9 * time.Second)
					played[i] = s
				})
			}
			t.Logf("%s, seed %d: before, after, in 100 of the requests%s", c.name, seed+1, compareReplays(played[0], played[1]))
			checkReplay(t, c.name, played[0].counts, played[1].counts, c.least)
		}
	}
}

// checkReplay checks the counts of a replay, compared with those without an admission.
func checkReplay(t *testing.T, name string, before, after map[string]*replayCounts, least map[string]float64) {
	t.Helper()
	check := func(ok bool, what string) {
		t.Helper()
		quicktest.Check(t, ok, quicktest.IsTrue, quicktest.Commentf("%s: %s", name, what))
	}
	all := after["all"]
	check(all.part(all.onTime) >= before["all"].part(before["all"].onTime)-1, "on time in all")
	check(all.part(all.repeated) <= 20, "repeated")
	for k, n := range after {
		check(n.part(n.onTime+n.late) >= all.part(all.onTime+all.late)/4, k+" is served")
		check(least[k] == 0 || n.part(n.onTime) >= least[k], k+" on time")
	}
}

// part returns a count in 100 of the requests.
func (c *replayCounts) part(n int) float64 { return 100 * float64(n) / float64(max(1, c.all)) }

// compareReplays returns the counts of replays as a table.
func compareReplays(played ...*serviceReplay) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(played[0].counts)) {
		fmt.Fprintf(&b, "\n%-15s", k)
		for _, s := range played {
			if n := s.counts[k]; n != nil {
				fmt.Fprintf(&b, " | %5d: on time %5.1f late %4.1f refused %4.1f repeated %4.1f returned %4.1f", n.all, n.part(n.onTime), n.part(n.late), n.part(n.refused), n.part(n.repeated), n.part(n.returned))
			}
		}
	}
	return b.String()
}

// TestAdmissionOrder guards against requests that are sent in another order than rank, organisations with
// fewer sends, due time; and against a burst that goes before others because of its rank.
func TestAdmissionOrder(t *testing.T) {
	now := time.Unix(100, 0)
	a := admission{}
	a.answered(now, 50*time.Millisecond, 50*time.Millisecond, time.Second)
	a.refused(now, false, 0)
	a.turns, a.rate = -50, 40
	for range 20 {
		a.counts(&ticket{rank: 0, organisation: "burst"}).arrived++
	}
	a.counts(&ticket{rank: 1, organisation: "b"}).sent = 20
	var tickets []*ticket
	for _, v := range []struct {
		organisation string
		rank         int
		aim          time.Duration
	}{{"burst", 0, 9}, {"low", 2, 9}, {"b", 1, 9}, {"a", 1, 9}, {"a", 1, 8}, {"first", 0, 9}} {
		x := &ticket{rank: v.rank, organisation: v.organisation, aim: v.aim * time.Second, left: 30 * time.Second}
		quicktest.Assert(t, a.arrive(now, x, true), quicktest.Equals, admitWait)
		tickets = append(tickets, x)
	}
	order := ""
	for i := range 400 {
		a.step(now.Add(time.Duration(i) * 10 * time.Millisecond))
		for j, x := range tickets {
			if x != nil && x.decided {
				quicktest.Assert(t, x.retryAfter, quicktest.Equals, time.Duration(0))
				order += fmt.Sprint(j)
				tickets[j] = nil
			}
		}
	}
	quicktest.Check(t, order, quicktest.Equals, "543210")
}

// TestOneTargetThatRefusesIsNoShortage guards against requests that wait while another target has room.
func TestOneTargetThatRefusesIsNoShortage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{respond(503, "", notRunHeader), respond(200, "done", sealHeader)}, nil)
		for range 30 {
			res := s.call(idempotentPath, "")
			quicktest.Assert(t, res.status, quicktest.Equals, 200)
			quicktest.Assert(t, res.took < 10*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", res.took))
			time.Sleep(100 * time.Millisecond)
		}
		quicktest.Check(t, s.gate.services.pool("plain").full, quicktest.IsFalse)
	})
}

// TestFullServices guards against refusals of full services that are passed on although there is time for a
// further send, against refusals without Retry-After, and against an entry that goes on to refuse or
// delay requests once there is room again.
func TestFullServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var busy, served atomic.Int32
		full := func(f *fakeTarget, c net.Conn, q *http.Request) bool {
			defer busy.Add(-1)
			if busy.Add(1) > 4 {
				return respond(503, "", notRunHeader)(f, c, q)
			}
			time.Sleep(40 * time.Millisecond)
			served.Add(1)
			return respond(200, "done", sealHeader)(f, c, q)
		}
		s := newTestbed(t, []script{full, full}, nil)
		var wg sync.WaitGroup
		for range 750 {
			time.Sleep(4 * time.Millisecond)
			wg.Go(func() {
				res := s.call(nonIdempotentPath, "")
				if res.status == 503 {
					quicktest.Check(t, res.header.Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
				} else {
					quicktest.Check(t, res.status, quicktest.Equals, 200)
				}
			})
		}
		wg.Wait()
		// 4 requests at a time, each for 40 ms, are 300 of the 750 in 3 s.
		quicktest.Check(t, served.Load() >= 225, quicktest.IsTrue, quicktest.Commentf("%d served", served.Load()))
		quicktest.Check(t, s.logs.String(), quicktest.Contains, "pool of services is full")
		quicktest.Check(t, s.logs.String(), quicktest.Contains, fullReason)
		time.Sleep(2 * fullTime)
		res := s.call(nonIdempotentPath, "")
		quicktest.Check(t, res.status, quicktest.Equals, 200)
		quicktest.Check(t, res.took <= 50*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", res.took))
		quicktest.Check(t, s.gate.services.pool("plain").full, quicktest.IsFalse)
	})
}
