package place

import (
	"math"
	"time"
)

const (
	// outputWeight is the value of an output token relative to a prompt token: it takes
	// about ten times as much engine time.
	outputWeight = 10
	// quadraticSize is the size in tokens at which a request is worth twice its size:
	// prefill costs pairs of tokens, and the caller of a prompt this large waits for the
	// whole of it.
	quadraticSize = 250_000
	// baseValue is the part of the mean value that a request has whatever its size.
	baseValue = 0.3
	// maxRelativeValue bounds the value of a request relative to the mean of its class.
	maxRelativeValue = 4
	// meanWeight is the weight of a new request in the means of its class.
	meanWeight = 1.0 / 32
	// maxRank bounds the ranks that reduce the value, so that sums of very unlike values
	// lose no digits.
	maxRank = 8
)

// rankWeight returns the part of its value that a request keeps by its ranks: half for each
// rank of the organisation and of the route. It is a power of 2, so requests that all have the
// same ranks are decided exactly as without ranks.
func (c *Core) rankWeight(r Request) float64 {
	if !c.Fair {
		return 1
	}
	return math.Ldexp(1, -min(min(max(0, r.Rank), maxRank)+min(max(0, r.RouteRank), maxRank), maxRank))
}

// valueEstimator estimates the value of answers, in tokens. The mean answer of a class is
// worth its cost; the others of the class are worth more or less by their size relative to
// the mean. Requests with the same target for the first event are a class.
type valueEstimator struct{ means map[time.Duration]*classMean }

// classMean holds the running means of a class.
type classMean struct {
	// size is in tokens; cost adds the cost of pairs of tokens.
	size, cost float64
}

// value returns the value of a request and counts it in the means of its class.
func (v *valueEstimator) value(r Request) float64 {
	// A request without token counts has a value too.
	size := max(1, float64(r.Prompt+outputWeight*r.Output))
	cost := size * (1 + size/quadraticSize)
	if v.means == nil {
		v.means = make(map[time.Duration]*classMean)
	}
	m := v.means[r.TTFTTarget]
	if m == nil {
		m = &classMean{size, cost}
		v.means[r.TTFTTarget] = m
	}
	m.size += (size - m.size) * meanWeight
	m.cost += (cost - m.cost) * meanWeight
	return m.cost * min(maxRelativeValue, baseValue+(1-baseValue)*size/m.size)
}

// relativeSize returns the size of a request relative to the mean of its class.
func (v *valueEstimator) relativeSize(r Request) float64 {
	m := v.means[r.TTFTTarget]
	if m == nil {
		return 1
	}
	return float64(r.Prompt+outputWeight*r.Output) / m.size
}

// lowestMean returns the mean value of the class whose answers are worth least.
func (v *valueEstimator) lowestMean() float64 {
	least := 0.0
	for _, m := range v.means {
		if least == 0 || m.cost < least {
			least = m.cost
		}
	}
	return least
}
