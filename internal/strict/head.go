package strict

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// maxLineStart is how much of a line of a head is looked at: more than a version or a name that matters has.
const maxLineStart = 32

// Head checks the head of a response in HTTP/1.1 as its bytes are read, for what net/http accepts and then drops. The zero value
// is ready to use.
type Head struct {
	// start holds the first length bytes of the current line, and lines is the number of those before it.
	start  [maxLineStart]byte
	length int
	lines  int
	// ended is set after the empty line that ends the head.
	ended bool
	// isOld is set for HTTP/1.0. hasLength and hasEncoding are set if the field Content-Length or Transfer-Encoding has come.
	isOld, hasLength, hasEncoding bool
	// framesBody is set if the last line began one of these fields, or was the status line.
	framesBody bool
	err        error
}

// Add takes in bytes of the head. What comes after the head has no effect.
func (h *Head) Add(b []byte) {
	for len(b) > 0 && !h.ended {
		line, rest, hasEnd := bytes.Cut(b, []byte("\n"))
		h.length += copy(h.start[h.length:], line)
		if hasEnd {
			h.endLine()
		}
		b = rest
	}
}

// Err returns ErrMalformed if the head that has come so far breaks a rule of RFC 9112:
//   - the version is HTTP/1.x (2.3);
//   - the status line and the fields that frame the body aren't continued on a second line (5.2; a proxy may refuse such
//     responses);
//   - HTTP/1.0 has no Transfer-Encoding (6.1);
//   - a Transfer-Encoding has no Content-Length beside it (6.3).
func (h *Head) Err() error { return h.err }

// endLine checks a line that is complete.
func (h *Head) endLine() {
	line := bytes.TrimRight(h.start[:h.length], "\r")
	h.length = 0
	h.lines++
	switch {
	case h.lines == 1:
		h.framesBody = true
		h.isOld = bytes.HasPrefix(line, []byte("HTTP/1.0 "))
		if !bytes.HasPrefix(line, []byte("HTTP/1.")) {
			h.fail("the version in the status line is not HTTP/1.x (RFC 9112, 2.3)")
		}
	case len(line) == 0:
		h.ended = true
	case line[0] == ' ' || line[0] == '\t':
		if h.framesBody {
			h.fail("the framing of the body is continued on a second line (RFC 9112, 5.2)")
		}
	default:
		name, _, _ := bytes.Cut(line, []byte(":"))
		isLength, isEncoding := bytes.EqualFold(name, []byte("Content-Length")), bytes.EqualFold(name, []byte("Transfer-Encoding"))
		h.hasLength, h.hasEncoding, h.framesBody = h.hasLength || isLength, h.hasEncoding || isEncoding, isLength || isEncoding
		if h.hasEncoding && h.isOld {
			h.fail("HTTP/1.0 with a Transfer-Encoding (RFC 9112, 6.1)")
		}
		if h.hasEncoding && h.hasLength {
			h.fail("a Content-Length beside a Transfer-Encoding (RFC 9112, 6.3)")
		}
	}
}

func (h *Head) fail(rule string) {
	if h.err == nil {
		h.err = errors.Wrap(ErrMalformed, rule)
	}
}
