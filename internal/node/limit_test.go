package node

import (
	"context"
	"fmt"
	"net/http"
	"slices"
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
	load := &limitLoad{limitPlay: p, firstNamed: make(map[string]time.Time), told: make(map[string]time.Time)}
	engines, services := p.targets, 0
	if p.path == lookupPath {
		engines, services = 0, p.targets
	}
	load.fleet = newFleet(ctx, t, p.entries, engines, services, load.serve)
	defer load.close(cancel)
	served, calls := load.send(ctx)

	allowed := int(limitFactor*p.limit*limitWindow.Seconds()) + limitSlack
	most := 0
	for target := range load.firstNamed {
		most = max(most, mostWithin(load.counted(target), limitWindow))
	}
	share := float64(served) / float64(calls)
	t.Logf("%d targets named limits, most in %s %d of %d, served %.3f of %d", len(load.firstNamed), limitWindow, most, allowed, share, calls)
	red.Check(t, "named", len(load.firstNamed) > 0, "no target got a request after it had named its limit")
	red.Check(t, "limit", most <= allowed, "a target that named a limit of %g a second got %d requests in %s, allowed %d", p.limit, most, limitWindow, allowed)
	red.Check(t, "served", share >= p.minServed, "%.3f of the requests served, wanted %.2f", share, p.minServed)
}

// limitLoad is a limitPlay in progress.
type limitLoad struct {
	limitPlay
	*fleet
	// names is set once targets name their limits.
	names atomic.Bool

	toldMu sync.Mutex
	// firstNamed is when each target first named its limit, and told when it first told each
	// entry, by the IDs of both.
	firstNamed, told map[string]time.Time
}

// serve answers a request at a target.
func (l *limitLoad) serve(e *testTarget, w http.ResponseWriter, c gate.CallInfo) {
	r := gate.ReplyInfo{RequestID: c.ID, HasLimit: l.names.Load() && e.number <= l.limited, Limit: l.limit}
	if e.Pool == enginePool {
		time.Sleep(eventPause)
	}
	if r.HasLimit {
		l.recordTold(e.ID, e.lastEntry(c.ID))
	}
	writeHead(w, r)
	if e.Pool == enginePool {
		writeStream(w, c, 10)
		return
	}
	_, _ = fmt.Fprint(w, "done")
}

func (l *limitLoad) recordTold(target, entry string) {
	l.toldMu.Lock()
	defer l.toldMu.Unlock()
	if _, ok := l.firstNamed[target]; !ok {
		l.firstNamed[target] = time.Now()
	}
	if key := target + " " + entry; l.told[key].IsZero() {
		l.told[key] = time.Now()
	}
}

// send sends requests for 24 s. Targets name their limits after 4 s, and after 10 s the leader
// may be lost.
func (l *limitLoad) send(ctx context.Context) (served, calls int64) {
	var wholeCount, callCount atomic.Int64
	var callers sync.WaitGroup
	start := time.Now()
	time.AfterFunc(4*time.Second, func() { l.names.Store(true) })
	if l.losesLeader {
		time.AfterFunc(10*time.Second, l.stopLeader)
	}
	for i := 0; time.Since(start) < 24*time.Second; i++ {
		callers.Go(func() {
			callCount.Add(1)
			if _, whole := l.call(ctx, i%len(l.fleet.entries), l.path, gate.CallInfo{ID: fmt.Sprintf("a%d", i)}); whole {
				wholeCount.Add(1)
			}
		})
		time.Sleep(l.interval)
	}
	callers.Wait()
	return wholeCount.Load(), callCount.Load()
}

// counted returns when requests reached a target that count against its limit.
func (l *limitLoad) counted(target string) (times []time.Time) {
	for _, a := range l.arrivals {
		since := l.told[target+" "+a.entry]
		if a.target == target && !since.IsZero() && a.at.Sub(since) >= toldTime && a.at.Sub(l.firstNamed[target]) >= contact {
			times = append(times, a.at)
		}
	}
	return times
}

// mostWithin returns the largest number of the times that lie within a window.
func mostWithin(times []time.Time, window time.Duration) (most int) {
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// stopLeader ends the leading control instance.
func (f *fleet) stopLeader() {
	for i, c := range f.controls {
		// Each change begins or ends a leadership.
		if metrics.GetOrRegisterCounter("hub.leadership_changes", c.Metrics).Count()%2 == 1 {
			f.stopControl[i]()
		}
	}
}

// lastEntry returns the host of the entry that last sent a request to the target.
func (e *testTarget) lastEntry(id string) string {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	for _, a := range slices.Backward(e.fleet.arrivals) {
		if a.target == e.ID && a.call.ID == id {
			return a.entry
		}
	}
	return ""
}
