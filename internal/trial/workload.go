package trial

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// Request is one request of a trace.
type Request struct {
	Arrival      time.Duration
	Organisation string
	Class        table.Class
	// Prompt and Output are in tokens.
	Prompt int
	Output int
	Prefix []uint64
	// TimeLimit is the time from arrival within which the answer must be complete.
	TimeLimit time.Duration
	// DataCentre is the index of the data centre nearest to the caller.
	DataCentre int
}

// profile describes one part of a workload: its share of the requests, its class and the
// distribution of its lengths.
type profile struct {
	share float64
	class table.Class
	// The prompt length follows a Pareto distribution with exponent alpha, bounded to
	// minPrompt and maxPrompt tokens.
	minPrompt, maxPrompt, alpha float64
	// medianOutput is the median answer length in tokens.
	medianOutput float64
	// followUpShare is the share of requests that extend an earlier prompt.
	followUpShare float64
}

// Workload is the traffic and the engines of one deployment.
type Workload struct {
	Name string
	// Engines is the number of engines in each data centre.
	Engines []int
	// BlockingWeight is the weight of short prompts' blocking by long ones against
	// their time to first token, from 0 to 1.
	BlockingWeight      float64
	organisationWeights []float64
	profiles            []profile
}

// Levain is a workload of short questions, journals and logs of a whole season.
func Levain() Workload {
	return Workload{
		Name:                "levain",
		Engines:             []int{6, 5, 5},
		BlockingWeight:      0.3,
		organisationWeights: []float64{30, 20, 15, 8, 6, 6, 5, 4, 3, 3},
		profiles: []profile{
			{share: 0.70, class: table.Interactive, minPrompt: 1_000, maxPrompt: 4_000, alpha: 1.3, medianOutput: 120},
			{share: 0.28, class: table.Standard, minPrompt: 4_000, maxPrompt: 100_000, alpha: 1.1, medianOutput: 180, followUpShare: 0.4},
			{share: 0.02, class: table.Batch, minPrompt: 100_000, maxPrompt: 1_000_000, alpha: 1.1, medianOutput: 150, followUpShare: 0.2},
		},
	}
}

// Codrescu is a workload of questions on offers and invoices, and of contract reviews.
func Codrescu() Workload {
	return Workload{
		Name:                "codrescu",
		Engines:             []int{8, 8, 7},
		BlockingWeight:      0.7,
		organisationWeights: []float64{35, 25, 10, 6, 5, 5, 4, 4, 3, 2, 1},
		profiles: []profile{
			{share: 0.75, class: table.Interactive, minPrompt: 1_000, maxPrompt: 4_000, alpha: 1.0, medianOutput: 100},
			{share: 0.23, class: table.Standard, minPrompt: 4_000, maxPrompt: 100_000, alpha: 1.2, medianOutput: 200, followUpShare: 0.3},
			{share: 0.02, class: table.Batch, minPrompt: 100_000, maxPrompt: 1_000_000, alpha: 1.2, medianOutput: 180, followUpShare: 0.1},
		},
	}
}

// The time limits by length band.
const (
	shortTimeLimit  = 30 * time.Second
	mediumTimeLimit = 45 * time.Second
	largeTimeLimit  = 60 * time.Second
	longTimeLimit   = 90 * time.Second
	hugeTimeLimit   = 3 * time.Minute
)

// timeLimit returns the time limit of a prompt.
func timeLimit(prompt int) time.Duration {
	return [...]time.Duration{shortTimeLimit, mediumTimeLimit, largeTimeLimit, longTimeLimit, hugeTimeLimit}[bandOf(prompt)]
}

// maxPrefixBlocks bounds the block hashes of a request.
const maxPrefixBlocks = 64

// systemPromptBlocks is the length in blocks of the system prompt, which all prompts of
// an organisation share.
const systemPromptBlocks = 3

// generator draws the random requests of a workload.
type generator struct {
	workload Workload
	rand     *rand.Rand
	// history holds the recent requests of each organisation that follow-ups extend.
	history [][]Request
}

// newGenerator returns a generator whose requests depend only on the workload and the seed.
func newGenerator(w Workload, seed uint64) *generator {
	return &generator{workload: w, rand: rand.New(rand.NewPCG(seed, 7)), history: make([][]Request, len(w.organisationWeights))}
}

// weightedIndex draws an index with a probability proportional to its weight.
func weightedIndex(r *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := r.Float64() * sum
	for i, w := range weights {
		x -= w
		if x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// drawProfile draws the profile and the lengths of a request.
func (g *generator) drawProfile() (profile, Request) {
	shares := make([]float64, len(g.workload.profiles))
	for i, p := range g.workload.profiles {
		shares[i] = p.share
	}
	p := g.workload.profiles[weightedIndex(g.rand, shares)]
	return p, Request{
		Class:  p.class,
		Prompt: int(pareto(g.rand, p.minPrompt, p.maxPrompt, p.alpha)),
		Output: int(min(max(p.medianOutput*math.Exp(0.6*g.rand.NormFloat64()), 16), 600)),
	}
}

// draw draws one request of an organisation.
func (g *generator) draw(org int) Request {
	p, r := g.drawProfile()
	r.Organisation = organisationName(org)
	r.DataCentre = weightedIndex(g.rand, []float64{1, 1, 1})
	r.TimeLimit = timeLimit(r.Prompt)
	r.Prefix = g.drawPrefix(org, r.Prompt)
	if history := g.history[org]; len(history) > 0 && g.rand.Float64() < p.followUpShare {
		earlier := history[g.rand.IntN(len(history))]
		copied := copy(r.Prefix, earlier.Prefix)
		r.DataCentre = earlier.DataCentre
		for i := copied; i < len(r.Prefix); i++ {
			r.Prefix[i] = g.rand.Uint64()
		}
	}
	if p.followUpShare > 0 {
		g.addToHistory(org, r)
	}
	return r
}

// addToHistory adds a request to the organisation's history.
func (g *generator) addToHistory(org int, r Request) {
	const keep = 12
	g.history[org] = append(g.history[org], r)
	if len(g.history[org]) > keep {
		g.history[org] = g.history[org][1:]
	}
}

// organisationName returns a unique letter for each organisation.
func organisationName(i int) string { return string(rune('a' + i)) }

// drawPrefix draws the block hashes of a prompt: those of the organisation's system
// prompt, then random ones.
func (g *generator) drawPrefix(org, prompt int) []uint64 {
	out := make([]uint64, min(prompt/blockTokens, maxPrefixBlocks))
	for i := range out {
		if i < systemPromptBlocks {
			out[i] = uint64(org*systemPromptBlocks+i) + 1
			continue
		}
		out[i] = g.rand.Uint64()
	}
	return out
}

// pareto draws from a Pareto distribution with exponent alpha, bounded to lo and hi.
func pareto(r *rand.Rand, lo, hi, alpha float64) float64 {
	u := r.Float64()
	ratio := math.Pow(lo/hi, alpha)
	return lo / math.Pow(1-u*(1-ratio), 1/alpha)
}

// bands is the number of prompt length bands by which results are reported.
const bands = 5

// bandLimits are the longest prompts of all bands but the last, in tokens.
var bandLimits = [bands - 1]int{4_000, 32_000, 100_000, 400_000}

// bandOf returns the length band of a prompt, from 0.
func bandOf(prompt int) int {
	for i, n := range bandLimits {
		if prompt <= n {
			return i
		}
	}
	return bands - 1
}

// Workloads returns all workloads.
func Workloads() []Workload { return []Workload{Levain(), Codrescu()} }
