package table

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Decode parses tables from JSON with comments and checks them. Routes and pools must be there. Its errors are of type
// *FieldError and have the line number.
func Decode(b []byte) (*Tables, error) {
	var t Tables
	if err := DecodeFile(b, &t); err != nil {
		return nil, err
	}
	if err := t.CheckPresent(); err != nil {
		return nil, AtLine(b, err)
	}
	if err := t.Check(); err != nil {
		return nil, AtLine(b, err)
	}
	return &t, nil
}

// DecodeFile parses JSON with comments into v. Unknown keys are an error. Its errors are of
// type *FieldError.
func DecodeFile(b []byte, v any) error {
	if err := CheckNesting(b); err != nil {
		return err
	}
	std, err := hujson.Standardize(bytes.Clone(b))
	if err != nil {
		return &FieldError{Field: "file", Line: syntaxErrorLine(err), Message: err.Error()}
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(std, dec.InputOffset(), err, v)
	}
	if dec.More() {
		return &FieldError{Field: "file", Line: lineAt(std, dec.InputOffset()), Message: "more than one JSON value"}
	}
	return nil
}

// decodeError converts an error of encoding/json into a *FieldError. The offset is used if the
// error has none of its own.
func decodeError(b []byte, offset int64, err error, v any) error {
	field := "file"
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		offset = te.Offset
		if te.Field != "" {
			field = te.Field
		}
	}
	var se *json.SyntaxError
	if errors.As(err, &se) {
		offset = se.Offset
	}
	msg := strings.TrimPrefix(err.Error(), "json: ")
	if name, ok := strings.CutPrefix(msg, "unknown field "); ok {
		return unknownKeyError(b, strings.Trim(name, `"`), v)
	}
	return &FieldError{Field: field, Line: lineAt(b, offset), Message: msg}
}

// AtLine sets the line number of a *FieldError by looking up its field, or the closest parent
// that exists, in file b. Other errors are returned unchanged.
func AtLine(b []byte, err error) error {
	var fe *FieldError
	if !errors.As(err, &fe) || fe.Line > 0 {
		return err
	}
	root, parseErr := hujson.Parse(b)
	if parseErr != nil {
		return err
	}
	out := *fe
	for ptr := jsonPointer(fe.Field); ; {
		if v := root.Find(ptr); v != nil {
			out.Line = lineAt(b, int64(v.StartOffset))
			return &out
		}
		i := strings.LastIndexByte(ptr, '/')
		if i < 0 {
			return &out
		}
		ptr = ptr[:i]
	}
}

// jsonPointer converts a path such as routes[2].limit to the JSON pointer /routes/2/limit.
func jsonPointer(field string) string {
	r := strings.NewReplacer("[", "/", "]", "", ".", "/")
	return "/" + r.Replace(field)
}

// lineAt returns the line number of a byte offset in b.
func lineAt(b []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(b)))
	return 1 + bytes.Count(b[:offset], []byte("\n"))
}

// syntaxErrorLine extracts the line number from the text of a hujson syntax error, or
// returns 0.
func syntaxErrorLine(err error) int {
	_, rest, ok := strings.Cut(err.Error(), "line ")
	if !ok {
		return 0
	}
	num, _, _ := strings.Cut(rest, ",")
	n, err := strconv.Atoi(strings.TrimSpace(num))
	if err != nil {
		return 0
	}
	return n
}

// Encode encodes tables as indented JSON.
func Encode(t *Tables) ([]byte, error) {
	b, err := json.MarshalIndent(t, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode tables: %w", err)
	}
	return append(b, '\n'), nil
}
