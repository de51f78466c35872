package gate

import (
	"bytes"
	"io"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/guard"
)

// TestStalledBodyIsFreedAtOnce guards against bodies that have made room for others and still take memory, because their
// readers are late.
func TestStalledBodyIsFreedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 16 << 20
		buffers := bodyBuffers{memory: guard.Responses{
			Bodies: guard.Bodies{Limit: size * 5 / 4}, Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Metrics: metrics.NewRegistry(),
		}}
		stopped, rest := io.Pipe()
		stalled := make(chan error)
		go func() {
			_, err := buffers.read(io.MultiReader(bytes.NewReader(make([]byte, size)), stopped), func() {})
			stalled <- err
		}()
		synctest.Wait()
		time.Sleep(time.Second)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		b, err := buffers.read(bytes.NewReader(make([]byte, size)), func() {})
		quicktest.Assert(t, err, quicktest.IsNil)
		runtime.GC()
		runtime.ReadMemStats(&after)
		quicktest.Check(t, int64(after.HeapAlloc)-int64(before.HeapAlloc) < size/2, quicktest.IsTrue, quicktest.Commentf("%d and %d bytes", before.HeapAlloc, after.HeapAlloc))
		rest.Close()
		quicktest.Check(t, <-stalled, quicktest.Equals, guard.ErrResponseStalled)
		b.release()
		quicktest.Check(t, buffers.memory.Used(), quicktest.Equals, int64(0))
	})
}
