// Package site defines the tables that an operator publishes for a whole site, and the
// targets that announce themselves to it.
package site

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// Tables is one version of the operator's configuration. The operator assigns the version,
// and the highest one is in force.
type Tables struct {
	Version       int64          `cbor:"1,keyasint"`
	Routes        []Route        `cbor:"2,keyasint"`
	Pools         []Pool         `cbor:"3,keyasint"`
	Organisations []Organisation `cbor:"4,keyasint"`
	Bounds        Bounds         `cbor:"5,keyasint"`
	// Keyed is set if callers need an API key, except on public routes.
	Keyed bool `cbor:"6,keyasint"`
}

// Kind is the kind of requests on a route. It decides whether they may be retried.
type Kind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent
	// Streaming requests get a stream of events as the response.
	Streaming
)

// Route splits the requests for a host and path prefix among pools.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	Kind   Kind   `cbor:"4,keyasint"`
	// Limit is the longest time that a request may take.
	Limit time.Duration `cbor:"5,keyasint"`
	// Aim is the target for the time to the response, or to its first event.
	Aim time.Duration `cbor:"6,keyasint"`
	// Pause is the target for the longest gap between two events.
	Pause time.Duration `cbor:"7,keyasint"`
	// Rank is the priority of the route's requests; 0 is the highest.
	Rank  int          `cbor:"8,keyasint"`
	Split []PoolWeight `cbor:"9,keyasint"`
	// Attempts is the maximum number of targets to which a request is sent. A retry by the
	// caller counts as a new request.
	Attempts int `cbor:"10,keyasint"`
	// Public routes need no API key.
	Public bool `cbor:"11,keyasint"`
	// Resumable streams can continue on another target after the last event received.
	Resumable bool `cbor:"12,keyasint"`
	// Regions are the regions to which requests are bound; empty means all regions.
	Regions []string `cbor:"13,keyasint,omitempty"`
}

// MayRetry reports whether a request that may have run on one target may be sent to
// another one.
func (r *Route) MayRetry() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PoolWeight is the weight with which one pool gets requests of a route.
type PoolWeight struct {
	Pool   string `cbor:"1,keyasint"`
	Weight int    `cbor:"2,keyasint"`
}

// Pool is a set of interchangeable targets.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// Connections is the maximum number of connections that a target accepts from all
	// callers together.
	Connections int `cbor:"2,keyasint"`
	// Engine is nil for a pool of plain HTTP services.
	Engine *Engine `cbor:"3,keyasint"`
	// ColdRate is how many requests a second a cold target tolerates from all instances together;
	// 0 means no limit. ColdTime is how long a target is cold after its start.
	ColdRate float64       `cbor:"4,keyasint,omitempty"`
	ColdTime time.Duration `cbor:"5,keyasint,omitempty"`
}

// Engine is the performance model that the operator declares for the engines of a pool.
type Engine struct {
	// Slots is the maximum number of sequences that decode at once.
	Slots int `cbor:"1,keyasint"`
	// Memory is the capacity of the KV cache, in tokens.
	Memory int `cbor:"2,keyasint"`
	// Step is the base time of one step. Each sequence in decode adds PerAnswer to it,
	// and PerContext per 1,000 tokens of its context.
	Step       time.Duration `cbor:"3,keyasint"`
	PerAnswer  time.Duration `cbor:"4,keyasint"`
	PerContext time.Duration `cbor:"5,keyasint"`
	// Rate is the prefill rate in prompt tokens per second, excluding attention cost; see
	// Pairs.
	Rate float64 `cbor:"6,keyasint"`
	// Pairs is the attention time of a prefill for a million pairs of a prompt token and
	// an earlier one.
	Pairs time.Duration `cbor:"7,keyasint"`
	// Chunk is the maximum number of prompt tokens prefilled in one step.
	Chunk int `cbor:"8,keyasint"`
	// Stride is the number of steps in a pass while sequences are in decode.
	Stride int `cbor:"9,keyasint"`
	// Hop is the time added to each decode step of a sequence whose KV cache is spread
	// over several engines.
	Hop time.Duration `cbor:"10,keyasint"`
}

const (
	// MinStep is the shortest time of a step that an operator may declare. Predictions go through all
	// passes of an engine.
	MinStep = 10 * time.Microsecond
	// maxPass is the longest time of a pass without prefill, so that predictions don't overflow.
	maxPass = time.Minute
	// maxEngineCount bounds the counts and the rate of an engine, and maxEngineTime the other times.
	// minRate is the lowest prefill rate in tokens per second.
	maxEngineCount = 1_000_000_000
	maxEngineTime  = time.Second
	minRate        = 1
)

// Organisation is a customer of the fleet.
type Organisation struct {
	Name string   `cbor:"1,keyasint"`
	Keys []string `cbor:"2,keyasint"`
	// Rank overrides the rank of the route.
	Rank int `cbor:"3,keyasint"`
	// Ranked is set if the organisation has a rank.
	Ranked bool `cbor:"4,keyasint"`
	// Regions are the regions to which requests are bound, besides the limits of the route; empty
	// means all regions.
	Regions []string `cbor:"5,keyasint,omitempty"`
}

// Bounds limits the size of requests.
type Bounds struct {
	// Header and Body are the limits in bytes; 0 means the instance's default. Header has no
	// effect above the instance's own limit of 64 KiB.
	Header int   `cbor:"1,keyasint"`
	Body   int64 `cbor:"2,keyasint"`
}

// Check validates the tables. It returns the first invalid field as a *table.FieldError.
func (t *Tables) Check() error {
	pools := make(map[string]bool, len(t.Pools))
	for i := range t.Pools {
		p := &t.Pools[i]
		field := fmt.Sprintf("pools[%d]", i)
		if p.Name == "" {
			return &table.FieldError{Field: field + ".name", Message: "missing"}
		}
		if pools[p.Name] {
			return &table.FieldError{Field: field + ".name", Message: fmt.Sprintf("duplicate pool %q", p.Name)}
		}
		pools[p.Name] = true
		if p.ColdRate < 0 || p.ColdTime < 0 {
			return &table.FieldError{Field: field, Message: "the rate and the time of cold targets must not be negative"}
		}
		if err := p.Engine.check(field); err != nil {
			return err
		}
	}
	hostPrefixes := make(map[string]bool, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		hostPrefix := r.Host + r.Prefix
		if hostPrefixes[hostPrefix] {
			return &table.FieldError{Field: field, Message: fmt.Sprintf("duplicate host and prefix %q", hostPrefix)}
		}
		hostPrefixes[hostPrefix] = true
		if err := r.check(field, pools); err != nil {
			return err
		}
	}
	return t.checkKeys()
}

// maxWeight bounds the weights of a route, so that their sum can't overflow.
const maxWeight = 1_000_000_000

func (r *Route) check(field string, pools map[string]bool) error {
	if r.Host == "" {
		return &table.FieldError{Field: field + ".host", Message: "missing"}
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return &table.FieldError{Field: field + ".prefix", Message: fmt.Sprintf("%q does not begin and end with /", r.Prefix)}
	}
	if r.Kind < Idempotent || r.Kind > Streaming {
		return &table.FieldError{Field: field + ".kind", Message: fmt.Sprintf("unknown kind %d", r.Kind)}
	}
	if r.Limit <= 0 {
		return &table.FieldError{Field: field + ".limit", Message: fmt.Sprintf("%s is not positive", r.Limit)}
	}
	if min(r.Aim, r.Pause) < 0 {
		return &table.FieldError{Field: field, Message: "a time is negative"}
	}
	if slices.Contains(r.Regions, "") {
		return &table.FieldError{Field: field + ".regions", Message: "empty name of a region"}
	}
	total := 0
	for _, s := range r.Split {
		if !pools[s.Pool] {
			return &table.FieldError{Field: field + ".split", Message: fmt.Sprintf("unknown pool %q", s.Pool)}
		}
		if s.Weight < 0 {
			return &table.FieldError{Field: field + ".split", Message: fmt.Sprintf("negative weight %d of pool %q", s.Weight, s.Pool)}
		}
		if s.Weight > maxWeight {
			return &table.FieldError{Field: field + ".split", Message: fmt.Sprintf("weight %d of pool %q is over %d", s.Weight, s.Pool, maxWeight)}
		}
		total += s.Weight
	}
	if total <= 0 {
		return &table.FieldError{Field: field + ".split", Message: "the sum of the weights is 0"}
	}
	return nil
}

func (e *Engine) check(field string) error {
	if e == nil {
		return nil
	}
	if e.Slots <= 0 || e.Memory <= 0 || e.Step <= 0 || e.Rate <= 0 || e.Chunk <= 0 || e.Stride <= 0 {
		return &table.FieldError{Field: field + ".engine", Message: "slots, memory, step, rate, chunk and stride must be positive"}
	}
	if min(e.PerAnswer, e.PerContext, e.Pairs, e.Hop) < 0 {
		return &table.FieldError{Field: field + ".engine", Message: "a time is negative"}
	}
	if max(e.Slots, e.Memory, e.Chunk, e.Stride) > maxEngineCount || max(e.Pairs, e.Hop) > maxEngineTime || e.Rate < minRate || e.Rate > maxEngineCount {
		return &table.FieldError{Field: field + ".engine", Message: "a number is out of range"}
	}
	// Floats, as integers would overflow.
	full := float64(e.Step) + float64(e.PerAnswer)*float64(e.Slots) + float64(e.PerContext)*float64(e.Memory)/1000
	if e.Step < MinStep || full*float64(e.Stride) > float64(maxPass) {
		return &table.FieldError{Field: field + ".engine", Message: fmt.Sprintf("a step takes less than %s, or a pass of a full engine more than %s", MinStep, maxPass)}
	}
	return nil
}

func (t *Tables) checkKeys() error {
	owner := make(map[string]int)
	for i, o := range t.Organisations {
		field := fmt.Sprintf("organisations[%d]", i)
		if o.Name == "" {
			return &table.FieldError{Field: field + ".name", Message: "missing"}
		}
		if slices.Contains(o.Regions, "") {
			return &table.FieldError{Field: field + ".regions", Message: "empty name of a region"}
		}
		for _, k := range o.Keys {
			if other, ok := owner[k]; ok && other != i {
				return &table.FieldError{Field: field + ".keys", Message: fmt.Sprintf("a key also belongs to organisation %q", t.Organisations[other].Name)}
			}
			owner[k] = i
		}
	}
	return nil
}

// Index looks up routes, pools and organisations in tables, which must not change.
type Index struct {
	Tables *Tables

	hosts map[string][]*Route
	pools map[string]*Pool
	keys  map[string]*Organisation
}

// NewIndex returns an index of valid tables.
func NewIndex(t *Tables) *Index {
	x := &Index{
		Tables: t, hosts: make(map[string][]*Route), pools: make(map[string]*Pool, len(t.Pools)),
		keys: make(map[string]*Organisation),
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		x.hosts[r.Host] = append(x.hosts[r.Host], r)
	}
	for _, list := range x.hosts {
		slices.SortFunc(list, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
		})
	}
	for i := range t.Pools {
		x.pools[t.Pools[i].Name] = &t.Pools[i]
	}
	for i := range t.Organisations {
		for _, k := range t.Organisations[i].Keys {
			x.keys[k] = &t.Organisations[i]
		}
	}
	return x
}

// Route returns the route of the host with the longest prefix that matches the path.
func (x *Index) Route(host, path string) (*Route, bool) {
	for _, r := range x.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Pool returns the pool with the given name.
func (x *Index) Pool(name string) (*Pool, bool) {
	p, ok := x.pools[name]
	return p, ok
}

// Organisation returns the organisation that owns an API key.
func (x *Index) Organisation(key string) (*Organisation, bool) {
	o, ok := x.keys[key]
	return o, ok
}

// PickPool returns a pool of the split by weight. draw is a uniform random number in [0, 1).
func (r *Route) PickPool(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := int(draw * float64(total))
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Pool
		}
		remaining -= s.Weight
	}
	return r.Split[len(r.Split)-1].Pool
}
