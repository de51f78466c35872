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

// Transport is an http.Transport whose connections are Conns and whose responses, informational ones too, pass Check.
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

// RoundTrip is that of http.Transport, and also returns ErrMalformed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// net/http takes only the statuses 100 and 102 to 199 for informational.
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
