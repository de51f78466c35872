package httpx

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Serve runs a server on a listener until ctx ends. Calls in progress then have a
// last time to end.
func Serve(ctx context.Context, g *errgroup.Group, srv *http.Server, ln net.Listener, last time.Duration) {
	g.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		final, stop := context.WithTimeout(context.WithoutCancel(ctx), last)
		defer stop()
		if srv.Shutdown(final) == nil {
			return nil
		}
		return srv.Close()
	})
}
