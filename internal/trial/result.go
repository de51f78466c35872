package trial

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// warmUpDivisor sets the warm-up: work in the first 1/warmUpDivisor of a run counts towards
// neither Goodput nor Offered.
const warmUpDivisor = 5

// Result holds the measurements of one run.
type Result struct {
	Contender string `json:"contender"`
	// FirstToken is the time to first token in each length band.
	FirstToken [bands]Quantiles `json:"first"`
	// Goodput is the work answered within its time limit, Offered the work that
	// arrived; both leave out the warm-up and are relative to the engines' capacity.
	Goodput float64 `json:"goodput"`
	Offered float64 `json:"offered"`
	// Requests counts the requests that arrived; Served, Refused, Expired and Late
	// count them by outcome.
	Requests int `json:"requests"`
	Served   int `json:"served"`
	Refused  int `json:"refused"`
	Expired  int `json:"expired"`
	Late     int `json:"late"`
	// HugeMaxFirstToken is the longest time to first token of a prompt over 400,000
	// tokens; HugeLate is the number of such requests that were granted and late.
	HugeMaxFirstToken time.Duration `json:"worst_long"`
	HugeLate          int           `json:"long_lost"`
	// CachedShare is the share of prompt tokens found in the prefix caches.
	CachedShare float64 `json:"reuse"`
	// Fairness is Jain's fairness index over the organisations' answered shares of
	// their offered work.
	Fairness float64 `json:"fairness"`
	// Blocking is the 95th percentile of the delay of a short prompt's first token
	// against the same request in a run without long prompts.
	Blocking time.Duration `json:"blocking"`
	// Utilisation is the share of the engines' time that was spent on steps.
	Utilisation float64 `json:"busy"`
	// LeakedTokens is the KV cache still in use on engines or reserved by policies
	// at the end of the run.
	LeakedTokens int `json:"left"`

	// firstTokens holds the time to first token of each request, or 0 without one.
	firstTokens []time.Duration
	// lateByBand counts the late requests by length band, refusedByBand the refused ones.
	lateByBand, refusedByBand [bands]int
}

// Quantiles holds the quantiles of N times.
type Quantiles struct {
	N   int           `json:"n"`
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
}

// quantiles sorts times and returns their quantiles.
func quantiles(times []time.Duration) Quantiles {
	slices.Sort(times)
	return Quantiles{N: len(times), P50: quantile(times, 0.5), P95: quantile(times, 0.95), P99: quantile(times, 0.99)}
}

// quantile returns the nearest-rank quantile of sorted times, or 0 if there are none.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return times[max(int(math.Ceil(q*float64(len(times))))-1, 0)]
}

// reserver is a policy that reports how many tokens it has reserved on engines.
type reserver interface{ Reserved() int }

// result computes the measurements at the end of a run.
func (sim *simulation) result() Result {
	r := Result{Contender: sim.setup.Contender.Name, Requests: len(sim.handlers)}
	var firstTokens [bands][]time.Duration
	var prompts, cachedTokens int
	var answered, offered time.Duration
	shares := newWorkByOrganisation()
	from, until := sim.setup.Length/warmUpDivisor, sim.setup.Length
	for _, h := range sim.handlers {
		work := sim.setup.Costs.engineTime(h.req.Prompt, h.req.Output)
		b := bandOf(h.req.Prompt)
		if h.req.Arrival >= from && h.req.Arrival < until {
			offered += work
		}
		if h.outcome == served && h.endedAt >= from && h.endedAt < until {
			answered += work
		}
		r.count(h, b)
		shares.add(h.req.Organisation, work, h.outcome == served)
		r.firstTokens = append(r.firstTokens, h.firstTokenAt-h.req.Arrival)
		if h.firstTokenAt == 0 {
			r.firstTokens[len(r.firstTokens)-1] = 0
			continue
		}
		firstTokens[b] = append(firstTokens[b], h.firstTokenAt-h.req.Arrival)
		prompts += h.req.Prompt
		cachedTokens += h.cachedTokens
		if b == bands-1 {
			r.HugeMaxFirstToken = max(r.HugeMaxFirstToken, h.firstTokenAt-h.req.Arrival)
		}
	}
	for b := range firstTokens {
		r.FirstToken[b] = quantiles(firstTokens[b])
	}
	capacity := sim.setup.Capacity * (until - from).Seconds()
	r.Goodput = answered.Seconds() / capacity
	r.Offered = offered.Seconds() / capacity
	r.CachedShare = float64(cachedTokens) / float64(max(prompts, 1))
	r.Fairness = shares.jain()
	r.LeakedTokens = sim.leakedTokens()
	r.Utilisation = sim.utilisation()
	return r
}

// count adds the outcome of a request in length band b.
func (r *Result) count(h *handler, b int) {
	switch h.outcome {
	case served:
		r.Served++
	case late:
		r.Late++
		r.lateByBand[b]++
		if b == bands-1 {
			r.HugeLate++
		}
	case expired:
		r.Expired++
	default:
		r.refusedByBand[b]++
		r.Refused++
	}
}

// utilisation returns the share of the engines' time that was spent on steps while
// requests arrived.
func (sim *simulation) utilisation() float64 {
	var spent time.Duration
	for _, e := range sim.engines {
		spent += e.busyTime
	}
	return spent.Seconds() / sim.setup.Length.Seconds() / float64(len(sim.engines))
}

// leakedTokens returns the KV cache that is still in use or reserved.
func (sim *simulation) leakedTokens() int {
	n := 0
	for _, e := range sim.engines {
		if !e.failed {
			n += e.used
		}
	}
	for _, sh := range sim.shards {
		if r, ok := sh.policy.(reserver); ok && sh.live {
			n += r.Reserved()
		}
	}
	return n
}

// workByOrganisation sums up offered and answered work by organisation.
type workByOrganisation struct {
	offered, answered map[string]time.Duration
}

func newWorkByOrganisation() workByOrganisation {
	return workByOrganisation{offered: make(map[string]time.Duration), answered: make(map[string]time.Duration)}
}

// add adds a request's work, which counts as answered if ok.
func (s workByOrganisation) add(org string, work time.Duration, ok bool) {
	s.offered[org] += work
	if ok {
		s.answered[org] += work
	}
}

// jain returns Jain's fairness index over the ratios of answered to offered work.
func (s workByOrganisation) jain() float64 {
	names := slices.Sorted(maps.Keys(s.offered))
	var sum, squares float64
	for _, o := range names {
		x := s.answered[o].Seconds() / s.offered[o].Seconds()
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(names)) * squares)
}

// blocking returns the 95th percentile of how much later short prompts got their first token
// than in a run without long prompts. shortOnly maps the arrival of each request in that run
// to its time to first token. Requests with a first token in only one run are left out.
func blocking(result Result, shortOnly map[time.Duration]time.Duration, trace []Request) time.Duration {
	var times []time.Duration
	for i, r := range trace {
		baseline, ok := shortOnly[r.Arrival]
		if bandOf(r.Prompt) != 0 || result.firstTokens[i] == 0 || !ok || baseline == 0 {
			continue
		}
		times = append(times, result.firstTokens[i]-baseline)
	}
	slices.SortFunc(times, cmp.Compare)
	return quantile(times, 0.95)
}
