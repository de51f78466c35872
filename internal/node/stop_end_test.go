package node

import (
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
	"github.com/bambooproxy/bambooproxy/platform"
)

// sendUnread sends a request and reads nothing of its answer until the context ends.
func (p *stopPlay) sendUnread(ctx context.Context) {
	conn, err := p.net.Dialer("10.0.8.98")(ctx, stopAddr)
	quicktest.Assert(p.t, err, quicktest.IsNil)
	defer conn.Close()
	h := platform.EncodeCall(gate.CallInfo{ID: "unread", Key: "key", TimeLimit: 10 * time.Second, PromptTokens: 5000, MaxOutputTokens: 300})
	var head strings.Builder
	head.WriteString("POST " + chatPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n")
	quicktest.Assert(p.t, h.Write(&head), quicktest.IsNil)
	_, err = io.WriteString(conn, head.String()+"\r\nprompt")
	quicktest.Assert(p.t, err, quicktest.IsNil)
	time.Sleep(11 * time.Second)
}

// TestPlannedStopEndsInGraceBesideUnreadAnswer guards against an entry that outlives its grace period because a caller
// doesn't read the answer.
func TestPlannedStopEndsInGraceBesideUnreadAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &stopPlay{reached: make(map[string]int), statuses: make(map[int]int)}
		p.fleet = newFleet(ctx, t, 1, 4, 0, func(_ *testTarget, w http.ResponseWriter, c gate.CallInfo) {
			p.mu.Lock()
			p.reached[c.ID]++
			p.mu.Unlock()
			writeHead(w, gate.ReplyInfo{RequestID: c.ID})
			if c.ID != "unread" {
				writeStream(w, c, 10)
				return
			}
			for i := 1; ; i++ {
				fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("e", 8000))
				if http.NewResponseController(w).Flush() != nil {
					return
				}
			}
		}, func(f *fleet) { f.bind = withLongLimits })
		defer p.close(cancel)
		p.play(ctx, 4, chatPath, []time.Duration{10 * time.Second}, func() { time.Sleep(500 * time.Millisecond); p.sendUnread(ctx) })
	})
}

// TestPlannedStopEndsInGraceBesideUnfinishedBody guards against an entry that outlives its grace period because a caller
// doesn't send the end of its body.
func TestPlannedStopEndsInGraceBesideUnfinishedBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newStreamPlay(ctx, t, 3)
		defer p.close(cancel)
		p.play(ctx, 2, chatPath, []time.Duration{10 * time.Second}, func() { p.sendSlowly(ctx, 500*time.Millisecond, 9*time.Second) })
	})
}
