package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkQueue measures one arrival and one release at a queue of the given length,
// with 64 busy targets.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkQueue(b, n) })
	}
}

// newLoadedCore returns a core whose targets all have a prompt in prefill, with n queued
// requests.
func newLoadedCore(targets, n int) *Core {
	c := &Core{Epoch: 1}
	for i := range targets {
		c.Step(startTime, announcement(fmt.Sprintf("t%03d", i), false))
	}
	for i := range targets + n {
		c.Step(startTime, Arrive{Ask: request(fmt.Sprint("w", i), fmt.Sprint("org", i%10), 20_000, time.Hour)})
	}
	return c
}

func benchmarkQueue(b *testing.B, n int) {
	c := newLoadedCore(64, n)
	var running []string
	for id := range c.grants {
		running = append(running, id)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c.Step(startTime, Arrive{Ask: request(fmt.Sprint("n", i), fmt.Sprint("org", i%10), 20_000, time.Hour)})
		k := i % len(running)
		for _, d := range c.Step(startTime, Release{Grant: running[k]}) {
			if g, ok := d.(Grant); ok {
				running[k] = g.ID
			}
		}
	}
}

// BenchmarkTargets measures the grant and the release of one short request with the given
// number of targets.
func BenchmarkTargets(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64, 128, 256, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkTargets(b, n) })
	}
}

func benchmarkTargets(b *testing.B, n int) {
	c := newLoadedCore(n, 0)
	now := startTime
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		id := fmt.Sprint("s", i)
		c.Step(now, Arrive{Ask: request(id, "a", 2_000, time.Minute)})
		c.Step(now, Release{Grant: id, Progress: Progress{First: time.Millisecond, Generated: 1}})
	}
}

// BenchmarkTick measures one Tick with a queue of 1,000 requests and the given number of
// busy targets.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{8, 64, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newLoadedCore(n, 1_000)
			b.ReportAllocs()
			for b.Loop() {
				c.Step(startTime, Tick{})
			}
		})
	}
}
