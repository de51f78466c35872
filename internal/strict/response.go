package strict

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrMalformed reports a response that isn't valid in HTTP/1.1, although net/http accepts it.
var ErrMalformed = errors.New("malformed response")

const (
	minStatus = 100
	maxStatus = 599
)

// Check returns ErrMalformed if the status of a response, which may be an informational one, is not one of 100 to 599
// (RFC 9110, section 15), or is 101, which answers requests for another protocol only.
func Check(resp *http.Response) error {
	code := resp.StatusCode
	if code < minStatus || code > maxStatus || code == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrMalformed, "status %q", resp.Status)
	}
	return nil
}
