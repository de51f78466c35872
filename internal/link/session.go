package link

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bambooproxy/bambooproxy/internal/wire"
)

// ErrPeerTimeout means that the peer of a link sent no message within ReceiveTimeout, or that
// its first message carried no welcome.
var ErrPeerTimeout = errors.New("link peer sent no message in time, or a first message without welcome")

// Session is one side of a link. It sends messages of type Out and receives those of type In.
type Session[In, Out any] struct {
	Stream *wire.Stream
	// OnMessage handles one received message. An error ends the session.
	OnMessage func(ctx context.Context, m *In) error
	// FillHeartbeat completes the message sent every HeartbeatInterval; nil adds nothing.
	FillHeartbeat func(m *Out)

	outbox *outbox[Out]
}

// NewSession returns a session on a stream.
func NewSession[In, Out any](s *wire.Stream) *Session[In, Out] {
	return &Session[In, Out]{Stream: s, outbox: newOutbox[Out]()}
}

// Enqueue adds to the next message to be sent by calling change on it at once. It does not
// wait for the stream.
func (s *Session[In, Out]) Enqueue(change func(m *Out)) { s.EnqueueSized(0, change) }

// EnqueueSized is Enqueue for a change that adds at least that many bytes. It ends the link if the message that
// waits is longer than the peer accepts.
func (s *Session[In, Out]) EnqueueSized(bytes int, change func(m *Out)) {
	if s.outbox.add(bytes, change) && s.Stream != nil {
		// Closing may wait for a send.
		go s.Stream.Close()
	}
}

// Run sends and receives messages until ctx ends, the peer sends nothing for ReceiveTimeout or
// reads no whole message for SendTimeout, or the connection or a handler fails.
func (s *Session[In, Out]) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	// Closing the stream is the only way to end a blocked send or receive.
	stop := context.AfterFunc(ctx, s.Stream.Close)
	defer stop()
	received := make(chan struct{}, 1)
	g.Go(func() error { return s.send(ctx) })
	g.Go(func() error { return s.receive(ctx, received) })
	g.Go(func() error { return watchSilence(ctx, received) })
	return g.Wait()
}

// send sends the outbox when something was added, and a heartbeat every HeartbeatInterval.
func (s *Session[In, Out]) send(ctx context.Context) error {
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	for {
		heartbeat := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			heartbeat = true
		case <-s.outbox.wake:
		}
		m, pending := s.outbox.take()
		if !pending && !heartbeat {
			continue
		}
		if heartbeat && s.FillHeartbeat != nil {
			s.FillHeartbeat(&m)
		}
		if err := s.Stream.SendWithin(SendTimeout, &m); err != nil {
			return errors.Wrap(err, "send to link peer")
		}
	}
}

// receive handles messages, and signals each one on received.
func (s *Session[In, Out]) receive(ctx context.Context, received chan<- struct{}) error {
	for {
		m := new(In)
		if err := s.Stream.Receive(m); err != nil {
			return errors.Wrap(err, "receive from link peer")
		}
		select {
		case received <- struct{}{}:
		default:
		}
		if err := s.OnMessage(ctx, m); err != nil {
			return err
		}
	}
}

// watchSilence returns ErrPeerTimeout when nothing was received for ReceiveTimeout.
func watchSilence(ctx context.Context, received <-chan struct{}) error {
	t := time.NewTimer(ReceiveTimeout)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-received:
			t.Reset(ReceiveTimeout)
		case <-t.C:
			return ErrPeerTimeout
		}
	}
}
