package trial

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/red"
)

const (
	// testSeed and testLength are the seed and the length of all traces.
	testSeed   = 1
	testLength = 3 * time.Minute

	firstTokenTarget = 330 * time.Millisecond
	blockingTarget80 = 50 * time.Millisecond
	blockingTarget95 = 100 * time.Millisecond
	speedupTarget    = 3
	goodputTarget    = 0.9
)

// sharedCapacities keeps the tests from measuring the same fleet twice.
var sharedCapacities CapacityCache

// runScenario runs the system's own policy and the contenders in a scenario. The result
// of the system's own policy comes first.
func runScenario(t *testing.T, w Workload, name string, contenders ...Contender) []Result {
	t.Helper()
	s, ok := FindScenario(name)
	quicktest.Assert(t, ok, quicktest.IsTrue)
	contenders = slices.Insert(contenders, 0, SystemPolicy("own", 0))
	p := Plan{
		Workloads: []Workload{w}, Scenarios: []Scenario{s}, Contenders: contenders,
		Seed: testSeed, Length: testLength, Parallel: 2, Capacities: &sharedCapacities,
	}
	return p.Run()[0].Results
}

// forEachWorkload runs a check as a parallel subtest for each workload.
func forEachWorkload(t *testing.T, check func(*testing.T, Workload)) {
	t.Helper()
	for _, w := range Workloads() {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			check(t, w)
		})
	}
}

// TestLoad80 guards against short prompts that wait behind long ones at 80% load, and
// against leaked KV cache.
func TestLoad80(t *testing.T) {
	forEachWorkload(t, func(t *testing.T, w Workload) {
		own := runScenario(t, w, "load-80")[0]
		quicktest.Check(t, own.LeakedTokens, quicktest.Equals, 0)
		red.Check(t, "blocking", own.Blocking <= blockingTarget80, "blocking p95 %s over %s", own.Blocking, blockingTarget80)
	})
}

// TestLoad95 guards against a policy that does not outperform the baselines at 95% load, in
// the time to first token of short prompts or in goodput. Long prompts may neither block
// short ones nor be late.
func TestLoad95(t *testing.T) {
	forEachWorkload(t, func(t *testing.T, w Workload) {
		results := runScenario(t, w, "load-95", Baselines()[:5]...)
		own, others := results[0], results[1:]
		first := own.FirstToken[0].P95
		quicktest.Check(t, own.LeakedTokens, quicktest.Equals, 0)
		red.Check(t, "first", first <= firstTokenTarget, "first token p95 %s over %s", first, firstTokenTarget)
		red.Check(t, "blocking", own.Blocking <= blockingTarget95, "blocking p95 %s over %s", own.Blocking, blockingTarget95)
		red.Check(t, "longest", own.HugeLate == 0, "%d of the longest prompts late", own.HugeLate)
		best := slices.MinFunc(others, func(a, b Result) int { return int(a.FirstToken[0].P95 - b.FirstToken[0].P95) })
		red.Check(t, "lead", speedupTarget*first <= best.FirstToken[0].P95,
			"first token p95 %s, with %s %s", first, best.Contender, best.FirstToken[0].P95)
		red.Check(t, "goodput", own.Goodput >= best.Goodput,
			"goodput %.3f, with %s %.3f", own.Goodput, best.Contender, best.Goodput)
	})
}

// TestLoad120 guards against granted requests that miss their time limits under overload:
// work beyond the capacity must be refused early.
func TestLoad120(t *testing.T) {
	forEachWorkload(t, func(t *testing.T, w Workload) {
		own := runScenario(t, w, "load-120")[0]
		quicktest.Check(t, own.LeakedTokens, quicktest.Equals, 0)
		red.Check(t, "goodput", own.Goodput >= goodputTarget, "goodput %.3f", own.Goodput)
		red.Check(t, "late", own.Late == 0, "%d granted requests late", own.Late)
	})
}

// TestFaults guards against leaked reservations: after the failure of an engine or a data
// centre, with late load reports and without cache events, all KV cache must be free at
// the end, no request may expire in the queue, and short prompts must start in time.
func TestFaults(t *testing.T) {
	for _, name := range []string{"engine-lost", "data-centre-lost", "lag-5s", "cache-events-lost"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			own := runScenario(t, Levain(), name)[0]
			quicktest.Check(t, own.LeakedTokens, quicktest.Equals, 0)
			quicktest.Check(t, own.Expired, quicktest.Equals, 0)
			red.Check(t, "first", own.FirstToken[0].P95 <= firstTokenTarget, "first token p95 %s", own.FirstToken[0].P95)
		})
	}
}

// TestBeatsBaselinesWithOtherCosts guards against a policy that is tuned to one cost model:
// short prompts must start sooner than with the baselines also when the engines are twice
// as fast or slow, or the policy's initial cost model is wrong by a factor of three.
func TestBeatsBaselinesWithOtherCosts(t *testing.T) {
	for _, name := range []string{"costs-halved", "costs-doubled", "model-3x-high", "model-3x-low"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			results := runScenario(t, Levain(), name, Baselines()[leastTokens:shortestFirst+1]...)
			for _, r := range results[1:] {
				red.Check(t, r.Contender, results[0].FirstToken[0].P95 < r.FirstToken[0].P95,
					"first token p95 %s, with %s %s", results[0].FirstToken[0].P95, r.Contender, r.FirstToken[0].P95)
			}
		})
	}
}

// TestSameSeedSameResult guards against nondeterminism, such as the order of a map, which
// would make results impossible to compare or repeat.
func TestSameSeedSameResult(t *testing.T) {
	s, _ := FindScenario("load-80")
	setup := s.Setup(Levain(), testSeed, time.Minute, &sharedCapacities)
	setup.Contender = SystemPolicy("own", 0)
	quicktest.Check(t, Run(setup).FirstToken, quicktest.DeepEquals, Run(setup).FirstToken)
}
