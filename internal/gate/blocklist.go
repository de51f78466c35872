package gate

import (
	"slices"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/poison"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

// blockedReason is the reason of a refusal that the blocklist causes.
const blockedReason = "prompts with this segment crash engines"

// blocklist holds the prompts that must not be sent to engines. It reports crashes of engines to
// the leader, which tells what to block. Without a leader it blocks what this instance has seen.
type blocklist struct {
	server *Server

	mu       sync.Mutex
	detector poison.Detector
}

// find returns how long requests with these shared segments are blocked.
func (l *blocklist) find(segments []string) (left time.Duration, blocked bool) {
	if len(segments) == 0 {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.detector.Find(time.Now(), segments)
}

// recordCrash records that the process of an engine ended while it had a request with these
// shared segments.
func (l *blocklist) recordCrash(t site.Target, segments []string) {
	if len(segments) == 0 {
		return
	}
	c := poison.Crash{Target: t.ID, StartedMs: t.StartedMs, Suspects: [][]string{segments}}
	l.mu.Lock()
	l.detector.AddCrash(time.Now(), c)
	l.mu.Unlock()
	if !l.server.Link.Send(func(m *link.FollowerMessage) { m.Crashes = append(m.Crashes, c) }) {
		time.AfterFunc(poison.SettleTime, l.evaluate)
	}
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

// recordSurvival records that an engine has written an answer to a request with these shared
// segments, whose first event came at began.
func (l *blocklist) recordSurvival(segments []string, began time.Time) {
	if len(segments) == 0 {
		return
	}
	s := poison.Survival{Segments: segments, Age: time.Since(began)}
	l.mu.Lock()
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
			Msg("block of prompts changed")
	}
}

// ApplyBlocks applies changes of the prompts that must not be sent to engines.
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
