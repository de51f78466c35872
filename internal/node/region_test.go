package node

import (
	"context"
	"fmt"
	"net/http"
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
func TestRequestsStayInTheirRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			entries, engines, services = 6, 12, 6
			cutOff                     = 1
			cutAt, lossAt, end         = 5 * time.Second, 10 * time.Second, 20 * time.Second
			interval                   = 60 * time.Millisecond
		)
		// Targets with an even number are in region b.
		isAllowed := func(number int) bool { return number%2 == 0 }
		ctx, cancel := context.WithCancel(context.Background())
		var mu sync.Mutex
		attempts, resumed, retried := make(map[string]int), 0, 0
		serve := func(e *testTarget, w http.ResponseWriter, c gate.CallInfo) {
			mu.Lock()
			attempts[c.ID]++
			first := attempts[c.ID] == 1
			isRetry := !first && e.Pool == servicePool
			if isRetry {
				retried++
			}
			if c.HasLastEventID {
				resumed++
			}
			mu.Unlock()
			fails := strings.HasSuffix(c.ID, "0") && first
			if e.Pool == servicePool {
				writeHead(w, gate.ReplyInfo{RequestID: c.ID, NotRun: fails})
				if fails {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				return
			}
			writeHead(w, gate.ReplyInfo{RequestID: c.ID})
			if fails {
				writeStream(w, c, 4)
				panic(http.ErrAbortHandler)
			}
			writeStream(w, c, 10)
		}
		f := newFleet(ctx, t, entries, engines, services, serve, func(f *fleet) {
			f.regions = site.Regions{"dc": "a", "dc2": "b"}
			f.targetDC = func(number int) string { return []string{"dc2", "dc"}[number%2] }
			f.bind = func(t *site.Tables) {
				t.Routes[0].Regions, t.Routes[1].Regions = []string{"b"}, []string{"b", "c"}
				t.Organisations[0].Regions = []string{"b"}
			}
		})
		defer f.close(cancel)

		start := time.Now()
		var callers sync.WaitGroup
		calls, served, relayed := 0, 0, 0
		callers.Go(func() {
			time.Sleep(cutAt)
			for i := range f.started {
				f.net.Refuse(fmt.Sprintf(entryHost, cutOff+1), fmt.Sprintf("10.0.2.%d:80", i+1))
			}
			time.Sleep(lossAt - cutAt)
			for i, c := range f.controls {
				// Only the leader has granted anything.
				if metrics.GetOrRegisterCounter("hub.grants", c.Metrics).Count() > 0 {
					f.stopControl[i]()
				}
			}
		})
		for i := 0; time.Since(start) < end; i++ {
			callers.Go(func() {
				call := gate.CallInfo{ID: fmt.Sprintf("a%d", i)}
				if i%16 == 0 {
					call.PromptTokens = 300_000
				}
				_, whole := f.call(ctx, i%entries, []string{chatPath, lookupPath, orderPath}[i/entries%3], call)
				mu.Lock()
				defer mu.Unlock()
				calls++
				if whole {
					served++
				}
			})
			time.Sleep(interval)
		}
		callers.Wait()

		helpers := 0
		numberOf := func(address string) (n int) {
			_, err := fmt.Sscanf(address, "10.0.2.%d:80", &n)
			quicktest.Assert(t, err, quicktest.IsNil)
			return n
		}
		for _, a := range f.arrivals {
			var n int
			_, err := fmt.Sscanf(a.target[strings.LastIndex(a.target, "-")+1:], "%d", &n)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Check(t, isAllowed(n), quicktest.IsTrue, quicktest.Commentf("%s reached %s", a.call.ID, a.target))
			for _, h := range a.helpers {
				helpers++
				quicktest.Check(t, isAllowed(numberOf(h)), quicktest.IsTrue, quicktest.Commentf("%s has the helper %s", a.call.ID, h))
			}
			if host, _, _ := strings.Cut(a.entry, ":"); host != fmt.Sprintf(entryHost, entryOf(a.call.ID, entries)+1) {
				relayed++
			}
		}
		t.Logf("%d of %d requests served; %d helpers, %d resumed, %d retried, %d relayed", served, calls, helpers, resumed, retried, relayed)
		quicktest.Check(t, helpers > 0 && resumed > 0 && retried > 0 && relayed > 0, quicktest.IsTrue)
		quicktest.Check(t, served >= calls*9/10, quicktest.IsTrue)
	})
}

// entryOf returns the number of the entry that got the request with an ID.
func entryOf(id string, entries int) int {
	var i int
	if _, err := fmt.Sscanf(id, "a%d", &i); err != nil {
		return -1
	}
	return i % entries
}
