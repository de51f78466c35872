package hub

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
)

// TestRelaysAreOfOtherDataCentres: an entry must know instances outside of its data centre that may
// relay for it, and not those that are gone.
func TestRelaysAreOfOtherDataCentres(t *testing.T) {
	runCluster(t, 3, 0, func(t *testing.T, cl *cluster) {
		for i := range 8 {
			cl.startEntry(fmt.Sprintf("%c%d", "xy"[i/4], i), fmt.Sprintf("10.0.3.%d:7", i+1))
		}
		relaysOf := func(e *entryNode) (relays []link.Entry) {
			e.withLock(func() { relays = e.relays })
			return relays
		}
		time.Sleep(5 * time.Second)
		for _, e := range cl.entries {
			quicktest.Assert(t, relaysOf(e), quicktest.HasLen, link.MaxRelays)
			for _, r := range relaysOf(e) {
				quicktest.Assert(t, r.Name[0], quicktest.Not(quicktest.Equals), e.name[0])
			}
		}
		gone := cl.entries["10.0.3.1:7"]
		gone.stop()
		time.Sleep(5 * time.Second)
		for _, e := range cl.entries {
			if e.name[0] == 'y' {
				quicktest.Assert(t, relaysOf(e), quicktest.HasLen, 3)
			}
		}
	})
}
