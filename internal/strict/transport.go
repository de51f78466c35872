package strict

import (
	"context"
	"net"
	"net/http"
)

// DialFunc is the type of http.Transport.DialContext.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Transport is a transport over connections that are Conns.
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
