package link

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

// TestLinkToInstanceThatDoesNotRead guards against an outbox that grows without end, and a goroutine for
// each such link: a link must end ReceiveTimeout after the other instance has stopped, although a message
// to it can't be sent.
func TestLinkToInstanceThatDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network memnet.Network
		ln, err := network.Listen("10.0.0.2:7")
		quicktest.Assert(t, err, quicktest.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		stopped := wire.StreamMethod{Name: Method, Run: func(ctx context.Context, _ *wire.Stream) error { <-ctx.Done(); return nil }}
		served := make(chan error, 1)
		go func() { served <- (&wire.Server{Streams: []wire.StreamMethod{stopped}}).Serve(ctx, ln) }()
		st, err := (&wire.Pool{Dial: network.Dialer("10.0.0.1:7")}).Open(ctx, "10.0.0.2:7", Method)
		quicktest.Assert(t, err, quicktest.IsNil)
		s := NewSession[ControlMessage, FollowerMessage](st)
		began := time.Now()
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		sent := 0
		for len(ended) == 0 && time.Since(began) < 2*ReceiveTimeout {
			s.Enqueue(func(m *FollowerMessage) { m.Heartbeats = append(m.Heartbeats, strings.Repeat("x", 64<<10)) })
			sent++
			time.Sleep(ReceiveTimeout / 100)
		}
		// More was queued than a connection of memnet holds, so that a send was blocked.
		quicktest.Check(t, sent > 20, quicktest.IsTrue)
		quicktest.Check(t, <-ended, quicktest.ErrorIs, ErrPeerTimeout)
		quicktest.Check(t, time.Since(began) <= ReceiveTimeout+ReceiveTimeout/100, quicktest.IsTrue)
		cancel()
		quicktest.Check(t, <-served, quicktest.IsNil)
	})
}

// TestLinkedInstanceReadsNothing guards against an instance that goes on sending but doesn't read: its link must
// end although a message to it can't be sent, and with it all that waits to be sent.
func TestLinkedInstanceReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network memnet.Network
		ln, err := network.Listen("10.0.0.2:7")
		quicktest.Assert(t, err, quicktest.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		serve := wire.StreamMethod{Name: Method, Run: func(ctx context.Context, st *wire.Stream) error {
			s := NewSession[FollowerMessage, ControlMessage](st)
			s.OnMessage = func(context.Context, *FollowerMessage) error { return nil }
			s.Enqueue(func(m *ControlMessage) { m.Queued = []string{strings.Repeat("x", 1<<20)} })
			ended <- s.Run(ctx)
			return nil
		}}
		served := make(chan error, 1)
		go func() { served <- (&wire.Server{Streams: []wire.StreamMethod{serve}}).Serve(ctx, ln) }()
		pool := &wire.Pool{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := network.Dialer("10.0.0.1:7")(ctx, addr)
			return &blindConn{Conn: c, closed: make(chan struct{})}, err
		}}
		st, err := pool.Open(ctx, "10.0.0.2:7", Method)
		quicktest.Assert(t, err, quicktest.IsNil)
		for range 2 * SendTimeout / HeartbeatInterval {
			_ = st.Send(&FollowerMessage{}) // Fails once the link has ended.
			time.Sleep(HeartbeatInterval)
		}
		quicktest.Check(t, ended, quicktest.HasLen, 1)
		st.Close()
		cancel()
		quicktest.Check(t, <-served, quicktest.IsNil)
	})
}

// TestLinkWithLongMessageEnds guards against a link whose peer asks without reading the answers: it ends at once when
// the message that waits is longer than a peer accepts.
func TestLinkWithLongMessageEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network memnet.Network
		ln, err := network.Listen("10.0.0.2:7")
		quicktest.Assert(t, err, quicktest.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		serve := wire.StreamMethod{Name: Method, Run: func(ctx context.Context, st *wire.Stream) error {
			s := NewSession[FollowerMessage, ControlMessage](st)
			s.OnMessage = func(_ context.Context, m *FollowerMessage) error {
				for _, r := range m.Requests {
					s.EnqueueSized(len(r.ID), func(m *ControlMessage) { m.Queued = append(m.Queued, r.ID) })
				}
				return nil
			}
			ended <- s.Run(ctx)
			return nil
		}}
		served := make(chan error, 1)
		go func() { served <- (&wire.Server{Streams: []wire.StreamMethod{serve}}).Serve(ctx, ln) }()
		pool := &wire.Pool{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := network.Dialer("10.0.0.1:7")(ctx, addr)
			return &blindConn{Conn: c, closed: make(chan struct{})}, err
		}}
		st, err := pool.Open(ctx, "10.0.0.2:7", Method)
		quicktest.Assert(t, err, quicktest.IsNil)
		var m FollowerMessage
		for range 2000 {
			m.Requests = append(m.Requests, place.Request{ID: strings.Repeat("x", maxIDBytes)})
		}
		for range 8 {
			_ = st.Send(&m) // Fails once the link has ended.
			synctest.Wait()
		}
		time.Sleep(ReceiveTimeout / 2) // Less than any timeout of a link.
		quicktest.Check(t, ended, quicktest.HasLen, 1)
		st.Close()
		cancel()
		quicktest.Check(t, <-served, quicktest.IsNil)
	})
}

// blindConn is a connection that reads nothing until it is closed.
type blindConn struct {
	net.Conn
	closed chan struct{}
	once   sync.Once
}

func (c *blindConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, io.EOF
}

func (c *blindConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
