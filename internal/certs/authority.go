// Package certs provides a certificate authority for tests.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// validity is the time before and after its creation during which a certificate is valid.
const validity = time.Hour

// Authority signs certificates for the instances of one site.
type Authority struct {
	t    testing.TB
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	der  []byte
}

// New returns a new authority with a self-signed certificate. It fails the test on error.
func New(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{t: t, cert: template("site")}
	a.cert.IsCA, a.cert.BasicConstraintsValid, a.cert.KeyUsage = true, true, x509.KeyUsageCertSign
	a.key, a.der = a.sign(a.cert, nil)
	return a
}

// template returns the fields that the certificates of the authority and of the instances
// have in common.
func template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-validity),
		NotAfter:     now.Add(validity),
	}
}

// sign generates a key and returns it with its certificate in DER, signed by signer. If
// signer is nil, the certificate is self-signed.
func (a *Authority) sign(c *x509.Certificate, signer *ecdsa.PrivateKey) (*ecdsa.PrivateKey, []byte) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	return key, der
}

// Write creates a certificate for the instance with the IP address. It writes the
// certificate, its key and the authority's certificate to dir in PEM and returns their
// paths.
func (a *Authority) Write(dir, ip string) (certPath, keyPath, caPath string) {
	a.t.Helper()
	c := template(ip)
	c.IPAddresses = []net.IP{net.ParseIP(ip)}
	c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	k, der := a.sign(c, a.key)
	keyDER, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	return a.write(dir, "cert.pem", "CERTIFICATE", der),
		a.write(dir, "key.pem", "EC PRIVATE KEY", keyDER),
		a.write(dir, "ca.pem", "CERTIFICATE", a.der)
}

func (a *Authority) write(dir, name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}
