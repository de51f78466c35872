package caller

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// attempt is one transmission of a request. It records whether a connection was obtained,
// without which nothing can have been sent.
type attempt struct {
	request   *http.Request
	connected atomic.Bool
}

func newAttempt(r *http.Request) *attempt {
	a := &attempt{}
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	})
	a.request = r.WithContext(ctx)
	return a
}

// wrapError adds a verdict to a transport error: NotRun if there was no connection.
func (a *attempt) wrapError(err error) error {
	if !a.connected.Load() {
		return verd.Wrap(err, verd.NotRun, verd.Unavailable, "connect to %s", a.request.URL.Host)
	}
	return verd.Wrap(err, verd.MayHaveRun, verd.Unavailable, "send request to %s", a.request.URL.Host)
}

// retryAfter returns the Retry-After of a response, capped at maxRetryWait, or
// defaultRetryWait if it is missing, invalid or zero.
func retryAfter(resp *http.Response) time.Duration {
	secs, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || secs <= 0 {
		return defaultRetryWait
	}
	return min(time.Duration(secs)*time.Second, maxRetryWait)
}

// waitForRetry waits for d. It returns an error if ctx ends first.
func waitForRetry(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return verd.Wrap(ctx.Err(), verd.NotRun, verd.Timeout, "wait before retry")
	}
}
