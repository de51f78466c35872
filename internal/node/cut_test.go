package node

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/internal/red"
)

// cutPlay cuts some entries off from all targets for a while. Callers, control instances and the
// other entries still reach them.
type cutPlay struct {
	*fleet
	// cutOff are the numbers of the entries that are cut off.
	cutOff []int

	countMu sync.Mutex
	// calls and served count the requests at entries that are cut off, and at the others.
	calls, served [2]int
}

// TestEntriesCutOffFromTargets guards against entries that lose their links to all targets and keep
// callers waiting for them: they must serve as well as the others, whether their connections go
// silent, are reset, or live on while new ones are refused, and also if no entry of their data
// centre is left.
func TestEntriesCutOffFromTargets(t *testing.T) {
	cuts := map[string]func(f *fleet, entry, target string){
		"silent": func(f *fleet, entry, target string) { f.net.Cut(entry, target) },
		"reset": func(f *fleet, entry, target string) {
			f.net.Refuse(entry, target)
			f.net.Break(entry, target)
		},
		"refused": func(f *fleet, entry, target string) { f.net.Refuse(entry, target) },
	}
	for name, cut := range cuts {
		for group, cutOff := range map[string][]int{"some": {1, 4}, "data centre": {0, 1, 2}} {
			t.Run(name+"/"+group, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playCut(t, cutOff, cut) })
			})
		}
	}
}

// playCut sends requests at all entries for 20 s, of which some are cut off from second 4 to 16.
func playCut(t *testing.T, cutOff []int, cut func(f *fleet, entry, target string)) {
	const (
		entries, engines, services = 6, 8, 3
		cutAt, cutEnd, end         = 4 * time.Second, 16 * time.Second, 20 * time.Second
		interval                   = 50 * time.Millisecond
		workTime                   = 25 * time.Millisecond
	)
	ctx, cancel := context.WithCancel(context.Background())
	p := &cutPlay{cutOff: cutOff}
	p.fleet = newFleet(ctx, t, entries, engines, services, func(e *testTarget, w http.ResponseWriter, c gate.CallInfo) {
		writeHead(w, gate.ReplyInfo{RequestID: c.ID})
		if e.Pool == servicePool {
			time.Sleep(workTime)
			return
		}
		writeStream(w, c, 10)
	})
	defer p.close(cancel)

	start := time.Now()
	var callers sync.WaitGroup
	callers.Go(func() {
		time.Sleep(cutAt)
		p.eachLink(func(entry, target string) { cut(p.fleet, entry, target) })
		time.Sleep(cutEnd - cutAt)
		p.eachLink(p.net.Heal)
	})
	for i := 0; time.Since(start) < end; i++ {
		callers.Go(func() {
			age, path := time.Since(start), []string{chatPath, lookupPath, orderPath}[i/entries%3]
			_, whole := p.call(ctx, i%entries, path, gate.CallInfo{ID: fmt.Sprintf("a%d", i)})
			if age >= cutAt+contact && age < cutEnd {
				p.count(i%entries, whole && time.Since(start)-age < callerPatience)
			}
		})
		time.Sleep(interval)
	}
	callers.Wait()

	cutShare, otherShare := float64(p.served[0])/float64(p.calls[0]), float64(p.served[1])/float64(p.calls[1])
	failed := p.calls[0] - p.served[0]
	t.Logf("served %v of %v at entries that are cut off and at the others", p.served, p.calls)
	red.Check(t, "served", cutShare >= otherShare*2/3 || failed <= 10+(p.calls[0]+p.calls[1])/50,
		"entries that are cut off served %d of %d requests, the others %d of %d", p.served[0], p.calls[0], p.served[1], p.calls[1])
	red.Check(t, "others", otherShare >= 0.95, "the other entries served %d of %d requests", p.served[1], p.calls[1])
}

// callerPatience is how long a caller waits for a whole answer, which takes less than a second.
const callerPatience = 2 * time.Second

// eachLink calls do for each entry that is cut off with each target.
func (p *cutPlay) eachLink(do func(entry, target string)) {
	for _, n := range p.cutOff {
		for i := range p.started {
			do(fmt.Sprintf(entryHost, n+1), fmt.Sprintf("10.0.2.%d:80", i+1))
		}
	}
}

// count counts a request that came while entries were cut off.
func (p *cutPlay) count(entry int, served bool) {
	group := 1
	for _, n := range p.cutOff {
		if n == entry {
			group = 0
		}
	}
	p.countMu.Lock()
	defer p.countMu.Unlock()
	p.calls[group]++
	if served {
		p.served[group]++
	}
}
