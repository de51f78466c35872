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

const (
	// closeInterval is how often a server that shuts down looks for connections without a request.
	closeInterval = 5 * time.Millisecond
	// firstRequestTime is how long a new connection has for its first request when its server shuts down: a lost packet is sent
	// again within that time.
	firstRequestTime = time.Second
)

// Graceful is an HTTP server that answers what it reads: it refuses requests that come during Shutdown with 503, where
// http.Server closes their connections without a response. Serve sets hooks of the server, so it may be called once.
type Graceful struct {
	*http.Server
	// SendsAhead reports whether a further request has come on the connection of a request, so that the response must not
	// close it. Nil means never.
	SendsAhead func(*http.Request) bool
	// OnRefuse is called with each request that is refused. Nil means nothing.
	OnRefuse func(*http.Request)

	isClosing atomic.Bool
	// accepted is closed once no more connections are accepted.
	accepted chan struct{}

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]*connState
}

// connState is the state of a connection since a time.
type connState struct {
	state http.ConnState
	since time.Time
	// isEnding is set once its wait for a request has been ended.
	isEnding bool
}

// Serve serves the connections of a listener until Shutdown or Close, and returns http.ErrServerClosed then.
func (s *Graceful) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.listener, s.conns, s.accepted = ln, make(map[net.Conn]*connState), make(chan struct{})
	s.mu.Unlock()
	former, handler := s.ConnState, s.Handler
	s.ConnState = func(c net.Conn, state http.ConnState) {
		s.noteState(c, state)
		if former != nil {
			former(c, state)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isClosing.Load() {
			s.refuse(w, r)
			return
		}
		handler.ServeHTTP(w, r)
	})
	defer close(s.accepted)
	if s.isClosing.Load() {
		return errors.CombineErrors(http.ErrServerClosed, ln.Close())
	}
	err := s.Server.Serve(ln)
	if s.isClosing.Load() {
		return http.ErrServerClosed
	}
	return err
}

// refuse answers a request that hasn't run and won't.
func (s *Graceful) refuse(w http.ResponseWriter, r *http.Request) {
	if s.OnRefuse != nil {
		s.OnRefuse(r)
	}
	if s.SendsAhead == nil || !s.SendsAhead(r) {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Retry-After", "0")
	http.Error(w, "this instance is shutting down", http.StatusServiceUnavailable)
}

func (s *Graceful) noteState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = &connState{state: state, since: time.Now()}
}

// Shutdown accepts no more connections, and waits until the open ones have ended: those without a request at once, new ones
// after firstRequestTime, and others with their response. It returns the error of ctx if that ends before.
func (s *Graceful) Shutdown(ctx context.Context) error {
	s.isClosing.Store(true)
	s.mu.Lock()
	accepted := s.accepted
	if s.listener != nil {
		// This fails only on a closed listener.
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	if accepted == nil {
		return nil
	}
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for {
		open := s.endIdle(time.Now())
		select {
		case <-accepted:
			if open == 0 {
				return nil
			}
		default:
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// endIdle ends the connections that wait for a request, and returns the number of all. They aren't closed, as a request may
// just have been read: a wait for one ends at the deadline, and a request that was read has deadlines of its own. A
// connection may have a method HasBegun that tells whether a part of a request has come.
func (s *Graceful) endIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, x := range s.conns {
		if b, ok := c.(interface{ HasBegun() bool }); ok && b.HasBegun() {
			continue
		}
		if x.isEnding || x.state == http.StateActive || x.state == http.StateNew && now.Sub(x.since) < firstRequestTime {
			continue
		}
		x.isEnding = true
		// This fails only on a closed connection.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
	return len(s.conns)
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
