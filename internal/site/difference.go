package site

import (
	"fmt"
	"reflect"
	"strings"
)

// fieldKeys is the name of the field whose values are secret.
const fieldKeys = "Keys"

// Differences returns one line for each route, pool and organisation that was added, removed or
// changed from one version of the tables to another, with the fields that changed. It shows no keys.
func Differences(from, to *Tables) []string {
	out := diffRows("route", from.Routes, to.Routes, func(r *Route) string { return r.Name })
	out = append(out, diffRows("pool", from.Pools, to.Pools, func(p *Pool) string { return p.Name })...)
	out = append(out, diffRows("organisation", from.Organisations, to.Organisations, func(o *Organisation) string { return o.Name })...)
	if changes := diffFields("", reflect.ValueOf(from.Bounds), reflect.ValueOf(to.Bounds)); len(changes) > 0 {
		out = append(out, "limits of requests changed: "+strings.Join(changes, ", "))
	}
	if from.Keyed != to.Keyed {
		out = append(out, fmt.Sprintf("need of keys changed: %t -> %t", from.Keyed, to.Keyed))
	}
	return out
}

// diffRows compares rows by their names. Of rows with the same name the first one counts.
func diffRows[T any](kind string, from, to []T, name func(*T) string) []string {
	var out []string
	old, kept := make(map[string]*T), make(map[string]bool)
	for i := range from {
		if n := name(&from[i]); old[n] == nil {
			old[n] = &from[i]
		}
	}
	for i := range to {
		n := name(&to[i])
		if kept[n] {
			continue
		}
		kept[n] = true
		former := old[n]
		if former == nil {
			out = append(out, fmt.Sprintf("%s %s added", kind, n))
			continue
		}
		if changes := diffFields("", reflect.ValueOf(*former), reflect.ValueOf(to[i])); len(changes) > 0 {
			out = append(out, fmt.Sprintf("%s %s changed: %s", kind, n, strings.Join(changes, ", ")))
		}
	}
	for i := range from {
		if n := name(&from[i]); !kept[n] {
			kept[n] = true
			out = append(out, fmt.Sprintf("%s %s removed", kind, n))
		}
	}
	return out
}

// diffFields describes the fields of two structs that differ. Pointers to structs that are both set are
// compared field by field.
func diffFields(prefix string, from, to reflect.Value) []string {
	var out []string
	for i := range from.NumField() {
		name, a, b := from.Type().Field(i).Name, from.Field(i), to.Field(i)
		if reflect.DeepEqual(a.Interface(), b.Interface()) {
			continue
		}
		path := prefix + strings.ToLower(name[:1]) + name[1:]
		switch {
		case name == fieldKeys:
			out = append(out, fmt.Sprintf("%s (%d -> %d)", path, a.Len(), b.Len()))
		case a.Kind() == reflect.Pointer && (a.IsNil() || b.IsNil()):
			out = append(out, fmt.Sprintf("%s %s -> %s", path, presence(a), presence(b)))
		case a.Kind() == reflect.Pointer:
			out = append(out, diffFields(path+".", a.Elem(), b.Elem())...)
		default:
			out = append(out, fmt.Sprintf("%s %v -> %v", path, a.Interface(), b.Interface()))
		}
	}
	return out
}

func presence(p reflect.Value) string {
	if p.IsNil() {
		return "none"
	}
	return "set"
}
