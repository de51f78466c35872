package place

import "time"

// job is a request from its arrival to its end.
type job struct {
	request Request
	arrived time.Time
	// value is what an answer on time is worth, in tokens. weight is the factor by its ranks
	// that it contains.
	value, weight float64
	// work is the engine time that it takes, in seconds; large is set if it is one of the
	// largest of its kind.
	work  float64
	large bool
	// precedence is its place in the queue.
	precedence precedence

	// granted, lead and helpers are zero until the request is granted.
	granted time.Time
	lead    *engine
	helpers []*engine
	// memory is the KV cache that each helper keeps of the prompt, in tokens; nil if the
	// lead keeps all.
	memory []int
	// partTime is the time that each engine takes to prefill its part.
	partTime time.Duration
	// firstEventAt is when the first event is predicted, due when the caller wants it.
	firstEventAt, due time.Time
	started           bool
	// slowdown is the estimated slowdown of the lead at the grant.
	slowdown float64
	// pendingParts counts the parts that are not yet prefilled according to the predictions.
	// prefilled is set when all are, ended when the request needs no engine any more.
	pendingParts     int
	prefilled, ended bool
	// late is set when the target for the first event is missed or out of reach, so that a
	// further delay costs no more.
	late bool
	// lateSince is when the request was first marked late in the queue.
	lateSince time.Time
}

// engines returns all engines that prefill parts of the prompt, the lead first.
func (j *job) engines() []*engine { return append([]*engine{j.lead}, j.helpers...) }

// tokens returns the KV cache that the whole request needs, in tokens.
func (j *job) tokens() int { return j.request.Prompt + j.request.Output }

// helperTokens returns the KV cache kept on helper i, in tokens.
func (j *job) helperTokens(i int) int {
	if i >= len(j.memory) {
		return 0
	}
	return j.memory[i]
}

// leadTokens returns the KV cache kept on the lead, in tokens.
func (j *job) leadTokens() int {
	n := j.tokens()
	for _, m := range j.memory {
		n -= m
	}
	return n
}

// leadContext returns the context tokens that a decode step reads at the lead.
func (j *job) leadContext() int { return j.request.Prompt / (len(j.helpers) + 1) }
