package table

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
)

// TestNestedFile guards against processes that end when their settings file changes to one of values that are
// nested so deeply that the parser exceeds the stack.
func TestNestedFile(t *testing.T) {
	const depth = 2_000_000
	for name, file := range map[string]string{
		"arrays":            strings.Repeat("[", depth),
		"objects":           strings.Repeat(`{"a":`, depth),
		"known field":       `{"routes":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + "}",
		"behind a string":   `{"a":"` + strings.Repeat("]", depth) + `\"","b":` + strings.Repeat("[", depth),
		"behind a comment":  "//" + strings.Repeat("]", depth) + "\n" + strings.Repeat("[", depth),
		"behind a comment ": "/*" + strings.Repeat("]", depth) + "*/" + strings.Repeat("[", depth),
	} {
		var field *FieldError
		quicktest.Check(t, errors.As(DecodeFile([]byte(file), &struct{}{}), &field), quicktest.IsTrue, quicktest.Commentf("%s", name))
	}
	for name, file := range map[string]string{
		"string":             `{"a":"` + strings.Repeat("[", 2*maxNesting) + `"}`,
		"comment":            "// " + strings.Repeat("[", 2*maxNesting) + "\n" + `{"a":""}`,
		"comment in a block": "/* " + strings.Repeat("{", 2*maxNesting) + `*/ {"a":"\"/*"}`,
		"next to each other": `{"a":"",` + strings.Repeat(`"b":[[],{}],`, 2*maxNesting) + "}",
	} {
		var v struct {
			A string `json:"a"`
			B []any  `json:"b"`
		}
		quicktest.Check(t, DecodeFile([]byte(file), &v), quicktest.IsNil, quicktest.Commentf("%s", name))
	}
	for _, file := range []string{"", "\"", "\"\\", "/", "//", "/*", "/**", "]", "}}"} {
		quicktest.Check(t, DecodeFile([]byte(file), &struct{}{}), quicktest.IsNotNil)
	}
}
