package hub

import (
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/poison"
)

// takeoverTime is how long a new leader waits for the reports of the instances that link to it
// before it judges crashes.
const takeoverTime = time.Second

// blocker finds requests that crash targets while this instance leads, and has all instances
// refuse them.
type blocker struct {
	server *Server

	mu       sync.Mutex
	active   bool
	detector *poison.Detector
	// judgeFrom is when the first crashes are judged.
	judgeFrom time.Time
	// timer runs the next evaluation; nil if none is due.
	timer *time.Timer
}

// start begins without findings: the instances report theirs when they link.
func (b *blocker) start() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active, b.detector, b.judgeFrom = true, &poison.Detector{MaxApplied: maxReportedBlocks}, time.Now().Add(takeoverTime)
}

// stop ends the evaluation and drops all findings.
func (b *blocker) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active, b.detector = false, nil
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
}

// handle processes the reports in a message, and sends what follows from them to all instances.
func (b *blocker) handle(msg *link.FollowerMessage) {
	if len(msg.Crashes)+len(msg.Survivals)+len(msg.Blocks) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.active {
		return
	}
	now := time.Now()
	var changed []poison.Block
	for _, k := range msg.Blocks {
		if b.detector.Apply(now, k) {
			k.Left = min(k.Left, poison.MaxBlockTime)
			changed = append(changed, k)
		}
	}
	for _, s := range msg.Survivals {
		lifted, _ := b.detector.AddSurvival(now, s)
		changed = append(changed, lifted...)
	}
	for _, c := range msg.Crashes {
		// An instance whose link was down may not have seen that the process left.
		if b.server.registry.HasDeparted(c.Target, c.StartedMs) {
			continue
		}
		b.detector.AddCrash(now, c)
	}
	b.publish(changed)
	if len(msg.Crashes) > 0 && b.timer == nil {
		b.timer = time.AfterFunc(max(poison.SettleTime, time.Until(b.judgeFrom)), b.evaluate)
	}
}

// evaluate judges the crashes that have settled. Those reported meanwhile start the timer again.
func (b *blocker) evaluate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = nil
	if !b.active {
		return
	}
	now := time.Now()
	b.publish(b.detector.Evaluate(now))
	if b.detector.IsSettling(now) {
		b.timer = time.AfterFunc(poison.SettleTime, b.evaluate)
	}
}

// publish logs changed blocks and sends them to all linked instances. The caller holds mu.
func (b *blocker) publish(changed []poison.Block) {
	if len(changed) == 0 {
		return
	}
	s := b.server
	for _, k := range changed {
		s.counter("hub.request_blocks").Inc(1)
		s.Log.Warn().Strs("prefix", k.Segments).Dur("left", k.Left).Int("times", k.Times).Msg("block of requests changed")
	}
	s.sendAll(func(m *link.ControlMessage) { m.Blocks = append(m.Blocks, changed...) })
}

// current returns the blocks in force.
func (b *blocker) current() []poison.Block {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.active {
		return nil
	}
	return b.detector.Blocks(time.Now())
}
