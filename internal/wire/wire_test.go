package wire

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/internal/mutate"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	clientAddr = "10.0.0.1:81"
	serverAddr = "10.0.0.2:81"
)

// FuzzRequest feeds arbitrary bytes to a server as a request. It must answer with the
// output of the method or with an error whose verdict is NotRun.
func FuzzRequest(f *testing.F) {
	valid, err := cbor.Marshal(request{Body: []byte{0x01}, Timeout: time.Second})
	quicktest.Assert(f, err, quicktest.IsNil)
	mutate.Add(f,
		valid,
		[]byte{0xa1, 0x02, 0xff},
	)
	s := Server{Methods: []Method{{
		Name: "echo", New: func() any { return new(int) },
		Run: func(_ context.Context, in any) (any, error) { return in, nil },
	}}}
	f.Fuzz(func(t *testing.T, b []byte) {
		var req request
		if decode(b, &req) != nil {
			return
		}
		resp := s.dispatch(t.Context(), "echo", req.Body)
		if resp.Error != nil && resp.Error.Verdict != verd.NotRun {
			t.Fatalf("verdict %s", resp.Error.Verdict)
		}
	})
}

// FuzzReply feeds arbitrary bytes to a caller as a response. Decoding must not panic.
func FuzzReply(f *testing.F) {
	valid, err := cbor.Marshal(reply{Error: verd.New(verd.NotRun, verd.Limited, "no")})
	quicktest.Assert(f, err, quicktest.IsNil)
	mutate.Add(f,
		valid,
	)
	f.Fuzz(func(_ *testing.T, b []byte) {
		var resp reply
		if decode(b, &resp) != nil {
			return
		}
		var n int
		_ = decode(resp.Body, &n) // Only a panic fails the test.
	})
}

// startEchoServer runs a server at serverAddr with the method echo, and returns a pool
// that dials from clientAddr.
func startEchoServer(t *testing.T, n *memnet.Network) *Pool {
	t.Helper()
	ln, err := n.Listen(serverAddr)
	quicktest.Assert(t, err, quicktest.IsNil)
	s := Server{Methods: []Method{{
		Name: "echo", New: func() any { return new(int) },
		Run: func(_ context.Context, in any) (any, error) { return in, nil },
	}}}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(ctx, ln) })
	p := &Pool{Dial: func(ctx context.Context, addr string) (net.Conn, error) { return n.Dialer(clientAddr)(ctx, addr) }}
	t.Cleanup(func() {
		n.Break(clientAddr, serverAddr)
		_ = p.Close()
		cancel()
		wg.Wait()
	})
	return p
}

// callEcho calls the method echo and checks its output if the call succeeds.
func callEcho(t *testing.T, p *Pool, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	in, out := 7, 0
	err := p.Call(ctx, serverAddr, "echo", &in, &out)
	if err == nil && out != in {
		t.Errorf("got %d, want %d", out, in)
	}
	return err
}

// TestSilentConnections makes all idle connections of a pool silent. One call may time out
// on one of them; the pool must then close the others, so that the next calls succeed.
func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Network
		p := startEchoServer(t, &n)
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() { quicktest.Check(t, callEcho(t, p, time.Second), quicktest.IsNil) })
		}
		wg.Wait()
		n.Silence(clientAddr, serverAddr)
		quicktest.Check(t, verd.From(callEcho(t, p, time.Second)).Reason, quicktest.Equals, verd.Unreached)
		for range 4 {
			quicktest.Check(t, callEcho(t, p, time.Second), quicktest.IsNil)
		}
	})
}

// TestUnreachable checks that a call to a peer that can't be dialled has the verdict
// NotRun, so that the caller may safely repeat it.
func TestUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Network
		p := startEchoServer(t, &n)
		n.Cut(clientAddr, serverAddr)
		e := verd.From(callEcho(t, p, time.Second))
		quicktest.Check(t, e.Verdict, quicktest.Equals, verd.NotRun)
		quicktest.Check(t, e.Reason, quicktest.Equals, verd.Unreached)
	})
}

// busyListener fails the next accepts for lack of file descriptors.
type busyListener struct {
	net.Listener
	failures int
}

func (l *busyListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServerOutlivesLackOfFileDescriptors: an instance that can't accept connections for a while
// must go on with those that it has, and accept again afterwards.
func TestServerOutlivesLackOfFileDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Network
		ln, err := n.Listen(serverAddr)
		quicktest.Assert(t, err, quicktest.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		var reported atomic.Int32
		srv := &Server{OnAcceptError: func(error) { reported.Add(1) }}
		done := make(chan error, 1)
		go func() { done <- srv.Serve(ctx, &busyListener{Listener: ln, failures: 20}) }()
		time.Sleep(10 * time.Second)
		quicktest.Check(t, reported.Load(), quicktest.Equals, int32(1))
		c, err := n.Dialer("10.0.0.9")(ctx, serverAddr)
		quicktest.Assert(t, err, quicktest.IsNil)
		synctest.Wait()
		select {
		case err := <-done:
			t.Fatalf("server stopped: %v", err)
		default:
		}
		c.Close()
		cancel()
		quicktest.Assert(t, <-done, quicktest.IsNil)
	})
}

// TestClosedStreamEnds guards against a stream that is closed while messages wait which nobody
// receives: the goroutines that serve its connection must end, or this bubble panics.
func TestClosedStreamEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var n memnet.Network
		ln, err := n.Listen(serverAddr)
		quicktest.Assert(t, err, quicktest.IsNil)
		s := Server{Streams: []StreamMethod{{Name: "count", Run: func(_ context.Context, st *Stream) error {
			for i := 0; ; i++ {
				if err := st.Send(i); err != nil {
					return err
				}
			}
		}}}}
		go func() { _ = s.Serve(ctx, ln) }()
		st, err := (&Pool{Dial: n.Dialer(clientAddr)}).Open(context.Background(), serverAddr, "count")
		quicktest.Assert(t, err, quicktest.IsNil)
		var got int
		quicktest.Assert(t, st.Receive(&got), quicktest.IsNil)
		synctest.Wait()
		st.Close()
		cancel()
		time.Sleep(time.Second)
	})
}
