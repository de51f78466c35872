// Package caller is the client library for callers: it fetches the list of instances that accept
// requests, caches it for its lifetime, and retries only requests that have not run.
package caller

import (
	"net"

	"github.com/cockroachdb/errors"
)

// Entries is the response body of GET /entries.
type Entries struct {
	// Entries are the instances to send requests to, in order of preference.
	Entries []Entry `json:"entries"`
	// Lifetime is how long the list may be cached, in seconds.
	Lifetime int `json:"lifetime_seconds"`
}

// Entry is an instance that accepts requests from callers.
type Entry struct {
	// Addr is the IP and port for callers.
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
}

// Check returns an error for the first invalid field.
func (e *Entries) Check() error {
	if e.Lifetime < 0 {
		return errors.Newf("entries: lifetime_seconds %d is negative", e.Lifetime)
	}
	for _, entry := range e.Entries {
		host, _, err := net.SplitHostPort(entry.Addr)
		if err != nil || net.ParseIP(host) == nil {
			return errors.Newf("entries: addr %q is not an IP and port", entry.Addr)
		}
	}
	return nil
}
