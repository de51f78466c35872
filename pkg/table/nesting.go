package table

import "fmt"

// maxNesting is the maximum depth of values within each other in a file. Parsers of JSON with comments call
// themselves for each level, and a process that exceeds its stack ends.
const maxNesting = 1000

// CheckNesting returns a *FieldError for JSON with comments whose values are nested deeper than a parser
// can take.
func CheckNesting(b []byte) error {
	depth := 0
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case c == '"':
			i = endOfString(b, i)
		case c == '/' && i+1 < len(b) && (b[i+1] == '/' || b[i+1] == '*'):
			i = endOfComment(b, i)
		case c == '[' || c == '{':
			if depth++; depth > maxNesting {
				return &FieldError{Field: "file", Line: lineAt(b, int64(i)), Message: fmt.Sprintf("values are nested deeper than %d", maxNesting)}
			}
		case c == ']' || c == '}':
			depth--
		}
	}
	return nil
}

// endOfString returns the index of the quote that ends the string at index i, or len(b).
func endOfString(b []byte, i int) int {
	for i++; i < len(b) && b[i] != '"'; i++ {
		if b[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the index of the last byte of the comment at index i, or len(b).
func endOfComment(b []byte, i int) int {
	if b[i+1] == '/' {
		for i < len(b) && b[i] != '\n' {
			i++
		}
		return i
	}
	for i += 2; i+1 < len(b); i++ {
		if b[i] == '*' && b[i+1] == '/' {
			return i + 1
		}
	}
	return len(b)
}
