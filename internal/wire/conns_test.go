package wire

import (
	"context"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
	"storj.io/drpc/drpcwire"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
)

// TestLimits checks the limits of the processes that run in the field, of one with very little memory
// and of one without a limit of descriptors.
func TestLimits(t *testing.T) {
	for _, c := range []struct {
		memory      int64
		descriptors uint64
		want        limits
	}{
		{280 << 20, 4096, limits{conns: 1536, streams: 1344, messageBytes: 35 << 20, decodeBytes: 35 << 20}},
		{0, 1 << 20, limits{conns: 2048, streams: 1792, messageBytes: 32 << 20, decodeBytes: 32 << 20}},
		{96 << 20, 256, limits{conns: 96, streams: 84, messageBytes: 12 << 20, decodeBytes: 16 << 20}},
		{1 << 20, 16, limits{conns: 64, streams: 56, messageBytes: 8 << 20, decodeBytes: 16 << 20}},
		{1 << 40, 1 << 63, limits{conns: 1 << 23, streams: 7 << 20, messageBytes: 1 << 37, decodeBytes: 1 << 37}},
	} {
		quicktest.Check(t, newLimits(c.memory, c.descriptors), quicktest.Equals, c.want)
	}
}

// TestChooseForRoom checks which connection makes room for a new one.
func TestChooseForRoom(t *testing.T) {
	now := time.Now()
	conns := map[string]connState{
		"call":        {since: now.Add(-time.Hour), called: true, active: true},
		"stream":      {since: now.Add(-2 * time.Hour), called: true, active: true, stream: true},
		"idle":        {since: now.Add(-time.Minute), called: true},
		"older idle":  {since: now.Add(-2 * time.Minute), called: true},
		"silent":      {since: now.Add(-time.Second)},
		"longer":      {since: now.Add(-2 * time.Second), begun: true},
		"just opened": {since: now},
	}
	var order []string
	for {
		k, ok := chooseForRoom(conns)
		if !ok {
			break
		}
		order = append(order, k)
		delete(conns, k)
	}
	quicktest.Check(t, order, quicktest.DeepEquals, []string{"longer", "silent", "just opened", "older idle", "idle"})
}

// TestChooseForMemory checks which connection is closed when messages exceed their memory.
func TestChooseForMemory(t *testing.T) {
	now := time.Now()
	conns := map[string]connState{
		"no memory":     {changed: now.Add(-time.Hour)},
		"stream":        {changed: now.Add(-time.Minute), called: true, active: true, stream: true, held: 1},
		"call":          {changed: now.Add(-time.Hour), called: true, active: true, held: 1},
		"kept":          {changed: now.Add(-3 * time.Second), called: true, held: 1},
		"begun":         {changed: now.Add(-time.Second), since: now.Add(-time.Hour), called: true, begun: true, held: 1},
		"begun earlier": {changed: now.Add(-2 * time.Second), begun: true, held: 1},
	}
	var order []string
	for {
		k, ok := chooseForMemory(conns)
		if !ok {
			break
		}
		order = append(order, k)
		delete(conns, k)
	}
	quicktest.Check(t, order, quicktest.DeepEquals, []string{"stream", "kept", "begun earlier", "begun", "call"})
}

// TestRoomIsNeverThatOfACall checks that no connection with a call makes room while another one could.
func TestRoomIsNeverThatOfACall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		conns := make(map[int]connState)
		anyHeld, onlyActiveHeld := false, true
		for i := range rapid.IntRange(0, 20).Draw(t, "conns") {
			c := connState{
				since: now.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * time.Second), changed: now,
				called: rapid.Bool().Draw(t, "called"), active: rapid.Bool().Draw(t, "active"), held: int64(rapid.IntRange(0, 1).Draw(t, "held")),
			}
			conns[i] = c
			anyHeld = anyHeld || c.held > 0
			onlyActiveHeld = onlyActiveHeld && (c.active || c.held == 0)
		}
		if k, ok := chooseForRoom(conns); ok && conns[k].active {
			t.Errorf("room is that of a call")
		}
		k, ok := chooseForMemory(conns)
		if ok != anyHeld {
			t.Fatalf("chosen: %v, want %v", ok, anyHeld)
		}
		if ok && (conns[k].held == 0 || conns[k].active && !onlyActiveHeld) {
			t.Errorf("memory is that of %+v", conns[k])
		}
	})
}

// testServer is a server on an in-memory network with the method echo, and the streams pipe, which receives
// messages until it ends, stuck, which receives one and waits, and greet, which answers one with a long message. Its
// method wait waits for the end of the call.
type testServer struct {
	t     *testing.T
	net   memnet.Network
	stuck chan struct{}
	// leave ends the streams to late, which receive in a goroutine that goes on, and late has its error.
	leave chan struct{}
	late  chan error
	// pipes is the number of streams to pipe, and greeted that of those to greet which have received their message.
	pipes, greeted atomic.Int64

	mu        sync.Mutex
	pressures []Pressure
}

// newTestServer starts a server that ends with the test.
func newTestServer(t *testing.T, memory int64) *testServer {
	s := &testServer{t: t, stuck: make(chan struct{}), leave: make(chan struct{}), late: make(chan error, 1)}
	ln, err := s.net.Listen(serverAddr)
	quicktest.Assert(t, err, quicktest.IsNil)
	srv := &Server{
		Methods: []Method{
			{Name: "echo", New: func() any { return new(any) }, Run: func(_ context.Context, in any) (any, error) { return in, nil }},
			{Name: "wait", New: func() any { return new(any) }, Run: func(ctx context.Context, _ any) (any, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}},
		},
		Streams: []StreamMethod{
			{Name: "pipe", Run: func(_ context.Context, st *Stream) error {
				var v any
				if err := st.Receive(&v); err != nil {
					return err
				}
				s.pipes.Add(1)
				defer s.pipes.Add(-1)
				for {
					if err := st.Receive(&v); err != nil {
						return err
					}
				}
			}},
			{Name: "greet", Run: func(_ context.Context, st *Stream) error {
				var v any
				if err := st.ReceiveWithin(time.Second, &v); err != nil {
					return err
				}
				s.greeted.Add(1)
				return st.SendWithin(10*time.Second, make([]byte, 1<<20))
			}},
			{Name: "late", Run: func(_ context.Context, st *Stream) error {
				go func() { s.late <- st.Receive(new(any)) }()
				<-s.leave
				return nil
			}},
			{Name: "stuck", Run: func(_ context.Context, st *Stream) error {
				var v any
				if err := st.Receive(&v); err != nil {
					return err
				}
				<-s.stuck
				for {
					if err := st.Receive(&v); err != nil {
						return err
					}
				}
			}},
		},
		Memory: memory,
		OnPressure: func(p Pressure) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pressures = append(s.pressures, p)
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- srv.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		quicktest.Check(t, <-done, quicktest.IsNil)
	})
	return s
}

// rawConn is a connection of a peer that sends what it likes. ended is closed when the server closes it.
type rawConn struct {
	net.Conn
	ended chan struct{}
}

// dial opens a connection whose received bytes are dropped.
func (s *testServer) dial() *rawConn {
	s.t.Helper()
	c, err := s.net.Dialer(clientAddr)(s.t.Context(), serverAddr)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	return s.watch(c)
}

// watch drops what is received on a connection, and notes when it ends.
func (s *testServer) watch(c net.Conn) *rawConn {
	r := &rawConn{Conn: c, ended: make(chan struct{})}
	go func() {
		_, _ = io.Copy(io.Discard, c) // Any error means that it ended.
		close(r.ended)
	}()
	s.t.Cleanup(func() { c.Close() })
	return r
}

// reported returns the pressures that the server has reported.
func (s *testServer) reported() []Pressure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.pressures)
}

func (c *rawConn) isOpen() bool {
	synctest.Wait()
	return !isClosed(c.ended)
}

// call returns the packets of a call with an input.
func call(t *testing.T, method string, input any) []byte {
	t.Helper()
	body, err := cbor.Marshal(input)
	quicktest.Assert(t, err, quicktest.IsNil)
	b, err := cbor.Marshal(request{Body: body})
	quicktest.Assert(t, err, quicktest.IsNil)
	return append(splitPacket(drpcwire.Packet{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Data: []byte(method)}),
		splitPacket(drpcwire.Packet{ID: drpcwire.ID{Stream: 1, Message: 2}, Kind: drpcwire.KindMessage, Data: b})...)
}

func (c *rawConn) send(t *testing.T, b []byte) {
	t.Helper()
	_, err := c.Write(b)
	quicktest.Assert(t, err, quicktest.IsNil)
}

// checkServes checks that an ordinary call is answered.
func (s *testServer) checkServes() {
	s.t.Helper()
	p := &Pool{Dial: s.net.Dialer("10.0.0.3:1")}
	quicktest.Check(s.t, callEcho(s.t, p, time.Second), quicktest.IsNil)
	quicktest.Check(s.t, p.Close(), quicktest.IsNil)
}

// TestSilentConnectionsEnd guards against connections without a complete message, whatever they begin with.
func TestSilentConnectionsEnd(t *testing.T) {
	message := call(t, "echo", make([]byte, 100))
	for name, prefix := range map[string]int{"nothing": 0, "a part of a frame": 3, "the name of a method": 8, "most of a message": len(message) - 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestServer(t, 0)
				c := s.dial()
				c.send(t, message[:prefix])
				time.Sleep(messageTimeout - time.Second)
				quicktest.Check(t, c.isOpen(), quicktest.IsTrue)
				s.checkServes()
				time.Sleep(5 * time.Second)
				quicktest.Check(t, c.isOpen(), quicktest.IsFalse)
			})
		})
	}
}

// TestEndlessMessageEnds guards against a message of which a byte comes now and then.
func TestEndlessMessageEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, 0)
		c := s.dial()
		c.send(t, call(t, "echo", 1)) // A complete call comes first.
		c.send(t, splitPacket(drpcwire.Packet{ID: drpcwire.ID{Stream: 2, Message: 1}, Kind: drpcwire.KindInvoke, Data: []byte("echo")}))
		frame := drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 2, Message: 2}, Kind: drpcwire.KindMessage, Data: []byte{1}})
		for range 2 * int(messageTimeout/time.Second) {
			if c.isOpen() {
				c.send(t, frame)
			}
			time.Sleep(time.Second)
		}
		quicktest.Check(t, c.isOpen(), quicktest.IsFalse)
		s.checkServes()
	})
}

// TestIdleConnections checks that a connection outlasts the time in which callers reuse it, and ends later.
func TestIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, 0)
		c := s.dial()
		c.send(t, call(t, "echo", 1))
		time.Sleep(maxConnAge + time.Second)
		quicktest.Check(t, c.isOpen(), quicktest.IsTrue)
		time.Sleep(2 * idleTimeout)
		quicktest.Check(t, c.isOpen(), quicktest.IsFalse)
		quicktest.Check(t, s.reported(), quicktest.HasLen, 0)
	})
}

// TestStreamsMayBeSilent checks that a stream without messages stays open, also while the server is slow to
// receive those that wait, of which the last one is incomplete.
func TestStreamsMayBeSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, 0)
		quiet, stuck := s.dial(), s.dial()
		quiet.send(t, call(t, "pipe", 1))
		stuck.send(t, call(t, "stuck", 1))
		waiting := splitPacket(drpcwire.Packet{ID: drpcwire.ID{Stream: 1, Message: 3}, Kind: drpcwire.KindMessage, Data: []byte{1}})
		next := splitPacket(drpcwire.Packet{ID: drpcwire.ID{Stream: 1, Message: 4}, Kind: drpcwire.KindMessage, Data: []byte{1}})
		stuck.send(t, append(waiting, next[:2]...))
		time.Sleep(time.Hour)
		quicktest.Check(t, quiet.isOpen(), quicktest.IsTrue)
		quicktest.Check(t, stuck.isOpen(), quicktest.IsTrue)
		close(s.stuck)
		time.Sleep(messageTimeout - time.Second)
		quicktest.Check(t, stuck.isOpen(), quicktest.IsTrue)
		time.Sleep(5 * time.Second)
		quicktest.Check(t, stuck.isOpen(), quicktest.IsFalse)
	})
}

// TestNewConnectionsFindRoom guards against a crowd that takes all connections, and checks that those with
// a call stay, and that the pressure is reported once.
func TestNewConnectionsFindRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, 1) // As little memory as limits allow.
		stream := s.dial()
		stream.send(t, call(t, "pipe", 1))
		idle := s.dial()
		idle.send(t, call(t, "echo", 1))
		time.Sleep(time.Millisecond)
		var crowd []*rawConn
		for range 3 * minConns {
			crowd = append(crowd, s.dial())
			synctest.Wait()
		}
		open := 0
		for _, c := range crowd {
			if c.isOpen() {
				open++
			}
		}
		quicktest.Check(t, open, quicktest.Equals, minConns-2)
		quicktest.Check(t, crowd[len(crowd)-1].isOpen(), quicktest.IsTrue)
		quicktest.Check(t, stream.isOpen(), quicktest.IsTrue)
		quicktest.Check(t, idle.isOpen(), quicktest.IsTrue)
		s.checkServes()
		quicktest.Check(t, s.reported(), quicktest.DeepEquals, []Pressure{{Cause: causeConns, Closed: 1}})
		time.Sleep(time.Minute)
		quicktest.Check(t, s.reported(), quicktest.HasLen, 2)
		quicktest.Check(t, s.reported()[1].Over, quicktest.IsTrue)
	})
}

// fullListener fails the next accepts for lack of file descriptors.
type fullListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *fullListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestLackOfDescriptorsMakesRoom guards against connections that wait while the process has no descriptors for
// others, which its other ports may have taken: one of them ends each time that accepting fails.
func TestLackOfDescriptorsMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network memnet.Network
		ln, err := network.Listen(serverAddr)
		quicktest.Assert(t, err, quicktest.IsNil)
		full := &fullListener{Listener: ln}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		srv := &Server{Streams: []StreamMethod{{Name: "pipe", Run: func(_ context.Context, st *Stream) error {
			for {
				var v any
				if err := st.Receive(&v); err != nil {
					return err
				}
			}
		}}}}
		go func() { done <- srv.Serve(ctx, full) }()
		s := &testServer{t: t}
		dial := func() *rawConn {
			c, err := network.Dialer(clientAddr)(ctx, serverAddr)
			quicktest.Assert(t, err, quicktest.IsNil)
			time.Sleep(time.Millisecond)
			return s.watch(c)
		}
		stream := dial()
		stream.send(t, call(t, "pipe", 1))
		first, second, third := dial(), dial(), dial()
		full.failures.Store(2)
		last := dial() // Accepted by the call that waits; the next two fail.
		time.Sleep(time.Second)
		quicktest.Check(t, first.isOpen(), quicktest.IsFalse)
		quicktest.Check(t, second.isOpen(), quicktest.IsFalse)
		for _, c := range []*rawConn{third, last, stream} {
			quicktest.Check(t, c.isOpen(), quicktest.IsTrue)
		}
		cancel()
		quicktest.Check(t, <-done, quicktest.IsNil)
	})
}

// TestStreamsLeaveRoomForCalls guards against a crowd of streams.
func TestStreamsLeaveRoomForCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, 1)
		for range 2 * minConns {
			s.dial().send(t, call(t, "pipe", 1))
			synctest.Wait()
		}
		quicktest.Check(t, s.pipes.Load(), quicktest.Equals, int64(newLimits(1, 1).streams))
		s.checkServes()
	})
}

// TestUnfinishedMessagesEnd guards against a crowd whose messages stop short of their end: of those in
// memory, the ones that have waited longest end.
func TestUnfinishedMessagesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, 1)
		message := call(t, "echo", make([]byte, maxMessageBytes/4))
		var crowd []*rawConn
		for range 20 {
			c := s.dial()
			c.send(t, message[:len(message)-1])
			synctest.Wait()
			crowd = append(crowd, c)
			time.Sleep(time.Millisecond)
		}
		open := 0
		for _, c := range crowd {
			if c.isOpen() {
				open++
			}
		}
		quicktest.Check(t, open > 0 && crowd[len(crowd)-open].isOpen(), quicktest.IsTrue, quicktest.Commentf("the last ones are open"))
		quicktest.Check(t, open*maxMessageBytes/4 <= minMessageMemory, quicktest.IsTrue, quicktest.Commentf("%d open", open))
		s.checkServes()
	})
}

// TestKeptBuffersEnd guards against connections that keep the buffer of a long message, and checks that
// those that go on with small ones don't count.
func TestKeptBuffersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, 1)
		message := call(t, "pipe", make([]byte, maxMessageBytes/2))
		busy := s.dial()
		busy.send(t, message)
		for i := range uint64(keptPackets) {
			busy.send(t, splitPacket(drpcwire.Packet{ID: drpcwire.ID{Stream: 1, Message: 3 + i}, Kind: drpcwire.KindMessage, Data: []byte{1}}))
		}
		var silent []*rawConn
		for range 8 {
			time.Sleep(time.Millisecond)
			c := s.dial()
			c.send(t, message)
			synctest.Wait()
			silent = append(silent, c)
		}
		open := 0
		for _, c := range silent {
			if c.isOpen() {
				open++
			}
		}
		quicktest.Check(t, open > 0 && open*maxMessageBytes/2 <= minMessageMemory, quicktest.IsTrue, quicktest.Commentf("%d open", open))
		quicktest.Check(t, busy.isOpen(), quicktest.IsTrue)
		s.checkServes()
	})
}

// TestLargestMessagesPass checks that a server with little memory answers calls of the largest size, one
// after the other on one connection.
func TestLargestMessagesPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, 1)
		p := &Pool{Dial: s.net.Dialer(clientAddr)}
		defer p.Close()
		for range 5 {
			in, out := make([]byte, maxMessageBytes-64), []byte{}
			quicktest.Assert(t, p.Call(t.Context(), serverAddr, "echo", &in, &out), quicktest.IsNil)
			quicktest.Check(t, len(out), quicktest.Equals, len(in))
		}
		quicktest.Check(t, s.reported(), quicktest.HasLen, 0)
	})
}
