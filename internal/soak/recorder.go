package main

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// Violation is one observed breach of a promise of the platform.
type Violation struct {
	At      time.Duration
	Promise string
	Detail  string
}

// Recorder records which attempts callers sent, which responses they got and which
// attempts targets executed, and reports contradictions between them as violations.
type Recorder struct {
	began time.Time

	mu         sync.Mutex
	attempts   map[string]*attempt
	violations []Violation
	// outcomes counts requests by the outcome that the client saw.
	outcomes map[string]int
}

// attempt is one request as a client sent it, with its executions so far.
type attempt struct {
	kind         site.Kind
	path, body   string
	organisation string
	// patience is how long the caller waits for the next event, or for a plain answer.
	patience   time.Duration
	refused    bool
	executions []execution
}

// execution is one execution of an attempt at a target.
type execution struct {
	// seal is the unique tag of the execution, which its answer carries. Callers use it to
	// match an answer to its execution.
	target, seal string
	// host is the IP of the target.
	host string
	// answer is the whole body of a plain answer, events the number of events of a stream.
	answer string
	events int64
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{began: time.Now(), attempts: make(map[string]*attempt), outcomes: make(map[string]int)}
}

// AddViolation records a violation of a promise.
func (rec *Recorder) AddViolation(promise, format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.addViolation(promise, format, args...)
}

func (rec *Recorder) addViolation(promise, format string, args ...any) {
	rec.violations = append(rec.violations, Violation{time.Since(rec.began), promise, fmt.Sprintf(format, args...)})
}

// Violations returns all violations recorded so far.
func (rec *Recorder) Violations() []Violation {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.violations
}

// RecordSent records an attempt. Call it before the attempt is sent.
func (rec *Recorder) RecordSent(id string, a *attempt) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.attempts[id] = a
}

// RecordExecution records that a target starts to execute an attempt. It reports a
// violation if the attempt is unknown, altered, already refused, or executed before
// although its route is not repeatable.
func (rec *Recorder) RecordExecution(id, path, body, organisation string, r execution) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	a := rec.attempts[id]
	if a == nil {
		rec.addViolation("unasked", "%s executed request %q, which no caller sent", r.target, id)
		return
	}
	if a.path != path || a.body != body || a.organisation != organisation {
		rec.addViolation("unasked", "%s executed request %s with path %q, body %q and organisation %q; the caller sent %q, %q and %q",
			r.target, id, path, body, organisation, a.path, a.body, a.organisation)
	}
	if a.kind == site.NonIdempotent && len(a.executions) > 0 {
		rec.addViolation("once", "%s executed request %s again, after %s had executed it", r.target, id, a.executions[0].target)
	}
	if a.refused {
		rec.addViolation("refusal", "%s executed request %s after the caller had received a refusal", r.target, id)
	}
	a.executions = append(a.executions, r)
}

// RecordRefusal records a response by which the platform promises that the attempt was
// not executed and never will be.
func (rec *Recorder) RecordRefusal(id string, status int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	a := rec.attempts[id]
	a.refused = true
	if len(a.executions) > 0 {
		rec.addViolation("refusal", "request %s was refused with status %d after %s had executed it", id, status, a.executions[0].target)
	}
}

// FindExecution returns the execution of an attempt that has the given seal.
func (rec *Recorder) FindExecution(id, seal string) (execution, bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, r := range rec.attempts[id].executions {
		if r.seal == seal {
			return r, true
		}
	}
	return execution{}, false
}

// executingHosts returns the IPs of the targets that have executed an attempt.
func (rec *Recorder) executingHosts(id string) (hosts []string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, r := range rec.attempts[id].executions {
		hosts = append(hosts, r.host)
	}
	return hosts
}

// CountOutcome counts a request under its outcome.
func (rec *Recorder) CountOutcome(outcome string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.outcomes[outcome]++
}

// WriteReport writes the counts of outcomes and every violation.
func (rec *Recorder) WriteReport(w io.Writer) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(w, "requests: %v\n", rec.outcomes)
	for _, v := range rec.violations {
		fmt.Fprintf(w, "BROKEN %s at %.3f s: %s\n", v.Promise, v.At.Seconds(), v.Detail)
	}
}
