package httpx

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Server is an *http.Server, or one that closes its connections in another way.
type Server interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
	Close() error
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
