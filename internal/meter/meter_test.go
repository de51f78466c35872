package meter

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"
)

func ExampleWrite() {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter(Label("entry.ended", "reason", "timeout"), r).Inc(2)
	metrics.GetOrRegisterCounter(Label("entry.ended", "reason", "ok"), r).Inc(7)
	metrics.GetOrRegisterGauge("process.goroutines", r).Update(12)
	_ = Write(os.Stdout, r)
	// Output:
	// # TYPE bamboo_entry_ended_total counter
	// bamboo_entry_ended_total{reason="ok"} 7
	// bamboo_entry_ended_total{reason="timeout"} 2
	// # TYPE bamboo_process_goroutines gauge
	// bamboo_process_goroutines 12
}

// TestHistogramBucketsAreCumulative checks that each written bucket counts all durations up
// to its bound, and that the sum and count match.
func TestHistogramBucketsAreCumulative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := metrics.NewRegistry()
		r.Register("wait", NewDurationHistogram([]time.Duration{time.Millisecond, time.Second}))
		h := Times("wait", r)
		var upToMs, upToSecond, sum int64
		values := rapid.SliceOf(rapid.Int64Range(0, int64(2*time.Second))).Draw(t, "values")
		for _, v := range values {
			h.Update(v)
			sum += v
			if v <= int64(time.Millisecond) {
				upToMs++
			}
			if v <= int64(time.Second) {
				upToSecond++
			}
		}
		var b strings.Builder
		if err := Write(&b, r); err != nil {
			t.Fatal(err)
		}
		for _, want := range []string{
			fmt.Sprintf("_bucket{le=%q} %d\n", "0.001", upToMs),
			fmt.Sprintf("_bucket{le=%q} %d\n", "1", upToSecond),
			fmt.Sprintf("_bucket{le=%q} %d\n", "+Inf", len(values)),
			fmt.Sprintf("_sum %g\n", time.Duration(sum).Seconds()),
			fmt.Sprintf("_count %d\n", len(values)),
		} {
			if !strings.Contains(b.String(), "bamboo_wait_seconds"+want) {
				t.Fatalf("no %q in\n%s", want, b.String())
			}
		}
	})
}
