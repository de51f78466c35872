package auth

import (
	"context"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
)

// Keys maps the bearer tokens of one token file to the names of their owners.
type Keys struct {
	watched Watched[namesByHash]
}

// namesByHash maps the hash of a secret to a name. The keys are hashes, so the duration
// of a lookup reveals nothing about a secret.
type namesByHash map[string]string

// OpenKeys loads a token file.
func OpenKeys(path string, l *log.Logger) (*Keys, error) {
	k := &Keys{watched: Watched[namesByHash]{
		Paths: []string{path},
		Load:  func() (*namesByHash, error) { return loadNames(path) },
		Log:   l,
	}}
	return k, k.watched.Open()
}

func loadNames(path string) (*namesByHash, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read token file")
	}
	t, err := DecodeTokens(b)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	names := make(namesByHash, len(t.Tokens))
	for _, token := range t.Tokens {
		names[strings.ToLower(token.SHA256)] = token.Name
	}
	return &names, nil
}

// Run reloads the file when it changes, until ctx ends.
func (k *Keys) Run(ctx context.Context) error { return k.watched.Run(ctx) }

// Identify returns the name that the bearer token of a request belongs to. It returns
// false if the token is missing or unknown.
func (k *Keys) Identify(r *http.Request) (string, bool) {
	secret, ok := bearerToken(r)
	if !ok {
		return "", false
	}
	name, ok := (*k.watched.Get())[Hash(secret)]
	return name, ok
}

// bearerToken returns the token in the Authorization header of a request.
func bearerToken(r *http.Request) (string, bool) {
	scheme, secret, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	secret = strings.TrimSpace(secret)
	return secret, secret != ""
}

// BearerTransport is a transport that sends the same bearer token with every request.
type BearerTransport struct {
	Token string
	Base  http.RoundTripper
}

// RoundTrip sends a copy of the request with the token.
func (b *BearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.Token)
	return b.Base.RoundTrip(r)
}

// ReadSecret reads a secret from a file and trims surrounding white space.
func ReadSecret(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read secret")
	}
	s := strings.TrimSpace(string(b))
	if s == "" || strings.ContainsAny(s, " \t\n") {
		return "", errors.Newf("%s: expected one token without white space", path)
	}
	return s, nil
}
