package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// busyFleet returns a core with that many engines, each decoding eight short answers.
func busyFleet(engines int) (*Core, time.Time) {
	now := time.Unix(0, 0)
	c := &Core{}
	f := Fleet{Engine: publishedEngine()}
	for i := range engines {
		f.Targets = append(f.Targets, site.Target{ID: fmt.Sprintf("e%03d", i), Pool: "p", State: site.Ready, Slots: 16})
	}
	c.Step(now, f)
	for i := range engines * 8 {
		id := fmt.Sprintf("b%d", i)
		c.Step(now, Arrive{shortRequest(id)})
		c.Step(now, FirstEvent{ID: id, Elapsed: 100 * time.Millisecond})
	}
	return c, now
}

// BenchmarkShort measures the arrival, first event and end of a short request.
func BenchmarkShort(b *testing.B) {
	for _, engines := range []int{16, 64, 256} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			c, now := busyFleet(engines)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint(i)
				now = now.Add(time.Millisecond)
				c.Step(now, Arrive{shortRequest(id)})
				c.Step(now, FirstEvent{ID: id, Elapsed: 100 * time.Millisecond})
				c.Step(now, End{ID: id})
			}
		})
	}
}

// BenchmarkLong measures the arrival and end of a long request.
func BenchmarkLong(b *testing.B) {
	l := long()
	for _, engines := range []int{16, 64, 256} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			c, now := busyFleet(engines)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint(i)
				now = now.Add(10 * time.Second)
				c.Step(now, Arrive{Request{
					ID: id, Pool: "p", Prompt: 182_000, Output: 650, TTFTLeft: l.ttftTarget, TTFTTarget: l.ttftTarget,
					MaxPause: l.maxPause, PauseTimeout: l.eventTimeout(), TimeLeft: l.limit,
				}})
				c.Step(now, End{ID: id})
			}
		})
	}
}

// BenchmarkTick measures a tick over waiting requests, up to the bound of the queue.
func BenchmarkTick(b *testing.B) {
	for _, waiting := range []int{1, 100, maxWaiting} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			now := time.Unix(0, 0)
			c := busyCore(now)
			for i := range waiting {
				req := shortRequest(fmt.Sprintf("w%d", i))
				req.Resumed = true
				c.Step(now, Arrive{req})
			}
			b.ReportAllocs()
			for b.Loop() {
				c.Step(now, Tick{})
			}
		})
	}
}
