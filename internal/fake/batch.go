package fake

import (
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

const (
	// chunkTokens is the maximum number of prompt tokens that one step prefills.
	chunkTokens = 4096
	// stallPollInterval is how often a stalled engine checks whether the fault is over.
	stallPollInterval = 100 * time.Millisecond
)

// batch holds the requests of an engine.
type batch struct {
	// jobs are all requests with reserved memory, started those that the steps process.
	jobs    []*job
	started []*job
	// running is set while a goroutine runs steps.
	running bool
}

// memory returns the memory of all requests, in tokens.
func (b *batch) memory() int {
	n := 0
	for _, j := range b.jobs {
		n += j.memory
	}
	return n
}

func (b *batch) findGrant(grant string) *job {
	for _, j := range b.jobs {
		if j.grant == grant {
			return j
		}
	}
	return nil
}

func (b *batch) findID(id string) *job {
	for _, j := range b.jobs {
		if j.id == id {
			return j
		}
	}
	return nil
}

func (b *batch) remove(j *job) {
	isJob := func(other *job) bool { return other == j }
	b.jobs = slices.DeleteFunc(b.jobs, isJob)
	b.started = slices.DeleteFunc(b.started, isJob)
}

// step is one iteration of the batch.
type step struct {
	// prefill is the request of which the step prefills the next prefillTokens, or nil.
	prefill       *job
	prefillTokens int
	// decode are the requests for which the step decodes one token each.
	decode []*job
}

// nextStep returns the next step: a chunk of the prefill with the lowest priority number,
// and one token for every request whose prefill is complete.
func (b *batch) nextStep() step {
	var s step
	for _, j := range b.started {
		switch {
		case j.remaining == 0:
			s.decode = append(s.decode, j)
		case s.prefill == nil || j.priority < s.prefill.priority:
			s.prefill = j
		}
	}
	if s.prefill != nil {
		s.prefillTokens = min(chunkTokens, s.prefill.remaining)
	}
	return s
}

// duration returns the time that the step takes.
func (s step) duration(c Costs) time.Duration {
	d := time.Duration(s.prefillTokens) * c.Prefill
	if len(s.decode) > 0 {
		d += c.Decode
	}
	return d
}

// startJob adds an admitted request to the running batch, unless it was cancelled meanwhile.
func (e *Engine) startJob(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.batch.findGrant(j.grant) != j {
		return
	}
	e.batch.started = append(e.batch.started, j)
	if !e.batch.running {
		e.batch.running = true
		go e.runSteps()
	}
}

// runSteps runs steps until no request is left to process.
func (e *Engine) runSteps() {
	for {
		e.mu.Lock()
		s := e.batch.nextStep()
		if s.prefill == nil && len(s.decode) == 0 {
			e.batch.running = false
			e.mu.Unlock()
			return
		}
		stalled := e.faults.Stalled
		e.mu.Unlock()
		if stalled {
			time.Sleep(stallPollInterval)
			continue
		}
		time.Sleep(s.duration(e.Costs))
		e.applyStep(s)
	}
}

// applyStep applies the result of a step and ends the requests that are complete.
func (e *Engine) applyStep(s step) {
	e.mu.Lock()
	var ended []*job
	if s.prefill != nil {
		s.prefill.remaining -= s.prefillTokens
		if s.prefill.remaining == 0 {
			e.cache.add(s.prefill.prefix, e.Target.Memory-e.usedTokens())
		}
	}
	for _, j := range s.decode {
		if e.batch.findGrant(j.grant) != j {
			continue // The request was cancelled during the step.
		}
		if offset := j.nextOffset(); offset < j.end {
			j.addChunk(engine.Chunk{ID: j.id, Offset: offset, Text: Word(j.id, offset), Tokens: 1})
		}
		if j.nextOffset() >= j.end {
			e.endJob(j)
			ended = append(ended, j)
		}
	}
	e.mu.Unlock()
	for _, j := range ended {
		e.releasePeers(j)
		j.finish(engine.Chunk{
			ID: j.id, Offset: j.end, End: true, Finish: "length",
			Usage: &engine.Usage{Prompt: j.prompt, Completion: j.end, Reused: j.reused},
		})
	}
}
