package table

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// unknownKeyError returns the *FieldError for a key of file b that the type of v doesn't have.
// It suggests the most similar key, if there is one.
func unknownKeyError(b []byte, name string, v any) error {
	e := &FieldError{Field: name, Message: "unknown key"}
	if suggestion := closestKey(name, v); suggestion != "" {
		e.Message += "; did you mean " + suggestion + "?"
	}
	root, err := hujson.Parse(b)
	if err != nil {
		return e
	}
	if path, off, ok := findKey(&root, "", name); ok {
		e.Field, e.Line = path, lineAt(b, int64(off))
	}
	return e
}

// findKey returns the path and the byte offset of the first key called name below parent.
func findKey(v *hujson.Value, parent, name string) (path string, offset int, ok bool) {
	switch x := v.Value.(type) {
	case *hujson.Object:
		for i := range x.Members {
			m := &x.Members[i]
			key := strings.TrimPrefix(parent+"."+m.Name.Value.(hujson.Literal).String(), ".")
			if m.Name.Value.(hujson.Literal).String() == name {
				return key, m.Name.StartOffset, true
			}
			if path, offset, ok = findKey(&m.Value, key, name); ok {
				return path, offset, true
			}
		}
	case *hujson.Array:
		for i := range x.Elements {
			if path, offset, ok = findKey(&x.Elements[i], fmt.Sprintf("%s[%d]", parent, i), name); ok {
				return path, offset, true
			}
		}
	}
	return "", 0, false
}

// closestKey returns the key of v's type with the smallest edit distance to name, or "" if
// all differ in more than half the bytes of name.
func closestKey(name string, v any) string {
	best, minDistance := "", len(name)/2+1
	for _, k := range jsonKeys(reflect.TypeOf(v), nil) {
		if d := editDistance(name, k); d < minDistance {
			best, minDistance = k, d
		}
	}
	return best
}

// jsonKeys appends the JSON keys of a type, and of all types nested in it, to out.
func jsonKeys(t reflect.Type, out []string) []string {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		return jsonKeys(t.Elem(), out)
	case reflect.Struct:
	default:
		return out
	}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		out = jsonKeys(f.Type, append(out, name))
	}
	return out
}

// editDistance returns the Levenshtein distance of two strings, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
