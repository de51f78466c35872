package trial

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bambooproxy/bambooproxy/internal/policy"
)

// Plan is a set of trials: every scenario of every workload.
type Plan struct {
	Workloads  []Workload
	Scenarios  []Scenario
	Contenders []Contender
	Seed       uint64
	Length     time.Duration
	// Parallel is the largest number of runs at a time.
	Parallel int
	// Capacities caches measured capacities; plans may share one. Nil means a new one.
	Capacities *CapacityCache
}

// Trial holds the results of all contenders in one scenario of one workload.
type Trial struct {
	Workload string   `json:"workload"`
	Scenario string   `json:"scenario"`
	Seed     uint64   `json:"seed"`
	Seconds  float64  `json:"seconds"`
	Capacity float64  `json:"capacity"`
	Results  []Result `json:"results"`
}

// Contenders returns the system's own policy, the baselines, and the system's own policy
// with one mechanism switched off, for each mechanism in turn.
func Contenders() []Contender {
	out := append([]Contender{SystemPolicy("own", 0)}, Baselines()...)
	for _, a := range ablations {
		out = append(out, SystemPolicy("own-"+a.name, a.disabled))
	}
	return out
}

// ablation names a contender that has one mechanism switched off.
type ablation struct {
	name     string
	disabled policy.Mechanism
}

var ablations = [...]ablation{
	{"admission", policy.Admission},
	{"ageing", policy.Ageing},
	{"fairness", policy.Fairness},
	{"affinity", policy.Affinity},
	{"partition", policy.Partition},
	{"priority", policy.Priority},
	{"reservation", policy.Reservation},
	{"learning", policy.Learning},
	{"late-binding", policy.LateBinding},
	{"spill", policy.Spill},
	{"ejection", policy.Ejection},
}

// Run runs all trials of the plan. The same plan gives the same results.
func (p Plan) Run() []Trial {
	var g errgroup.Group
	g.SetLimit(max(p.Parallel, 1))
	capacities := p.Capacities
	if capacities == nil {
		capacities = &CapacityCache{}
	}
	out := make([]Trial, 0, len(p.Workloads)*len(p.Scenarios))
	for _, w := range p.Workloads {
		for _, s := range p.Scenarios {
			out = append(out, Trial{Workload: w.Name, Scenario: s.Name, Seed: p.Seed, Seconds: p.Length.Seconds()})
			t := &out[len(out)-1]
			t.Results = make([]Result, len(p.Contenders))
			setup := s.Setup(w, p.Seed, p.Length, capacities)
			t.Capacity = setup.Capacity
			for i, c := range p.Contenders {
				g.Go(func() error {
					t.Results[i] = Measure(setup, c)
					return nil
				})
			}
		}
	}
	_ = g.Wait() // No run returns an error.
	return out
}

// Measure runs a contender on the trace, and again without the long prompts to find out
// how much these delay the short ones.
func Measure(setup Setup, c Contender) Result {
	setup.Contender = c
	withLong := Run(setup)
	shortOnly := setup
	shortOnly.Trace = slices.DeleteFunc(slices.Clone(setup.Trace), func(r Request) bool { return r.Prompt > longPrompt })
	shortResult := Run(shortOnly)
	firstTokens := make(map[time.Duration]time.Duration, len(shortOnly.Trace))
	for i, r := range shortOnly.Trace {
		firstTokens[r.Arrival] = shortResult.firstTokens[i]
	}
	withLong.Blocking = blocking(withLong, firstTokens, setup.Trace)
	return withLong
}

// longPrompt is the length in tokens above which a prompt counts as long in the
// measurement of blocking: one prompt in fifty is longer.
const longPrompt = 100_000

// Print writes the results as tables.
func Print(w io.Writer, trials []Trial) error {
	for _, t := range trials {
		fmt.Fprintf(w, "\n%s, %s: seed %d, %.0f s, capacity %.2f engine seconds a second, offered %.2f of it\n",
			t.Workload, t.Scenario, t.Seed, t.Seconds, t.Capacity, t.Results[0].Offered)
		if err := printTrial(w, t); err != nil {
			return err
		}
	}
	return nil
}

// printTrial writes one table with a row for each policy.
func printTrial(w io.Writer, t Trial) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "policy\tTTFT <=4k\t<=32k\t<=100k\t<=400k\t>400k\tblocking\tgoodput\trefused\texpired\tlate\tworst long\treuse\tfair\tleft\t")
	for _, r := range t.Results {
		fmt.Fprintf(tw, "%s\t", r.Contender)
		for _, q := range r.FirstToken {
			fmt.Fprintf(tw, "%s/%s/%s\t", formatSeconds(q.P50), formatSeconds(q.P95), formatSeconds(q.P99))
		}
		fmt.Fprintf(tw, "%s\t%.3f\t%d\t%d\t%d\t%s\t%.2f\t%.3f\t%d\t\n", formatSeconds(r.Blocking), r.Goodput, r.Refused,
			r.Expired, r.Late, formatSeconds(r.HugeMaxFirstToken), r.CachedShare, r.Fairness, r.LeakedTokens)
	}
	return tw.Flush()
}

// formatSeconds formats a time in seconds with about three significant digits.
func formatSeconds(d time.Duration) string {
	s := d.Seconds()
	switch {
	case s >= 100:
		return fmt.Sprintf("%.0f", s)
	case s >= 10:
		return fmt.Sprintf("%.1f", s)
	default:
		return fmt.Sprintf("%.2f", s)
	}
}

// Write writes the results to a folder, as tables, as JSON and as one SVG plot per trial.
func Write(folder string, trials []Trial) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "create the folder for trial results")
	}
	var table strings.Builder
	if err := Print(&table, trials); err != nil {
		return err
	}
	b, err := json.MarshalIndent(trials, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode trial results")
	}
	files := map[string]string{"trials.txt": table.String(), "trials.json": string(b) + "\n"}
	for _, t := range trials {
		files[t.Workload+"-"+t.Scenario+".svg"] = plot(t)
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o644); err != nil {
			return errors.Wrap(err, "write trial results")
		}
	}
	return nil
}
