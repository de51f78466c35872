// Package meter adds to the metrics of a process: histograms with fixed
// buckets, figures of the runtime, and a text form for collectors.
package meter

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// DurationHistogram counts durations by fixed upper bounds. It is a metrics.Histogram,
// so that a registry holds it; its values are in nanoseconds.
type DurationHistogram struct {
	metrics.NilHistogram

	bounds []time.Duration
	counts []atomic.Int64
	sum    atomic.Int64
}

var _ metrics.Histogram = (*DurationHistogram)(nil)

// DefaultBounds returns the bounds for times of requests: 1 ms to 17 minutes, each
// twice the one before.
func DefaultBounds() []time.Duration {
	out := make([]time.Duration, 21)
	for i := range out {
		out[i] = time.Millisecond << i
	}
	return out
}

// NewDurationHistogram returns a histogram with bounds in rising order.
func NewDurationHistogram(bounds []time.Duration) *DurationHistogram {
	return &DurationHistogram{bounds: bounds, counts: make([]atomic.Int64, len(bounds)+1)}
}

// Times returns the histogram with the name, which it makes if need be.
func Times(name string, r metrics.Registry) metrics.Histogram {
	return r.GetOrRegister(name, func() metrics.Histogram { return NewDurationHistogram(DefaultBounds()) }).(metrics.Histogram)
}

// Update counts one duration in nanoseconds.
func (b *DurationHistogram) Update(v int64) {
	i, _ := slices.BinarySearch(b.bounds, time.Duration(v))
	b.counts[i].Add(1)
	b.sum.Add(v)
}

// Count returns how many durations were counted.
func (b *DurationHistogram) Count() int64 {
	n := int64(0)
	for i := range b.counts {
		n += b.counts[i].Load()
	}
	return n
}

// Sum returns their sum in nanoseconds.
func (b *DurationHistogram) Sum() int64 { return b.sum.Load() }

// Snapshot returns the histogram itself: its counters only grow.
func (b *DurationHistogram) Snapshot() metrics.Histogram { return b }
