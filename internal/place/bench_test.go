package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// fleetOf returns a core with so many engines, each with eight short answers.
func fleetOf(engines int) (*Core, time.Time) {
	now := time.Unix(0, 0)
	c := &Core{}
	f := Fleet{Engine: published()}
	for i := range engines {
		f.Targets = append(f.Targets, site.Target{ID: fmt.Sprintf("e%03d", i), Pool: "p", State: site.Ready, Slots: 16})
	}
	c.Step(now, f)
	for i := range engines * 8 {
		id := fmt.Sprintf("b%d", i)
		c.Step(now, Arrive{shortAsk(id)})
		c.Step(now, Begin{ID: id, After: 100 * time.Millisecond})
	}
	return c, now
}

// BenchmarkShort is an arrival, a beginning and an end of a short request.
func BenchmarkShort(b *testing.B) {
	for _, engines := range []int{16, 64, 256} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			c, now := fleetOf(engines)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint(i)
				now = now.Add(time.Millisecond)
				c.Step(now, Arrive{shortAsk(id)})
				c.Step(now, Begin{ID: id, After: 100 * time.Millisecond})
				c.Step(now, End{ID: id})
			}
		})
	}
}

// BenchmarkLong is an arrival and an end of a long request.
func BenchmarkLong(b *testing.B) {
	l := long()
	for _, engines := range []int{16, 64, 256} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			c, now := fleetOf(engines)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint(i)
				now = now.Add(10 * time.Second)
				c.Step(now, Arrive{Ask{
					ID: id, Pool: "p", Prompt: 182_000, Output: 650, Aim: l.aim, Whole: l.aim, Pause: l.pause, Gap: l.patience(), Left: l.limit,
				}})
				c.Step(now, End{ID: id})
			}
		})
	}
}

// BenchmarkTick is a look at requests that wait, up to the bound.
func BenchmarkTick(b *testing.B) {
	for _, waiting := range []int{1, 100, maxWaiting} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			now := time.Unix(0, 0)
			c := busy(now)
			for i := range waiting {
				ask := shortAsk(fmt.Sprintf("w%d", i))
				ask.Resumed = true
				c.Step(now, Arrive{ask})
			}
			b.ReportAllocs()
			for b.Loop() {
				c.Step(now, Tick{})
			}
		})
	}
}
