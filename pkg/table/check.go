package table

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"
)

// FieldError is an invalid value and its position in the input.
type FieldError struct {
	// Field is the path of the value, such as routes[2].limit.
	Field string `json:"field"`
	// Line is the line number in the file, from 1; 0 if unknown.
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
}

// Error returns the line, if it is known, the field and the message.
func (e *FieldError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Message)
	}
	return fmt.Sprintf("%s: %s", e.Field, e.Message)
}

// CheckPresent returns a *FieldError for the first list that is nil, as decoding leaves one that is absent or null. Tables that
// an operator sends replace all rows, so a list that was forgotten would remove them.
func (t *Tables) CheckPresent() error {
	switch {
	case t.Routes == nil:
		return &FieldError{Field: "routes", Message: "missing"}
	case t.Pools == nil:
		return &FieldError{Field: "pools", Message: "missing"}
	}
	return nil
}

// MarshalJSON encodes tables. Lists that are nil are encoded as empty ones.
func (t Tables) MarshalJSON() ([]byte, error) {
	type fields Tables
	if t.Routes == nil {
		t.Routes = []Route{}
	}
	if t.Pools == nil {
		t.Pools = []Pool{}
	}
	return json.Marshal(fields(t))
}

// Check returns the first invalid value of the tables as a *FieldError, or nil.
func (t *Tables) Check() error {
	if len(t.Routes) > MaxRoutes {
		return &FieldError{Field: "routes", Message: fmt.Sprintf("%d routes; the maximum is %d", len(t.Routes), MaxRoutes)}
	}
	if len(t.Pools) > MaxPools {
		return &FieldError{Field: "pools", Message: fmt.Sprintf("%d pools; the maximum is %d", len(t.Pools), MaxPools)}
	}
	pools := make(map[string]Kind, len(t.Pools))
	for i := range t.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		p := &t.Pools[i]
		if pools[p.Name] != "" {
			return &FieldError{Field: path + ".name", Message: fmt.Sprintf("duplicate pool %q", p.Name)}
		}
		if err := p.check(path); err != nil {
			return err
		}
		pools[p.Name] = p.Kind
	}
	routes := make(map[string]bool, len(t.Routes))
	for i := range t.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		r := &t.Routes[i]
		if routes[r.Name] {
			return &FieldError{Field: path + ".name", Message: fmt.Sprintf("duplicate route %q", r.Name)}
		}
		if err := r.check(path); err != nil {
			return err
		}
		switch kind := pools[r.Pool]; {
		case kind == "":
			return &FieldError{Field: path + ".pool", Message: fmt.Sprintf("unknown pool %q", r.Pool)}
		case r.Once && kind == Engine:
			return &FieldError{Field: path + ".once", Message: fmt.Sprintf("pool %q has engines, whose streams are resumed after a failure; once requires a pool of kind service", r.Pool)}
		}
		routes[r.Name] = true
	}
	return nil
}

func (p *Pool) check(path string) error {
	if err := checkName(path+".name", p.Name); err != nil {
		return err
	}
	if p.Kind != Engine && p.Kind != Service {
		return &FieldError{Field: path + ".kind", Message: fmt.Sprintf("%q is neither engine nor service", p.Kind)}
	}
	if p.Blocking < 0 || p.Blocking > 1 || math.IsNaN(p.Blocking) {
		return &FieldError{Field: path + ".blocking", Message: fmt.Sprintf("%g is not between 0 and 1", p.Blocking)}
	}
	seen := make(map[string]bool, len(p.Limits))
	for i, l := range p.Limits {
		limitPath := fmt.Sprintf("%s.limits[%d]", path, i)
		if l.Organisation == "" {
			return &FieldError{Field: limitPath + ".organisation", Message: "missing"}
		}
		if seen[l.Organisation] {
			return &FieldError{Field: limitPath + ".organisation", Message: fmt.Sprintf("duplicate organisation %q", l.Organisation)}
		}
		seen[l.Organisation] = true
		if !isRate(l.Requests) {
			return &FieldError{Field: limitPath + ".requests", Message: fmt.Sprintf("%g is not a rate; must be finite and not negative", l.Requests)}
		}
		if !isRate(l.Tokens) {
			return &FieldError{Field: limitPath + ".tokens", Message: fmt.Sprintf("%g is not a rate; must be finite and not negative", l.Tokens)}
		}
		if l.Concurrent < 0 {
			return &FieldError{Field: limitPath + ".concurrent", Message: fmt.Sprintf("%d is negative", l.Concurrent)}
		}
	}
	return nil
}

func (r *Route) check(path string) error {
	if err := checkName(path+".name", r.Name); err != nil {
		return err
	}
	if r.Match.Path != "" && !strings.HasPrefix(r.Match.Path, "/") {
		return &FieldError{Field: path + ".match.path", Message: fmt.Sprintf("%q does not start with /", r.Match.Path)}
	}
	limit := time.Duration(r.Limit)
	if limit <= 0 {
		return &FieldError{Field: path + ".limit", Message: "missing or not positive"}
	}
	if limit > MaxTimeLimit {
		return &FieldError{Field: path + ".limit", Message: fmt.Sprintf("%s is longer than the maximum of %s", limit, MaxTimeLimit)}
	}
	switch r.Class {
	case "", Interactive, Standard, Batch:
		return nil
	default:
		return &FieldError{Field: path + ".class", Message: fmt.Sprintf("%q is not interactive, standard or batch", r.Class)}
	}
}

// isRate reports whether v is finite and not negative.
func isRate(v float64) bool {
	return v >= 0 && !math.IsInf(v, 0) && !math.IsNaN(v)
}

// checkName checks the name s of a pool or route.
func checkName(path, s string) error {
	if s == "" {
		return &FieldError{Field: path, Message: "missing"}
	}
	if len(s) > maxNameBytes {
		return &FieldError{Field: path, Message: fmt.Sprintf("%d bytes long; the maximum is %d", len(s), maxNameBytes)}
	}
	for _, c := range s {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.", c) {
			return &FieldError{Field: path, Message: fmt.Sprintf("%q has a character other than letters, digits, - _ and .", s)}
		}
	}
	return nil
}
