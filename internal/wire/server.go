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

// Method is a call that a server handles.
type Method struct {
	Name string
	// New returns a pointer to decode the input into.
	New func() any
	// Run handles a call and returns its output. in is the pointer that New returned.
	Run func(ctx context.Context, in any) (any, error)
}

// Server handles calls from other instances.
type Server struct {
	// Methods are the calls with one input and one output.
	Methods []Method
	// Streams are the calls that carry messages both ways.
	Streams []StreamMethod
}

// request is the encoded form of a call.
type request struct {
	// Timeout is the time left until the caller's deadline; 0 means no limit.
	Timeout time.Duration   `cbor:"1,keyasint,omitempty"`
	Body    cbor.RawMessage `cbor:"2,keyasint"`
	// Trace is the caller's span as a W3C trace parent.
	Trace string `cbor:"3,keyasint,omitempty"`
}

// reply is the encoded response to a call: either an error or a body.
type reply struct {
	Error *verd.Error     `cbor:"1,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// Serve handles calls on ln until ctx ends; it then waits for the calls in flight.
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
			return errors.Wrap(err, "accept connection from peer")
		}
		wg.Go(func() {
			// A broken connection ends only its own calls.
			_ = srv.ServeOne(ctx, conn)
			conn.Close()
		})
	}
}

// HandleRPC handles one call; it implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	if ok, err := s.serveStream(stream, rpc); ok {
		return err
	}
	var req request
	if err := stream.MsgRecv(&req, codec{}); err != nil {
		return err
	}
	ctx := withTraceParent(stream.Context(), req.Trace)
	if req.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.Timeout)
		defer cancel()
	}
	resp := s.dispatch(ctx, rpc, req.Body)
	if err := stream.MsgSend(&resp, codec{}); err != nil {
		return err
	}
	return stream.CloseSend()
}

// dispatch decodes the input, runs the named method and encodes its output.
func (s *Server) dispatch(ctx context.Context, name string, body []byte) reply {
	m, ok := s.method(name)
	if !ok {
		return reply{Error: verd.New(verd.NotRun, verd.Unavailable, "unknown method %q", name)}
	}
	in := m.New()
	if err := decode(body, in); err != nil {
		return reply{Error: verd.Wrap(err, verd.NotRun, verd.BadRequest, "decode input of %s", name)}
	}
	out, err := m.Run(ctx, in)
	if err != nil {
		return reply{Error: verd.From(err)}
	}
	b, err := cbor.Marshal(out)
	if err != nil {
		return reply{Error: verd.Wrap(err, verd.MayHaveRun, verd.Internal, "encode output of %s", name)}
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
