package strict

import (
	"context"
	"net"
	"net/http"
)

// DialFunc is the type of http.Transport.DialContext.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Transport is a transport over connections that are Conns, and with responses that pass Check.
type Transport struct{ *http.Transport }

// NewTransport returns t as a Transport. It changes the DialContext of t.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{t}
}

// RoundTrip sends a request once or, as http.Transport does, again. Its errors are those of http.Transport and
// ErrMalformed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
