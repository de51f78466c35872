package hub

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/poison"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// newStranger returns the session of an instance that nobody knows.
func newStranger(h link.Hello) *session {
	return &session{Session: link.NewSession[link.FollowerMessage, link.ControlMessage](nil), hello: h}
}

// TestStrangersReportTargets guards against links that report without end on targets that nobody knows: what
// control instances keep of them is bounded, and a new target still registers and stays.
func TestStrangersReportTargets(t *testing.T) {
	runCluster(t, 3, 1, func(t *testing.T, cl *cluster) {
		const reported = maxUnregistered + 1000
		cl.publishCold(1, 17)
		lead, other := cl.leader(), cl.follower()
		var m link.FollowerMessage
		for i := range reported {
			id := fmt.Sprint("stranger-", i)
			m.Heartbeats = append(m.Heartbeats, id)
			m.Cold = append(m.Cold, place.Cold{Target: id, StartedMs: 1, For: time.Hour})
			m.Limits = append(m.Limits, place.Limit{Target: id, StartedMs: 1, PerSecond: 1, Named: true})
		}
		m.Heartbeats = append(m.Heartbeats, strings.Repeat("x", 2*maxNameBytes))
		lead.handle(newStranger(link.Hello{Name: "a"}), &m)
		other.handle(newStranger(link.Hello{Name: "b"}), &m)
		other.mu.Lock()
		quicktest.Check(t, len(other.pendingHeartbeats) <= maxUnregistered, quicktest.IsTrue, quicktest.Commentf("%d heartbeats", len(other.pendingHeartbeats)))
		quicktest.Check(t, len(other.heardCold) <= maxUnregistered, quicktest.IsTrue, quicktest.Commentf("%d cold targets", len(other.heardCold)))
		other.mu.Unlock()
		s := &lead.scheduler
		s.mu.Lock()
		quicktest.Check(t, len(s.lastSeen) <= maxUnregistered, quicktest.IsTrue, quicktest.Commentf("%d heartbeats", len(s.lastSeen)))
		quicktest.Check(t, s.limits, quicktest.HasLen, 0)
		s.mu.Unlock()

		quicktest.Assert(t, cl.announce("1", 1, site.Ready), quicktest.IsNil)
		for range int(silenceTimeout/time.Second) + 5 {
			other.recordHeartbeat("1")
			time.Sleep(time.Second)
		}
		_, ok := lead.registry.Target("1")
		quicktest.Check(t, ok, quicktest.IsTrue)
		lead.recordHeartbeat("1")
		s.mu.Lock()
		quicktest.Check(t, len(s.lastSeen) < 10, quicktest.IsTrue, quicktest.Commentf("%d heartbeats after their time", len(s.lastSeen)))
		s.mu.Unlock()
	})
}

// TestStrangersReportEntries guards against links that report very many ready instances: one that is no
// control instance reports itself.
func TestStrangersReportEntries(t *testing.T) {
	runCluster(t, 3, 1, func(t *testing.T, cl *cluster) {
		var m link.FollowerMessage
		for i := range 3 * maxListedEntries {
			m.Entries = append(m.Entries, link.Entry{Name: fmt.Sprint("stranger-", i), DataCentre: "dc", Address: "10.0.9.9:80"})
		}
		m.HasEntries = true
		for isControl, want := range map[bool]int{false: 1, true: maxListedEntries} {
			sess := newStranger(link.Hello{Name: "a", IsControl: isControl})
			cl.leader().handle(sess, &m)
			quicktest.Check(t, sess.entries, quicktest.HasLen, want)
		}
	})
}

// TestStrangersAsk guards against links with very many requests and grants: the scheduler keeps so many of one
// instance, and none after its link.
func TestStrangersAsk(t *testing.T) {
	runCluster(t, 3, 1, func(t *testing.T, cl *cluster) {
		cl.publish(1)
		quicktest.Assert(t, cl.announce("1", 1, site.Ready), quicktest.IsNil)
		lead := cl.leader()
		sess := newStranger(link.Hello{Name: "a"})
		var m link.FollowerMessage
		for i := range maxLinkRequests + 100 {
			r := place.Request{ID: fmt.Sprint("r-", i), Pool: "p", Prompt: 10, Output: 10, TimeLeft: time.Hour}
			m.ActiveGrants = append(m.ActiveGrants, place.ActiveGrant{Request: r, Lead: "1", Started: true})
			r.ID = fmt.Sprint("q-", i)
			m.ActiveGrants = append(m.ActiveGrants, place.ActiveGrant{Request: r, Lead: "nobody"})
		}
		lead.handle(sess, &m)
		s := &lead.scheduler
		count := func() int {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.sessions)
		}
		quicktest.Check(t, count(), quicktest.Equals, maxLinkRequests)
		lead.handle(sess, &link.FollowerMessage{Ended: []place.End{{ID: "r-0"}}})
		lead.handle(sess, &link.FollowerMessage{ActiveGrants: m.ActiveGrants[len(m.ActiveGrants)-2:]})
		quicktest.Check(t, count(), quicktest.Equals, maxLinkRequests)
		s.dropSession(sess)
		quicktest.Check(t, count(), quicktest.Equals, 0)
		quicktest.Check(t, sess.requests, quicktest.Equals, 0)
	})
}

// TestStrangersReportBlocks guards against links that report blocks of requests without end, or for very long: those
// kept are bounded in number and time.
func TestStrangersReportBlocks(t *testing.T) {
	runCluster(t, 3, 1, func(t *testing.T, cl *cluster) {
		lead := cl.leader()
		sess := newStranger(link.Hello{Name: "a"})
		for k := range 3 {
			var m link.FollowerMessage
			for i := range 10_000 {
				m.Blocks = append(m.Blocks, poison.Block{Segments: []string{fmt.Sprint(k, "-", i)}, Left: 1000 * time.Hour, Times: 1})
			}
			lead.handle(sess, &m)
			blocks := lead.blocker.current()
			quicktest.Check(t, blocks, quicktest.HasLen, maxReportedBlocks)
			for _, b := range blocks {
				quicktest.Assert(t, b.Left <= poison.MaxBlockTime, quicktest.IsTrue, quicktest.Commentf("%s", b.Left))
			}
		}
	})
}

// TestStrangersPassLoads guards against calls with loads of pools without end: what waits for a link is bounded, and
// names that no pool can have are refused.
func TestStrangersPassLoads(t *testing.T) {
	runCluster(t, 3, 1, func(t *testing.T, cl *cluster) {
		other := cl.follower()
		sess := newStranger(link.Hello{Name: "a"})
		other.addSession(sess)
		defer other.removeSession(sess)
		long := &loadsRequest{Loads: []place.PoolLoad{{Pool: strings.Repeat("x", maxNameBytes+1)}}}
		quicktest.Check(t, long.Check(), quicktest.IsNotNil)
		for range 64 {
			r := &loadsRequest{Loads: []place.PoolLoad{{Pool: "p", Packed: make([]byte, 6*20_000)}}}
			quicktest.Assert(t, r.Check(), quicktest.IsNil)
			_, err := other.handleLoads(t.Context(), r)
			quicktest.Assert(t, err, quicktest.IsNil)
		}
		n := 0
		sess.Enqueue(func(m *link.ControlMessage) {
			for _, l := range m.Loads {
				n += loadBytes(l)
			}
		})
		quicktest.Check(t, n > 0 && n <= maxWaitingLoads, quicktest.IsTrue, quicktest.Commentf("%d bytes wait", n))
	})
}

// TestStrangersGetAnswers guards against links that ask without reading the answers: what waits for them is bounded.
func TestStrangersGetAnswers(t *testing.T) {
	runCluster(t, 3, 1, func(t *testing.T, cl *cluster) {
		lead := cl.leader()
		sess := newStranger(link.Hello{Name: "a"})
		lead.addSession(sess)
		defer lead.removeSession(sess)
		for i := range 64 {
			var m link.FollowerMessage
			for k := range 2000 {
				m.Requests = append(m.Requests, place.Request{ID: fmt.Sprint(strings.Repeat("x", 490), i, "/", k), Pool: "none", TimeLeft: time.Hour})
			}
			quicktest.Assert(t, m.Check(), quicktest.IsNil)
			lead.handle(sess, &m)
		}
		n := 0
		sess.Enqueue(func(m *link.ControlMessage) {
			for _, r := range m.Refusals {
				n += len(r.ID)
			}
		})
		quicktest.Check(t, n <= 4<<20, quicktest.IsTrue, quicktest.Commentf("%d bytes wait", n))
	})
}
