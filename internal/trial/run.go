// Package trial compares scheduling policies on simulated engines in virtual time. It
// runs the system's own policy, common load-balancing policies, and the system's own
// with one mechanism switched off, all on the same trace.
package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/policy"
)

// Contender is a policy to be measured.
type Contender struct {
	Name string
	// Sharded gives each data centre its own instance of the policy.
	Sharded bool
	// Local keeps requests in their data centre.
	Local bool
	New   func(Setup) Policy
}

// Setup holds all parameters of a run.
type Setup struct {
	Workload  Workload
	Contender Contender
	Costs     CostModel
	Seed      uint64
	Trace     []Request
	// Capacity is the engine time of the requests that all engines together can
	// answer in a second.
	Capacity float64
	// Length is the virtual time during which requests arrive.
	Length time.Duration
	// ReportLag is the delay of load reports.
	ReportLag time.Duration
	// CacheEventLoss is the share of cache events that are lost.
	CacheEventLoss float64
	// LostEngine and LostDataCentre fail after half of Length; empty and noDataCentre mean
	// none.
	LostEngine     string
	LostDataCentre int
	// SlowEngine takes slowFactor times as long for its steps from a third of Length on.
	SlowEngine string
	// ModelScale multiplies the times of the policy's initial cost model.
	ModelScale float64
}

// slowFactor is the step time of a slow engine relative to the others.
const slowFactor = 4

// noDataCentre is the value of LostDataCentre when no data centre fails.
const noDataCentre = -1

// horizon returns the time by which all requests have ended.
func (s Setup) horizon() time.Duration { return s.Length + hugeTimeLimit + time.Minute }

// Run runs one simulation and returns its measurements.
func Run(s Setup) Result {
	sim := newSimulation(s)
	for i, r := range s.Trace {
		h := &handler{sim: sim, req: r, id: requestID(i)}
		sim.handlers = append(sim.handlers, h)
		sim.loop.at(r.Arrival, h.arrive)
	}
	if s.LostEngine != "" {
		sim.loop.at(s.Length/2, func() { sim.failEngine(s.LostEngine) })
	}
	if s.SlowEngine != "" {
		sim.loop.at(s.Length/3, func() { sim.engines[s.SlowEngine].slowdown = slowFactor })
	}
	if s.LostDataCentre != noDataCentre {
		sim.loop.at(s.Length/2, func() { sim.failDataCentre(s.LostDataCentre) })
	}
	sim.loop.after(0, sim.updateDigests)
	sim.loop.after(0, sim.tick)
	sim.loop.run(s.horizon() + time.Minute)
	return sim.result()
}

// SystemPolicy returns the system's own policy without the given mechanisms.
func SystemPolicy(name string, disabled policy.Mechanism) Contender {
	return Contender{Name: name, Sharded: true, Local: disabled&policy.Spill != 0, New: func(s Setup) Policy {
		return &policy.Core{Epoch: 1, Blocking: s.Workload.BlockingWeight, Off: disabled, Model: initialModel(s)}
	}}
}

// initialModel returns the cost model that a policy starts from.
func initialModel(s Setup) policy.Model {
	m := policy.DefaultModel()
	if s.ModelScale > 0 {
		m = m.Scale(s.ModelScale)
	}
	return m
}

// Baselines returns the policies to compare the system's own with.
func Baselines() []Contender {
	newBaseline := func(name string, rule strategy, sendPriority bool) Contender {
		return Contender{Name: name, New: func(s Setup) Policy {
			return &baseline{strategy: rule, sendPriority: sendPriority, rand: rand.New(rand.NewPCG(s.Seed, 13))}
		}}
	}
	return []Contender{
		newBaseline("round-robin", roundRobin, false),
		newBaseline("random-of-two", randomOfTwo, false),
		newBaseline("least-tokens", leastTokens, false),
		newBaseline("first-come", firstCome, false),
		newBaseline("shortest-first", shortestFirst, false),
		newBaseline("least-tokens+class", leastTokens, true),
	}
}

// requestID returns the id of the request with index i; attempts append a number.
func requestID(i int) string { return fmt.Sprintf("%08d", i) }
