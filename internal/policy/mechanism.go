package policy

// Mechanism is a part of the policy that can be disabled, so that trials can measure its
// effect. Values combine as bits.
type Mechanism uint

// The mechanisms.
const (
	// Admission refuses requests as soon as they are predicted to exceed their time
	// limit.
	Admission Mechanism = 1 << iota
	// Ageing grants requests that are close to their grant deadline before all others.
	Ageing
	// Fairness orders organisations by the work that they were granted.
	Fairness
	// Affinity prefers targets whose prefix cache holds the start of the prompt.
	Affinity
	// Partition keeps a share of the targets free of long prompts.
	Partition
	// Priority orders requests inside the engines.
	Priority
	// Reservation keeps targets for a request of the Huge band that fits nowhere yet.
	Reservation
	// Learning corrects the cost model by observations.
	Learning
	// LateBinding keeps requests, except those of the Short band, in the queue while
	// targets are busy with prefills.
	LateBinding
	// Spill sends requests to other data centres.
	Spill
	// Ejection takes slow targets out of service for a while.
	Ejection
)

// enabled reports whether a mechanism is in use.
func (c *Core) enabled(m Mechanism) bool { return c.Off&m == 0 }
