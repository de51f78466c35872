package auth

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// Credential is the bearer token that some targets require with every request.
type Credential struct {
	// Targets is an IP address, an IP address and port, or a prefix such as
	// 10.1.0.0/16.
	Targets string `json:"targets"`
	Token   string `json:"token"`
}

// Credentials is the content of a credentials file.
type Credentials struct {
	Credentials []Credential `json:"credentials"`
}

// DecodeCredentials decodes and checks a credentials file, which is JSON with comments.
// Its errors are of type *table.FieldError and include the line but never a secret.
func DecodeCredentials(b []byte) (*Credentials, error) {
	var c Credentials
	if err := table.DecodeFile(b, &c); err != nil {
		return nil, err
	}
	if err := c.Check(); err != nil {
		return nil, table.AtLine(b, err)
	}
	return &c, nil
}

// Check returns the first invalid field as a *table.FieldError, or nil.
func (c *Credentials) Check() error {
	for i, cred := range c.Credentials {
		field := fmt.Sprintf("credentials[%d]", i)
		if _, ok := parseAddrSet(cred.Targets); !ok {
			return &table.FieldError{Field: field + ".targets", Message: "not an IP, an IP and port, or a prefix"}
		}
		if cred.Token == "" {
			return &table.FieldError{Field: field + ".token", Message: "missing"}
		}
	}
	return nil
}

// addrSet is a set of addresses. Port 0 means all ports.
type addrSet struct {
	prefix netip.Prefix
	port   uint16
}

func parseAddrSet(s string) (addrSet, bool) {
	if p, err := netip.ParsePrefix(s); err == nil {
		return addrSet{prefix: p.Masked()}, true
	}
	if ap, err := netip.ParseAddrPort(s); err == nil {
		a := ap.Addr()
		return addrSet{netip.PrefixFrom(a, a.BitLen()), ap.Port()}, true
	}
	if a, err := netip.ParseAddr(s); err == nil {
		return addrSet{prefix: netip.PrefixFrom(a, a.BitLen())}, true
	}
	return addrSet{}, false
}

func (s addrSet) contains(ap netip.AddrPort) bool {
	return s.prefix.Contains(ap.Addr()) && (s.port == 0 || s.port == ap.Port())
}

// narrowerThan reports whether s is more specific than other: it has a longer prefix or,
// with the same prefix length, a port where other has none.
func (s addrSet) narrowerThan(other addrSet) bool {
	if s.prefix.Bits() != other.prefix.Bits() {
		return s.prefix.Bits() > other.prefix.Bits()
	}
	return s.port != 0 && other.port == 0
}

// Orders adds to each request the credential of the target that it is sent to.
// Credentials are bound to addresses, so a target that announces another address never
// receives them.
type Orders struct {
	watched Watched[[]addrToken]
}

// addrToken is a bearer token and the addresses that it may be sent to.
type addrToken struct {
	addrSet
	token string
}

// OpenOrders loads a credentials file.
func OpenOrders(path string, l *log.Logger) (*Orders, error) {
	o := &Orders{watched: Watched[[]addrToken]{
		Paths: []string{path},
		Load:  func() (*[]addrToken, error) { return loadCredentials(path) },
		Log:   l,
	}}
	return o, o.watched.Open()
}

func loadCredentials(path string) (*[]addrToken, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read credentials file")
	}
	c, err := DecodeCredentials(b)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	var out []addrToken
	for _, cred := range c.Credentials {
		addrs, _ := parseAddrSet(cred.Targets)
		out = append(out, addrToken{addrs, cred.Token})
	}
	return &out, nil
}

// Run reloads the file when it changes, until ctx ends.
func (o *Orders) Run(ctx context.Context) error { return o.watched.Run(ctx) }

// Around returns a transport that adds the most specific matching credential to each
// request before it passes the request to base.
func (o *Orders) Around(base http.RoundTripper) http.RoundTripper {
	return &credentialTransport{o, base}
}

type credentialTransport struct {
	*Orders
	base http.RoundTripper
}

// RoundTrip sends the request, with a credential if one matches the host.
func (o *credentialTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if token, ok := o.token(r.URL.Host); ok {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+token)
	}
	return o.base.RoundTrip(r)
}

// token returns the most specific credential for a host of the form IP:port.
func (o *Orders) token(host string) (string, bool) {
	ap, err := netip.ParseAddrPort(host)
	if err != nil {
		return "", false
	}
	var best *addrToken
	for i := range *o.watched.Get() {
		s := &(*o.watched.Get())[i]
		if s.contains(ap) && (best == nil || s.narrowerThan(best.addrSet)) {
			best = s
		}
	}
	if best == nil {
		return "", false
	}
	return best.token, true
}
