package inst

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/entry"
	"github.com/bambooproxy/bambooproxy/internal/fake"
)

// TestConcurrentDrains drains two of three instances at once, while callers go on sending
// requests to them for as long as their list of entries is valid. No request may be cut
// off or refused.
func TestConcurrentDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		s.startInstance(2, "dakar-a")
		s.startInstance(3, "dakar-a")
		engines := []*fake.Engine{s.startEngine(1, "dakar-a"), s.startEngine(2, "dakar-a")}
		time.Sleep(settleTime)
		ctx, stopCallers := context.WithCancel(t.Context())
		for n := 2; n <= 3; n++ {
			s.wg.Go(func() {
				until := time.Now().Add(10*time.Second + entry.EntriesTTL)
				for ctx.Err() == nil && time.Now().Before(until) {
					s.checkComplete(s.streamCompletion(t.Context(), n, 30, 400), 30)
				}
			})
		}
		time.Sleep(10 * time.Second)
		s.cancels[1]()
		s.cancels[2]()
		time.Sleep(20 * time.Second)
		stopCallers()
		s.checkComplete(s.streamCompletion(t.Context(), 1, 30, 400), 30)
		s.checkEnginesIdle(engines...)
		s.close()
	})
}
