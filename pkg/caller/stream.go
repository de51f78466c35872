package caller

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// IdleTimeout is how long a stream may be idle before it is treated as broken. Entries send
// heartbeats much more often.
const IdleTimeout = 15 * time.Second

// SetIdleTimeout wraps the body of a streamed response so that a read fails if no data arrives
// for IdleTimeout, which detects a broken connection.
func SetIdleTimeout(resp *http.Response) {
	resp.Body = &idleTimeoutBody{ReadCloser: resp.Body}
}

// idleTimeoutBody is a response body whose reads time out.
type idleTimeoutBody struct {
	io.ReadCloser
}

// Read reads from the body. After IdleTimeout without data it closes the body and returns an
// error with the reason Timeout.
func (b *idleTimeoutBody) Read(p []byte) (int, error) {
	timedOut := make(chan struct{})
	timer := time.AfterFunc(IdleTimeout, func() {
		close(timedOut)
		_ = b.Close() // Unblocks Read, which reports the timeout.
	})
	n, err := b.ReadCloser.Read(p)
	if timer.Stop() || err == nil {
		return n, err
	}
	<-timedOut
	return n, verd.Wrap(net.ErrClosed, verd.MayHaveRun, verd.Timeout, "no data on the stream for %s", IdleTimeout)
}
