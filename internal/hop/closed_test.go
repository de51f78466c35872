package hop

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
)

// TestKilledTargetIsClosed guards against a target that was killed and is taken for alive, because its process closes the
// socket on which it listens a moment after its connections.
func TestKilledTargetIsClosed(t *testing.T) {
	for name, c := range map[string]struct {
		// lasts is how long each connection lasts; one without a value is refused.
		lasts []time.Duration
		want  bool
	}{
		"closed":             {nil, true},
		"closes soon":        {[]time.Duration{5 * time.Millisecond}, true},
		"alive":              {[]time.Duration{time.Hour}, false},
		"has enough of them": {[]time.Duration{0, 0, 0}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dials := 0
				client := &Client{Dial: func(context.Context, string) (net.Conn, error) {
					if dials++; dials > len(c.lasts) {
						return nil, errors.Wrap(syscall.ECONNREFUSED, "dial")
					}
					near, far := net.Pipe()
					time.AfterFunc(c.lasts[dials-1], func() { far.Close() })
					return near, nil
				}}
				quicktest.Check(t, client.IsClosed(t.Context(), "10.0.0.1:80"), quicktest.Equals, c.want)
				client.Close()
				time.Sleep(2 * time.Hour)
			})
		})
	}
}
