package relay

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/strict"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

const (
	// openTimeout bounds the wait for the request for a tunnel, and that for the target.
	openTimeout = 500 * time.Millisecond
	// requestTimeout bounds the wait for the first bytes for the target. Instances open a tunnel for a request
	// that they have.
	requestTimeout = 10 * time.Second
	// maxTunnels bounds the tunnels through one instance: each takes two file descriptors.
	maxTunnels = 500
)

// Gate decides which tunnels an instance serves.
type Gate interface {
	// AcceptsTunnel reports whether there may be a tunnel to a target now.
	AcceptsTunnel(target string) bool
	// KnowsTarget reports whether the address is that of a target, whatever its state.
	KnowsTarget(target string) bool
	// HandleTunnelNotice handles what a target asked for in a response through a tunnel.
	HandleTunnelNotice(target string, n Notice)
}

// Server serves tunnels to targets for other instances.
type Server struct {
	// Direct opens a connection to a target from this instance.
	Direct wire.DialFunc
	// IsSuspect reports whether that is unlikely to succeed.
	IsSuspect func(target string) bool
	Gate      Gate
	Log       *log.Logger

	active atomic.Int64
}

// Method returns the stream method that serves tunnels.
func (s *Server) Method() wire.StreamMethod { return wire.StreamMethod{Name: Method, Run: s.serve} }

// Active returns the number of tunnels.
func (s *Server) Active() int64 { return s.active.Load() }

// serve serves one tunnel until the target or the other instance ends it.
func (s *Server) serve(ctx context.Context, st *wire.Stream) error {
	defer s.active.Add(-1)
	if s.active.Add(1) > maxTunnels {
		return st.Send(&downMessage{Result: unavailable})
	}
	var first upMessage
	err := st.ReceiveWithin(openTimeout, &first)
	if err != nil {
		return err
	}
	target := first.Address
	serves := s.Gate.AcceptsTunnel(target) || first.Probe && s.Gate.KnowsTarget(target)
	if !serves || s.IsSuspect(target) {
		return st.Send(&downMessage{Result: unavailable})
	}
	dialCtx, cancel := context.WithTimeout(ctx, openTimeout)
	direct, err := s.Direct(dialCtx, target)
	cancel()
	if err != nil {
		s.Log.Debug().Str("target", target).Err(err).Msg("tunnel not opened")
		m := downMessage{Result: unavailable}
		if errors.Is(err, syscall.ECONNREFUSED) {
			m.Result = refused
		}
		return st.Send(&m)
	}
	defer direct.Close()
	if err := st.Send(&downMessage{Result: opened}); err != nil || first.Probe {
		return err
	}
	// The other instance must not take a reset for the end of a response.
	conn := strict.NewConn(direct)
	go s.copyUp(st, conn, target)
	return copyDown(st, conn)
}

// copyUp passes on what the other instance sends until it closes the tunnel, or sends nothing for
// requestTimeout at the beginning. Then it closes the connection, which ends copyDown. If a write fails, the connection
// is left to copyDown: the target may have answered before.
func (s *Server) copyUp(st *wire.Stream, conn net.Conn, target string) {
	timer := time.AfterFunc(requestTimeout, func() { conn.Close() })
	defer timer.Stop()
	for {
		var m upMessage
		if st.Receive(&m) != nil {
			conn.Close()
			return
		}
		if len(m.Data) > 0 {
			timer.Stop()
		}
		if m.Notice != nil {
			s.Gate.HandleTunnelNotice(target, *m.Notice)
		}
		if _, err := conn.Write(m.Data); err != nil {
			return
		}
	}
}

// copyDown sends what the target sends until it closes the connection.
func copyDown(st *wire.Stream, conn net.Conn) error {
	buf := make([]byte, chunkBytes)
	for {
		n, err := conn.Read(buf)
		if n > 0 || errors.Is(err, io.EOF) {
			if sendErr := st.Send(&downMessage{Data: buf[:n], End: errors.Is(err, io.EOF)}); sendErr != nil {
				return sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
