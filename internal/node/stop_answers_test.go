package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/platform"
)

// TestPlannedStopEndsBrokenSilentStreams guards against streams whose engine has been silent and then broken off, and that
// wait for another one until their entry ends.
func TestPlannedStopEndsBrokenSilentStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		const breaksAfter, broken = 5500 * time.Millisecond, "0"
		p := &stopPlay{reached: make(map[string]int), statuses: make(map[int]int)}
		p.fleet = newFleet(ctx, t, 1, 2, 0, func(_ *testTarget, w http.ResponseWriter, c gate.CallInfo) {
			p.mu.Lock()
			p.reached[c.ID]++
			p.mu.Unlock()
			writeHead(w, gate.ReplyInfo{RequestID: c.ID})
			for i := range int64(100) {
				fmt.Fprintf(w, "id: %d\ndata: e\n\n", c.LastEventID+i+1)
				if http.NewResponseController(w).Flush() != nil || !timing.Sleep(w.(*silenceWriter).ctx, 400*time.Millisecond) {
					return
				}
				if c.ID == broken && time.Since(p.start) > 1500*time.Millisecond {
					timing.Sleep(w.(*silenceWriter).ctx, breaksAfter-time.Since(p.start))
					panic(http.ErrAbortHandler)
				}
			}
		}, func(f *fleet) { f.bind, f.slots = withShortPause, 1 })
		defer p.close(cancel)
		p.play(ctx, 2, chatPath, []time.Duration{15 * time.Second})
		for _, r := range p.results {
			if r.id == broken {
				ended := r.ended.Sub(p.start)
				quicktest.Check(t, ended < breaksAfter+time.Second, quicktest.IsTrue, quicktest.Commentf("ended after %s, status %d, error %v, at %d engines", ended, r.status, r.err, p.reached[r.id]))
			}
		}
	})
}

// withShortPause is withLongLimits with the shortest time limit of a pause.
func withShortPause(t *site.Tables) {
	withLongLimits(t)
	t.Routes[0].Limit, t.Routes[0].Aim, t.Pools[1].Engine.Slots = 15*time.Second, time.Second, 1
}

// TestPlannedStopServesShortRequestsOfUnknownKind guards against an entry that refuses requests whose time limit ends before
// it does, only because it has passed on no answer of their kind yet.
func TestPlannedStopServesShortRequestsOfUnknownKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &stopPlay{reached: make(map[string]int), statuses: make(map[int]int)}
		p.fleet = newFleet(ctx, t, 1, 4, 0, func(_ *testTarget, w http.ResponseWriter, c gate.CallInfo) {
			p.mu.Lock()
			p.reached[c.ID]++
			p.mu.Unlock()
			writeHead(w, gate.ReplyInfo{RequestID: c.ID})
			writeStream(w, c, 3)
		}, func(f *fleet) { f.bind = withLongLimits })
		defer p.close(cancel)
		var late, refused int
		p.play(ctx, 0, chatPath, nil, func() {
			// A request in progress keeps the entry from ending; nothing of the kind has ended yet.
			p.sendSlowly(ctx, 200*time.Millisecond, 6*time.Second)
		}, func() {
			for i := range 5 {
				func() {
					time.Sleep(time.Until(p.start.Add(stopAfter + 4*time.Second + time.Duration(i)*100*time.Millisecond)))
					p.callOnce(ctx, fmt.Sprintf("short%d", i), time.Second)
				}()
			}
		})
		for _, r := range p.results {
			if strings.HasPrefix(r.id, "short") {
				late++
				if r.status == http.StatusServiceUnavailable {
					refused++
				}
			}
		}
		quicktest.Check(t, late, quicktest.Equals, 5)
		quicktest.Check(t, refused, quicktest.Equals, 0, quicktest.Commentf("%v", p.statuses))
	})
}

// callOnce sends one request on a connection of its own.
func (p *stopPlay) callOnce(ctx context.Context, id string, limit time.Duration) {
	conn, err := p.net.Dialer("10.0.8.97")(ctx, stopAddr)
	quicktest.Assert(p.t, err, quicktest.IsNil)
	defer conn.Close()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+chatPath, strings.NewReader("prompt of "+id))
	quicktest.Assert(p.t, err, quicktest.IsNil)
	q.Header = platform.EncodeCall(gate.CallInfo{ID: id, Key: "key", TimeLimit: limit, PromptTokens: 5000, MaxOutputTokens: 300})
	sent := time.Now()
	quicktest.Assert(p.t, q.Write(conn), quicktest.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), q)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
	}
	p.record(id, sent, status, err)
}

// TestPlannedStopAfterShortAnswersTruncatesNoStream guards against long answers that an entry takes after its signal,
// because those of shorter prompts of the same route ended soon.
func TestPlannedStopAfterShortAnswersTruncatesNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &stopPlay{reached: make(map[string]int), statuses: make(map[int]int)}
		sentAt := make(map[string]time.Time)
		p.fleet = newFleet(ctx, t, 1, 4, 0, func(_ *testTarget, w http.ResponseWriter, c gate.CallInfo) {
			p.mu.Lock()
			p.reached[c.ID]++
			sentAt[c.ID] = time.Now()
			p.mu.Unlock()
			writeHead(w, gate.ReplyInfo{RequestID: c.ID})
			if strings.HasPrefix(c.ID, "b") {
				writeStream(w, c, 5)
				return
			}
			for i := int64(1); i <= 17; i++ {
				fmt.Fprintf(w, "id: %d\ndata: e\n\n", i)
				if http.NewResponseController(w).Flush() != nil || !timing.Sleep(w.(*silenceWriter).ctx, 400*time.Millisecond) {
					return
				}
			}
		}, func(f *fleet) { f.bind = withLongLimits })
		defer p.close(cancel)
		for i := range 5 {
			p.call(ctx, 0, chatPath, gate.CallInfo{ID: fmt.Sprintf("b%d", i), PromptTokens: 1000})
		}
		p.prompt = 100_000
		p.play(ctx, 40, chatPath, []time.Duration{10 * time.Second})
		taken := countTaken(p, sentAt)
		quicktest.Check(t, taken, quicktest.Equals, 0, quicktest.Commentf("of %d requests, statuses %v", len(p.results), p.statuses))
	})
}

// countTaken returns the number of requests that reached an engine after the stop, and were cut.
func countTaken(p *stopPlay, sentAt map[string]time.Time) int {
	taken := 0
	for _, r := range p.results {
		if at, ok := sentAt[r.id]; ok && r.err != nil && at.After(p.start.Add(stopAfter)) {
			taken++
		}
	}
	return taken
}
