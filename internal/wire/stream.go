package wire

import (
	"context"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// StreamMethod is a call in which both sides send messages until one closes the stream.
type StreamMethod struct {
	Name string
	// Run serves one stream, which ends when Run returns.
	Run func(ctx context.Context, s *Stream) error
}

// Stream carries messages both ways over a connection that no other call uses. One
// goroutine may send while another one receives.
type Stream struct {
	stream    drpc.Stream
	closeConn func()
	// conn is nil on the side that opened the stream.
	conn *peerConn
	// sending is the number of sends in progress.
	sending atomic.Int32
	// ended is set once the method that serves the stream has returned. The mu of conn guards it.
	ended bool
}

// Send sends one message. The last one received no longer counts as being handled, as the other side may take
// its time to read.
func (s *Stream) Send(v any) error {
	s.sending.Add(1)
	defer s.sending.Add(-1)
	if s.conn != nil {
		s.conn.releaseReceived(s)
	}
	return s.stream.MsgSend(v, codec{})
}

// Receive waits for the next message and decodes it into v.
func (s *Stream) Receive(v any) error { return s.receive(v, nil) }

// ReceiveWithin is Receive, and closes the stream if no whole message comes in time. The wait for memory to
// decode it doesn't count.
func (s *Stream) ReceiveWithin(timeout time.Duration, v any) error {
	timer := time.AfterFunc(timeout, s.Close)
	defer timer.Stop()
	return s.receive(v, func() { timer.Stop() })
}

func (s *Stream) receive(v any, onArrival func()) error {
	if s.conn == nil {
		return s.stream.MsgRecv(v, codec{})
	}
	s.conn.releaseFor(s)
	if err := s.stream.MsgRecv(v, serverCodec{conn: s.conn, stream: s, onArrival: onArrival}); err != nil {
		return err
	}
	return s.conn.finishReceive(s)
}

// SendWithin is Send, and closes the stream if the other side doesn't take the message in time.
func (s *Stream) SendWithin(timeout time.Duration, v any) error {
	timer := time.AfterFunc(timeout, s.Close)
	defer timer.Stop()
	return s.Send(v)
}

// Close closes the stream and its connection without waiting for the other side.
func (s *Stream) Close() { s.closeConn() }

// Open opens a stream to the method at addr, which lasts until it is closed or ctx ends.
func (p *Pool) Open(ctx context.Context, addr, method string) (*Stream, error) {
	return p.OpenWithin(ctx, ctx, addr, method)
}

// OpenWithin is Open with a context of its own, dialCtx, for the wait for the connection.
func (p *Pool) OpenWithin(dialCtx, ctx context.Context, addr, method string) (*Stream, error) {
	dialCtx, cancel := context.WithTimeout(dialCtx, dialTimeout)
	defer cancel()
	conn, err := p.Dial(dialCtx, addr)
	if err != nil {
		return nil, verd.Wrap(err, verd.NotRun, verd.Unreached, "dial %s", addr)
	}
	c := drpcconn.New(conn)
	st, err := c.NewStream(ctx, method, codec{})
	if err != nil {
		c.Close()
		return nil, verd.Wrap(err, verd.NotRun, verd.Unreached, "open stream %s at %s", method, addr)
	}
	// Closing only conn would leave the goroutine that reads it, which notices nothing while it holds a
	// message that nobody receives.
	return &Stream{stream: st, closeConn: func() { c.Close() }}, nil
}

// closeAccepted closes a stream that was accepted. drpc first waits for a send in progress, which may be
// blocked until the connection is closed.
func (s *Stream) closeAccepted() {
	if s.sending.Load() > 0 {
		s.conn.Close()
		return
	}
	timer := time.AfterFunc(closeTimeout, func() { s.conn.Close() })
	defer timer.Stop()
	s.stream.Close()
}

// serveStream runs the named stream method. ok is false if there is none of that name.
func (s *Server) serveStream(c *peerConn, stream drpc.Stream, name string) (ok bool, err error) {
	for _, m := range s.Streams {
		if m.Name == name {
			st := &Stream{stream: stream, conn: c}
			st.closeConn = st.closeAccepted
			defer c.endStream(st)
			return true, m.Run(stream.Context(), st)
		}
	}
	return false, nil
}
