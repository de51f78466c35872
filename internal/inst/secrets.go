package inst

import (
	"context"
	"net/http"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/bambooproxy/bambooproxy/internal/auth"
	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/internal/entry"
)

// secrets holds the tokens, credentials and certificates that the settings of one
// instance name.
type secrets struct {
	// callers, operators and targets are the accepted tokens; nil means that none is
	// required.
	callers, operators, targets *auth.Keys
	// targetCredentials are sent to targets; nil means that no target requires one.
	targetCredentials *auth.Orders
	// peerNetwork connects instances, with mutual TLS if the settings name a certificate.
	peerNetwork Network

	// watchers reload the files when they change, until their context ends.
	watchers []func(context.Context) error
}

// load reads the files that the settings name. n is the network below TLS.
func (s *secrets) load(settings conf.Settings, n Network, l *log.Logger) error {
	for _, f := range []struct {
		path string
		keys **auth.Keys
	}{
		{settings.CallerTokens, &s.callers},
		{settings.OperatorTokens, &s.operators},
		{settings.TargetTokens, &s.targets},
	} {
		if f.path == "" {
			continue
		}
		keys, err := auth.OpenKeys(f.path, l)
		if err != nil {
			return err
		}
		*f.keys = keys
		s.watchers = append(s.watchers, keys.Run)
	}
	if err := s.loadTargetCredentials(settings, l); err != nil {
		return err
	}
	return s.loadPeerTLS(settings, n, l)
}

// loadPeerTLS sets the peer network, and wraps it in mutual TLS if a certificate is set.
func (s *secrets) loadPeerTLS(settings conf.Settings, n Network, l *log.Logger) error {
	s.peerNetwork = n
	if settings.TLSCert == "" {
		return nil
	}
	peers, err := auth.OpenPeers(auth.Files{Cert: settings.TLSCert, Key: settings.TLSKey, CA: settings.TLSCA}, n, l)
	if err != nil {
		return err
	}
	s.peerNetwork = peers
	s.watchers = append(s.watchers, peers.Run)
	return nil
}

// loadTargetCredentials reads the credentials that this instance presents to targets.
func (s *secrets) loadTargetCredentials(settings conf.Settings, l *log.Logger) error {
	if settings.TargetCredentials == "" {
		return nil
	}
	credentials, err := auth.OpenOrders(settings.TargetCredentials, l)
	if err != nil {
		return err
	}
	s.targetCredentials = credentials
	s.watchers = append(s.watchers, credentials.Run)
	return nil
}

// withCredentials returns a transport that adds the credential of the target to each
// request that base sends.
func (s *secrets) withCredentials(base http.RoundTripper) http.RoundTripper {
	if s.targetCredentials == nil {
		return base
	}
	return s.targetCredentials.Around(base)
}

// requireTokens makes an entry check the tokens of callers and targets, where any are
// set.
func (s *secrets) requireTokens(e *entry.Server) {
	if s.callers != nil {
		e.CallerAuth = s.callers
	}
	if s.targets != nil {
		e.TargetAuth = s.targets
	}
}

// watch starts the watchers; they run until ctx ends.
func (s *secrets) watch(ctx context.Context, eg *errgroup.Group) {
	for _, run := range s.watchers {
		eg.Go(func() error { return run(ctx) })
	}
}
