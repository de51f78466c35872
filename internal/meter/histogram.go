// Package meter extends go-metrics with histograms with fixed buckets, runtime metrics of
// the process and the Prometheus text format.
package meter

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// DurationHistogram counts durations in buckets with fixed upper bounds. It implements
// metrics.Histogram so that it can be added to a metrics.Registry. Its values are in
// nanoseconds.
type DurationHistogram struct {
	metrics.NilHistogram

	bounds []time.Duration
	counts []atomic.Int64
	sum    atomic.Int64
}

var _ metrics.Histogram = (*DurationHistogram)(nil)

// DefaultBounds returns bucket bounds for request durations: from 1 ms to about 17 minutes,
// each twice the previous one.
func DefaultBounds() []time.Duration {
	out := make([]time.Duration, 21)
	for i := range out {
		out[i] = time.Millisecond << i
	}
	return out
}

// NewDurationHistogram returns a histogram with the bounds, which must be in ascending
// order.
func NewDurationHistogram(bounds []time.Duration) *DurationHistogram {
	return &DurationHistogram{bounds: bounds, counts: make([]atomic.Int64, len(bounds)+1)}
}

// Times returns the histogram that is registered in r under the name. If there is none, it
// registers one with DefaultBounds.
func Times(name string, r metrics.Registry) metrics.Histogram {
	return r.GetOrRegister(name, func() metrics.Histogram { return NewDurationHistogram(DefaultBounds()) }).(metrics.Histogram)
}

// Update counts one duration in nanoseconds.
func (b *DurationHistogram) Update(v int64) {
	i, _ := slices.BinarySearch(b.bounds, time.Duration(v))
	b.counts[i].Add(1)
	b.sum.Add(v)
}

// Count returns the number of durations.
func (b *DurationHistogram) Count() int64 {
	n := int64(0)
	for i := range b.counts {
		n += b.counts[i].Load()
	}
	return n
}

// Sum returns the sum of the durations in nanoseconds.
func (b *DurationHistogram) Sum() int64 { return b.sum.Load() }

// Snapshot returns the histogram itself rather than a copy; its counters only grow.
func (b *DurationHistogram) Snapshot() metrics.Histogram { return b }
