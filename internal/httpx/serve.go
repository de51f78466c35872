package httpx

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Server is an HTTP server, such as Graceful.
type Server interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
	Close() error
}

// closeInterval is how often a server that shuts down looks for connections without a request.
const closeInterval = 5 * time.Millisecond

// Graceful is an HTTP server that answers what it reads: Shutdown of http.Server closes connections without a response on
// which a request comes meanwhile.
type Graceful struct {
	*http.Server
	// CloseIdle closes connections on which no request has begun to come, and returns the number of the others. Nil closes
	// those that http.Server counts as idle.
	CloseIdle func() (left int)

	open atomic.Int64

	mu sync.Mutex
	// listener is the one that is served; nil before Serve. isClosing is set once Shutdown was called.
	listener  net.Listener
	isClosing bool
}

// Serve serves the connections of a listener until Shutdown or Close, and returns http.ErrServerClosed then.
func (s *Graceful) Serve(ln net.Listener) error {
	former := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			s.open.Add(1)
		case http.StateClosed, http.StateHijacked:
			s.open.Add(-1)
		case http.StateActive, http.StateIdle:
		}
		if former != nil {
			former(c, state)
		}
	}
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

// Shutdown accepts no more connections, closes idle ones, and waits until the others have ended with their response. It
// returns the error of ctx if that ends before.
func (s *Graceful) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.isClosing = true
	if s.listener != nil {
		// This fails only on a closed listener.
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for s.closeIdle() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (s *Graceful) closeIdle() (left int) {
	if s.CloseIdle != nil {
		return s.CloseIdle()
	}
	s.SetKeepAlivesEnabled(false)
	return int(s.open.Load())
}

// Serve runs srv on ln in g until ctx ends. Requests in flight then have the time that grace returns to complete; after that
// their connections are closed.
func Serve(ctx context.Context, g *errgroup.Group, srv Server, ln net.Listener, grace func() time.Duration) {
	g.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace())
		defer cancel()
		if srv.Shutdown(shutdownCtx) == nil {
			return nil
		}
		return srv.Close()
	})
}
