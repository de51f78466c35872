package trial

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// simEngine simulates one engine with continuous batching in virtual time.
type simEngine struct {
	target engine.Target
	costs  CostModel
	loop   *loop
	// onCacheChange is called with the blocks added to the prefix cache and evicted
	// from it.
	onCacheChange func(added, removed []uint64)

	cache cache
	// Jobs in waiting use no KV cache yet. A job moves from prefilling to running when its
	// part of the prompt is prefilled.
	waiting    []*job
	prefilling []*job
	running    []*job
	// used is the KV cache in use by jobs, in tokens.
	used int
	// seq is the sequence number of the last job.
	seq      uint64
	stepping bool
	failed   bool
	// slowdown multiplies the time of each step; 0 means 1.
	slowdown float64
	// busyTime is the total time of the steps that start before measureUntil.
	measureUntil, busyTime time.Duration
}

// execution is one attempt at a request on one or more engines.
type execution struct {
	id     string
	jobs   []*job
	prefix []uint64
	output int
	// pendingPrefills is the number of jobs whose part of the prompt is not prefilled.
	pendingPrefills int
	cachedTokens    int
	generated       int
	ended           bool
	// The callbacks run at the first token, after the last one and when an engine fails.
	onFirstToken, onDone, onEngineFailure func()
}

// job is the part of an execution on one engine; memory and prompt are in tokens.
type job struct {
	execution *execution
	engine    *simEngine
	memory    int
	prompt    int
	prefilled int
	priority  int
	seq       uint64
	admitted  bool
}

// enqueue adds a job to the waiting queue.
func (e *simEngine) enqueue(j *job) {
	e.seq++
	j.seq = e.seq
	e.waiting = append(e.waiting, j)
	slices.SortStableFunc(e.waiting, byPriority)
	e.startStep()
}

// byPriority orders jobs by priority, then by arrival.
func byPriority(a, b *job) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.seq, b.seq))
}

// startStep starts a step if none is running and there is work.
func (e *simEngine) startStep() {
	if e.stepping || e.failed {
		return
	}
	e.admit()
	if len(e.prefilling)+len(e.running) == 0 {
		return
	}
	d, chunks := e.planStep()
	if d == 0 {
		return
	}
	e.stepping = true
	if e.loop.now < e.measureUntil {
		e.busyTime += d
	}
	e.loop.after(d, func() { e.finishStep(chunks) })
}

// admit moves waiting jobs to prefilling in order, up to the first one whose memory
// doesn't fit.
func (e *simEngine) admit() {
	for len(e.waiting) > 0 {
		j := e.waiting[0]
		if e.used+j.memory > e.costs.Memory {
			return
		}
		e.waiting = e.waiting[1:]
		e.used += j.memory
		j.admitted = true
		e.applyCache(j)
		if removed := e.cache.trim(e.costs.Memory - e.used); len(removed) > 0 {
			e.onCacheChange(nil, removed)
		}
		e.prefilling = append(e.prefilling, j)
		slices.SortStableFunc(e.prefilling, byPriority)
	}
}

// applyCache skips the cached blocks at the start of a prompt. The last token is always
// prefilled. A prompt that is split over engines doesn't use the cache.
func (e *simEngine) applyCache(j *job) {
	if len(j.execution.jobs) > 1 {
		return
	}
	n := min(e.cache.match(j.execution.prefix)*blockTokens, j.prompt-1)
	j.prefilled = n
	j.execution.cachedTokens = n
}

// chunk is the part of a prompt that one step prefills.
type chunk struct {
	job    *job
	tokens int
}

// planStep returns the time of the next step and the chunks that it prefills. The time
// is 0 if there is nothing to do.
func (e *simEngine) planStep() (time.Duration, []chunk) {
	var d time.Duration
	var chunks []chunk
	budget := e.costs.ChunkTokens
	for _, j := range e.prefilling {
		n := min(budget, j.prompt-j.prefilled)
		if n == 0 {
			break
		}
		budget -= n
		chunks = append(chunks, chunk{j, n})
		d += e.costs.prefill(n, j.prefilled, len(j.execution.jobs))
	}
	kv, decoding := 0, 0
	for _, j := range e.running {
		if j.execution.pendingPrefills > 0 {
			continue
		}
		kv += j.prompt
		if j == j.execution.jobs[0] {
			kv += j.execution.generated
			decoding++
		}
	}
	d += e.costs.decode(decoding, kv)
	if d == 0 {
		return 0, nil
	}
	d += e.costs.Step
	if e.slowdown > 0 {
		d = time.Duration(float64(d) * e.slowdown)
	}
	return d, chunks
}

// finishStep applies the results of a step and starts the next one.
func (e *simEngine) finishStep(chunks []chunk) {
	e.stepping = false
	if e.failed {
		return
	}
	for _, j := range slices.Clone(e.running) {
		if j.execution.pendingPrefills == 0 && j == j.execution.jobs[0] {
			j.execution.addToken()
		}
	}
	for _, c := range chunks {
		c.job.advancePrefill(c.tokens)
	}
	e.startStep()
}

// advancePrefill records n more prefilled tokens. With the last part of the prompt the
// execution gets its first token.
func (j *job) advancePrefill(n int) {
	if j.execution.ended {
		return
	}
	j.prefilled += n
	if j.prefilled < j.prompt {
		return
	}
	e := j.engine
	e.prefilling = without(e.prefilling, j)
	e.running = append(e.running, j)
	if len(j.execution.jobs) == 1 {
		if added := e.cache.add(j.execution.prefix); len(added) > 0 {
			e.onCacheChange(added, e.cache.trim(e.costs.Memory-e.used))
		}
	}
	j.execution.pendingPrefills--
	if j.execution.pendingPrefills == 0 {
		j.execution.addToken()
		first := j.execution.jobs[0].engine
		first.loop.after(0, first.startStep)
	}
}

// addToken adds one answer token and ends the execution after the last one.
func (x *execution) addToken() {
	x.generated++
	if x.generated == 1 {
		x.onFirstToken()
	}
	if x.generated >= x.output {
		x.end()
		x.onDone()
	}
}

// end removes the execution from its engines. Later calls do nothing.
func (x *execution) end() {
	if x.ended {
		return
	}
	x.ended = true
	for _, j := range x.jobs {
		e := j.engine
		e.waiting = without(e.waiting, j)
		e.prefilling = without(e.prefilling, j)
		e.running = without(e.running, j)
		if j.admitted {
			e.used -= j.memory
		}
		e.loop.after(0, e.startStep)
	}
}

// fail stops the engine and ends everything on it.
func (e *simEngine) fail() {
	e.failed = true
	all := slices.Concat(e.waiting, e.prefilling, e.running)
	for _, j := range all {
		if !j.execution.ended {
			j.execution.end()
			j.execution.onEngineFailure()
		}
	}
}

// report returns the load report that the engine announces.
func (e *simEngine) report() engine.Report {
	r := engine.Report{Used: e.used, Running: len(e.running)}
	for _, j := range slices.Concat(e.waiting, e.prefilling) {
		r.Waiting += j.prompt - j.prefilled
	}
	return r
}

// without removes a job from a list.
func without(js []*job, j *job) []*job {
	if i := slices.Index(js, j); i >= 0 {
		return slices.Delete(js, i, i+1)
	}
	return js
}
