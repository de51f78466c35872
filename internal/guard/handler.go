package guard

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// bodyTimeout bounds the time for the body of a request, if the handler sets no other. It also bounds how long
	// the rest of a body is discarded that the handler left unread.
	bodyTimeout = 10 * time.Second
	// responseTimeout bounds the time for a request and its response, if the handler sets no other.
	responseTimeout = 30 * time.Second
)

// Handler returns a handler that sets the deadlines of each request before next handles it.
func Handler(next http.Handler) http.Handler { return &handler{next} }

type handler struct{ next http.Handler }

// ServeHTTP handles a request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	now := time.Now()
	// These fail only on a closed connection.
	_ = rc.SetWriteDeadline(now.Add(responseTimeout))
	c, hasPort := r.Context().Value(connKey{}).(*conn)
	if r.ContentLength != 0 {
		_ = rc.SetReadDeadline(now.Add(bodyTimeout))
	}
	if hasPort && !c.port.settleHead(c, fieldsCost(r.Header)) {
		refuseHead(w)
		c.setReading(r.ContentLength != 0)
		return
	}
	if hasPort && c.port.isCrowded(now) {
		// Clients that send without a pause would keep their places.
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength == 0 {
		h.next.ServeHTTP(w, r)
		return
	}
	b := &trackedBody{ReadCloser: r.Body, rc: rc, trailer: func() http.Header { return r.Trailer }}
	if hasPort {
		b.conn = c
	}
	// net/http looks at the type of the body of its own request.
	copied := *r
	copied.Body = b
	h.next.ServeHTTP(w, &copied)
	if hasPort && !b.isDone {
		// net/http discards the rest of the body before it goes on.
		c.setReading(true)
	}
}

// trackedBody notes the progress of a body.
type trackedBody struct {
	io.ReadCloser
	rc *http.ResponseController
	// conn is the connection; nil without a Port.
	conn *conn
	// trailer returns the fields behind the body once it is complete.
	trailer func() http.Header
	// unnoted is how much has come since progress was last noted.
	unnoted       int
	begun, isDone bool
}

// errHeadsFull reports that there is no memory for the fields behind a body.
var errHeadsFull = errors.New("the fields of requests exceed the memory for them")

// refuseHead refuses a request for lack of memory for its fields.
func refuseHead(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	http.Error(w, errHeadsFull.Error(), http.StatusServiceUnavailable)
}

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	if !b.begun && b.conn != nil {
		// A handler that reads no body has its request already.
		b.conn.setReading(true)
	}
	b.begun = true
	n, err := b.ReadCloser.Read(p)
	if b.unnoted += n; b.unnoted >= progressBytes && err == nil && b.conn != nil {
		b.unnoted = 0
		b.conn.setReading(true)
	}
	if errors.Is(err, io.EOF) && !b.isDone {
		b.isDone = true
		// Only the body is bounded by this deadline: it would also end the request later.
		_ = b.rc.SetReadDeadline(time.Time{})
		if b.conn != nil {
			b.conn.setReading(false)
			if cost := fieldsCost(b.trailer()); cost > 0 && !b.conn.port.reserveHead(b.conn, cost) {
				return n, errHeadsFull
			}
		}
	}
	return n, err
}
