package gate

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/poison"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// blockedReason is the reason of a refusal that the blocklist causes.
const blockedReason = "requests like this one crash targets"

// blocklist holds the requests that must not be sent to targets. It reports crashes of targets to
// the leader, which tells what to block. Without a leader it blocks what this instance has seen.
type blocklist struct {
	server *Server

	mu       sync.Mutex
	detector poison.Detector
	watch    poison.Watch
}

// find returns how long requests like this one are blocked.
func (l *blocklist) find(x *exchange) (left time.Duration, blocked bool) {
	segments, _ := l.segmentsOf(x)
	if len(segments) == 0 {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.detector.Find(time.Now(), segments)
}

// segmentsOf returns the shared segments of the prompt. While whole requests are tracked, the last
// one stands for the request; otherwise its digest is not computed.
func (l *blocklist) segmentsOf(x *exchange) (segments []string, tracked bool) {
	l.mu.Lock()
	tracked = l.detector.TracksRequests()
	l.mu.Unlock()
	if tracked {
		return x.segments(), true
	}
	return x.call.SharedSegments, false
}

// segments returns the shared segments of the prompt, and the one that stands for the request.
func (x *exchange) segments() []string {
	return append(slices.Clone(x.call.SharedSegments), poison.RequestSegment(x.requestDigest()))
}

// recordCrash records that the process of a target ended while it had a request. That was noticed
// at noticedAt.
func (l *blocklist) recordCrash(t site.Target, x *exchange, s poison.Send, noticedAt time.Time) {
	l.report(poison.Crash{
		Target: t.ID, StartedMs: t.StartedMs, Age: time.Since(noticedAt),
		Suspects: [][]string{x.segments()}, Sends: []poison.Send{s},
	})
}

// report passes a crash to the leader, or judges it without one.
func (l *blocklist) report(c poison.Crash) {
	l.mu.Lock()
	l.detector.AddCrash(time.Now(), c)
	l.mu.Unlock()
	if !l.server.Link.Send(func(m *link.FollowerMessage) { m.Crashes = append(m.Crashes, c) }) {
		time.AfterFunc(poison.SettleTime, l.evaluate)
	}
}

// processOf returns the process of a target.
func processOf(t site.Target) poison.Process {
	return poison.Process{Target: t.ID, Address: t.Address, StartedMs: t.StartedMs}
}

// isReplaced reports whether another process has replaced that of a target, which had not left.
func (l *blocklist) isReplaced(t site.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watch.HasCrashed(processOf(t))
}

// recordAlive records that bytes of the process of a target were read.
func (l *blocklist) recordAlive(t site.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch.Alive(time.Now(), processOf(t))
}

// recordResponse records that the head of a response was read. One that says that the request is for another
// process is from the next process at the address.
func (l *blocklist) recordResponse(t site.Target, status int) {
	if status != http.StatusMisdirectedRequest {
		l.recordAlive(t)
	}
}

// recordLeaving records that the process of a target is about to shut down.
func (l *blocklist) recordLeaving(t site.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch.Leave(processOf(t))
}

// recordFailedSend records a send that may have failed because the process of its target ended.
func (l *blocklist) recordFailedSend(t site.Target, f poison.FailedSend) {
	l.mu.Lock()
	c, ok := l.watch.Fail(time.Now(), processOf(t), f)
	suspected := false
	if !ok && l.detector.IsSuspect(f.Segments[len(f.Segments)-1]) {
		// Until another process replaces the target, the requests that it has would spread to others.
		c, suspected = l.watch.Silence(time.Now(), processOf(t), f)
	}
	l.mu.Unlock()
	switch {
	case ok:
		l.reportReplaced(c)
	case suspected:
		l.logCrash(c, "target process fell silent with a request that has crashed others")
		l.report(c)
	}
}

// updateTargets processes changes of targets in the registry.
func (l *blocklist) updateTargets(changed []site.Target) {
	var sightings []poison.Sighting
	for _, t := range changed {
		sightings = append(sightings, poison.Sighting{Process: processOf(t), Leaving: t.State == site.Draining, Gone: t.State == site.Gone})
	}
	l.mu.Lock()
	crashes := l.watch.Update(time.Now(), sightings)
	l.mu.Unlock()
	for _, c := range crashes {
		l.reportReplaced(c)
	}
}

// reportReplaced logs and reports a crash that the next process of the target shows.
func (l *blocklist) reportReplaced(c poison.Crash) {
	l.logCrash(c, "target process was replaced after requests to it had failed")
	l.report(c)
}

func (l *blocklist) logCrash(c poison.Crash, msg string) {
	l.server.Log.Warn().Str("target", c.Target).Int64("born", c.StartedMs).Int("requests", len(c.Suspects)).Strs("prefix", c.Suspects[0]).
		Dur("age", c.Age).Dur("window", c.Window).Msg(msg)
}

// evaluate judges the crashes that this instance has seen, unless a leader does so.
func (l *blocklist) evaluate() {
	if l.server.Link.IsLinkedToLeader() {
		return
	}
	l.mu.Lock()
	blocks := l.detector.Evaluate(time.Now())
	l.mu.Unlock()
	l.log(blocks)
}

// recordSurvival records that a target has answered a request, or that an engine has written to it
// for poison.SurvivalTime. The answer began at began.
func (l *blocklist) recordSurvival(x *exchange, began time.Time) {
	segments, tracked := l.segmentsOf(x)
	if len(segments) == 0 {
		return
	}
	l.mu.Lock()
	if last := len(segments) - 1; tracked && !l.detector.IsSuspect(segments[last]) {
		segments = segments[:last]
	}
	s := poison.Survival{Segments: segments, Age: time.Since(began)}
	lifted, isNews := l.detector.AddSurvival(time.Now(), s)
	l.mu.Unlock()
	l.log(lifted)
	if isNews {
		l.server.Link.Send(func(m *link.FollowerMessage) { m.Survivals = append(m.Survivals, s) })
	}
}

// log logs changed blocks.
func (l *blocklist) log(changed []poison.Block) {
	for _, b := range changed {
		l.server.Log.Warn().Strs("prefix", b.Segments).Dur("left", b.Left).Int("times", b.Times).Bool("linked", l.server.Link.IsLinkedToLeader()).
			Msg("block of requests changed")
	}
}

// ApplyBlocks applies changes of the requests that must not be sent to targets.
func (s *Server) ApplyBlocks(blocks []poison.Block) {
	l := &s.blocklist
	l.mu.Lock()
	changed := slices.DeleteFunc(slices.Clone(blocks), func(b poison.Block) bool { return !l.detector.Apply(time.Now(), b) })
	l.mu.Unlock()
	l.log(changed)
}

// fillHandover fills in the recent crashes and the blocks in force, for a new leader.
func (l *blocklist) fillHandover(m *link.FollowerMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	crashes, survivals := l.detector.Evidence(now)
	m.Crashes, m.Survivals = slices.Concat(m.Crashes, crashes), slices.Concat(m.Survivals, survivals)
	m.Blocks = l.detector.Blocks(now)
}
