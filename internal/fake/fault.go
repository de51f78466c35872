package fake

import (
	"net/http"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// Faults are the faults of an engine, set by tests. The fields from Late on apply to the
// next stream only.
type Faults struct {
	// Dead aborts every connection and loses all state of the engine.
	Dead bool
	// Silent accepts requests and never responds.
	Silent bool
	// Stalled runs no steps, while streams still send heartbeats.
	Stalled bool
	// ReportLag is how old the load reports are.
	ReportLag time.Duration
	// IgnoreFencing admits requests of any epoch.
	IgnoreFencing bool

	// Late delays each chunk of one stream.
	Late time.Duration
	// Duplicate sends each chunk of one stream twice.
	Duplicate bool
	// Reorder swaps the chunks of one stream in pairs.
	Reorder bool
	// Foreign inserts a chunk of another request into one stream.
	Foreign bool
	// DropEnd breaks one connection after the last token, before the end chunk.
	DropEnd bool
	// BreakAfter breaks one connection after this number of chunks, if positive.
	BreakAfter int
	// MuteAfter stops all output of one stream after this number of chunks, if positive.
	MuteAfter int
}

// Fault changes the faults of the engine.
func (e *Engine) Fault(change func(*Faults)) {
	e.mu.Lock()
	change(&e.faults)
	var lost []*job
	if e.faults.Dead {
		lost = append(lost, e.batch.jobs...)
		e.batch.jobs, e.batch.started = nil, nil
		e.endedJobs, e.endedOrder, e.shares, e.cache = nil, nil, nil, cache{}
	}
	e.mu.Unlock()
	for _, j := range lost {
		j.finish(engine.Chunk{})
	}
}

// takeStreamFaults returns all faults and clears those that apply to one stream.
func (e *Engine) takeStreamFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	e.faults = Faults{
		Dead: f.Dead, Silent: f.Silent, Stalled: f.Stalled, ReportLag: f.ReportLag, IgnoreFencing: f.IgnoreFencing,
	}
	return f
}

// failRequest aborts the connection of a request if the engine is dead. If the engine is
// silent, it waits for the end of the request and returns true.
func (e *Engine) failRequest(r *http.Request) bool {
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	if f.Dead {
		panic(http.ErrAbortHandler)
	}
	if f.Silent {
		<-r.Context().Done()
	}
	return f.Silent
}

// timedReport is a load report with its time.
type timedReport struct {
	at     time.Time
	report engine.Report
}

// maxReports is the number of past reports kept for ReportLag.
const maxReports = 64

// Report returns the load of the engine as it was about ReportLag ago.
func (e *Engine) Report() engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := engine.Report{Used: e.usedTokens(), Event: e.cache.lastEvent}
	for _, j := range e.batch.jobs {
		now.Waiting += j.remaining
		if j.remaining == 0 {
			now.Running++
		}
	}
	e.reports = append(e.reports, timedReport{at: time.Now(), report: now})
	if len(e.reports) > maxReports {
		e.reports = e.reports[1:]
	}
	report := e.reports[0].report
	for _, r := range e.reports {
		if time.Since(r.at) >= e.faults.ReportLag {
			report = r.report
		}
	}
	return report
}
