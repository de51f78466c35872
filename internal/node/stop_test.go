package node

import (
	"bufio"
	"cmp"
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
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/internal/guard"
	"github.com/bambooproxy/bambooproxy/internal/red"
	"github.com/bambooproxy/bambooproxy/internal/relay"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/platform"
)

const (
	stopGrace = 8 * time.Second
	stopAddr  = "10.0.1.1:81"
)

// stopPlay is a planned stop of an entry, while callers send requests on connections that they keep.
type stopPlay struct {
	*fleet
	start time.Time
	// wantsWhole is set if no stream may be truncated, even if it has begun.
	wantsWhole bool
	// prompt is the length of the prompts in tokens; 0 means 5000.
	prompt int
	// output returns the longest answer that a caller wants, in tokens; nil means 300 for all.
	output func(number int) int

	mu sync.Mutex
	// reached counts the targets that each request reached.
	reached  map[string]int
	statuses map[int]int
	// waited counts the requests that were refused after they had waited for a target.
	waited int
	// cut are the requests that got neither a whole response nor a reset of an unread connection.
	cut     []string
	results []stopResult
}

// stopResult is how a request ended. The status is 0 without a response.
type stopResult struct {
	id          string
	sent, ended time.Time
	status      int
	err         error
}

// TestPlannedStopAnswersAll guards against requests that an entry takes during its grace period, passes on and cuts off
// at the end without a response: callers can't know whether they ran. Only a stream that has begun may be truncated.
func TestPlannedStopAnswersAll(t *testing.T) {
	for name, c := range map[string]answersPlay{
		"orders":              {orderPath, 150 * time.Millisecond, []time.Duration{time.Second, 3 * time.Second, 10 * time.Second}},
		"slow orders":         {orderPath, 4 * time.Second, []time.Duration{3 * time.Second, 10 * time.Second}},
		"orders without end":  {orderPath, time.Hour, []time.Duration{time.Second, 3 * time.Second, 10 * time.Second}},
		"look-ups, no end":    {lookupPath, time.Hour, []time.Duration{time.Second, 10 * time.Second}},
		"streams":             {chatPath, 300 * time.Millisecond, []time.Duration{2 * time.Second, 10 * time.Second}},
		"streams, not begun":  {chatPath, time.Hour, []time.Duration{3 * time.Second, 10 * time.Second}},
		"streams, slow start": {chatPath, 5 * time.Second, []time.Duration{3 * time.Second, 10 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.run(t, withLongLimits) })
		})
		t.Run(name+", other pool", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.run(t, func(t *site.Tables) { withLongLimits(t); crossPools(t) })
			})
		})
	}
}

// answersPlay is a planned stop under requests to a path.
type answersPlay struct {
	path string
	// hold is how long a target works on a request, and limits the time limits of the callers.
	hold   time.Duration
	limits []time.Duration
}

func (c answersPlay) run(t *testing.T, bind func(t *site.Tables)) {
	ctx, cancel := context.WithCancel(t.Context())
	p := &stopPlay{reached: make(map[string]int), statuses: make(map[int]int)}
	p.fleet = newFleet(ctx, t, 1, 4, 4, func(_ *testTarget, w http.ResponseWriter, i gate.CallInfo) {
		p.mu.Lock()
		p.reached[i.ID]++
		p.mu.Unlock()
		if !timing.Sleep(w.(*silenceWriter).ctx, c.hold) {
			return
		}
		writeHead(w, gate.ReplyInfo{RequestID: i.ID})
		if c.path == chatPath {
			writeStream(w, i, 10)
		}
	}, func(f *fleet) { f.bind = bind })
	defer p.close(cancel)
	p.play(ctx, 40, c.path, c.limits)
}

// withLongLimits gives all routes the time limit of streams, and their callers patience.
func withLongLimits(t *site.Tables) {
	for i := range t.Routes {
		t.Routes[i].Limit, t.Routes[i].Aim = 10*time.Second, 3*time.Second
	}
}

// play stops the entry one second after the first request, with that many callers and others.
func (p *stopPlay) play(ctx context.Context, callerCount int, path string, limits []time.Duration, others ...func()) {
	g := p.entries[0].Handler.(*gate.Server)
	proc, group, stop := p.startProcess(ctx, g, g)
	p.start = time.Now()
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Go(func() { p.caller(ctx, i, path, limits[i%len(limits)]) })
	}
	for _, f := range others {
		callers.Go(f)
	}
	time.Sleep(time.Second)
	began := time.Now()
	proc.drain()
	quicktest.Check(p.t, g.InFlight(), quicktest.Equals, int64(0), quicktest.Commentf("requests in progress when the components end"))
	stop()
	quicktest.Check(p.t, group.Wait(), quicktest.IsNil)
	quicktest.Check(p.t, time.Since(began) < stopGrace, quicktest.IsTrue, quicktest.Commentf("ended after %s", time.Since(began)))
	callers.Wait()
	red.Check(p.t, "cut", len(p.cut) == 0, "%d cut, wanted 0; statuses %v: %s", len(p.cut), p.statuses, strings.Join(p.cut, "\n"))
	quicktest.Check(p.t, p.statuses[200]+p.statuses[502]+p.statuses[504] > 0, quicktest.IsTrue, quicktest.Commentf("%v", p.statuses))
}

// startProcess starts the process of an entry, whose handler serves its callers. The function stop ends it.
func (p *stopPlay) startProcess(ctx context.Context, g *gate.Server, h http.Handler) (proc *Process, group *errgroup.Group, stop func()) {
	g.DrainTime = drainTime(stopGrace)
	proc = &Process{
		Settings: conf.Process{Grace: table.Duration(stopGrace)}, Log: &log.Logger{Level: log.PanicLevel}, gate: g, relay: &relay.Server{},
		heads: guard.Heads{Limit: 1 << 20}, metrics: metrics.NewRegistry(),
	}
	ln, err := p.net.Listen(stopAddr)
	quicktest.Assert(p.t, err, quicktest.IsNil)
	group, ctx = errgroup.WithContext(ctx)
	ctx, stop = context.WithCancel(ctx)
	proc.serveOn(ctx, group, "callers", ln, 1000, newHTTPServer(h, idleTimeout, proc.callers.connState))
	return proc, group, stop
}

// caller sends one request after the other on a connection, until it is closed.
func (p *stopPlay) caller(ctx context.Context, number int, path string, limit time.Duration) {
	time.Sleep(time.Duration(number) * 70 * time.Millisecond)
	conn, err := p.net.Dialer(fmt.Sprintf("10.0.8.%d", number+1))(ctx, stopAddr)
	if err != nil {
		return
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i := 0; ; i++ {
		id := strconv.Itoa(number*1000 + i)
		c := gate.CallInfo{ID: id, Key: "key", TimeLimit: limit, PromptTokens: cmp.Or(p.prompt, 5000), MaxOutputTokens: 300}
		if p.output != nil {
			c.MaxOutputTokens = p.output(number)
		}
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, strings.NewReader("prompt of "+id))
		quicktest.Assert(p.t, err, quicktest.IsNil)
		q.Header = platform.EncodeCall(c)
		sent := time.Now()
		if q.Write(conn) != nil {
			return
		}
		resp, err := http.ReadResponse(r, q)
		status, closes := 0, true
		if err == nil {
			status, closes = resp.StatusCode, resp.Close
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		p.record(id, sent, status, err)
		if err != nil || closes {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// record counts a response, or how a request ended without one.
func (p *stopPlay) record(id string, sent time.Time, status int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statuses[status]++
	p.results = append(p.results, stopResult{id, sent, time.Now(), status, err})
	const stopAt, lossSlack = time.Second, 200 * time.Millisecond
	if status == http.StatusServiceUnavailable && time.Since(sent) > lossSlack {
		p.waited++
	}
	crossed := p.reached[id] == 0 && time.Since(sent) <= lossSlack
	truncated := !p.wantsWhole && status == http.StatusOK && sent.Sub(p.start) <= stopAt+3*time.Second
	if err != nil && !crossed && !truncated {
		p.cut = append(p.cut, fmt.Sprintf("request %s, sent %s and cut %s after the start, status %d, at %d targets: %v", id, sent.Sub(p.start), time.Since(p.start), status, p.reached[id], err))
	}
}
