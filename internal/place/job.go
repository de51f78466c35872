package place

import "time"

// job is a request from its ask to its end.
type job struct {
	ask     Ask
	arrived time.Time
	// value is what an answer in time is worth, in tokens.
	value float64

	granted time.Time
	lead    *engine
	helpers []*engine
	// memory is what each helper keeps of the prompt, in tokens; nil if the lead
	// keeps all.
	memory []int
	// part is the time that each engine reads.
	part time.Duration
	// first is when the first event is predicted, due when it is wanted.
	first, due time.Time
	begun      bool
	// parts is how many parts are not yet read by the shadows of the engines; read
	// says that all are, and ended that the request needs no engine any more.
	parts       int
	read, ended bool
	// spoilt says that the answer is late already, so that nothing is lost by a
	// further delay.
	spoilt bool
	// gone is when it was found to come late, while it waited.
	gone time.Time
}

// engines are all that read parts of the prompt, the lead first.
func (j *job) engines() []*engine { return append([]*engine{j.lead}, j.helpers...) }

// size is the memory of a request in tokens.
func (j *job) size() int { return j.ask.Prompt + j.ask.Output }

// heldBy is what helper i keeps in tokens.
func (j *job) heldBy(i int) int {
	if i >= len(j.memory) {
		return 0
	}
	return j.memory[i]
}

// kept is what the lead keeps in tokens.
func (j *job) kept() int {
	n := j.size()
	for _, m := range j.memory {
		n -= m
	}
	return n
}

// share is the context that a step at the lead reads.
func (j *job) share() int { return j.ask.Prompt / (len(j.helpers) + 1) }
