package load

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMin and histogramMax are the range of the latency histograms in
	// microseconds.
	histogramMin, histogramMax = 1, int64(24 * time.Hour / time.Microsecond)
	// histogramDigits is the precision of the histograms in decimal digits.
	histogramDigits = 3
	// maxDetails bounds the number of different details that a class counts.
	maxDetails = 8
	// maxBadAnswers bounds the length of Report.BadAnswers.
	maxBadAnswers = 64
)

// Report holds the outcomes and latencies of a run.
type Report struct {
	Rate     float64  `json:"rate"`
	Duration string   `json:"duration"`
	Seed     uint64   `json:"seed"`
	Classes  []*Class `json:"classes"`
	// BadAnswers lists the first requests with the outcome Truncated, Corrupt, Overrun
	// or Failed.
	BadAnswers []BadAnswer `json:"broken,omitempty"`

	// start is the time at which the run began.
	start time.Time
}

// BadAnswer is a request with an incorrect, late or failed answer.
type BadAnswer struct {
	// EndedAfter is the time from the start of the run to the end of the request.
	EndedAfter time.Duration `json:"at_ns"`
	Tokens     int           `json:"tokens"`
	Outcome    Outcome       `json:"outcome"`
	Detail     string        `json:"detail"`
}

// Class holds the results of all requests with one prompt length.
type Class struct {
	// Tokens is the length of the prompts; 0 means calls to OncePath.
	Tokens   int             `json:"tokens"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// FirstToken and Complete are the times to the first token and to the end of
	// completed answers, from when the request was due.
	FirstToken Percentiles `json:"first_token"`
	Complete   Percentiles `json:"whole"`
	// Details counts the details of requests that did not complete, by text.
	Details map[string]int `json:"details,omitempty"`

	firstToken, complete *hdrhistogram.Histogram
}

// Percentiles holds percentiles of Count latencies in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// newReport returns a report with one class for each prompt length of the plan, and one for
// calls to OncePath if there are any.
func newReport(p *Plan) *Report {
	r := &Report{Rate: p.Rate, Duration: p.Duration.String(), Seed: p.Seed, start: time.Now()}
	if p.Once > 0 {
		r.Classes = append(r.Classes, newClass(0))
	}
	for _, s := range p.Mix {
		r.Classes = append(r.Classes, newClass(s.Tokens))
	}
	return r
}

// newClass returns a class without results.
func newClass(tokens int) *Class {
	return &Class{
		Tokens:     tokens,
		Outcomes:   make(map[Outcome]int),
		Details:    make(map[string]int),
		firstToken: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		complete:   hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

// add counts the result of a request in its class.
func (r *Report) add(j job, res result) {
	switch res.outcome {
	case Truncated, Corrupt, Overrun, Failed:
		if len(r.BadAnswers) < maxBadAnswers {
			r.BadAnswers = append(r.BadAnswers, BadAnswer{time.Since(r.start), j.tokens, res.outcome, res.detail})
		}
	}
	for _, c := range r.Classes {
		if c.Tokens == j.tokens {
			c.add(res)
			return
		}
	}
}

// add counts the outcome, and the latencies if the request completed.
func (c *Class) add(res result) {
	c.Outcomes[res.outcome]++
	if res.outcome == Completed {
		// Values beyond the range can't occur: the time of a request is bounded.
		_ = c.firstToken.RecordValue(max(histogramMin, res.firstToken.Microseconds()))
		_ = c.complete.RecordValue(max(histogramMin, res.complete.Microseconds()))
		c.FirstToken, c.Complete = percentilesOf(c.firstToken), percentilesOf(c.complete)
		return
	}
	if _, known := c.Details[res.detail]; known || len(c.Details) < maxDetails {
		c.Details[res.detail]++
	}
}

// percentilesOf returns the percentiles of a histogram of microseconds.
func percentilesOf(h *hdrhistogram.Histogram) Percentiles {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return Percentiles{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}

// Total returns the number of requests with an outcome in all classes.
func (r *Report) Total(o Outcome) int {
	n := 0
	for _, c := range r.Classes {
		n += c.Outcomes[o]
	}
	return n
}

// Text returns the report as human-readable tables.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%g requests a second for %s, seed %d; times in ms from when a request was due\n\n", r.Rate, r.Duration, r.Seed)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "prompt\twhole\trefused\ttimed out\tover time\tcut off\twrong\tfailed\tunsent\tfirst p50\tp95\tp99\twhole p50\tp95\tp99\t")
	for _, c := range r.Classes {
		name := fmt.Sprint(c.Tokens)
		if c.Tokens == 0 {
			name = "call"
		}
		fmt.Fprintf(w, "%s\t", name)
		for _, o := range []Outcome{Completed, Refused, TimedOut, Overrun, Truncated, Corrupt, Failed, Unsent} {
			fmt.Fprintf(w, "%d\t", c.Outcomes[o])
		}
		fmt.Fprintf(w, "%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			c.FirstToken.P50, c.FirstToken.P95, c.FirstToken.P99, c.Complete.P50, c.Complete.P95, c.Complete.P99)
	}
	_ = w.Flush() // A strings.Builder never fails.
	for _, bad := range r.BadAnswers {
		fmt.Fprintf(&b, "%s at %.1f s, %d tokens: %s\n", bad.Outcome, bad.EndedAfter.Seconds(), bad.Tokens, bad.Detail)
	}
	return b.String()
}
