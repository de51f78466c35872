package node

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/internal/red"
)

const (
	// coldRate is the rate of cold targets in the tables, and coldTime how long a target is cold.
	coldRate = 5
	coldTime = 8 * time.Second
)

// coldPlay is a load on targets of which one is cold from 4 s on.
type coldPlay struct {
	path    string
	entries int
	// again has a target that runs be cold, in place of a new one.
	again bool
	// losesLeader has the leading control instance end 300 ms later, before the next heartbeat.
	losesLeader bool
	// minServed is the share of the requests that must be served. Of 6 engines that are never cold
	// it is 0.90: the load is as much as they can carry.
	minServed float64
}

// TestColdTargets guards against entries that together send a target that has just started, or is cold
// again, more requests in a second than it tolerates, with a leader and during an election. The others
// must serve what it doesn't take, and it must get more once it is warm.
func TestColdTargets(t *testing.T) {
	for name, p := range map[string]coldPlay{
		"new engine":           {path: chatPath, entries: 20, minServed: 0.95},
		"new engine, election": {path: chatPath, entries: 20, losesLeader: true, minServed: 0.9},
		"cold again":           {path: chatPath, entries: 20, again: true, minServed: 0.8},
		"cold again, election": {path: chatPath, entries: 20, again: true, losesLeader: true, minServed: 0.8},
		"new service":          {path: lookupPath, entries: 20, minServed: 0.95},
		"service, election":    {path: lookupPath, entries: 20, again: true, losesLeader: true, minServed: 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { p.run(t) })
		})
	}
}

func (p coldPlay) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	pool, engines, services := enginePool, 6, 0
	if p.path == lookupPath {
		pool, engines, services = servicePool, 0, 3
	}
	f := newFleet(ctx, t, p.entries, engines, services, serveCold)
	defer f.close(cancel)
	next := fleetTables()
	next.Version = 2
	for i := range next.Pools {
		next.Pools[i].ColdRate, next.Pools[i].ColdTime = coldRate, coldTime
	}
	quicktest.Assert(t, f.controls[0].Publish(ctx, next, []byte("{}")), quicktest.IsNil)

	// Entries that have just started assume that many share the rate.
	time.Sleep(10 * time.Second)
	start := time.Now()
	coldAt, coldID := start.Add(4*time.Second), pool+"-001"
	if !p.again {
		coldID = fmt.Sprintf("%s-%03d", pool, engines+services+1)
	}
	f.mu.Lock()
	f.cold = func(e *testTarget) time.Duration {
		if e.ID != coldID || time.Now().Before(coldAt) {
			return 0
		}
		return max(0, time.Until(coldAt.Add(coldTime)))
	}
	f.mu.Unlock()
	time.AfterFunc(time.Until(coldAt), func() {
		if !p.again {
			f.startTarget(ctx, pool)
		}
	})
	if p.losesLeader {
		time.AfterFunc(time.Until(coldAt)+300*time.Millisecond, f.stopLeader)
	}
	served, calls := p.send(ctx, f, start)

	from := coldAt
	if p.again {
		// Nobody knows before its next heartbeat.
		from = from.Add(heartbeat + toldTime)
	}
	var whileCold, later []time.Time
	for _, a := range f.arrivals {
		switch {
		case a.target != coldID || a.at.Before(from):
		case a.at.Before(coldAt.Add(coldTime)):
			whileCold = append(whileCold, a.at)
		default:
			later = append(later, a.at)
		}
	}
	quicktest.Assert(t, len(whileCold) > 0 && len(later) > 0, quicktest.IsTrue, quicktest.Commentf("%d while cold, %d later, of %d", len(whileCold), len(later), len(f.arrivals)))
	most, allowed := mostWithin(whileCold, time.Second), coldRate*3/2+5
	share := float64(served) / float64(calls)
	t.Logf("most %d in a second of %d, %d while cold, then most %d, served %.3f of %d", most, allowed, len(whileCold), mostWithin(later, time.Second), share, calls)
	red.Check(t, "limit", most <= allowed, "a cold target got %d requests in a second, allowed %d", most, allowed)
	red.Check(t, "served", share >= p.minServed, "%.3f of the requests served, wanted %.2f", share, p.minServed)
	red.Check(t, "ended", len(later) > len(whileCold), "%d requests while cold, %d in the 8 s after", len(whileCold), len(later))
}

// serveCold answers a request at a target.
func serveCold(e *testTarget, w http.ResponseWriter, c gate.CallInfo) {
	if e.Pool == enginePool {
		time.Sleep(eventPause)
	}
	writeHead(w, gate.ReplyInfo{RequestID: c.ID})
	if e.Pool == enginePool {
		writeStream(w, c, 10)
		return
	}
	_, _ = fmt.Fprint(w, "done")
}

// send sends a request every 8 ms, to one entry after the other, until 8 s after the target is warm.
func (p coldPlay) send(ctx context.Context, f *fleet, start time.Time) (served, calls int64) {
	var wholeCount, callCount atomic.Int64
	var callers sync.WaitGroup
	for i := 0; time.Since(start) < 20*time.Second; i++ {
		callers.Go(func() {
			callCount.Add(1)
			if _, whole := f.call(ctx, i%len(f.entries), p.path, gate.CallInfo{ID: fmt.Sprintf("a%d", i)}); whole {
				wholeCount.Add(1)
			}
		})
		time.Sleep(8 * time.Millisecond)
	}
	callers.Wait()
	return wholeCount.Load(), callCount.Load()
}
