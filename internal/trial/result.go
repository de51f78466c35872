package trial

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// warmUp is the part of a run, as a divisor, that work is not counted in.
const warmUp = 5

// Result is what a run measured.
type Result struct {
	Contender string `json:"contender"`
	// First gives the time to the first token by length band.
	First [bands]Quantiles `json:"first"`
	// Goodput is the work answered within its limit, Offered that which
	// arrived, both after a warm-up and over what the engines can do.
	Goodput float64 `json:"goodput"`
	Offered float64 `json:"offered"`
	// Requests counts those that arrived; Served, Refused, Expired and Late
	// what became of them.
	Requests int `json:"requests"`
	Served   int `json:"served"`
	Refused  int `json:"refused"`
	Expired  int `json:"expired"`
	Late     int `json:"late"`
	// WorstLong is the longest time to the first token of a prompt over
	// 400,000 tokens, LongLost the number of those that were granted and late.
	WorstLong time.Duration `json:"worst_long"`
	LongLost  int           `json:"long_lost"`
	// Reuse is the share of prompt tokens that the prefix caches held.
	Reuse float64 `json:"reuse"`
	// Fairness is Jain's index over the organisations' answered shares.
	Fairness float64 `json:"fairness"`
	// Blocking is the 95th percentile of the first token of short prompts
	// minus that of the same request without long prompts.
	Blocking time.Duration `json:"blocking"`
	// Busy is the share of the time that engines were at work.
	Busy float64 `json:"busy"`
	// Left is the memory in use on engines and reserved by policies at the end.
	Left int `json:"left"`

	// firsts are the times to the first token by request.
	firsts []time.Duration
	// lateBy counts the late requests by band, refusedBy the refused ones.
	lateBy, refusedBy [bands]int
}

// Quantiles are of a distribution of times.
type Quantiles struct {
	N   int           `json:"n"`
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
}

func quantiles(ds []time.Duration) Quantiles {
	slices.Sort(ds)
	return Quantiles{N: len(ds), P50: quantile(ds, 0.5), P95: quantile(ds, 0.95), P99: quantile(ds, 0.99)}
}

// quantile returns the nearest-rank quantile of sorted times.
func quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	return ds[max(int(math.Ceil(q*float64(len(ds))))-1, 0)]
}

// reserver is a policy that says what it has reserved.
type reserver interface{ Reserved() int }

func (t *site) result() Result {
	r := Result{Contender: t.setup.Contender.Name, Requests: len(t.flows)}
	var firsts [bands][]time.Duration
	var prompts, reused int
	var good, offered time.Duration
	shares := newShares()
	from, until := t.setup.Length/warmUp, t.setup.Length
	for _, f := range t.flows {
		w := t.setup.Costs.work(f.req.Prompt, f.req.Output)
		b := band(f.req.Prompt)
		if f.req.At >= from && f.req.At < until {
			offered += w
		}
		if f.outcome == served && f.end >= from && f.end < until {
			good += w
		}
		r.count(f, b)
		shares.add(f.req.Organisation, w, f.outcome == served)
		r.firsts = append(r.firsts, f.first-f.req.At)
		if f.first == 0 {
			r.firsts[len(r.firsts)-1] = 0
			continue
		}
		firsts[b] = append(firsts[b], f.first-f.req.At)
		prompts += f.req.Prompt
		reused += f.reused
		if b == bands-1 {
			r.WorstLong = max(r.WorstLong, f.first-f.req.At)
		}
	}
	for b := range firsts {
		r.First[b] = quantiles(firsts[b])
	}
	capacity := t.setup.Capacity * (until - from).Seconds()
	r.Goodput = good.Seconds() / capacity
	r.Offered = offered.Seconds() / capacity
	r.Reuse = float64(reused) / float64(max(prompts, 1))
	r.Fairness = shares.jain()
	r.Left = t.left()
	r.Busy = t.busy()
	return r
}

func (r *Result) count(f *flow, b int) {
	switch f.outcome {
	case served:
		r.Served++
	case late:
		r.Late++
		r.lateBy[b]++
		if b == bands-1 {
			r.LongLost++
		}
	case expired:
		r.Expired++
	default:
		r.refusedBy[b]++
		r.Refused++
	}
}

// busy returns the share of the engines' time in which requests arrived that
// was spent on steps.
func (t *site) busy() float64 {
	var spent time.Duration
	for _, e := range t.engines {
		spent += e.spent
	}
	return spent.Seconds() / t.setup.Length.Seconds() / float64(len(t.engines))
}

// left returns the memory that is still in use or reserved.
func (t *site) left() int {
	n := 0
	for _, e := range t.engines {
		if !e.dead {
			n += e.used
		}
	}
	for _, sh := range t.shards {
		if r, ok := sh.policy.(reserver); ok && sh.live {
			n += r.Reserved()
		}
	}
	return n
}

// shares adds up offered and answered work by organisation.
type shares struct {
	offered, answered map[string]time.Duration
}

func newShares() shares {
	return shares{offered: make(map[string]time.Duration), answered: make(map[string]time.Duration)}
}

func (s shares) add(org string, w time.Duration, ok bool) {
	s.offered[org] += w
	if ok {
		s.answered[org] += w
	}
}

// jain returns Jain's fairness index of answered over offered work.
func (s shares) jain() float64 {
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

// blocking returns the quantile of the delay of short prompts against the
// same requests in a run without long ones. Requests that were answered in
// only one of the runs are left out.
func blocking(with Result, without map[time.Duration]time.Duration, trace []Request) time.Duration {
	var ds []time.Duration
	for i, r := range trace {
		alone, ok := without[r.At]
		if band(r.Prompt) != 0 || with.firsts[i] == 0 || !ok || alone == 0 {
			continue
		}
		ds = append(ds, with.firsts[i]-alone)
	}
	slices.SortFunc(ds, cmp.Compare)
	return quantile(ds, 0.95)
}
