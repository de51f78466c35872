package node

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/internal/red"
)

const (
	// limitWindow is the time over which the requests to a target that names a limit are
	// counted, and toldTime that after which an instance that was told must keep to it.
	limitWindow = 4 * time.Second
	toldTime    = 500 * time.Millisecond
	// limitFactor and limitSlack times the limit give the requests that are allowed.
	limitFactor, limitSlack = 1.5, 5
)

// limitPlay is a load on targets of which some name a limit.
type limitPlay struct {
	path string
	// entries, targets and limited are numbers of instances and of targets.
	entries, targets, limited int
	limit                     float64
	// interval is the time between two requests.
	interval time.Duration
	// losesLeader has the leading control instance end while the limit is named.
	losesLeader bool
	// minServed is the share of the requests that must be served.
	minServed float64
}

// TestTargetsThatNameLimit guards against entries that send a target more than the requests
// a second that it accepts from all of them together, with a leader and without. The others
// must serve what it doesn't take.
func TestTargetsThatNameLimit(t *testing.T) {
	for name, p := range map[string]limitPlay{
		"engines":            {path: chatPath, entries: 6, targets: 12, limited: 2, limit: 1, interval: 25 * time.Millisecond, minServed: 0.95},
		"fraction":           {path: chatPath, entries: 6, targets: 12, limited: 2, limit: 2.3, interval: 25 * time.Millisecond, minServed: 0.95},
		"many entries":       {path: chatPath, entries: 30, targets: 12, limited: 2, limit: 1, interval: 25 * time.Millisecond, minServed: 0.95},
		"without leader":     {path: chatPath, entries: 6, targets: 12, limited: 2, limit: 1, interval: 25 * time.Millisecond, losesLeader: true, minServed: 0.95},
		"all engines":        {path: chatPath, entries: 6, targets: 4, limited: 4, limit: 2, interval: 50 * time.Millisecond},
		"services":           {path: lookupPath, entries: 6, targets: 3, limited: 1, limit: 1, interval: 50 * time.Millisecond, minServed: 0.95},
		"all services":       {path: lookupPath, entries: 9, targets: 3, limited: 3, limit: 1, interval: 50 * time.Millisecond},
		"many, all services": {path: lookupPath, entries: 40, targets: 3, limited: 3, limit: 1, interval: 30 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { p.run(t) })
		})
	}
}

func (p limitPlay) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	// firstNamed is when each target first named its limit, and told when it told each entry.
	firstNamed, told := make(map[string]time.Time), make(map[string]time.Time)
	var names atomic.Bool
	serve := func(e *testTarget, w http.ResponseWriter, c gate.CallInfo) {
		r := gate.ReplyInfo{RequestID: c.ID}
		if number := 0; names.Load() {
			fmt.Sscanf(e.ID[strings.LastIndex(e.ID, "-")+1:], "%d", &number)
			r.HasLimit, r.Limit = number <= p.limited, p.limit
		}
		if e.Pool == enginePool {
			time.Sleep(eventPause)
		}
		if r.HasLimit {
			mu.Lock()
			if _, ok := firstNamed[e.ID]; !ok {
				firstNamed[e.ID] = time.Now()
			}
			if key := e.ID + " " + e.lastEntry(c.ID); told[key].IsZero() {
				told[key] = time.Now()
			}
			mu.Unlock()
		}
		writeHead(w, r)
		if e.Pool == enginePool {
			writeStream(w, c, 10)
			return
		}
		_, _ = fmt.Fprint(w, "done")
	}
	engines, services := p.targets, 0
	if p.path == lookupPath {
		engines, services = 0, p.targets
	}
	f := newFleet(ctx, t, p.entries, engines, services, serve)
	defer f.close(cancel)

	var calls, served atomic.Int64
	var callers sync.WaitGroup
	start := time.Now()
	time.AfterFunc(4*time.Second, func() { names.Store(true) })
	if p.losesLeader {
		time.AfterFunc(10*time.Second, func() {
			for i, c := range f.controls {
				// Each change begins or ends a leadership.
				if metrics.GetOrRegisterCounter("hub.leadership_changes", c.Metrics).Count()%2 == 1 {
					f.stopControl[i]()
				}
			}
		})
	}
	for i := 0; time.Since(start) < 24*time.Second; i++ {
		callers.Go(func() {
			calls.Add(1)
			if _, whole := f.call(ctx, i%p.entries, p.path, gate.CallInfo{ID: fmt.Sprintf("a%d", i)}); whole {
				served.Add(1)
			}
		})
		time.Sleep(p.interval)
	}
	callers.Wait()

	allowed := int(limitFactor*p.limit*limitWindow.Seconds()) + limitSlack
	most := 0
	f.mu.Lock()
	defer f.mu.Unlock()
	for target, named := range firstNamed {
		var times []time.Time
		for _, a := range f.arrivals {
			since := told[target+" "+a.entry]
			if a.target == target && !since.IsZero() && a.at.Sub(since) >= toldTime && a.at.Sub(named) >= contact {
				times = append(times, a.at)
			}
		}
		for i, first := 0, 0; i < len(times); i++ {
			for times[i].Sub(times[first]) > limitWindow {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	share := float64(served.Load()) / float64(calls.Load())
	t.Logf("%d targets named limits, most in %s %d of %d, served %.3f of %d", len(firstNamed), limitWindow, most, allowed, share, calls.Load())
	red.Check(t, "named", len(firstNamed) > 0, "no target got a request after it had named its limit")
	red.Check(t, "limit", most <= allowed, "a target that named a limit of %g a second got %d requests in %s, allowed %d", p.limit, most, limitWindow, allowed)
	red.Check(t, "served", share >= p.minServed, "%.3f of the requests served, wanted %.2f", share, p.minServed)
}

// lastEntry returns the host of the entry that last sent a request to the target.
func (e *testTarget) lastEntry(id string) string {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	for i := len(e.fleet.arrivals) - 1; i >= 0; i-- {
		if a := e.fleet.arrivals[i]; a.target == e.ID && a.call.ID == id {
			return a.entry
		}
	}
	return ""
}
