package guard

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
)

// TestSteadyResponseKeepsItsMemory guards against responses that come slowly but steadily, and are ended for others that need
// memory.
func TestSteadyResponseKeepsItsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Responses{Bodies: Bodies{Limit: 40 << 10}, Name: "bodies", Log: &log.Logger{Level: log.PanicLevel}, Metrics: metrics.NewRegistry()}
		isEnded := false
		steady := r.NewResponse(func() { isEnded = true })
		const piece = 1 << 10
		for size := piece; size <= 30<<10; size += piece {
			quicktest.Assert(t, steady.Hold(size, piece), quicktest.IsNil)
			time.Sleep(responseStallTime / 2)
		}
		other := r.NewResponse(func() {})
		err := other.Hold(20<<10, 20<<10)
		quicktest.Check(t, errors.Is(err, ErrResponsesFull), quicktest.IsTrue, quicktest.Commentf("%v", err))
		quicktest.Check(t, isEnded, quicktest.IsFalse)
		steady.Release()
		other.Release()
		quicktest.Check(t, r.Used(), quicktest.Equals, int64(0))
	})
}
