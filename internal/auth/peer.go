package auth

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
)

// handshakeTimeout bounds the TLS handshake of an accepted connection.
const handshakeTimeout = 5 * time.Second

// Network opens listeners and connections.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// Files are the paths of an instance's certificate, private key and certificate
// authority, all in PEM.
type Files struct {
	Cert, Key, CA string
}

// PeerNetwork is a network between the instances of a site, secured by mutual TLS. The
// certificate of an instance must name the IP address that it listens on.
type PeerNetwork struct {
	Network Network

	watched Watched[identity]
}

// identity is an instance's own certificate and the authorities that must have signed its
// peers' certificates.
type identity struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// OpenPeers loads the certificate files.
func OpenPeers(f Files, n Network, l *log.Logger) (*PeerNetwork, error) {
	p := &PeerNetwork{Network: n, watched: Watched[identity]{
		Paths: []string{f.Cert, f.Key, f.CA},
		Load:  func() (*identity, error) { return loadIdentity(f) },
		Log:   l,
	}}
	return p, p.watched.Open()
}

func loadIdentity(f Files) (*identity, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, errors.Wrapf(err, "load certificate %s and key %s of this instance", f.Cert, f.Key)
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s: contains no PEM certificate", f.CA)
	}
	return &identity{cert, roots}, nil
}

// Run reloads the files when they change, until ctx ends.
func (p *PeerNetwork) Run(ctx context.Context) error { return p.watched.Run(ctx) }

// Listen opens a listener that requires a client certificate signed by the authority.
func (p *PeerNetwork) Listen(addr string) (net.Listener, error) {
	ln, err := p.Network.Listen(addr)
	if err != nil {
		return nil, err
	}
	return handshakeListener{tls.NewListener(ln, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			id := p.watched.Get()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{id.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    id.roots,
			}, nil
		},
	})}, nil
}

// handshakeListener is a listener whose connections must complete the TLS handshake
// within handshakeTimeout.
type handshakeListener struct{ net.Listener }

func (l handshakeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &handshakeConn{tlsConn: tlsConn{conn.(*tls.Conn)}}, nil
}

// tlsConn ignores errors of Close: the peer may have closed the connection first, so that
// the TLS close notification cannot be delivered.
type tlsConn struct{ *tls.Conn }

// Close closes the connection. It always returns nil.
func (c tlsConn) Close() error {
	_ = c.Conn.Close() // Closes the underlying connection even if it returns an error.
	return nil
}

// handshakeConn is a server connection that performs the handshake on the first read.
type handshakeConn struct {
	tlsConn
	once sync.Once
	err  error
}

// Read completes the handshake if needed and then reads from the peer.
func (c *handshakeConn) Read(b []byte) (int, error) {
	c.once.Do(func() {
		ctx, stop := context.WithTimeout(context.Background(), handshakeTimeout)
		defer stop()
		c.err = c.HandshakeContext(ctx)
	})
	if c.err != nil {
		return 0, c.err
	}
	return c.Conn.Read(b)
}

// Dial opens a connection to the instance that listens on addr. It fails if the
// certificate of the instance does not name the IP address of addr.
func (p *PeerNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "split address to dial")
	}
	conn, err := p.Network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	id := p.watched.Get()
	c := tls.Client(conn, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   host,
		Certificates: []tls.Certificate{id.cert},
		RootCAs:      id.roots,
	})
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "TLS handshake with %s", addr), conn.Close())
	}
	return tlsConn{c}, nil
}
