// Package site holds the tables of a whole site under the operator's own
// version, and the targets that have announced themselves to it.
package site

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// Tables are all that the operator has decided, at one version. The highest
// version is in force.
type Tables struct {
	Version       int64          `cbor:"1,keyasint"`
	Routes        []Route        `cbor:"2,keyasint"`
	Pools         []Pool         `cbor:"3,keyasint"`
	Organisations []Organisation `cbor:"4,keyasint"`
	Bounds        Bounds         `cbor:"5,keyasint"`
	// Keyed says that callers of routes that are not public show a key.
	Keyed bool `cbor:"6,keyasint"`
}

// Kind says what may be repeated of a route's requests.
type Kind uint8

const (
	// Repeatable requests may run more than once.
	Repeatable Kind = iota + 1
	// Once requests run at most once for each attempt of a caller.
	Once
	// Stream requests are answered by a stream of events.
	Stream
)

// Route sends the requests below a path of a host to pools.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	Kind   Kind   `cbor:"4,keyasint"`
	// Limit is the longest time that a request is kept.
	Limit time.Duration `cbor:"5,keyasint"`
	// Aim is the time to the answer, or to its first event, that callers want.
	Aim time.Duration `cbor:"6,keyasint"`
	// Pause is the longest pause between events that callers want.
	Pause time.Duration `cbor:"7,keyasint"`
	// Rank orders routes; 0 is the first.
	Rank  int     `cbor:"8,keyasint"`
	Split []Share `cbor:"9,keyasint"`
	// Attempts bounds the targets that one attempt of a caller is sent to.
	Attempts int `cbor:"10,keyasint"`
	// Public routes need no key.
	Public bool `cbor:"11,keyasint"`
	// Resumable streams go on at another target behind the last event.
	Resumable bool `cbor:"12,keyasint"`
}

// MayRepeat says whether a request may be sent to a second target after the
// first may have run it.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Share is the part of a route's requests that one pool gets.
type Share struct {
	Pool   string `cbor:"1,keyasint"`
	Weight int    `cbor:"2,keyasint"`
}

// Pool is a set of alike targets.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// Connections is how many connections a target takes from all callers.
	Connections int `cbor:"2,keyasint"`
	// Engine is nil for plain services.
	Engine *Engine `cbor:"3,keyasint"`
}

// Engine is what the operator declares of the model engines of a pool.
type Engine struct {
	// Slots is how many answers are written at once.
	Slots int `cbor:"1,keyasint"`
	// Memory is in tokens.
	Memory int `cbor:"2,keyasint"`
	// Step is the time of one token step; each answer that is written adds
	// PerAnswer, and PerContext for 1,000 tokens of its context.
	Step       time.Duration `cbor:"3,keyasint"`
	PerAnswer  time.Duration `cbor:"4,keyasint"`
	PerContext time.Duration `cbor:"5,keyasint"`
	// Rate is the prompt tokens read in a second.
	Rate float64 `cbor:"6,keyasint"`
	// Pairs is the time for a million pairs of a prompt token and one before it.
	Pairs time.Duration `cbor:"7,keyasint"`
	// Chunk is the prompt tokens read in a step at most.
	Chunk int `cbor:"8,keyasint"`
	// Stride is the steps of a pass in which answers are written.
	Stride int `cbor:"9,keyasint"`
	// Hop is added to each step of an answer whose prompt several engines hold.
	Hop time.Duration `cbor:"10,keyasint"`
}

// Organisation is a customer of the fleet.
type Organisation struct {
	Name string   `cbor:"1,keyasint"`
	Keys []string `cbor:"2,keyasint"`
	// Rank goes before the rank of the route.
	Rank int `cbor:"3,keyasint"`
	// Ranked says that Rank was set.
	Ranked bool `cbor:"4,keyasint"`
}

// Bounds limit what callers may send.
type Bounds struct {
	// Header and Body are in bytes; 0 leaves them to the instance.
	Header int   `cbor:"1,keyasint"`
	Body   int64 `cbor:"2,keyasint"`
}

// Check returns the first fault as a *table.FieldError, or nil.
func (t *Tables) Check() error {
	pools := make(map[string]bool, len(t.Pools))
	for i := range t.Pools {
		p := &t.Pools[i]
		at := fmt.Sprintf("pools[%d]", i)
		if p.Name == "" {
			return &table.FieldError{Field: at + ".name", Message: "missing"}
		}
		if pools[p.Name] {
			return &table.FieldError{Field: at + ".name", Message: fmt.Sprintf("pool %q stands twice", p.Name)}
		}
		pools[p.Name] = true
		if err := p.Engine.check(at); err != nil {
			return err
		}
	}
	places := make(map[string]bool, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		at := fmt.Sprintf("routes[%d]", i)
		place := r.Host + r.Prefix
		if places[place] {
			return &table.FieldError{Field: at, Message: fmt.Sprintf("host and prefix %q stand twice", place)}
		}
		places[place] = true
		if err := r.check(at, pools); err != nil {
			return err
		}
	}
	return t.checkKeys()
}

func (r *Route) check(at string, pools map[string]bool) error {
	if r.Host == "" {
		return &table.FieldError{Field: at + ".host", Message: "missing"}
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return &table.FieldError{Field: at + ".prefix", Message: fmt.Sprintf("%q does not begin and end with /", r.Prefix)}
	}
	if r.Kind < Repeatable || r.Kind > Stream {
		return &table.FieldError{Field: at + ".kind", Message: "unknown"}
	}
	if r.Limit <= 0 {
		return &table.FieldError{Field: at + ".limit", Message: "not positive"}
	}
	weight := 0
	for _, s := range r.Split {
		if !pools[s.Pool] {
			return &table.FieldError{Field: at + ".split", Message: fmt.Sprintf("unknown pool %q", s.Pool)}
		}
		if s.Weight < 0 {
			return &table.FieldError{Field: at + ".split", Message: "negative weight"}
		}
		weight += s.Weight
	}
	if weight <= 0 {
		return &table.FieldError{Field: at + ".split", Message: "the weights add up to 0"}
	}
	return nil
}

func (e *Engine) check(at string) error {
	if e == nil {
		return nil
	}
	if e.Slots <= 0 || e.Memory <= 0 || e.Step <= 0 || e.Rate <= 0 || e.Chunk <= 0 || e.Stride <= 0 {
		return &table.FieldError{Field: at + ".engine", Message: "slots, memory, step, rate, chunk and stride must be positive"}
	}
	return nil
}

func (t *Tables) checkKeys() error {
	owner := make(map[string]int)
	for i, o := range t.Organisations {
		at := fmt.Sprintf("organisations[%d]", i)
		if o.Name == "" {
			return &table.FieldError{Field: at + ".name", Message: "missing"}
		}
		for _, k := range o.Keys {
			if other, ok := owner[k]; ok && other != i {
				return &table.FieldError{Field: at + ".keys", Message: "a key belongs to two organisations"}
			}
			owner[k] = i
		}
	}
	return nil
}

// Index finds routes and organisations in tables, which must not change.
type Index struct {
	Tables *Tables

	hosts map[string][]*Route
	pools map[string]*Pool
	keys  map[string]*Organisation
}

// NewIndex prepares the look-ups.
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

// Route returns the route with the longest prefix of the path.
func (x *Index) Route(host, path string) (*Route, bool) {
	for _, r := range x.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Pool returns the pool with the name.
func (x *Index) Pool(name string) (*Pool, bool) {
	p, ok := x.pools[name]
	return p, ok
}

// Organisation returns the holder of a key.
func (x *Index) Organisation(key string) (*Organisation, bool) {
	o, ok := x.keys[key]
	return o, ok
}

// Pick returns the pool of a route for a number drawn evenly from 0 to 1.
func (r *Route) Pick(draw float64) string {
	sum := 0
	for _, s := range r.Split {
		sum += s.Weight
	}
	at := int(draw * float64(sum))
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Pool
		}
		at -= s.Weight
	}
	return r.Split[len(r.Split)-1].Pool
}
