package engine

import (
	"context"
	"net/http"
	"time"
)

// Services is the client for service targets, which answer plain HTTP calls.
type Services interface {
	// Call sends r once to the service at addr, on a newly dialled connection. If the
	// connection is not established by connectBy, nothing is sent. Errors carry a verdict
	// and wrap a Failure. The caller must close the response body.
	Call(ctx context.Context, addr string, r *http.Request, connectBy time.Time) (*http.Response, error)
}
