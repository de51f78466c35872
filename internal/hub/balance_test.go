package hub

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// migration is a replay of callers that move between data centres. Each looks up addresses, uses one of
// them at random for 3 to 6 s, and sends a request from time to time, which lasts for some seconds.
type migration struct {
	rng      *rand.Rand
	entries  []link.Entry
	regions  site.Regions
	balanced bool
	// demand is the requests a second of one caller at a time.
	demand  func(at time.Duration) float64
	moves   []move
	balance *balance
	spreads []link.Spread
	now     time.Duration
	callers []*roamer
	// running are the requests in progress, and inFlight their number by entry.
	running    []requestEnd
	inFlight   map[string]int
	sent, away int
}

// requestEnd is when a request at an entry ends.
type requestEnd struct {
	at    time.Duration
	entry string
}

// move has a part of the callers of all other data centres move to one of them, within a time.
type move struct {
	at, within time.Duration
	to         string
	part       float64
}

// roamer is one caller.
type roamer struct {
	// centre is its data centre, until it moves.
	centre, movesTo string
	movesAt         time.Duration
	// addresses are what it has looked up, until they expire.
	addresses []link.Entry
	expires   time.Duration
}

// migrationResult is what a replay has shown.
type migrationResult struct {
	// worst is the largest load of a data centre per instance, as a multiple of the mean, after the
	// first 2 s of each move, and late the same 12 s and more after it.
	worst, late float64
	// away is the part of all requests that went to another data centre, and changes the number of
	// changes of what look-ups answer.
	away    float64
	changes int
}

const migrationStep = 100 * time.Millisecond

// play runs the replay with a number of callers.
func (m *migration) play(callers int, length time.Duration) migrationResult {
	start := time.Unix(0, 0)
	m.balance = newBalance(start, m.regions, nil)
	for i := range callers {
		c := &roamer{centre: m.entries[i%len(m.entries)].DataCentre}
		for _, v := range m.moves {
			if c.centre != v.to && m.rng.Float64() < v.part {
				c.movesTo, c.movesAt = v.to, v.at+time.Duration(m.rng.Int64N(int64(v.within)))
			}
		}
		m.callers = append(m.callers, c)
	}
	m.inFlight = make(map[string]int)
	var res migrationResult
	for m.now = 0; m.now < length; m.now += migrationStep {
		m.endRequests()
		m.sendRequests()
		if m.now%time.Second != 0 {
			continue
		}
		loads := make(map[string]link.Load)
		for _, e := range m.entries {
			loads[e.Name] = link.Load{Requests: uint32(m.inFlight[e.Name])}
		}
		report := loadReport(m.entries, loads)
		if m.balanced {
			res.changes += len(m.balance.step(start.Add(m.now), report))
			m.spreads = m.balance.spreads()
		}
		m.measure(report, &res)
	}
	res.away = float64(m.away) / float64(max(1, m.sent))
	return res
}

// endRequests ends the requests that are due.
func (m *migration) endRequests() {
	m.running = slices.DeleteFunc(m.running, func(e requestEnd) bool {
		if e.at <= m.now {
			m.inFlight[e.entry]--
		}
		return e.at <= m.now
	})
}

// sendRequests has callers move, look up addresses and send requests.
func (m *migration) sendRequests() {
	for _, c := range m.callers {
		if c.movesTo != "" && m.now >= c.movesAt {
			c.centre, c.movesTo, c.expires = c.movesTo, "", 0
		}
		if m.rng.Float64() >= m.demand(m.now)*migrationStep.Seconds() {
			continue
		}
		if m.now >= c.expires {
			seed := m.entries[m.rng.IntN(len(m.entries))].Name
			c.addresses = link.SpreadEntries(m.entries, c.centre, m.regions, m.spreads, seed)
			c.expires = m.now + 3*time.Second + time.Duration(m.rng.Int64N(int64(3*time.Second)))
		}
		e := c.addresses[m.rng.IntN(len(c.addresses))]
		m.inFlight[e.Name]++
		m.running = append(m.running, requestEnd{m.now + time.Duration((0.5+m.rng.ExpFloat64()*3)*float64(time.Second)), e.Name})
		m.sent++
		if e.DataCentre != c.centre {
			m.away++
		}
	}
}

// measure updates the largest loads.
func (m *migration) measure(report map[string]centreReport, res *migrationResult) {
	total, instances, most := 0, 0, 0.0
	for _, r := range report {
		total += r.requests
		instances += r.instances
		most = max(most, float64(r.requests)/float64(r.instances))
	}
	most /= max(1, float64(total)/float64(instances))
	if m.now < 8*time.Second {
		return
	}
	res.worst = max(res.worst, most)
	late := true
	for _, v := range m.moves {
		late = late && (m.now < v.at || m.now > v.at+v.within+12*time.Second)
	}
	if late {
		res.late = max(res.late, most)
	}
}

// newMigration returns a replay with a number of instances in each data centre.
func newMigration(seed uint64, sizes ...int) *migration {
	m := &migration{rng: rand.New(rand.NewPCG(seed, 5)), demand: func(time.Duration) float64 { return 0.15 }}
	for i, n := range sizes {
		dc := string(rune('a' + i))
		for j := range n {
			m.entries = append(m.entries, link.Entry{Name: fmt.Sprintf("e-%s-%02d", dc, j), DataCentre: dc, Address: fmt.Sprintf("10.%d.0.%d:80", i, j)})
		}
	}
	return m
}

// TestReplayOfMovingCallers guards against data centres whose instances are overloaded while others
// are idle, because callers have moved there within seconds, and against answers that change or send
// callers away although the load is even enough.
func TestReplayOfMovingCallers(t *testing.T) {
	swing := func(at time.Duration) float64 { return 0.15 * (1 + 0.55*math.Sin(at.Seconds()*2*math.Pi/20)) }
	for _, c := range []struct {
		name    string
		sizes   []int
		moves   []move
		swings  bool
		changes int
		late    float64
	}{
		{name: "swings alone", sizes: []int{28, 28, 27}, swings: true},
		{name: "half to one", sizes: []int{28, 28, 27}, swings: true, moves: []move{{20 * time.Second, 3 * time.Second, "b", 0.5}}, changes: 3, late: 2.2},
		{name: "to a small one", sizes: []int{35, 35, 13}, swings: true, moves: []move{{20 * time.Second, 3 * time.Second, "c", 0.5}}, changes: 4, late: 1.8},
		{name: "most, to one of two", sizes: []int{42, 41}, swings: true, moves: []move{{20 * time.Second, 3 * time.Second, "a", 0.8}}, changes: 4},
		{name: "195 entries", sizes: []int{65, 65, 65}, moves: []move{{20 * time.Second, 3 * time.Second, "a", 0.8}}, changes: 4, late: 1.7},
	} {
		for seed := range uint64(2) {
			var res [2]migrationResult
			for i := range res {
				m := newMigration(seed, c.sizes...)
				m.moves, m.balanced = c.moves, i == 1
				if c.swings {
					m.demand = swing
				}
				res[i] = m.play(1500, 50*time.Second)
			}
			before, after := res[0], res[1]
			comment := quicktest.Commentf("%s, seed %d: load of the busiest data centre, as a multiple of the mean: %.2f, 12 s later %.2f, before %.2f, %.2f; %.3f of the requests away, %d changes",
				c.name, seed, after.worst, after.late, before.worst, before.late, after.away, after.changes)
			t.Log(comment)
			quicktest.Check(t, after.changes <= c.changes, quicktest.IsTrue, comment)
			quicktest.Check(t, c.late == 0 || after.late <= c.late, quicktest.IsTrue, comment)
			quicktest.Check(t, len(c.moves) > 0 || after.away == 0, quicktest.IsTrue, comment)
		}
	}
}

// TestBalanceDecisions guards against a spread that begins where nobody has room, that flaps, that
// is forgotten by a new leader, or that outlives what is known of the load by more than 5 s.
func TestBalanceDecisions(t *testing.T) {
	start := time.Unix(0, 0)
	report := func(requests int, delay time.Duration) centreReport {
		return centreReport{instances: 10, reporting: 10, requests: requests, delay: 10 * delay}
	}
	none := centreReport{instances: 10}
	for name, c := range map[string]struct {
		regions site.Regions
		former  []link.Spread
		loads   map[string]centreReport
		after   time.Duration
		want    string
	}{
		"even":                   {loads: map[string]centreReport{"a": report(100, 0), "b": report(90, 0), "c": report(40, 0)}},
		"few requests":           {loads: map[string]centreReport{"a": report(18, 0), "b": report(1, 0), "c": report(1, 0)}},
		"above twice the mean":   {loads: map[string]centreReport{"a": report(200, 0), "b": report(30, 0), "c": report(30, 0)}, want: "[{a [{b 229} {c 229}]}]"},
		"another region is idle": {regions: site.Regions{"a": "eu", "b": "us", "c": "us"}, loads: map[string]centreReport{"a": report(200, time.Second), "b": report(30, 0), "c": report(30, 0)}},
		"timers are late":        {loads: map[string]centreReport{"a": report(150, 80*time.Millisecond), "b": report(90, 0), "c": report(60, 80*time.Millisecond)}, want: "[{a [{b 333}]}]"},
		"late everywhere":        {loads: map[string]centreReport{"a": report(200, 80*time.Millisecond), "b": report(30, 80*time.Millisecond), "c": report(30, 80*time.Millisecond)}},
		"former, still above":    {former: []link.Spread{{DataCentre: "a", Parts: []link.SpreadPart{{DataCentre: "b", PerMille: 400}}}}, loads: map[string]centreReport{"a": report(100, 0), "b": report(60, 0), "c": report(40, 0)}, after: 3 * time.Second, want: "[{a [{b 400}]}]"},
		"former, load even":      {former: []link.Spread{{DataCentre: "a", Parts: []link.SpreadPart{{DataCentre: "b", PerMille: 400}}}}, loads: map[string]centreReport{"a": report(30, 0), "b": report(70, 0), "c": report(50, 0)}, after: 12 * time.Second},
		"former, unknown load":   {former: []link.Spread{{DataCentre: "a", Parts: []link.SpreadPart{{DataCentre: "b", PerMille: 400}}}}, loads: map[string]centreReport{"a": none, "b": none}, after: 5 * time.Second, want: "[{a [{b 400}]}]"},
		"former, long unknown":   {former: []link.Spread{{DataCentre: "a", Parts: []link.SpreadPart{{DataCentre: "b", PerMille: 400}}}}, loads: map[string]centreReport{"a": none, "b": none}, after: 6 * time.Second},
	} {
		b := newBalance(start, c.regions, c.former)
		for at := time.Second; at <= max(time.Second, c.after); at += time.Second {
			b.step(start.Add(at), c.loads)
		}
		quicktest.Check(t, fmt.Sprint(b.spreads()), quicktest.Equals, cmp.Or(c.want, "[]"), quicktest.Commentf("%s", name))
	}
}
