package table

import "fmt"

// Severity tells whether a finding is an error.
type Severity string

const (
	// Error means that the tables are refused, or that a row can't mean what it says.
	Error Severity = "error"
	// Warning means that the tables are accepted, but that a part of them has no effect.
	Warning Severity = "warning"
)

// Finding is a fault of tables.
type Finding struct {
	Severity Severity `json:"severity"`
	FieldError
}

// Findings returns what is wrong with the tables: the first invalid value, or else the routes that
// never match and the pools that no route leads to.
func (t *Tables) Findings() []Finding {
	if err := t.Check(); err != nil {
		if fe, ok := err.(*FieldError); ok {
			return []Finding{{Error, *fe}}
		}
		return []Finding{{Error, FieldError{Field: "file", Message: err.Error()}}}
	}
	var out []Finding
	warn := func(field, format string, args ...any) {
		out = append(out, Finding{Warning, FieldError{Field: field, Message: fmt.Sprintf(format, args...)}})
	}
	reached := make(map[string]bool)
	for i, r := range t.Routes {
		if earlier, ok := t.Route(r.Match); ok && earlier.Name != r.Name {
			warn(fmt.Sprintf("routes[%d]", i), "route %q never matches: the earlier route %q takes all its requests", r.Name, earlier.Name)
			continue
		}
		reached[r.Pool] = true
	}
	for i, p := range t.Pools {
		if !reached[p.Name] {
			warn(fmt.Sprintf("pools[%d]", i), "no route leads to pool %q", p.Name)
		}
		for k, l := range p.Limits {
			if l.Requests == 0 && l.Tokens == 0 && l.Concurrent == 0 && l.Organisation == "*" {
				warn(fmt.Sprintf("pools[%d].limits[%d]", i, k), "the limit of all other organisations limits nothing")
			}
		}
	}
	return out
}
