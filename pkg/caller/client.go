package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/strict"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// organisationHeader carries the caller's organisation.
	organisationHeader = "Bamboo-Organisation"
	// dataCentreHeader carries the caller's data centre.
	dataCentreHeader = "Bamboo-Data-Centre"
	// entriesTimeout bounds one request for the list of entries.
	entriesTimeout = 3 * time.Second
	// maxEntriesBytes bounds the response body of a request for the list of entries.
	maxEntriesBytes = 1 << 20
	// defaultAttempts is the maximum number of times that a request is sent.
	defaultAttempts = 4
	// defaultRetryWait is the wait before a retry if the response has no valid Retry-After.
	defaultRetryWait = 200 * time.Millisecond
	// maxRetryWait caps the wait taken from Retry-After.
	maxRetryWait = 5 * time.Second
)

// ErrNoInstance means that none of the known instances returned a list of entries.
var ErrNoInstance = errors.New("no instance returned a list of entries")

// Client sends requests to a site. Its exported fields must be set before the first use. It is
// safe for concurrent use.
type Client struct {
	// Seeds are the client-facing addresses of some instances, from which the list of
	// entries is fetched first.
	Seeds []string
	// Organisation is the caller's organisation.
	Organisation string
	// DataCentre is the caller's data centre; empty if it is in none.
	DataCentre string
	// Transport sends the requests; nil means http.DefaultTransport.
	Transport http.RoundTripper
	// Attempts is the maximum number of times that a request is sent; 0 means 4.
	Attempts int

	mu        sync.Mutex
	entries   []Entry
	expiresAt time.Time
	// failed lists the addresses that failed since the list of entries was last fetched.
	failed []string
}

// Do sends a request to an entry, whose address replaces the host in the URL. It retries only
// if the request provably has not run: on another entry after an error, or on the same one
// after a response with Retry-After. A request with a body is retried only if it has GetBody.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	attempts := c.Attempts
	if attempts <= 0 {
		attempts = defaultAttempts
	}
	for n := 1; ; n++ {
		addr, err := c.pick(r.Context())
		if err != nil {
			return nil, err
		}
		resp, err := c.send(r, addr)
		if err == nil && !isRetryable(resp) {
			return resp, nil
		}
		if err != nil {
			c.markFailed(addr)
		}
		if n >= attempts || !canRetry(r, err) {
			return resp, err
		}
		wait := defaultRetryWait
		if resp != nil {
			wait = retryAfter(resp)
			resp.Body.Close()
		}
		if err := waitForRetry(r.Context(), wait); err != nil {
			return nil, err
		}
	}
}

// send sends the request once, to the entry at addr.
func (c *Client) send(r *http.Request, addr string) (*http.Response, error) {
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host, out.Host = "http", addr, ""
	if out.Header.Get(organisationHeader) == "" && c.Organisation != "" {
		out.Header.Set(organisationHeader, c.Organisation)
	}
	if r.GetBody != nil {
		body, err := r.GetBody()
		if err != nil {
			return nil, verd.Wrap(err, verd.NotRun, verd.Internal, "get request body")
		}
		out.Body = body
		// Without GetBody, net/http can't retry the request by itself.
		out.GetBody = nil
	}
	a := newAttempt(out)
	resp, err := c.roundTrip(a.request)
	if err != nil {
		return nil, a.wrapError(err)
	}
	return resp, nil
}

// roundTrip sends a request over the transport. A malformed response is an error.
func (c *Client) roundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.transport().RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := strict.Check(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func (c *Client) transport() http.RoundTripper {
	if c.Transport == nil {
		return http.DefaultTransport
	}
	return c.Transport
}

// canRetry reports whether a failed request may be sent again: its context is still alive, its
// body can be read again, and it has not run.
func canRetry(r *http.Request, err error) bool {
	if r.Context().Err() != nil || r.Body != nil && r.Body != http.NoBody && r.GetBody == nil {
		return false
	}
	return err == nil || verd.From(err).Verdict == verd.NotRun
}

// isRetryable reports whether a response states that the request has not run and has a
// Retry-After header.
func isRetryable(resp *http.Response) bool {
	return resp.Header.Get(verd.Header) == verd.NotRun.String() && resp.Header.Get("Retry-After") != ""
}

// pick returns the address of the best entry that has not failed. It refreshes an expired list
// of entries.
func (c *Client) pick(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expiresAt) || len(c.entries) == 0 {
		if err := c.refresh(ctx); err != nil && len(c.entries) == 0 {
			return "", err
		}
	}
	for _, e := range c.entries {
		if !slices.Contains(c.failed, e.Addr) {
			return e.Addr, nil
		}
	}
	// All entries have failed: try the first again and refresh at the next request.
	c.failed, c.expiresAt = nil, time.Time{}
	return c.entries[0].Addr, nil
}

// markFailed excludes an entry until the list of entries is fetched again.
func (c *Client) markFailed(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = append(c.failed, addr)
}

// refresh fetches the list of entries from the first of the known entries and the seeds that
// returns one. The caller must hold mu.
func (c *Client) refresh(ctx context.Context) error {
	var addrs []string
	for _, e := range c.entries {
		if !slices.Contains(c.failed, e.Addr) {
			addrs = append(addrs, e.Addr)
		}
	}
	for _, addr := range append(addrs, c.Seeds...) {
		requestedAt := time.Now()
		list, err := c.fetchEntries(ctx, addr)
		if err != nil || len(list.Entries) == 0 {
			continue
		}
		c.entries, c.failed = list.Entries, nil
		c.expiresAt = requestedAt.Add(time.Duration(list.Lifetime) * time.Second)
		return nil
	}
	return verd.Wrap(ErrNoInstance, verd.NotRun, verd.Unavailable, "refresh entries")
}

// fetchEntries fetches the list of entries from the instance at addr.
func (c *Client) fetchEntries(ctx context.Context, addr string) (*Entries, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/entries", nil)
	if err != nil {
		return nil, errors.Wrapf(err, "create request for the entries from %s", addr)
	}
	if c.DataCentre != "" {
		r.Header.Set(dataCentreHeader, c.DataCentre)
	}
	resp, err := c.roundTrip(r)
	if err != nil {
		return nil, errors.Wrapf(err, "fetch entries from %s", addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("entries from %s: status %d, expected 200", addr, resp.StatusCode)
	}
	var out Entries
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEntriesBytes)).Decode(&out); err != nil {
		return nil, errors.Wrapf(err, "decode entries from %s", addr)
	}
	return &out, out.Check()
}
