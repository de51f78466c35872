package strict

import (
	"cmp"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed reports a response that isn't valid in HTTP/1.1, although net/http accepts it.
var ErrMalformed = errors.New("malformed response")

const (
	minStatus = 100
	maxStatus = 599
)

// Check returns ErrMalformed for a response, which may be an informational one, if
//   - its status isn't one of 100 to 599 (RFC 9110, section 15), or is 101, which answers requests for another protocol only;
//   - the name of a field isn't a token (RFC 9110, section 5.1). net/http accepts blanks in names, and so ignores a
//     "Content-Length :" or "Transfer-Encoding :".
//
// The body, which Check replaces, ends with ErrMalformed instead of io.EOF if that is so in its trailer.
func Check(resp *http.Response) error {
	code := resp.StatusCode
	if code < minStatus || code > maxStatus || code == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrMalformed, "status %q", resp.Status)
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &body{ReadCloser: resp.Body, resp: resp}
	}
	return checkNames(resp.Header)
}

// checkNames returns ErrMalformed if the name of a field isn't a token. A trailer that was announced and didn't come has
// no values.
func checkNames(fields map[string][]string) error {
	for name, values := range fields {
		if values != nil && !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "field name %q", name)
		}
	}
	return nil
}

// body is the body of a response, which may have a trailer.
type body struct {
	io.ReadCloser
	resp *http.Response
}

// Read reads from the body. The trailer of the response is complete at the end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = cmp.Or(checkNames(b.resp.Trailer), err)
	}
	return n, err
}
