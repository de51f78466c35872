package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/relay"
)

// TestTunnelsToReadyTargetsOnly: other instances must reach no other address through this one, and
// no target that wants nothing from it; what a target asks of them binds this instance.
func TestTunnelsToReadyTargetsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{closeConn, closeConn, closeConn}, nil)
		address := func(i int) string { return s.targets[i].Address }
		quicktest.Assert(t, s.gate.AcceptsTunnel(address(0)), quicktest.IsTrue)
		quicktest.Assert(t, s.gate.AcceptsTunnel("10.0.7.7:22"), quicktest.IsFalse)
		s.gate.HandleTunnelNotice(address(0), relay.Notice{Pause: time.Second})
		s.gate.HandleTunnelNotice(address(1), relay.Notice{Leaving: true})
		s.gate.HandleTunnelNotice("10.0.7.7:22", relay.Notice{Leaving: true})
		quicktest.Assert(t, s.gate.AcceptsTunnel(address(0)), quicktest.IsFalse)
		time.Sleep(time.Second)
		quicktest.Assert(t, s.gate.AcceptsTunnel(address(0)), quicktest.IsTrue)
		quicktest.Assert(t, s.gate.AcceptsTunnel(address(1)), quicktest.IsFalse)
		s.gate.Drain()
		quicktest.Assert(t, s.gate.AcceptsTunnel(address(2)), quicktest.IsFalse)
	})
}

// TestRelayPeers: an instance uses the others that are ready near it, and some further away.
func TestRelayPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, nil)
		s.gate.Link.Self.PeerAddr = "10.0.0.1:7"
		near, far := link.Entry{Name: "b", DataCentre: "dc", Address: "10.0.0.2:80"}, link.Entry{Name: "c", DataCentre: "dc2", Address: "10.0.0.3:80"}
		s.gate.SetEntries([]link.Entry{{Name: "entry", DataCentre: "dc", Address: gateAddress}, near, far})
		s.gate.SetRelays([]link.Entry{far})
		quicktest.Assert(t, s.gate.RelayPeers(), quicktest.DeepEquals, []relay.Peer{{Addr: "10.0.0.2:7", DataCentre: "dc"}, {Addr: "10.0.0.3:7", DataCentre: "dc2"}})
	})
}
