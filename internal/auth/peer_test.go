package auth

import (
	"context"
	"net"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/certs"
	"github.com/bambooproxy/bambooproxy/internal/memnet"
)

// hostNetwork is a network whose connections are dialled from one address.
type hostNetwork struct {
	*memnet.Network
	addr string
}

func (h hostNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return h.Dialer(h.addr)(ctx, addr)
}

func openPeers(t *testing.T, a *certs.Authority, n *memnet.Network, dir, ip string) *PeerNetwork {
	t.Helper()
	cert, key, ca := a.Write(dir, ip)
	p, err := OpenPeers(Files{cert, key, ca}, hostNetwork{n, ip + ":81"}, discardLogger())
	quicktest.Assert(t, err, quicktest.IsNil)
	return p
}

// dialEcho writes a line to addr and waits for the first byte of the echo.
func dialEcho(t *testing.T, dial func(context.Context, string) (net.Conn, error), addr string) error {
	t.Helper()
	conn, err := dial(t.Context(), addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("GET / HTTP/1.1\n")); err != nil {
		return err
	}
	_, err = conn.Read(make([]byte, 1))
	return err
}

func serveEcho(t *testing.T, ln net.Listener) {
	t.Helper()
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				b := make([]byte, 1)
				if _, err := conn.Read(b); err == nil {
					conn.Write(b)
				}
			}()
		}
	}()
}

// TestPeersRequireCertificate checks that only instances with a certificate of the site's
// authority can connect, that a certificate is valid only at the address that it names,
// that Close succeeds on a broken connection, and that changed files are reloaded.
func TestPeersRequireCertificate(t *testing.T) {
	n := &memnet.Network{}
	site, other := certs.New(t), certs.New(t)
	a := openPeers(t, site, n, t.TempDir(), "10.0.0.1")
	bDir := t.TempDir()
	b := openPeers(t, site, n, bDir, "10.0.0.2")
	outsider := openPeers(t, other, n, t.TempDir(), "10.0.0.2")
	ln, err := a.Listen("10.0.0.1:81")
	quicktest.Assert(t, err, quicktest.IsNil)
	serveEcho(t, ln)

	quicktest.Check(t, dialEcho(t, b.Dial, "10.0.0.1:81"), quicktest.IsNil)
	conn, err := b.Dial(t.Context(), "10.0.0.1:81")
	quicktest.Assert(t, err, quicktest.IsNil)
	n.Break("10.0.0.1:81", "10.0.0.2:81")
	quicktest.Check(t, conn.Close(), quicktest.IsNil)
	quicktest.Check(t, dialEcho(t, outsider.Dial, "10.0.0.1:81"), quicktest.ErrorMatches, ".*certificate.*")
	quicktest.Check(t, dialEcho(t, n.Dialer("10.0.0.9:1"), "10.0.0.1:81"), quicktest.IsNotNil)

	// A certificate is not accepted at an address that it does not name.
	ln, err = b.Listen("10.0.0.3:81")
	quicktest.Assert(t, err, quicktest.IsNil)
	serveEcho(t, ln)
	quicktest.Check(t, dialEcho(t, a.Dial, "10.0.0.3:81"), quicktest.ErrorMatches, ".*10.0.0.3.*")

	// A new certificate and authority are loaded without a restart.
	other.Write(bDir, "10.0.0.2")
	b.watched.lastStates = nil
	b.watched.reload()
	quicktest.Check(t, dialEcho(t, b.Dial, "10.0.0.1:81"), quicktest.ErrorMatches, ".*certificate.*")
}
