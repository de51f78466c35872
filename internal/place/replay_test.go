package place

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/red"
)

// baseline sends each request to one engine at once: to the one with the fewest answers, or
// to a random one.
type baseline struct {
	rng         *rand.Rand
	leastLoaded bool
	ids         []string
	busy        map[string]int
	assigned    map[string]string
}

func newBaseline(least bool) *baseline {
	return &baseline{rng: rand.New(rand.NewPCG(7, 7)), leastLoaded: least, busy: make(map[string]int), assigned: make(map[string]string)}
}

func (b *baseline) Waiting() int { return 0 }

func (b *baseline) Step(_ time.Time, e Event) []Decision {
	switch e := e.(type) {
	case Fleet:
		b.ids = b.ids[:0]
		for _, t := range e.Targets {
			b.ids = append(b.ids, t.ID)
		}
	case Arrive:
		id := b.ids[b.rng.IntN(len(b.ids))]
		for _, o := range b.ids {
			if b.leastLoaded && b.busy[o] < b.busy[id] {
				id = o
			}
		}
		b.busy[id]++
		b.assigned[e.Request.ID] = id
		return []Decision{Grant{ID: e.Request.ID, Lead: id}}
	case End:
		b.busy[b.assigned[e.ID]]--
	}
	return nil
}

// pattern is a load whose replay tests one quality of the placement.
type pattern struct {
	name string
	play func(s *sim)
	// from and to bound the arrivals that count.
	from, to time.Duration
	// fleet builds the engines; nil means 16 of the published model.
	fleet func(seed uint64, p placer) *sim
	// minEarned is the minimum fraction of the offered value to earn, by class.
	minEarned map[string]float64
	// minLead is the minimum lead in the earned fraction over the best baseline.
	minLead float64
}

const second = time.Second

func patterns() []pattern {
	return []pattern{
		{
			// Short answers alone, at two thirds of the engines' decode capacity.
			name: "short burst", from: second, to: 9 * second,
			play:      func(s *sim) { s.addLoad(short(), 0, 9*second, 65) },
			minEarned: map[string]float64{"short": 0.95}, minLead: 0,
		},
		{
			// Long prompts occupy half of the engines; short ones must not suffer.
			name: "long burst", from: second, to: 19 * second,
			play: func(s *sim) {
				s.addLoad(short(), 0, 19*second, 10)
				s.addLoad(medium(), 0, 19*second, 2)
				s.addLoad(long(), 0, 19*second, 1.6)
			},
			minEarned: map[string]float64{"short": 0.95, "medium": 0.9, "long": 0.75}, minLead: 0.1,
		},
		{
			// Demand changes within a second, and the split of the engines must follow.
			name: "flip", from: second, to: 29 * second,
			play: func(s *sim) {
				for i := range 3 {
					at := time.Duration(i) * 10 * second
					s.addLoad(long(), at, at+5*second, 1.8)
					s.addLoad(medium(), at, at+5*second, 2)
					s.addLoad(short(), at, at+5*second, 10)
					s.addLoad(short(), at+5*second, at+10*second, 65)
				}
			},
			minEarned: map[string]float64{"short": 0.9, "long": 0.7}, minLead: 0.1,
		},
		{
			// More load than the engines can serve: what is served must be on time.
			name: "overload", from: 2 * second, to: 14 * second,
			play: func(s *sim) {
				s.addLoad(short(), 0, 14*second, 110)
				s.addLoad(medium(), 0, 14*second, 2)
				s.addLoad(long(), 0, 14*second, 0.8)
			},
			minEarned: map[string]float64{"short": 0.5}, minLead: 0.1,
		},
		{
			// A third of the engines is lost under short and long load.
			name: "third lost", from: 6 * second, to: 19 * second,
			play: func(s *sim) {
				s.addLoad(short(), 0, 19*second, 35)
				s.addLoad(medium(), 0, 19*second, 1.5)
				s.addLoad(long(), 0, 19*second, 0.5)
				s.events.add(5*second, func() {
					for _, e := range s.engines[:5] {
						s.loseEngine(e)
					}
				})
			},
			minEarned: map[string]float64{"short": 0.9}, minLead: 0.1,
		},
		{
			// A third of the engines runs at a quarter of its speed.
			name: "third slow", from: 6 * second, to: 19 * second,
			play: func(s *sim) {
				s.addLoad(short(), 0, 19*second, 35)
				s.addLoad(medium(), 0, 19*second, 1)
				s.events.add(5*second, func() {
					for _, e := range s.engines[:5] {
						e.slowdown = 4
					}
				})
			},
			minEarned: map[string]float64{"short": 0.75}, minLead: 0.1,
		},
		{
			// Bursts of long, short and long requests in turn, up to nine tenths of the
			// engines' capacity: parts of large prompts must not stop the answers beside
			// them. The minimum for long prompts is the fraction that users require for the
			// whole load.
			name: "three bursts", from: 0, to: 28 * second,
			play:      func(s *sim) { s.addBursts(long(), medium(), 30, 1.7, 0.78) },
			minEarned: map[string]float64{"short": 0.95, "medium": 0.95, "long": 0.67}, minLead: 0.2,
		},
		{
			// The same bursts on the grown fleet, with longer prompts.
			name: "three bursts on 54 engines", from: 0, to: 28 * second,
			fleet: func(seed uint64, p placer) *sim { return newSimOf(seed, 54, grownEngine(), p) },
			play: func(s *sim) {
				l, m := long(), medium()
				l.prompt, l.ttftTarget, l.value, m.value = 260_000, 4*second, 34, 3.3
				s.addBursts(l, m, 84, 5.9, 1.9)
			},
			minEarned: map[string]float64{"short": 0.95, "medium": 0.95, "long": 0.72}, minLead: 0.2,
		},
	}
}

// score plays the pattern with a new placer for each seed, and returns the scores by class and in
// total.
func (p *pattern) score(newPlacer func() placer) (map[string]score, score) {
	return playSeeds(p.from, p.to, func(seed uint64) *sim {
		fleet := p.fleet
		if fleet == nil {
			fleet = func(seed uint64, pl placer) *sim { return newSim(seed, 16, pl) }
		}
		s := fleet(seed, newPlacer())
		p.play(s)
		s.run(p.to + 15*second)
		return s
	})
}

// TestReplay plays each load pattern against the placement and two baselines.
func TestReplay(t *testing.T) {
	for _, p := range patterns() {
		t.Run(p.name, func(t *testing.T) {
			byClass, sum := p.score(func() placer { return &Core{} })
			_, random := p.score(func() placer { return newBaseline(false) })
			_, least := p.score(func() placer { return newBaseline(true) })
			t.Logf("earned: own %.3f, random %.3f, least work %.3f", sum.earnedShare(), random.earnedShare(), least.earnedShare())
			for _, kind := range slices.Sorted(maps.Keys(byClass)) {
				t.Logf("%s: %v", kind, byClass[kind])
			}
			t.Logf("sum: %v", sum)
			for kind, want := range p.minEarned {
				c := byClass[kind]
				red.Check(t, kind, c.earnedShare() >= want, "earned %.3f, wanted %.3f", c.earnedShare(), want)
			}
			best := max(random.earnedShare(), least.earnedShare())
			red.Check(t, "lead", sum.earnedShare() >= best+p.minLead, "earned %.3f, baselines %.3f, wanted %.2f ahead", sum.earnedShare(), best, p.minLead)
		})
	}
}

// TestReplayIsDeterministic checks that the same seed gives the same scores.
func TestReplayIsDeterministic(t *testing.T) {
	play := func() score {
		s := newSim(3, 16, &Core{})
		s.addLoad(short(), 0, 5*second, 40)
		s.addLoad(long(), 0, 5*second, 1)
		s.run(15 * second)
		_, sum := s.scores(0, 5*second)
		return sum
	}
	quicktest.Assert(t, play(), quicktest.Equals, play())
}
