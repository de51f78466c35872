package httpx

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Services is the HTTP client of all services.
type Services struct {
	// Fresh dials a new connection for each call: net/http resends some requests by
	// itself when a reused connection breaks, and the service would run them twice.
	Fresh http.RoundTripper
}

var _ engine.Services = (*Services)(nil)

// Call sends r to the service at addr and returns the response; closing its body ends the
// call. useBy is the time by which a connection must be established; zero means no such
// limit. A response with the verdict NotRun is returned as an error.
func (s *Services) Call(ctx context.Context, addr string, r *http.Request, useBy time.Time) (*http.Response, error) {
	out := r.Clone(ctx)
	out.URL.Scheme, out.URL.Host, out.RequestURI = "http", addr, ""
	x := newExchange(ctx, useBy)
	// A service sends no heartbeats and may take as long as its caller waits.
	x.connectOnly = true
	resp, err := x.send(s.Fresh, out)
	if err != nil {
		x.close()
		return nil, err
	}
	if resp.Header.Get(verd.Header) == verd.NotRun.String() {
		defer x.close()
		defer resp.Body.Close()
		return nil, responseError(resp)
	}
	resp.Body = &exchangeBody{ReadCloser: resp.Body, exchange: x}
	return resp, nil
}

// exchangeBody is a response body that closes its exchange when it is closed.
type exchangeBody struct {
	io.ReadCloser
	exchange *exchange
}

// Close closes the body and the exchange.
func (e *exchangeBody) Close() error {
	e.exchange.close()
	return e.ReadCloser.Close()
}
