package entry

import (
	"net/http"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Authenticator identifies the sender of a request by its token.
type Authenticator interface {
	// Identify returns the name that the token belongs to; ok is false if the token is
	// missing or unknown.
	Identify(r *http.Request) (name string, ok bool)
}

// anyPool is the name of a token that allows a target to join any pool.
const anyPool = "*"

// organisation returns the organisation that makes the request: the name of its token if
// callers must authenticate, otherwise the value of HeaderOrganisation.
func (s *Server) organisation(r *http.Request) (string, error) {
	if s.CallerAuth != nil {
		org, ok := s.CallerAuth.Identify(r)
		if !ok {
			return "", denied("Authorization", "unknown or missing token")
		}
		return org, nil
	}
	org := r.Header.Get(HeaderOrganisation)
	if org == "" {
		return "", denied(HeaderOrganisation, "header "+HeaderOrganisation+" is missing")
	}
	return org, nil
}

// authoriseTarget returns an error if the token of r doesn't allow t to join its pool.
func (s *Server) authoriseTarget(r *http.Request, t *engine.Target) error {
	if s.TargetAuth == nil {
		return nil
	}
	pool, ok := s.TargetAuth.Identify(r)
	if !ok {
		return denied("Authorization", "unknown or missing token")
	}
	if pool != anyPool && pool != t.Pool {
		return denied("pool", "the token is for another pool")
	}
	return nil
}

// replaceIdentity removes the caller's token from the headers for a service and sets the
// organisation instead.
func (s *Server) replaceIdentity(h http.Header, org string) {
	if s.CallerAuth != nil {
		h.Del("Authorization")
	}
	h.Set(HeaderOrganisation, org)
}

// denied returns an error of reason Denied that names the header or field at fault.
func denied(field, msg string) error {
	e := verd.New(verd.NotRun, verd.Denied, "%s", msg)
	e.Field = field
	return e
}
