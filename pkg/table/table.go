// Package table defines the two tables that operators configure: routes, which map traffic to
// pools, and pools, which describe the targets that serve it.
package table

import (
	"fmt"
	"strings"
	"time"
)

// Limits of the tables. Every instance keeps all rows in memory.
const (
	MaxRoutes    = 10_000
	MaxPools     = 10_000
	MaxTimeLimit = 24 * time.Hour
	maxNameBytes = 63
)

// Tables are the routes and pools of one revision.
type Tables struct {
	Routes []Route `json:"routes"`
	Pools  []Pool  `json:"pools"`
}

// Kind is the kind of the targets in a pool.
type Kind string

const (
	// Engine is the kind of targets that run a model.
	Engine Kind = "engine"
	// Service is the kind of targets that answer plain HTTP calls.
	Service Kind = "service"
)

// Class is the priority class of traffic. Under overload the lowest class is shed first.
type Class string

// The classes, from the highest, which is shed last, to the lowest.
const (
	Interactive Class = "interactive"
	Standard    Class = "standard"
	Batch       Class = "batch"
)

// Rank returns the priority rank of the class; 0 is the highest and is shed last. The empty
// class ranks as Standard.
func (c Class) Rank() int {
	switch c {
	case Interactive:
		return 0
	case Batch:
		return 2
	default:
		return 1
	}
}

// Route sends matching traffic to a pool.
type Route struct {
	Name  string `json:"name"`
	Match Match  `json:"match"`
	Pool  string `json:"pool"`
	// Limit is the time limit of a request; callers may set a shorter one.
	Limit Duration `json:"limit"`
	Class Class    `json:"class,omitempty"`
	// Once is set if a call must run at most once.
	Once bool `json:"once,omitempty"`
}

// Match describes traffic. As a pattern, empty fields match everything.
type Match struct {
	// Path is a URL path. A pattern that ends in / matches all paths below it.
	Path string `json:"path,omitempty"`
	// Model is the model named in the request body.
	Model string `json:"model,omitempty"`
	// Organisation is the caller's organisation.
	Organisation string `json:"organisation,omitempty"`
}

// Pool is a set of interchangeable targets.
type Pool struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Model is the model that the engines of the pool serve.
	Model string `json:"model,omitempty"`
	// Fencing is set if the engines reject orders with an outdated fencing token.
	Fencing bool `json:"fencing,omitempty"`
	// Blocking is the weight of head-of-line blocking of short prompts relative to their
	// time to first token, from 0 to 1.
	Blocking float64 `json:"blocking,omitempty"`
	// Limits are the limits of organisations. "*" applies to each organisation not listed.
	Limits []Limit `json:"limits,omitempty"`
}

// Limit limits the traffic of one organisation to one pool. A zero field means no limit.
type Limit struct {
	Organisation string `json:"organisation"`
	// Requests is the rate of requests, per second.
	Requests float64 `json:"requests,omitempty"`
	// Tokens is the rate of prompt and completion tokens, per second.
	Tokens float64 `json:"tokens,omitempty"`
	// Concurrent is the number of requests in flight.
	Concurrent int `json:"concurrent,omitempty"`
}

// Pool returns the pool with the given name.
func (t *Tables) Pool(name string) (*Pool, bool) {
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			return &t.Pools[i], true
		}
	}
	return nil, false
}

// Route returns the first route that matches the traffic.
func (t *Tables) Route(m Match) (*Route, bool) {
	for i := range t.Routes {
		if t.Routes[i].Match.matches(m) {
			return &t.Routes[i], true
		}
	}
	return nil, false
}

// matches reports whether pattern p matches the traffic m.
func (p Match) matches(m Match) bool {
	if p.Path != "" && p.Path != m.Path {
		if !strings.HasSuffix(p.Path, "/") || !strings.HasPrefix(m.Path, p.Path) {
			return false
		}
	}
	if p.Model != "" && p.Model != m.Model {
		return false
	}
	return p.Organisation == "" || p.Organisation == m.Organisation
}

// LimitFor returns the limit of an organisation: its own, else that of "*", else no limit.
func (p *Pool) LimitFor(org string) Limit {
	var fallback Limit
	for _, l := range p.Limits {
		if l.Organisation == org {
			return l
		}
		if l.Organisation == "*" {
			fallback = l
		}
	}
	return fallback
}

// Duration is a time.Duration that is encoded in JSON as a string such as "1m30s".
type Duration time.Duration

// MarshalText encodes the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes the format of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 30s or 5m", b)
	}
	*d = Duration(v)
	return nil
}
