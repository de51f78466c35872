package relay

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/internal/strict"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

const (
	selfHost   = "10.0.1.1"
	targetAddr = "10.0.2.1:80"
)

// testbed is a Dialer with two relays, and a target.
type testbed struct {
	t       *testing.T
	net     memnet.Network
	dialer  *Dialer
	relays  []*Server
	peers   []Peer
	notices []Notice
	// accepts is what the relays decide about tunnels, and knows whether they know the target.
	accepts, knows bool
	target         net.Listener
	// open are the connections that the end of the test closes.
	open []net.Conn
}

// runTestbed runs a test in a bubble. All goroutines of the testbed end with it, also if the test fails: a
// bubble in which others remain panics, and that hides why.
func runTestbed(t *testing.T, test func(s *testbed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &testbed{t: t, accepts: true}
		logger := &log.Logger{Level: log.PanicLevel}
		for _, host := range []string{"10.0.1.2", "10.0.1.3"} {
			r := &Server{Direct: s.net.Dialer(host), IsSuspect: func(string) bool { return false }, Gate: s, Log: logger}
			ln, err := s.net.Listen(host + ":7")
			quicktest.Assert(t, err, quicktest.IsNil)
			go func() { _ = (&wire.Server{Streams: []wire.StreamMethod{r.Method()}}).Serve(ctx, ln) }()
			s.relays, s.peers = append(s.relays, r), append(s.peers, Peer{Addr: host + ":7", DataCentre: "dc"})
		}
		calls := &wire.Pool{Dial: s.net.Dialer(selfHost + ":7")}
		s.dialer = &Dialer{
			Direct: s.net.Dialer(selfHost), Calls: calls, DataCentre: "dc", Peers: func() []Peer { return s.peers },
			Log: logger, Metrics: metrics.NewRegistry(),
		}
		s.listen()
		defer func() {
			for _, c := range s.open {
				c.Close()
			}
			s.target.Close()
			cancel()
			time.Sleep(time.Second)
		}()
		test(s)
	})
}

// listen starts the target.
func (s *testbed) listen() {
	ln, err := s.net.Listen(targetAddr)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	s.target = ln
}

func (s *testbed) AcceptsTunnel(string) bool              { return s.accepts }
func (s *testbed) KnowsTarget(string) bool                { return s.knows }
func (s *testbed) HandleTunnelNotice(_ string, n Notice)  { s.notices = append(s.notices, n) }
func (s *testbed) dial() (net.Conn, time.Duration, error) { return s.dialWithin(time.Second) }
func (s *testbed) cutSelf()                               { s.net.Cut(selfHost, targetAddr) }
func (s *testbed) dialWithin(d time.Duration) (net.Conn, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	began := time.Now()
	c, err := s.dialer.Dial(ctx, targetAddr)
	return c, time.Since(began), err
}

// exchange dials through a relay and returns both ends of the connection.
func (s *testbed) exchange() (near, far net.Conn) {
	s.t.Helper()
	s.cutSelf()
	near, _, err := s.dial()
	quicktest.Assert(s.t, err, quicktest.IsNil)
	s.open = append(s.open, near)
	far, err = s.target.Accept()
	quicktest.Assert(s.t, err, quicktest.IsNil)
	s.open = append(s.open, far)
	return near, far
}

// TestTunnelCarriesBothWays: what either end writes reaches the other one, and an orderly end of
// the target's side ends the connection in order, after all bytes.
func TestTunnelCarriesBothWays(t *testing.T) {
	runTestbed(t, func(s *testbed) {
		near, far := s.exchange()
		sent := make([]byte, 5*chunkBytes)
		go func() { _, _ = near.Write(sent) }()
		got := make([]byte, len(sent))
		_, err := io.ReadFull(far, got)
		quicktest.Assert(t, err, quicktest.IsNil)
		go func() { _, _ = far.Write(sent); far.Close() }()
		got, err = io.ReadAll(near)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, got, quicktest.HasLen, len(sent))
		near.Close()
	})
}

// TestLostRelayResetsConnection: a response that ends with its connection must not look complete
// because the relay has ended.
func TestLostRelayResetsConnection(t *testing.T) {
	runTestbed(t, func(s *testbed) {
		near, far := s.exchange()
		go func() { _, _ = far.Write([]byte("half")) }()
		got := make([]byte, 4)
		_, err := io.ReadFull(near, got)
		quicktest.Assert(t, err, quicktest.IsNil)
		for _, p := range s.peers {
			s.net.Break(selfHost+":7", p.Addr)
		}
		_, err = near.Read(got)
		quicktest.Assert(t, errors.Is(err, syscall.ECONNRESET), quicktest.IsTrue, quicktest.Commentf("%v", err))
		near.Close()
	})
}

// TestEndDuringUpload guards against a part of a response that is taken for the whole one because the target reset the
// connection to the relay while the relay wrote to it, and against a whole one that is taken for a part.
func TestEndDuringUpload(t *testing.T) {
	// The tunnel holds a small upload while the relay writes it.
	const small, large = 400 << 10, 4 << 20
	reset := func(far *memnet.Conn) { far.SetLinger(0); far.Close() }
	resetLater := func(far *memnet.Conn) { time.Sleep(time.Millisecond); reset(far) }
	endInOrder := func(far *memnet.Conn) { far.CloseWrite() }
	for name, c := range map[string]struct {
		upload  int
		end     func(far *memnet.Conn)
		wantErr error
	}{
		"reset":              {large, reset, syscall.ECONNRESET},
		"reset later":        {large, resetLater, syscall.ECONNRESET},
		"reset, small":       {small, reset, syscall.ECONNRESET},
		"reset later, small": {small, resetLater, syscall.ECONNRESET},
		"in order":           {large, endInOrder, nil},
		"in order, small":    {small, endInOrder, nil},
	} {
		t.Run(name, func(t *testing.T) {
			runTestbed(t, func(s *testbed) {
				conn, far := s.exchange()
				near := strict.NewConn(conn)
				go near.Write(make([]byte, c.upload))
				synctest.Wait()
				far.Write([]byte("response"))
				c.end(far.(*memnet.Conn))
				got, err := io.ReadAll(near)
				quicktest.Check(t, string(got), quicktest.Equals, "response")
				quicktest.Check(t, err, quicktest.ErrorIs, c.wantErr)
			})
		})
	}
}

// TestClosedTunnelReachesTarget: a target must learn at once that a request was given up.
func TestClosedTunnelReachesTarget(t *testing.T) {
	runTestbed(t, func(s *testbed) {
		near, far := s.exchange()
		began := time.Now()
		near.Close()
		_, err := far.Read(make([]byte, 1))
		quicktest.Assert(t, err, quicktest.Equals, io.EOF)
		quicktest.Assert(t, time.Since(began) < 10*time.Millisecond, quicktest.IsTrue)
		time.Sleep(time.Millisecond)
		quicktest.Assert(t, s.relays[0].Active()+s.relays[1].Active(), quicktest.Equals, int64(0))
	})
}

// TestCutOffInstanceDoesNotWait: once two targets were out of reach, connections don't wait for the
// direct way any more. It is used again as soon as it works.
func TestCutOffInstanceDoesNotWait(t *testing.T) {
	runTestbed(t, func(s *testbed) {
		const other = "10.0.2.2:80"
		ln, err := s.net.Listen(other)
		quicktest.Assert(t, err, quicktest.IsNil)
		defer ln.Close()
		lost := 0
		s.dialer.OnCutOff = func() { lost++ }
		s.cutSelf()
		s.net.Cut(selfHost, other)
		for _, addr := range []string{targetAddr, other} {
			c, err := s.dialer.Dial(context.Background(), addr)
			quicktest.Assert(t, err, quicktest.IsNil)
			c.Close()
		}
		quicktest.Assert(t, lost, quicktest.Equals, 1)
		c, took, err := s.dial()
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, took < hedgeDelay/2, quicktest.IsTrue, quicktest.Commentf("%s", took))
		c.Close()
		s.net.Heal(selfHost, targetAddr)
		s.net.Heal(selfHost, other)
		for range 3 {
			if c, _, err = s.dial(); err == nil {
				c.Close()
			}
		}
		quicktest.Assert(t, s.dialer.IsCutOff(), quicktest.IsFalse)
	})
}

// TestRefusalIsConfirmed: callers of Dial conclude from a refused connection that a process has
// ended. An instance that is cut off must not do so if the target is out of its own reach only.
func TestRefusalIsConfirmed(t *testing.T) {
	for name, c := range map[string]struct {
		prepare     func(s *testbed)
		wantRefused bool
	}{
		"nothing listens":      {func(s *testbed) { s.target.Close() }, true},
		"cut, nothing listens": {func(s *testbed) { s.cutSelf(); s.target.Close() }, true},
		"relays don't answer": {func(s *testbed) {
			s.net.Refuse(selfHost, targetAddr)
			for _, p := range s.peers {
				s.net.Cut(selfHost+":7", p.Addr)
			}
		}, false},
		"relays know no way": {func(s *testbed) {
			s.net.Refuse(selfHost, targetAddr)
			s.accepts = false
		}, false},
		"no relays": {func(s *testbed) { s.peers = nil; s.target.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			runTestbed(t, func(s *testbed) {
				c.prepare(s)
				_, took, err := s.dialWithin(300 * time.Millisecond)
				quicktest.Assert(t, errors.Is(err, syscall.ECONNREFUSED), quicktest.Equals, c.wantRefused, quicktest.Commentf("%v", err))
				quicktest.Assert(t, !c.wantRefused || took < 2*hedgeDelay, quicktest.IsTrue, quicktest.Commentf("%s", took))
			})
		})
	}
}

// TestRelayThatIsCutOff: a relay that doesn't reach the target either is passed over, and tried last
// for a while.
func TestRelayThatIsCutOff(t *testing.T) {
	runTestbed(t, func(s *testbed) {
		s.cutSelf()
		s.net.Cut("10.0.1.2", targetAddr)
		slow := 0
		for range 6 {
			c, took, err := s.dial()
			quicktest.Assert(t, err, quicktest.IsNil)
			c.Close()
			if took >= hedgeDelay {
				slow++
			}
		}
		quicktest.Assert(t, slow <= 2, quicktest.IsTrue, quicktest.Commentf("%d slow connections", slow))
	})
}

// TestNoticeReachesRelay: what a target asks of a connection binds the relay that holds it.
func TestNoticeReachesRelay(t *testing.T) {
	runTestbed(t, func(s *testbed) {
		near, _ := s.exchange()
		want := Notice{Pause: 2 * time.Second}
		near.(*Conn).Notify(want)
		synctest.Wait()
		quicktest.Assert(t, s.notices, quicktest.DeepEquals, []Notice{want})
		near.Close()
	})
}

// TestTunnelWithoutRequestEnds guards against tunnels that are opened and then silent: they would take the place of
// others. One with a request may be silent.
func TestTunnelWithoutRequestEnds(t *testing.T) {
	runTestbed(t, func(s *testbed) {
		_, silent := s.exchange()
		near, far := s.exchange()
		_, err := near.Write([]byte("request"))
		quicktest.Assert(t, err, quicktest.IsNil)
		active := func() int64 { return s.relays[0].Active() + s.relays[1].Active() }
		time.Sleep(requestTimeout - time.Second)
		quicktest.Check(t, active(), quicktest.Equals, int64(2))
		time.Sleep(10 * requestTimeout)
		quicktest.Check(t, active(), quicktest.Equals, int64(1))
		quicktest.Assert(t, silent.SetReadDeadline(time.Now().Add(time.Second)), quicktest.IsNil)
		_, err = silent.Read(make([]byte, 1))
		quicktest.Check(t, err, quicktest.ErrorIs, io.EOF)
		got := make([]byte, len("request"))
		_, err = io.ReadFull(far, got)
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, string(got), quicktest.Equals, "request")
	})
}

// TestTunnelsAreBounded: an instance must not run out of file descriptors for others.
func TestTunnelsAreBounded(t *testing.T) {
	runTestbed(t, func(s *testbed) {
		s.peers = s.peers[:1]
		s.relays[0].active.Store(maxTunnels)
		s.cutSelf()
		_, _, err := s.dial()
		quicktest.Assert(t, err, quicktest.IsNotNil)
		s.relays[0].active.Store(0)
	})
}

// TestRestrictedRelays guards against a request that passes through an instance outside of its
// regions, also if that is the only one that reaches the target.
func TestRestrictedRelays(t *testing.T) {
	runTestbed(t, func(s *testbed) {
		s.peers[1].DataCentre = "dc2"
		s.cutSelf()
		dial := func(allowed string) (string, error) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			c, err := s.dialer.Dial(Restrict(ctx, func(dataCentre string) bool { return dataCentre == allowed }), targetAddr)
			if err != nil {
				return "", err
			}
			defer c.Close()
			return c.(*Conn).Relay, nil
		}
		for _, p := range s.peers {
			for range 4 {
				relay, err := dial(p.DataCentre)
				quicktest.Assert(t, err, quicktest.IsNil)
				quicktest.Assert(t, relay, quicktest.Equals, p.Addr)
			}
		}
		_, err := dial("dc3")
		quicktest.Assert(t, err, quicktest.IsNotNil)
		s.net.Cut("10.0.1.2", targetAddr)
		_, err = dial("dc")
		quicktest.Assert(t, err, quicktest.IsNotNil)
	})
}

// TestTunnelHoldsUpTarget guards against a tunnel that takes in what the other instance doesn't read:
// the target must be held up, and go on when reading does.
func TestTunnelHoldsUpTarget(t *testing.T) {
	runTestbed(t, func(s *testbed) {
		near, far := s.exchange()
		var written atomic.Int64
		done := make(chan struct{})
		go func() {
			defer close(done)
			for piece := make([]byte, chunkBytes); ; {
				n, err := far.Write(piece)
				if written.Add(int64(n)); err != nil {
					return
				}
			}
		}()
		time.Sleep(time.Second)
		held := written.Load()
		// Two connections of 256 KiB are full, and each end holds a few pieces.
		quicktest.Assert(t, held < (2*256+16*16)<<10, quicktest.IsTrue, quicktest.Commentf("%d bytes", held))
		time.Sleep(time.Second)
		quicktest.Assert(t, written.Load(), quicktest.Equals, held)
		_, err := io.ReadFull(near, make([]byte, 2<<20))
		quicktest.Assert(t, err, quicktest.IsNil)
		// The writer counts a piece after it has written it.
		synctest.Wait()
		quicktest.Assert(t, written.Load() >= 2<<20, quicktest.IsTrue)
		near.Close()
		<-done
	})
}

// TestProbeIsConfirmed guards against targets that have crashed and are taken for alive, because the relays
// serve no tunnels to them: they are full, or drain. A probe opens no tunnel.
func TestProbeIsConfirmed(t *testing.T) {
	for name, c := range map[string]struct {
		prepare     func(s *testbed)
		wantRefused bool
	}{
		"nothing listens": {func(s *testbed) { s.target.Close() }, true},
		"unknown target":  {func(s *testbed) { s.target.Close(); s.knows = false }, false},
		"out of reach":    {func(s *testbed) { s.net.Refuse(selfHost, targetAddr) }, false},
		"alive":           {func(*testbed) {}, false},
	} {
		t.Run(name, func(t *testing.T) {
			runTestbed(t, func(s *testbed) {
				s.accepts, s.knows = false, true
				c.prepare(s)
				ctx, cancel := context.WithTimeout(Probe(context.Background()), 300*time.Millisecond)
				defer cancel()
				conn, err := s.dialer.Dial(ctx, targetAddr)
				if err == nil {
					s.open = append(s.open, conn)
				}
				quicktest.Assert(t, errors.Is(err, syscall.ECONNREFUSED), quicktest.Equals, c.wantRefused, quicktest.Commentf("%v", err))
				time.Sleep(time.Millisecond)
				quicktest.Assert(t, s.relays[0].Active()+s.relays[1].Active(), quicktest.Equals, int64(0))
			})
		})
	}
}

// TestOwnRefusalIsEnough guards against targets that have crashed and are taken for alive, because the relays don't answer
// in time, or don't know them.
func TestOwnRefusalIsEnough(t *testing.T) {
	for name, c := range map[string]struct {
		prepare     func(s *testbed)
		wantRefused bool
	}{
		"confirmed":      {func(s *testbed) { s.target.Close() }, true},
		"unknown target": {func(s *testbed) { s.target.Close(); s.knows = false }, true},
		"silent relays": {func(s *testbed) {
			s.target.Close()
			for _, p := range s.peers {
				s.net.Cut(selfHost+":7", p.Addr)
			}
		}, true},
		"no relay":     {func(s *testbed) { s.target.Close(); s.peers = nil }, true},
		"out of reach": {func(s *testbed) { s.net.Refuse(selfHost, targetAddr) }, false},
		"alive":        {func(*testbed) {}, false},
	} {
		t.Run(name, func(t *testing.T) {
			runTestbed(t, func(s *testbed) {
				s.accepts, s.knows = false, true
				c.prepare(s)
				ctx, cancel := context.WithTimeout(ProbeAlone(context.Background()), 300*time.Millisecond)
				defer cancel()
				conn, err := s.dialer.Dial(ctx, targetAddr)
				if err == nil {
					s.open = append(s.open, conn)
				}
				quicktest.Assert(t, errors.Is(err, syscall.ECONNREFUSED), quicktest.Equals, c.wantRefused, quicktest.Commentf("%v", err))
			})
		})
	}
}
