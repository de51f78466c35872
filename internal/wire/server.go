package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Method is one call that a server answers.
type Method struct {
	Name string
	// New returns a pointer to an empty input.
	New func() any
	// Run answers a call; in is what New returned, filled in.
	Run func(ctx context.Context, in any) (any, error)
}

// Server answers calls from other instances.
type Server struct {
	// Methods are the calls to answer.
	Methods []Method
	// Streams are the calls that carry messages both ways.
	Streams []StreamMethod
}

// request is what crosses the wire for a call.
type request struct {
	// Left is the time that the caller still has; 0 means no limit.
	Left time.Duration   `cbor:"1,keyasint,omitempty"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
	// Trace is the W3C trace parent of the caller's span.
	Trace string `cbor:"3,keyasint,omitempty"`
}

// reply is the answer: either an error or a body.
type reply struct {
	Error *verd.Error     `cbor:"1,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// Serve answers calls on the listener until ctx ends; it then waits for the
// calls in progress.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	srv := drpcserver.New(s)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrap(err, "accept from peers")
		}
		wg.Go(func() {
			// A broken connection ends its own calls and nobody else's.
			_ = srv.ServeOne(ctx, conn)
			conn.Close()
		})
	}
}

// HandleRPC answers one call; drpc calls it.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	if ok, err := s.serveStream(stream, rpc); ok {
		return err
	}
	var req request
	if err := stream.MsgRecv(&req, codec{}); err != nil {
		return err
	}
	ctx := extract(stream.Context(), req.Trace)
	if req.Left > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.Left)
		defer cancel()
	}
	rep := s.dispatch(ctx, rpc, req.Body)
	if err := stream.MsgSend(&rep, codec{}); err != nil {
		return err
	}
	return stream.CloseSend()
}

// dispatch runs the method with the name.
func (s *Server) dispatch(ctx context.Context, name string, body []byte) reply {
	m, ok := s.method(name)
	if !ok {
		return reply{Error: verd.New(verd.NotRun, verd.Unavailable, "unknown call %q", name)}
	}
	in := m.New()
	if err := decode(body, in); err != nil {
		return reply{Error: verd.Wrap(err, verd.NotRun, verd.BadRequest, "call %s", name)}
	}
	out, err := m.Run(ctx, in)
	if err != nil {
		return reply{Error: verd.From(err)}
	}
	b, err := cbor.Marshal(out)
	if err != nil {
		return reply{Error: verd.Wrap(err, verd.MayHaveRun, verd.Internal, "encode the answer of %s", name)}
	}
	return reply{Body: b}
}

func (s *Server) method(name string) (Method, bool) {
	for _, m := range s.Methods {
		if m.Name == name {
			return m, true
		}
	}
	return Method{}, false
}
