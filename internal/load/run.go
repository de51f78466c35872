package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/strict"
	"github.com/bambooproxy/bambooproxy/internal/timing"
)

// Run runs a plan once.
type Run struct {
	Plan Plan
	// Call, unless nil, is called with the idempotency key and the outcome of every
	// call to OncePath, by one goroutine at a time.
	Call func(key string, o Outcome)

	http   *http.Client
	mu     sync.Mutex
	report *Report
}

// Do sends all requests, waits until they have ended and returns the report. When ctx is
// done it sends no more and waits for the requests in flight. It returns an error if the
// plan is invalid.
func (r *Run) Do(ctx context.Context) (*Report, error) {
	if err := r.Plan.Check(); err != nil {
		return nil, err
	}
	transport := strict.NewTransport(&http.Transport{MaxIdleConnsPerHost: r.Plan.AtOnce, IdleConnTimeout: 5 * time.Second})
	defer transport.CloseIdleConnections()
	r.http = &http.Client{Transport: transport}
	r.report = newReport(&r.Plan)
	dir := &directory{http: r.http, seeds: r.Plan.Entries}
	dirCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	dir.refresh(dirCtx)
	var wg sync.WaitGroup
	wg.Go(func() { dir.run(dirCtx) })
	r.sendAll(ctx, dir)
	stop()
	wg.Wait()
	return r.report, nil
}

// sendAll sends requests at random intervals with the plan's mean rate and waits until they
// have ended.
func (r *Run) sendAll(ctx context.Context, dir *directory) {
	var wg sync.WaitGroup
	defer wg.Wait()
	rng := rand.New(rand.NewPCG(r.Plan.Seed, 0))
	slots := make(chan struct{}, r.Plan.AtOnce)
	start := time.Now()
	due := start
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / r.Plan.Rate * float64(time.Second)))
		if due.Sub(start) > r.Plan.Duration || !timing.Sleep(ctx, time.Until(due)) {
			return
		}
		j := r.nextJob(rng, n, due)
		select {
		case slots <- struct{}{}:
		default:
			r.record(j, result{outcome: Unsent, detail: "too many in progress"})
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			r.record(j, r.send(context.WithoutCancel(ctx), dir.rotated(), j))
		})
	}
}

// nextJob draws request n: a call to OncePath or a prompt length of the mix.
func (r *Run) nextJob(rng *rand.Rand, n int, due time.Time) job {
	j := job{key: fmt.Sprintf("load-%d-%d", r.Plan.Seed, n), due: due}
	if rng.Float64() < r.Plan.Once {
		return j
	}
	total := 0.0
	for _, s := range r.Plan.Mix {
		total += s.Weight
	}
	x := rng.Float64() * total
	for _, s := range r.Plan.Mix {
		j.tokens = s.Tokens
		if x -= s.Weight; x < 0 {
			break
		}
	}
	return j
}

// record adds a result to the report and reports calls to r.Call.
func (r *Run) record(j job, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.add(j, res)
	if j.tokens == 0 && r.Call != nil {
		r.Call(j.key, res.outcome)
	}
}
