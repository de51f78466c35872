package guard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// closeInterval is how often a server that shuts down looks for connections without a request.
const closeInterval = 5 * time.Millisecond

// Server is an HTTP server behind a Port. Unlike its own Shutdown, that of http.Server closes connections on which a request
// has just come, and waits for those that never send one.
type Server struct {
	*http.Server
	Port *Port

	mu sync.Mutex
	// listener is the one that is served; nil before Serve. isClosing is set once Shutdown was called.
	listener  net.Listener
	isClosing bool
}

// Serve serves the connections of a listener until Shutdown or Close, and returns http.ErrServerClosed then.
func (s *Server) Serve(ln net.Listener) error {
	ln = s.Port.Protect(s.Server, ln)
	s.mu.Lock()
	s.listener = ln
	closing := s.isClosing
	s.mu.Unlock()
	if closing {
		return errors.CombineErrors(http.ErrServerClosed, ln.Close())
	}
	err := s.Server.Serve(ln)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosing {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown accepts no more connections and closes those without a request, which have freshTime to send one. It returns once
// all requests are answered, or the error of ctx when that ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.isClosing = true
	if s.listener != nil {
		// This fails only on a closed listener.
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for s.Port.closeIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
