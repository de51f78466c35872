package strict

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// DialFunc is the type of http.Transport.DialContext.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Transport is a transport over connections that are Conns, and with responses that pass Check. Of informational
// responses it checks the names of the fields; net/http checks their status.
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
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
		return checkNames(h)
	}})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
