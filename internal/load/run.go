package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/timing"
)

// Run is one run of a plan.
type Run struct {
	Plan Plan
	// Call is told the key and outcome of every call to OncePath; nil is told
	// nothing. It is called by one goroutine at a time.
	Call func(key string, o Outcome)

	http *http.Client
	mu   sync.Mutex
	rep  *Report
}

// Do sends all requests, waits for their ends and returns the report. An
// earlier end of ctx stops new requests and lets those in progress end.
func (r *Run) Do(ctx context.Context) (*Report, error) {
	if err := r.Plan.Check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: r.Plan.AtOnce, IdleConnTimeout: 5 * time.Second}
	defer transport.CloseIdleConnections()
	r.http = &http.Client{Transport: transport}
	r.rep = newReport(&r.Plan)
	dir := &directory{http: r.http, seeds: r.Plan.Entries}
	dctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	dir.refresh(dctx)
	var wg sync.WaitGroup
	wg.Go(func() { dir.run(dctx) })
	r.arrivals(ctx, dir)
	stop()
	wg.Wait()
	return r.rep, nil
}

// arrivals sends requests as they fall due and waits for their ends.
func (r *Run) arrivals(ctx context.Context, dir *directory) {
	var wg sync.WaitGroup
	defer wg.Wait()
	rnd := rand.New(rand.NewPCG(r.Plan.Seed, 0))
	room := make(chan struct{}, r.Plan.AtOnce)
	began := time.Now()
	due := began
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rnd.ExpFloat64() / r.Plan.Rate * float64(time.Second)))
		if due.Sub(began) > r.Plan.Duration || !timing.Sleep(ctx, time.Until(due)) {
			return
		}
		j := r.job(rnd, n, due)
		select {
		case room <- struct{}{}:
		default:
			r.record(j, result{outcome: Unsent, detail: "too many in progress"})
			continue
		}
		wg.Go(func() {
			defer func() { <-room }()
			r.record(j, r.send(context.WithoutCancel(ctx), dir.next(), j))
		})
	}
}

// job draws the next request.
func (r *Run) job(rnd *rand.Rand, n int, due time.Time) job {
	j := job{key: fmt.Sprintf("load-%d-%d", r.Plan.Seed, n), due: due}
	if rnd.Float64() < r.Plan.Once {
		return j
	}
	total := 0.0
	for _, s := range r.Plan.Mix {
		total += s.Weight
	}
	x := rnd.Float64() * total
	for _, s := range r.Plan.Mix {
		j.tokens = s.Tokens
		if x -= s.Weight; x < 0 {
			break
		}
	}
	return j
}

func (r *Run) record(j job, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rep.add(j, res)
	if j.tokens == 0 && r.Call != nil {
		r.Call(j.key, res.outcome)
	}
}
