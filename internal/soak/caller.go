package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/platform"
)

const (
	// requestTimeout is the time limit of a request, for callers and in all routes.
	requestTimeout = 4 * time.Second
	// timeoutSlack is how long after its time limit a request may still be open.
	timeoutSlack = 500 * time.Millisecond
	// callInterval is the mean pause of a caller between requests.
	callInterval = 60 * time.Millisecond
	// longPrompt and shortPrompt are prompt lengths in tokens, longPromptShare is the
	// fraction of streams with a long prompt.
	longPrompt      = 600_000
	shortPrompt     = 5_000
	longPromptShare = 0.1
)

// Caller is a client that sends one request after another over kept-alive connections.
type Caller struct {
	Endpoint
	Recorder     *Recorder
	Disturbances *Disturbances
	// Directories are addresses of directories, those in the caller's data centre first.
	Directories []string
	// Direct makes the caller bypass the proxy, so that an accepted connection was
	// accepted by the process itself.
	Direct          bool
	CheckTimeBounds bool
	Seed            uint64

	client        *hop.Client
	rng           *rand.Rand
	entries       []string
	lookupExpires time.Time
	sent          int
	// began is when the present attempt was sent, lastEventAt when its last event came, or began.
	began, lastEventAt time.Time
}

// Run sends requests until ctx ends.
func (c *Caller) Run(ctx context.Context) {
	c.setup()
	defer c.client.Close()
	for ctx.Err() == nil {
		c.Send(ctx)
		sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(callInterval)))
	}
}

// setup creates the client and the random source.
func (c *Caller) setup() {
	dial := dialFrom(c.ProcessHost())
	c.client = &hop.Client{Dial: dial}
	if c.Direct {
		c.client.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return dial(ctx, processAddrOf(addr)) }
	}
	c.rng = rand.New(rand.NewPCG(c.Seed, uint64(c.Index)))
}

// Send sends one request. If it is refused, Send waits for the retry-after time and
// retries once. It reports whether the request was served.
func (c *Caller) Send(ctx context.Context) bool {
	entry, ok := c.pickEntry(ctx)
	if !ok {
		c.Recorder.CountOutcome("no entry")
		return false
	}
	route := routes()[c.rng.IntN(len(routes()))]
	a := &attempt{kind: route.Kind, path: route.Prefix + fmt.Sprint(c.rng.IntN(1000)), organisation: organisation, patience: patience(route)}
	call := gate.CallInfo{Key: apiKey, TimeLimit: requestTimeout}
	if route.Kind == site.Streaming {
		call.PromptTokens, call.MaxOutputTokens = shortPrompt, 400
		if c.rng.Float64() < longPromptShare {
			call.PromptTokens = longPrompt
		}
	}
	for range 2 {
		retry := c.sendAttempt(ctx, entry, a, call)
		switch {
		case retry == 0:
			return true
		case retry < 0:
			c.entries = slices.DeleteFunc(c.entries, func(e string) bool { return e == entry })
			return false
		}
		if !sleep(ctx, min(retry, requestTimeout/3)) {
			return false
		}
	}
	return false
}

// pickEntry returns the address of a random entry, after a new look-up if the last one
// has expired. It returns false if no entry is known.
func (c *Caller) pickEntry(ctx context.Context) (string, bool) {
	if time.Now().After(c.lookupExpires) || len(c.entries) == 0 {
		client := newClient(c.ProcessHost())
		for _, addr := range c.Directories {
			status, b, err := doCall(ctx, client, http.MethodGet, "http://"+addr+platform.ResolvePath(hostName, c.DataCentre()), nil)
			if err != nil || status != http.StatusOK {
				continue
			}
			if addrs, ttl, err := platform.DecodeResolveResponse(b); err == nil {
				c.entries, c.lookupExpires = addrs, time.Now().Add(ttl)
				break
			}
		}
	}
	if len(c.entries) == 0 {
		sleep(ctx, callInterval)
		return "", false
	}
	return c.entries[c.rng.IntN(len(c.entries))], true
}

// sendAttempt sends one attempt and checks the response. It returns 0 if the request was
// served, the retry-after time if it was refused, and a negative duration if it failed.
func (c *Caller) sendAttempt(ctx context.Context, entry string, a *attempt, call gate.CallInfo) time.Duration {
	c.sent++
	call.ID = fmt.Sprintf("%x-%d-%d", c.Seed, c.Index, c.sent)
	a = &attempt{kind: a.kind, path: a.path, organisation: a.organisation, patience: a.patience, body: "body of " + call.ID}
	c.Recorder.RecordSent(call.ID, a)
	// A request that is still open after this time has missed its time limit.
	attemptCtx, cancel := context.WithTimeout(ctx, requestTimeout+timeoutSlack)
	defer cancel()
	c.began = time.Now()
	c.lastEventAt = c.began
	resp, err := c.client.Do(attemptCtx, entry, &hop.Request{
		Method: http.MethodPost, URI: a.path, Host: hostName, Header: platform.EncodeCall(call), Body: []byte(a.body),
	})
	if err == nil {
		defer func() { resp.Close(err == nil) }()
		var retry time.Duration
		if retry, err = c.checkResponse(resp, a, call); err == nil {
			if code := resp.StatusCode; code >= http.StatusInternalServerError && code != http.StatusServiceUnavailable {
				c.checkGivenUp(entryHost(entry), call.ID, "status "+strconv.Itoa(code), a)
			}
			return retry
		}
	}
	c.recordFailure(ctx, entry, call.ID, a, err)
	return -1
}

// entryHost returns the IP of the process behind the address of an entry.
func entryHost(entry string) string {
	host, _, _ := strings.Cut(entry, ":")
	return processAddrOf(host)
}

// recordFailure classifies an attempt that got no complete response.
func (c *Caller) recordFailure(ctx context.Context, entry, id string, a *attempt, err error) {
	began, host := c.began, entryHost(entry)
	var unreachable *engine.Unreachable
	var malformed *engine.Garbled
	switch {
	case ctx.Err() != nil:
	case errors.As(err, &unreachable):
		c.Recorder.CountOutcome("not reached")
	case errors.As(err, &malformed):
		c.Recorder.AddViolation("whole", "request %s got a malformed response: %v", id, err)
	case time.Since(began) >= requestTimeout+timeoutSlack:
		c.Recorder.CountOutcome("no end")
		if c.CheckTimeBounds && c.Disturbances.IsUndisturbed(began, host, controlPlaneName) {
			c.Recorder.AddViolation("time limit", "request %s to %s was still open after its time limit: %v", id, entry, err)
		}
	default:
		c.Recorder.CountOutcome("cut")
		c.checkGivenUp(host, id, err.Error(), a)
		if c.Direct && c.Disturbances.IsUndisturbed(began, unplannedName) && time.Since(began) < requestTimeout {
			c.Recorder.AddViolation("planned stop", "request %s was cut off at %s after %.3f s: %v", id, entry, time.Since(began).Seconds(), err)
		}
	}
}

// checkResponse checks a response and returns the same durations as sendAttempt. It
// returns an error if the response is incomplete.
func (c *Caller) checkResponse(resp *hop.Response, a *attempt, call gate.CallInfo) (time.Duration, error) {
	seal := platform.Seal(resp.Header)
	switch code := resp.StatusCode; code {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.Recorder.RecordRefusal(call.ID, code)
		c.Recorder.CountOutcome("refused")
		_, err := io.Copy(io.Discard, resp.Body)
		retryAfter, parseErr := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
		if parseErr != nil {
			c.Recorder.AddViolation("refusal", "request %s was refused without a valid Retry-After header: %v", call.ID, parseErr)
		}
		return max(retryAfter, time.Millisecond), err
	default:
		if code < http.StatusInternalServerError {
			c.Recorder.AddViolation("denied", "valid request %s was answered with status %d", call.ID, code)
		}
		c.Recorder.CountOutcome(fmt.Sprint(code))
		_, err := io.Copy(io.Discard, resp.Body)
		return -1, err
	}
	r, ok := c.Recorder.FindExecution(call.ID, seal)
	if !ok {
		c.Recorder.AddViolation("whole", "request %s got an answer with seal %q, which none of its executions has", call.ID, seal)
		return -1, nil
	}
	if a.kind == site.Streaming {
		return c.checkStream(resp, call, r)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return -1, err
	}
	if string(b) != r.answer {
		c.Recorder.AddViolation("whole", "request %s got answer %q, expected %q", call.ID, b, r.answer)
	}
	c.Recorder.CountOutcome("served")
	return 0, nil
}

// checkStream checks that the events of a stream are complete and in order.
func (c *Caller) checkStream(resp *hop.Response, call gate.CallInfo, executed execution) (time.Duration, error) {
	events := hop.NewEventReader(resp.Body)
	for last := int64(0); ; last++ {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			if last != executed.events {
				c.Recorder.AddViolation("order", "the stream of request %s ended after %d of %d events", call.ID, last, executed.events)
			}
			c.Recorder.CountOutcome("served")
			return 0, nil
		}
		if err != nil {
			return -1, err
		}
		if ev.ID != last+1 || !strings.Contains(string(ev.Raw), "data: "+eventText(call.ID, ev.ID)+"\n") {
			c.Recorder.AddViolation("order", "the stream of request %s has event %d after event %d: %q", call.ID, ev.ID, last, ev.Raw)
			return -1, nil
		}
		c.lastEventAt = time.Now()
	}
}
