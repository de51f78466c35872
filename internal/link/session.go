package link

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bambooproxy/bambooproxy/internal/wire"
)

// ErrPeerTimeout says that the other side of a link said nothing for too long.
var ErrPeerTimeout = errors.New("the other side fell silent")

// Session is one side of a link that sends Out and receives In.
type Session[In, Out any] struct {
	Stream *wire.Stream
	// OnMessage takes in one message.
	OnMessage func(ctx context.Context, m *In) error
	// FillHeartbeat fills in the message that is sent when there is no other.
	FillHeartbeat func(m *Out)

	outbox *outbox[Out]
}

// NewSession returns a session over a stream.
func NewSession[In, Out any](s *wire.Stream) *Session[In, Out] {
	return &Session[In, Out]{Stream: s, outbox: newOutbox[Out]()}
}

// Enqueue changes the next message that is sent. It never blocks.
func (s *Session[In, Out]) Enqueue(change func(m *Out)) { s.outbox.add(change) }

// Run carries messages until ctx ends, the other side falls silent or the
// connection breaks.
func (s *Session[In, Out]) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	// A blocked send or receive ends only with the connection.
	stop := context.AfterFunc(ctx, s.Stream.Close)
	defer stop()
	heard := make(chan struct{}, 1)
	g.Go(func() error { return s.send(ctx) })
	g.Go(func() error { return s.receive(ctx, heard) })
	g.Go(func() error { return watchSilence(ctx, heard) })
	return g.Wait()
}

func (s *Session[In, Out]) send(ctx context.Context) error {
	tick := time.NewTicker(PulseEvery)
	defer tick.Stop()
	for {
		pulse := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			pulse = true
		case <-s.outbox.wake:
		}
		m, some := s.outbox.take()
		if !some && !pulse {
			continue
		}
		if pulse && s.FillHeartbeat != nil {
			s.FillHeartbeat(&m)
		}
		if err := s.Stream.Send(&m); err != nil {
			return errors.Wrap(err, "send")
		}
	}
}

func (s *Session[In, Out]) receive(ctx context.Context, heard chan<- struct{}) error {
	for {
		m := new(In)
		if err := s.Stream.Receive(m); err != nil {
			return errors.Wrap(err, "receive")
		}
		select {
		case heard <- struct{}{}:
		default:
		}
		if err := s.OnMessage(ctx, m); err != nil {
			return err
		}
	}
}

// watchSilence ends the session when nothing was heard for too long.
func watchSilence(ctx context.Context, heard <-chan struct{}) error {
	t := time.NewTimer(ReceiveTimeout)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-heard:
			t.Reset(ReceiveTimeout)
		case <-t.C:
			return ErrPeerTimeout
		}
	}
}
