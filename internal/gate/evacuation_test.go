package gate

import (
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/reg"
)

// TestEvacuatedTargetsGetNothing guards against requests and tunnels to targets in evacuated data
// centres, against waits when all are evacuated, and against outdated lists that end an evacuation.
func TestEvacuatedTargetsGetNothing(t *testing.T) {
	for path, good := range map[string]script{idempotentPath: respond(200, "done", sealHeader), resumableStreamPath: streamEvents(2, 0)} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPathTestbed(t, path, good, good)
				s.targets[1].DataCentre = "dc2"
				s.publish(2)
				s.gate.ApplyEvacuations(reg.Evacuations{Counter: 2, DataCentres: []string{"dc"}})
				s.gate.ApplyEvacuations(reg.Evacuations{Counter: 1})
				for range 10 {
					quicktest.Assert(t, s.call(path, "body").status, quicktest.Equals, 200)
				}
				quicktest.Assert(t, s.targets[0].requestCount(), quicktest.Equals, 0)
				quicktest.Assert(t, s.gate.AcceptsTunnel(s.targets[0].Address), quicktest.IsFalse)
				s.gate.ApplyEvacuations(reg.Evacuations{Counter: 3, DataCentres: []string{"dc", "dc2"}})
				res := s.call(path, "body")
				quicktest.Assert(t, res.status, quicktest.Equals, 503)
				quicktest.Assert(t, res.header.Get("Retry-After"), quicktest.Equals, "1")
				quicktest.Assert(t, s.requestCount(), quicktest.Equals, 10)
				s.gate.ApplyEvacuations(reg.Evacuations{Counter: 4})
				s.callUntilReached(s.targets[0], path, 1)
			})
		})
	}
}
