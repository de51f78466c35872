// Package engine defines the interfaces and types through which the proxy talks to targets:
// engines and services. Each transport implements them.
package engine

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// Target describes a target, as the target announces it.
type Target struct {
	Name string `json:"name"`
	// Addr is the IP and port that the target listens on.
	Addr       string     `json:"addr"`
	DataCentre string     `json:"data_centre"`
	Pool       string     `json:"pool"`
	Kind       table.Kind `json:"kind"`
	// Incarnation identifies one run of the target; it increases with each restart.
	Incarnation uint64 `json:"incarnation"`
	// Memory is the capacity of the engine's KV cache, in tokens.
	Memory int `json:"memory,omitempty"`
	// Fencing is set if the target rejects orders with an outdated fencing token.
	Fencing bool `json:"fencing,omitempty"`
	// Leaving is set while the target drains: it accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// Check returns the first invalid field of the target as a *table.FieldError.
func (t *Target) Check() error {
	if t.Name == "" {
		return &table.FieldError{Field: "name", Message: "missing"}
	}
	if a, err := netip.ParseAddrPort(t.Addr); err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		return &table.FieldError{Field: "addr", Message: fmt.Sprintf("%q is not an IP and port", t.Addr)}
	}
	if t.DataCentre == "" {
		return &table.FieldError{Field: "data_centre", Message: "missing"}
	}
	if t.Pool == "" {
		return &table.FieldError{Field: "pool", Message: "missing"}
	}
	if strings.ContainsAny(t.Pool+t.DataCentre, "/ ") {
		return &table.FieldError{Field: "pool", Message: fmt.Sprintf("pool %q or data_centre %q contains a slash or a space", t.Pool, t.DataCentre)}
	}
	switch t.Kind {
	case table.Engine:
		if t.Memory <= 0 {
			return &table.FieldError{Field: "memory", Message: "missing or not positive"}
		}
	case table.Service:
	default:
		return &table.FieldError{Field: "kind", Message: fmt.Sprintf("%q is neither engine nor service", t.Kind)}
	}
	return nil
}

// Report is the load of an engine as the engine reports it. It lags behind the actual load.
type Report struct {
	// Used is the KV cache memory in use, in tokens.
	Used int `json:"used"`
	// Waiting is the prefill backlog: prompt tokens accepted but not yet processed.
	Waiting int `json:"waiting"`
	// Running is the number of requests in decode.
	Running int `json:"running"`
	// Event is the number of the latest cache event.
	Event uint64 `json:"event"`
}

// Announcement is the registration that a target sends periodically to any instance.
type Announcement struct {
	Target Target `json:"target"`
	Report Report `json:"report"`
}

// Check returns the first invalid field of the announcement as a *table.FieldError.
func (a *Announcement) Check() error {
	r := a.Report
	if r.Used < 0 || r.Waiting < 0 || r.Running < 0 {
		return &table.FieldError{Field: "report", Message: fmt.Sprintf("has a negative count: used %d, waiting %d, running %d", r.Used, r.Waiting, r.Running)}
	}
	return a.Target.Check()
}
