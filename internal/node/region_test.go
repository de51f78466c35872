package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// TestRequestsStayInTheirRegions sends requests that are bound to region b at entries of both
// regions, with targets in both. Some engines break answers off, services refuse, long prompts need
// helpers, an entry of region a is cut off from all targets of region b, and the leader is lost.
// Nothing may reach a target of region a, and the requests must be served.
func TestRequestsStayInTheirRegions(t *testing.T) { testRequestsStay(t, false) }

// TestSplitRequestsStayInTheirRegions is the same with routes that are split over both kinds of pools.
func TestSplitRequestsStayInTheirRegions(t *testing.T) { testRequestsStay(t, true) }

func testRequestsStay(t *testing.T, split bool) {
	synctest.Test(t, func(t *testing.T) {
		const (
			engines, services = 12, 6
			end               = 20 * time.Second
			interval          = 60 * time.Millisecond
		)
		ctx, cancel := context.WithCancel(context.Background())
		p := &regionPlay{attempts: make(map[string]int)}
		f := newFleet(ctx, t, regionEntries, engines, services, p.serve, bindToRegionB, func(f *fleet) {
			bind := f.bind
			f.bind = func(t *site.Tables) {
				bind(t)
				for i := range t.Routes {
					if split {
						t.Routes[i].Split = []site.PoolWeight{{Pool: enginePool, Weight: 1}, {Pool: servicePool, Weight: 1}}
					}
				}
			}
		})
		defer f.close(cancel)

		start := time.Now()
		var callers sync.WaitGroup
		callers.Go(func() { p.injectFaults(f) })
		for i := 0; time.Since(start) < end; i++ {
			callers.Go(func() { p.call(ctx, f, i) })
			time.Sleep(interval)
		}
		callers.Wait()
		for _, a := range f.arrivals {
			p.check(t, a)
		}
		t.Logf("%d of %d requests served; %d helpers, %d resumed, %d retried, %d relayed", p.served, p.calls, p.helpers, p.resumed, p.retried, p.relayed)
		quicktest.Check(t, p.helpers > 0 && p.resumed > 0 && p.retried > 0 && p.relayed > 0, quicktest.IsTrue)
		quicktest.Check(t, p.served >= p.calls*9/10, quicktest.IsTrue)
	})
}

const (
	regionEntries = 6
	// regionCutOff is the entry that loses its targets.
	regionCutOff = 1
)

// bindToRegionB puts the targets with an even number into region b, and binds all requests to it.
func bindToRegionB(f *fleet) {
	f.regions = site.Regions{"dc": "a", "dc2": "b"}
	f.targetDC = func(number int) string { return []string{"dc2", "dc"}[number%2] }
	f.bind = func(t *site.Tables) {
		t.Routes[0].Regions, t.Routes[1].Regions = []string{"b"}, []string{"b", "c"}
		t.Organisations[0].Regions = []string{"b"}
	}
}

// regionPlay counts what becomes of requests that are bound to a region.
type regionPlay struct {
	mu                                                sync.Mutex
	attempts                                          map[string]int
	calls, served, resumed, retried, helpers, relayed int
}

// countAttempt counts a request at a target, and reports whether it fails there.
func (p *regionPlay) countAttempt(c gate.CallInfo) (fails bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[c.ID]++
	isFirst := p.attempts[c.ID] == 1
	if !isFirst && !isStreamCall(c.ID) {
		p.retried++
	}
	if c.HasLastEventID {
		p.resumed++
	}
	return isFirst && strings.HasSuffix(c.ID, "0")
}

// serve answers a request at a target.
func (p *regionPlay) serve(_ *testTarget, w http.ResponseWriter, c gate.CallInfo) {
	fails := p.countAttempt(c)
	if !isStreamCall(c.ID) {
		writeHead(w, gate.ReplyInfo{RequestID: c.ID, NotRun: fails})
		if fails {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = io.WriteString(w, "done")
		return
	}
	writeHead(w, gate.ReplyInfo{RequestID: c.ID})
	if fails {
		writeStream(w, c, 4)
		panic(http.ErrAbortHandler)
	}
	writeStream(w, c, 10)
}

// call sends a request to one of the entries.
func (p *regionPlay) call(ctx context.Context, f *fleet, i int) {
	call := gate.CallInfo{ID: fmt.Sprintf("a%d", i)}
	if i%16 == 0 {
		call.PromptTokens = 300_000
	}
	_, whole := f.call(ctx, i%regionEntries, regionPaths()[i/regionEntries%3], call)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if whole {
		p.served++
	}
}

// regionPaths returns the paths that are called in turn.
func regionPaths() []string { return []string{chatPath, lookupPath, orderPath} }

// isStreamCall reports whether the request with an ID wants a stream.
func isStreamCall(id string) bool {
	i, err := strconv.Atoi(strings.TrimPrefix(id, "a"))
	return err == nil && regionPaths()[i/regionEntries%3] == chatPath
}

// injectFaults cuts an entry off from all targets, and later stops the leader.
func (p *regionPlay) injectFaults(f *fleet) {
	const cutAt, lossAt = 5 * time.Second, 10 * time.Second
	time.Sleep(cutAt)
	for i := range f.started {
		f.net.Refuse(fmt.Sprintf(entryHost, regionCutOff+1), fmt.Sprintf("10.0.2.%d:80", i+1))
	}
	time.Sleep(lossAt - cutAt)
	for i, c := range f.controls {
		// Only the leader has granted anything.
		if metrics.GetOrRegisterCounter("hub.grants", c.Metrics).Count() > 0 {
			f.stopControl[i]()
		}
	}
}

// check checks that a request reached a target of region b, with helpers there.
func (p *regionPlay) check(t *testing.T, a arrival) {
	var n int
	_, err := fmt.Sscanf(a.target[strings.LastIndex(a.target, "-")+1:], "%d", &n)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, n%2, quicktest.Equals, 0, quicktest.Commentf("%s reached %s", a.call.ID, a.target))
	for _, h := range a.helpers {
		p.helpers++
		_, err := fmt.Sscanf(h, "10.0.2.%d:80", &n)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, n%2, quicktest.Equals, 0, quicktest.Commentf("%s has the helper %s", a.call.ID, h))
	}
	if host, _, _ := strings.Cut(a.entry, ":"); host != fmt.Sprintf(entryHost, entryOf(a.call.ID, regionEntries)+1) {
		p.relayed++
	}
}

// entryOf returns the number of the entry that got the request with an ID.
func entryOf(id string, entries int) int {
	var i int
	if _, err := fmt.Sscanf(id, "a%d", &i); err != nil {
		return -1
	}
	return i % entries
}
