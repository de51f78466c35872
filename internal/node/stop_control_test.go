package node

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/gate"
)

// TestStoppedControlEndsCalls guards against calls of operators and targets that go on after their control instance has
// stopped, longer than its servers wait, and are cut off without a response.
func TestStoppedControlEndsCalls(t *testing.T) {
	for _, leaderless := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := newFleet(ctx, t, 1, 1, 0, func(*testTarget, http.ResponseWriter, gate.CallInfo) {})
			defer f.close(cancel)
			if leaderless {
				f.stopControl[1]()
				f.stopControl[2]()
				time.Sleep(5 * time.Second)
			}
			for name, call := range map[string]func(c context.Context) error{
				"read": func(c context.Context) error { _, err := f.controls[0].TablesSource(c); return err },
				"publish": func(c context.Context) error {
					tb := fleetTables()
					tb.Version = 2
					return f.controls[0].Publish(c, tb, []byte("{}"))
				},
			} {
				f.wait.Go(func() {
					time.Sleep(20 * time.Millisecond)
					began := time.Now()
					_ = call(ctx)
					quicktest.Check(t, time.Since(began) < controlCloseTimeout, quicktest.IsTrue, quicktest.Commentf("%s took %s", name, time.Since(began)))
				})
			}
			time.Sleep(25 * time.Millisecond)
			f.stopControl[0]()
			time.Sleep(3 * time.Second)
		})
	}
}
