package httpx

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Serve runs srv on ln in g until ctx ends. Requests in flight then have grace to
// complete; after that their connections are closed.
func Serve(ctx context.Context, g *errgroup.Group, srv *http.Server, ln net.Listener, grace time.Duration) {
	g.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
		defer cancel()
		if srv.Shutdown(shutdownCtx) == nil {
			return nil
		}
		return srv.Close()
	})
}
