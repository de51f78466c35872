package ctrl

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// retryDelay is the delay between rounds over the control instances.
	retryDelay = 100 * time.Millisecond
	// maxHops bounds the control instances that one attempt calls as it follows redirects.
	maxHops = 3
	// applyTimeout bounds the time until a change is in force.
	applyTimeout = 15 * time.Second
	// attemptTimeout bounds one call. It is longer than the leader delays any reply.
	attemptTimeout = longPollTime + time.Second
	// skipTime is how long an address is not called after a call to it timed out.
	skipTime = 3 * time.Second
)

// Client finds and calls the leader of the control plane. All calls to the control plane
// are idempotent, so a failed call is retried.
type Client struct {
	// Seeds are the peer addresses of control instances.
	Seeds []string
	Calls wire.Caller

	mu     sync.Mutex
	leader string
	// timedOut has the time of the last timed-out call by address.
	timedOut map[string]time.Time
}

// Apply proposes a change of the tables and returns its outcome when it is in force.
// After an error with a verdict other than NotRun the change may have been accepted: sent
// again with the same id, it gets the outcome of the first request.
func (c *Client) Apply(ctx context.Context, ch Change) (Outcome, error) {
	ctx, stop := context.WithTimeout(ctx, applyTimeout)
	defer stop()
	var out Outcome
	err := c.Call(ctx, applyMethod, &ch, &out)
	return out, err
}

// Call calls the leader and retries until it answers, the error is not retryable, or ctx
// ends.
func (c *Client) Call(ctx context.Context, method string, in, out any) error {
	for {
		err := c.callRound(ctx, method, in, out)
		if err == nil || !retryable(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryDelay):
		}
	}
}

// retryable reports whether another attempt or another control instance may succeed.
func retryable(err error) bool {
	e := verd.From(err)
	if errors.Is(err, context.DeadlineExceeded) {
		return true
	}
	return e.RetryAfter == 0 && (e.Reason == verd.Unavailable || e.Reason == verd.Unreached)
}

// callRound makes one round over the control instances, the last known leader first,
// until one answers or fails with an error that is not retryable.
func (c *Client) callRound(ctx context.Context, method string, in, out any) error {
	var last error
	mayHaveRun := false
	for _, addr := range c.addresses() {
		err := c.callLeader(ctx, addr, method, in, out)
		if err == nil || !retryable(err) || ctx.Err() != nil {
			return c.withVerdict(err, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || verd.From(err).Verdict != verd.NotRun
		last = err
	}
	if last == nil {
		return verd.New(verd.NotRun, verd.Unavailable, "no address of a control instance is configured")
	}
	return c.withVerdict(last, mayHaveRun)
}

// withVerdict returns err with the verdict MayHaveRun if an earlier attempt may have run.
func (*Client) withVerdict(err error, mayHaveRun bool) error {
	if err == nil || !mayHaveRun {
		return err
	}
	e := *verd.From(err)
	e.Verdict = verd.MayHaveRun
	return &e
}

// addresses lists the addresses to call, the last known leader first. Addresses that
// timed out recently are left out unless there are no others, as waiting for them again
// could take longer than a lease lasts.
func (c *Client) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]string, 0, len(c.Seeds)+1)
	if c.leader != "" {
		all = append(all, c.leader)
	}
	for _, s := range c.Seeds {
		if s != c.leader {
			all = append(all, s)
		}
	}
	var responsive []string
	for _, addr := range all {
		if at, ok := c.timedOut[addr]; !ok || time.Since(at) >= skipTime {
			responsive = append(responsive, addr)
		}
	}
	if len(responsive) == 0 {
		return all
	}
	return responsive
}

// callLeader calls one control instance and follows redirects to the leader.
func (c *Client) callLeader(ctx context.Context, addr, method string, in, out any) error {
	for range maxHops {
		var resp response
		if err := c.callOnce(ctx, addr, method, in, &resp); err != nil {
			c.recordFailure(addr, err)
			return err
		}
		if resp.Leader == "" || resp.Leader == addr && len(resp.Body) > 0 {
			c.setLeader(addr)
			return decodeResponse(resp.Body, out)
		}
		if resp.Leader == addr || c.recentlyTimedOut(resp.Leader) {
			break
		}
		addr = resp.Leader
	}
	return verd.New(verd.NotRun, verd.Unavailable, "the control instances do not agree on a reachable leader")
}

// callOnce makes one call with a timeout of attemptTimeout.
func (c *Client) callOnce(ctx context.Context, addr, method string, in any, resp *response) error {
	ctx, stop := context.WithTimeout(ctx, attemptTimeout)
	defer stop()
	return c.Calls.Call(ctx, addr, method, in, resp)
}

// recentlyTimedOut reports whether a call to the address timed out less than skipTime
// ago.
func (c *Client) recentlyTimedOut(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.timedOut[addr]
	return ok && time.Since(at) < skipTime
}

func decodeResponse(b []byte, out any) error {
	if err := cbor.Unmarshal(b, out); err != nil {
		return verd.Wrap(err, verd.MayHaveRun, verd.Internal, "decode the reply of the control leader")
	}
	if c, ok := out.(wire.Checker); ok {
		return c.Check()
	}
	return nil
}

// setLeader records the leader's address.
func (c *Client) setLeader(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
	delete(c.timedOut, addr)
}

// recordFailure records a failed call to an address. Only a timeout makes the client skip
// the address: a refused connection costs no time, and the instance may be back a moment
// later.
func (c *Client) recordFailure(addr string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == addr {
		c.leader = ""
	}
	if !errors.Is(err, context.DeadlineExceeded) {
		return
	}
	if c.timedOut == nil {
		c.timedOut = make(map[string]time.Time)
	}
	c.timedOut[addr] = time.Now()
}
