package gate

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// digestBytes is the length of a digest before it is encoded.
const digestBytes = 12

// requestDigest identifies what a caller asks for: the organisation, method, host, path, prompt and
// body. The attempts of a caller that repeats a request have different IDs and the same digest.
func (x *exchange) requestDigest() string {
	if x.digest == "" {
		h := sha256.New()
		// A write to a hash can't fail.
		_, _ = fmt.Fprintf(h, "%q %q %q %q %q\n", x.org, x.r.Method, x.r.Host, x.r.RequestURI, x.call.SharedSegments)
		_, _ = h.Write(x.body)
		x.digest = hex.EncodeToString(h.Sum(nil)[:digestBytes])
	}
	return x.digest
}
