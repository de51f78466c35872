package httpx

import "net/http"

// Abort ends a handler whose response can't be completed, and the caller's connection, so that the
// caller notices. It does not return.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the caller's connection. A response in HTTP/1.0 may have no framing, so a connection
// that is merely closed would end it like a complete one.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // The connection is closed already.
	}
	if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
		// This fails only on a closed connection.
		_ = l.SetLinger(0)
	}
	c.Close()
}
