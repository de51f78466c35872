package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
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

// newStreamPlay returns a play whose engines write an event every 400 ms.
func newStreamPlay(ctx context.Context, t *testing.T, events int64) *stopPlay {
	return newStreamPlayAt(ctx, t, events, 4, 0, withLongLimits)
}

// newStreamPlayAt is newStreamPlay with that many engines and services, and other tables.
func newStreamPlayAt(ctx context.Context, t *testing.T, events int64, engines, services int, bind func(t *site.Tables)) *stopPlay {
	p := &stopPlay{wantsWhole: true, reached: make(map[string]int), statuses: make(map[int]int)}
	p.fleet = newFleet(ctx, t, 1, engines, services, func(_ *testTarget, w http.ResponseWriter, c gate.CallInfo) {
		p.mu.Lock()
		p.reached[c.ID]++
		p.mu.Unlock()
		writeHead(w, gate.ReplyInfo{RequestID: c.ID})
		for i := int64(1); i <= events; i++ {
			fmt.Fprintf(w, "id: %d\ndata: e\n\n", i)
			if http.NewResponseController(w).Flush() != nil || i < events && !timing.Sleep(w.(*silenceWriter).ctx, 400*time.Millisecond) {
				return
			}
		}
	}, func(f *fleet) { f.bind = bind })
	return p
}

// TestPlannedStopCompletesStreams guards against streams that are truncated at the end of a drain although their engines
// end them well before the grace period does: the answers end 5.8 to 7.4 s after the signal, and the grace takes 8 s.
func TestPlannedStopCompletesStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newStreamPlay(ctx, t, 18)
		defer p.close(cancel)
		p.play(ctx, 23, chatPath, []time.Duration{10 * time.Second})
	})
}

// TestPlannedStopCompletesServiceStreams is the same for streams of plain services.
func TestPlannedStopCompletesServiceStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newStreamPlayAt(ctx, t, 18, 0, 4, func(t *site.Tables) { withLongLimits(t); crossPools(t) })
		defer p.close(cancel)
		p.play(ctx, 23, chatPath, []time.Duration{10 * time.Second})
	})
}

// TestPlannedStopRefusesLateBodies guards against requests whose headers come while a draining entry takes all requests,
// and whose bodies end so late that the answer can't end before the entry does.
func TestPlannedStopRefusesLateBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newStreamPlay(ctx, t, 18)
		defer p.close(cancel)
		// The caller connects before the signal, which comes after 1 s.
		p.play(ctx, 1, chatPath, []time.Duration{10 * time.Second}, func() { p.sendSlowly(ctx, 3400*time.Millisecond, 1200*time.Millisecond) })
	})
}

// TestPlannedStopAnswersWaiting guards against requests that wait for a grant of the scheduler when the grace period of
// their entry ends, and are cut off without a response.
func TestPlannedStopAnswersWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &stopPlay{prompt: 190_000, reached: make(map[string]int), statuses: make(map[int]int)}
		reading := make(chan struct{}, 1)
		p.fleet = newFleet(ctx, t, 1, 1, 0, func(_ *testTarget, w http.ResponseWriter, c gate.CallInfo) {
			p.mu.Lock()
			p.reached[c.ID]++
			p.mu.Unlock()
			reading <- struct{}{}
			time.Sleep(1500 * time.Millisecond)
			<-reading
			writeHead(w, gate.ReplyInfo{RequestID: c.ID})
			writeStream(w, c, 10)
		}, func(f *fleet) {
			f.bind = func(t *site.Tables) {
				withLongLimits(t)
				t.Routes[0].Limit, t.Routes[0].Aim, t.Pools[1].Engine.Pairs = 15*time.Second, 9*time.Second, 0
			}
		})
		defer p.close(cancel)
		p.play(ctx, 24, chatPath, []time.Duration{15 * time.Second})
		quicktest.Check(t, p.waited > 0, quicktest.IsTrue, quicktest.Commentf("no request waited, statuses %v", p.statuses))
	})
}

// sendSlowly sends the headers of a request after a time, and the end of its body later.
func (p *stopPlay) sendSlowly(ctx context.Context, after, bodyTime time.Duration) {
	conn, err := p.net.Dialer("10.0.8.99")(ctx, stopAddr)
	quicktest.Assert(p.t, err, quicktest.IsNil)
	defer conn.Close()
	time.Sleep(after)
	const body = "a prompt that takes its time"
	h := platform.EncodeCall(gate.CallInfo{ID: "slow", Key: "key", TimeLimit: 10 * time.Second, PromptTokens: 5000, MaxOutputTokens: 300})
	var head strings.Builder
	head.WriteString("POST " + chatPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n")
	quicktest.Assert(p.t, h.Write(&head), quicktest.IsNil)
	_, err = io.WriteString(conn, head.String()+"\r\n"+body[:5])
	quicktest.Assert(p.t, err, quicktest.IsNil)
	time.Sleep(bodyTime)
	_, err = io.WriteString(conn, body[5:])
	sent := time.Now()
	status := 0
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			status = resp.StatusCode
			_, err = io.Copy(io.Discard, resp.Body)
		}
	}
	p.record("slow", sent, status, err)
}

// TestPlannedStopEndsBrokenStreams guards against streams whose engine has broken off and that wait for another one until
// their entry ends, although their callers could go on at another entry.
func TestPlannedStopEndsBrokenStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		const breaksAfter, broken = 2500 * time.Millisecond, "0"
		p := &stopPlay{reached: make(map[string]int), statuses: make(map[int]int)}
		p.fleet = newFleet(ctx, t, 1, 1, 0, func(_ *testTarget, w http.ResponseWriter, c gate.CallInfo) {
			p.mu.Lock()
			p.reached[c.ID]++
			p.mu.Unlock()
			writeHead(w, gate.ReplyInfo{RequestID: c.ID})
			for i := range int64(100) {
				fmt.Fprintf(w, "id: %d\ndata: e\n\n", c.LastEventID+i+1)
				if http.NewResponseController(w).Flush() != nil || !timing.Sleep(w.(*silenceWriter).ctx, 400*time.Millisecond) {
					return
				}
				if c.ID == broken && time.Since(p.start) > breaksAfter {
					panic(http.ErrAbortHandler)
				}
			}
		}, func(f *fleet) { f.bind = withLongLimits })
		defer p.close(cancel)
		p.play(ctx, 1, chatPath, []time.Duration{10 * time.Second})
		for _, r := range p.results {
			if r.id == broken {
				ended := r.ended.Sub(p.start)
				quicktest.Check(t, ended < breaksAfter+time.Second, quicktest.IsTrue, quicktest.Commentf("ended after %s, status %d, error %v, at %d engines", ended, r.status, r.err, p.reached[r.id]))
				quicktest.Check(t, r.err, quicktest.IsNotNil)
			}
		}
	})
}

// TestPlannedStopReleasesWaiting guards against requests that wait for engines at an entry until it ends, although nothing
// tells that they could still be answered there. Their callers need the time at another entry.
func TestPlannedStopReleasesWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &stopPlay{prompt: 190_000, reached: make(map[string]int), statuses: make(map[int]int)}
		p.fleet = newFleet(ctx, t, 1, 1, 0, func(_ *testTarget, w http.ResponseWriter, c gate.CallInfo) {
			p.mu.Lock()
			p.reached[c.ID]++
			p.mu.Unlock()
			timing.Sleep(w.(*silenceWriter).ctx, time.Hour)
		}, func(f *fleet) {
			f.bind = func(t *site.Tables) {
				withLongLimits(t)
				t.Routes[0].Limit, t.Routes[0].Aim, t.Pools[1].Engine.Pairs = 15*time.Second, 9*time.Second, 0
			}
		})
		defer p.close(cancel)
		p.play(ctx, 12, chatPath, []time.Duration{15 * time.Second})
		waited := 0
		for _, r := range p.results {
			if p.reached[r.id] > 0 || r.sent.After(p.start.Add(stopAfter)) {
				continue
			}
			waited++
			quicktest.Check(t, r.status, quicktest.Equals, http.StatusServiceUnavailable)
			quicktest.Check(t, r.ended.Before(p.start.Add(stopAfter+stopGrace/2)), quicktest.IsTrue, quicktest.Commentf("request %s ended %s after the start", r.id, r.ended.Sub(p.start)))
		}
		quicktest.Check(t, waited > 0, quicktest.IsTrue)
	})
}
