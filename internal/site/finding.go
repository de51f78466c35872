package site

import (
	"errors"
	"fmt"
	"strings"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// checker collects the findings of tables.
type checker struct {
	tables   *Tables
	findings []table.Finding
	// reached are the pools to which a route that can match sends requests.
	reached map[string]bool
}

// Findings returns what is wrong with the tables: as errors all that Check finds in single routes and
// pools, and names that occur twice, and as warnings what has no effect or contradicts itself.
func (t *Tables) Findings() []table.Finding {
	c := &checker{tables: t, reached: make(map[string]bool)}
	pools := make(map[string]bool)
	for i := range t.Pools {
		c.fail(t.Pools[i].Engine.check(fmt.Sprintf("pools[%d]", i)))
		pools[t.Pools[i].Name] = true
	}
	for i := range t.Routes {
		c.fail(t.Routes[i].check(fmt.Sprintf("routes[%d]", i), pools))
		c.checkRoute(i)
	}
	c.fail(t.checkKeys())
	c.checkNames()
	if !c.hasErrors() {
		// What concerns several rows, or was added to Check alone.
		c.fail(t.Check())
	}
	c.checkPools()
	c.checkOrganisations()
	return c.findings
}

// fail adds an error, unless it is nil.
func (c *checker) fail(err error) {
	if err == nil {
		return
	}
	fe := &table.FieldError{Field: "file", Message: err.Error()}
	errors.As(err, &fe)
	c.findings = append(c.findings, table.Finding{Severity: table.Error, FieldError: *fe})
}

func (c *checker) warn(field, format string, args ...any) {
	c.findings = append(c.findings, table.Finding{Severity: table.Warning, FieldError: table.FieldError{Field: field, Message: fmt.Sprintf(format, args...)}})
}

func (c *checker) hasErrors() bool {
	for _, f := range c.findings {
		if f.Severity == table.Error {
			return true
		}
	}
	return false
}

// checkRoute checks what a route says beyond the form of its fields.
func (c *checker) checkRoute(i int) {
	r := &c.tables.Routes[i]
	field := fmt.Sprintf("routes[%d]", i)
	reason := c.neverMatches(i)
	if reason != "" {
		c.warn(field, "route %q never matches: %s", r.Name, reason)
	}
	for _, s := range r.Split {
		if s.Weight == 0 {
			c.warn(field+".split", "pool %q of route %q has weight 0 and gets no requests", s.Pool, r.Name)
		} else if reason == "" {
			c.reached[s.Pool] = true
		}
	}
	if r.Limit > 0 && r.Aim > r.Limit {
		c.warn(field, "target latency %s of route %q is beyond its time limit %s", r.Aim, r.Name, r.Limit)
	}
	if r.Limit > 0 && r.Pause > r.Limit {
		c.warn(field, "target pause %s of route %q is beyond its time limit %s", r.Pause, r.Name, r.Limit)
	}
	if r.Attempts < 1 {
		c.warn(field, "%d attempts of route %q count as 1", r.Attempts, r.Name)
	}
}

// neverMatches returns why no request matches a route, or "".
func (c *checker) neverMatches(i int) string {
	r := &c.tables.Routes[i]
	for _, o := range c.tables.Routes[:i] {
		if o.Host == r.Host && o.Prefix == r.Prefix {
			return fmt.Sprintf("the earlier route %q has the same host and prefix", o.Name)
		}
	}
	switch {
	case strings.Contains(r.Host, ":"):
		return "hosts are compared without a port"
	case strings.ContainsAny(r.Prefix, "?# "):
		return "paths are compared without a query, fragment or space"
	}
	return ""
}

// checkNames reports names that occur twice.
func (c *checker) checkNames() {
	routes, pools, organisations := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for i, r := range c.tables.Routes {
		c.checkName(routes, fmt.Sprintf("routes[%d].name", i), "route", r.Name)
	}
	for i, p := range c.tables.Pools {
		c.checkName(pools, fmt.Sprintf("pools[%d].name", i), "pool", p.Name)
	}
	for i, o := range c.tables.Organisations {
		c.checkName(organisations, fmt.Sprintf("organisations[%d].name", i), "organisation", o.Name)
	}
}

func (c *checker) checkName(seen map[string]bool, field, kind, name string) {
	if seen[name] {
		c.fail(&table.FieldError{Field: field, Message: fmt.Sprintf("duplicate %s %q", kind, name)})
	}
	seen[name] = true
}

// checkPools reports pools that get no requests.
func (c *checker) checkPools() {
	for i, p := range c.tables.Pools {
		if !c.reached[p.Name] {
			c.warn(fmt.Sprintf("pools[%d]", i), "no route sends requests to pool %q", p.Name)
		}
	}
}

// checkOrganisations reports organisations that can send nothing.
func (c *checker) checkOrganisations() {
	if !c.tables.Keyed {
		return
	}
	if len(c.tables.Organisations) == 0 {
		c.warn("organisations", "callers need a key, and no organisation has one")
	}
	for i, o := range c.tables.Organisations {
		if len(o.Keys) == 0 {
			c.warn(fmt.Sprintf("organisations[%d].keys", i), "organisation %q has no key", o.Name)
		}
		for _, k := range o.Keys {
			if k == "" {
				c.warn(fmt.Sprintf("organisations[%d].keys", i), "organisation %q has an empty key, which no caller can use", o.Name)
			}
		}
	}
}
