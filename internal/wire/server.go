package wire

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcserver"

	"github.com/bambooproxy/bambooproxy/internal/timing"
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
	// OnAcceptError is called with the first of several errors in a row that pass, such as a
	// lack of file descriptors; nil ignores them.
	OnAcceptError func(err error)
	// Memory is the memory of the process in bytes, from which the limits of what peers may send follow;
	// 0 means defaultMemory.
	Memory int64
	// OnPressure is called when the server begins to close connections because of its limits, and when
	// it has closed none for a while; nil ignores it.
	OnPressure func(p Pressure)
	// Closed counts the connections that are closed because of the limits; nil counts nothing.
	Closed metrics.Counter
}

// request is the encoded form of a call.
type request struct {
	// Timeout is the time left until the caller's deadline; 0 means callTimeout.
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
	t := s.newTable()
	decoding := newDecodeMemory(t.limits.decodeBytes)
	wg.Go(func() { timing.Every(ctx, checkInterval, t.check) })
	srv := drpcserver.New(s)
	for failures := 0; ; {
		conn, err := ln.Accept()
		switch {
		case err == nil:
			failures = 0
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		case isPassing(err):
			if failures == 0 && s.OnAcceptError != nil {
				s.OnAcceptError(err)
			}
			t.makeRoom()
			timing.Sleep(ctx, min(minAcceptPause<<min(failures, maxAcceptDoublings), maxAcceptPause))
			failures++
			continue
		default:
			return errors.Wrap(err, "accept connection from peer")
		}
		c := newPeerConn(ctx, conn, t, decoding)
		if !t.add(c) {
			c.Close()
			continue
		}
		wg.Go(func() {
			// A broken connection ends only its own calls.
			_ = srv.ServeOne(ctx, c)
			c.Close()
			c.release()
			t.remove(c)
		})
	}
}

// newTable returns a table without connections.
func (s *Server) newTable() *connTable {
	t := &connTable{limits: newLimits(s.Memory, maxDescriptors()), closed: s.Closed, onPressure: s.OnPressure, conns: make(map[*peerConn]connState)}
	if t.closed == nil {
		t.closed = metrics.NilCounter{}
	}
	return t
}

const (
	// minAcceptPause is the pause after a failed accept. It doubles with each failure in a row, at
	// most maxAcceptDoublings times, up to maxAcceptPause.
	minAcceptPause     = 5 * time.Millisecond
	maxAcceptPause     = 500 * time.Millisecond
	maxAcceptDoublings = 7
)

// isPassing reports whether an error of Accept passes: the peer gave up, or the system lacks file
// descriptors or memory, which other connections release when they end.
func isPassing(err error) bool {
	return errors.IsAny(err, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM)
}

// HandleRPC handles one call; it implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	c, err := peerConnOf(stream.Context())
	if err != nil {
		return err
	}
	defer c.release()
	defer c.table.endCall(c)
	if ok, err := s.serveStream(c, stream, rpc); ok {
		return err
	}
	var req request
	err = stream.MsgRecv(&req, serverCodec{conn: c})
	c.table.change(c, func(s *connState) { s.active, s.checks = true, 0 })
	var refused *verd.Error
	if errors.As(err, &refused) {
		return sendReply(c, stream, reply{Error: refused})
	}
	if err != nil {
		return err
	}
	ctx := withTraceParent(stream.Context(), req.Trace)
	if req.Timeout <= 0 {
		req.Timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	return sendReply(c, stream, s.dispatch(ctx, rpc, req.Body))
}

// peerConnOf returns the connection of a call.
func peerConnOf(ctx context.Context) (*peerConn, error) {
	tr, _ := drpcctx.Transport(ctx)
	c, ok := tr.(*peerConn)
	if !ok {
		return nil, errors.New("call without a connection") // Not reachable: Serve adds it.
	}
	return c, nil
}

// sendReply ends a call. A peer that doesn't read loses its connection.
func sendReply(c *peerConn, stream drpc.Stream, r reply) error {
	timer := time.AfterFunc(replyTimeout, func() { c.Close() })
	defer timer.Stop()
	if err := stream.MsgSend(&r, codec{}); err != nil {
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
