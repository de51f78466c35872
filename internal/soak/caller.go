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
	"strings"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/platform"
)

const (
	// limit is how long a caller waits for an answer, as the routes do.
	limit = 4 * time.Second
	// answerSlack is how much later than that a request may have no end.
	answerSlack = 500 * time.Millisecond
	// callEvery is the mean pause of a caller between requests.
	callEvery = 60 * time.Millisecond
	// longPrompt and shortPrompt are in tokens.
	longPrompt  = 600_000
	shortPrompt = 5_000
	longShare   = 0.1
)

// Caller sends one request after the other, and keeps connections as long as it may.
type Caller struct {
	Place
	Book  *Book
	Touch *Touch
	// Directories answer look-ups, the nearest first.
	Directories []string
	// Direct callers reach entries past the proxy: a connection that is accepted is
	// then accepted by the process.
	Direct bool
	Bounds bool
	Seed   uint64

	client  *hop.Client
	rng     *rand.Rand
	entries []string
	until   time.Time
	sent    int
}

// Run sends requests until ctx ends.
func (c *Caller) Run(ctx context.Context) {
	c.open()
	defer c.client.Close()
	for ctx.Err() == nil {
		c.Once(ctx)
		sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(callEvery)))
	}
}

// open prepares the caller.
func (c *Caller) open() {
	dial := dialFrom(c.Own())
	c.client = &hop.Client{Dial: dial}
	if c.Direct {
		c.client.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return dial(ctx, ownOf(addr)) }
	}
	c.rng = rand.New(rand.NewPCG(c.Seed, uint64(c.Index)))
}

// Once sends one request, and once more when it is told to come back. It returns
// whether it was served.
func (c *Caller) Once(ctx context.Context) bool {
	entry, ok := c.entry(ctx)
	if !ok {
		c.Book.Count("no entry")
		return false
	}
	r := routes()[c.rng.IntN(len(routes()))]
	a := &ask{kind: r.Kind, path: r.Prefix + fmt.Sprint(c.rng.IntN(1000)), organisation: organisation}
	call := gate.CallInfo{Key: key, TimeLimit: limit}
	if r.Kind == site.Streaming {
		call.PromptTokens, call.MaxOutputTokens = shortPrompt, 400
		if c.rng.Float64() < longShare {
			call.PromptTokens = longPrompt
		}
	}
	for range 2 {
		retry := c.exchange(ctx, entry, a, call)
		switch {
		case retry == 0:
			return true
		case retry < 0:
			c.entries = slices.DeleteFunc(c.entries, func(e string) bool { return e == entry })
			return false
		}
		if !sleep(ctx, min(retry, limit/3)) {
			return false
		}
	}
	return false
}

// entry picks an instance from the last look-up.
func (c *Caller) entry(ctx context.Context) (string, bool) {
	if time.Now().After(c.until) || len(c.entries) == 0 {
		client := newClient(c.Own())
		for _, d := range c.Directories {
			status, b, err := call(ctx, client, http.MethodGet, "http://"+d+platform.ResolvePath(hostName, c.DataCentre()), nil)
			if err != nil || status != http.StatusOK {
				continue
			}
			if list, keep, err := platform.DecodeResolveResponse(b); err == nil {
				c.entries, c.until = list, time.Now().Add(keep)
				break
			}
		}
	}
	if len(c.entries) == 0 {
		sleep(ctx, callEvery)
		return "", false
	}
	return c.entries[c.rng.IntN(len(c.entries))], true
}

// exchange sends one attempt and checks what comes back. It returns 0 if the request
// was served, when to come back, or less than 0 if it failed.
func (c *Caller) exchange(ctx context.Context, entry string, a *ask, q gate.CallInfo) time.Duration {
	c.sent++
	q.ID = fmt.Sprintf("%x-%d-%d", c.Seed, c.Index, c.sent)
	a = &ask{kind: a.kind, path: a.path, organisation: a.organisation, body: "body of " + q.ID}
	c.Book.Sent(q.ID, a)
	// Beyond this the caller does not wait for an end, which is then missing.
	cctx, cancel := context.WithTimeout(ctx, limit+answerSlack)
	defer cancel()
	began := time.Now()
	resp, err := c.client.Do(cctx, entry, &hop.Request{
		Method: http.MethodPost, URI: a.path, Host: hostName, Header: platform.EncodeCall(q), Body: []byte(a.body),
	})
	if err == nil {
		defer func() { resp.Close(err == nil) }()
		var retry time.Duration
		if retry, err = c.judge(resp, a, q); err == nil {
			return retry
		}
	}
	c.failed(ctx, entry, q.ID, began, err)
	return -1
}

// failed classifies a request without a whole answer.
func (c *Caller) failed(ctx context.Context, entry, id string, began time.Time, err error) {
	host, _, _ := strings.Cut(entry, ":")
	var unreached *engine.Unreachable
	var garbled *engine.Garbled
	switch {
	case ctx.Err() != nil:
	case errors.As(err, &unreached):
		c.Book.Count("not reached")
	case errors.As(err, &garbled):
		c.Book.Find("whole", "%s got bytes that are no answer: %v", id, err)
	case time.Since(began) >= limit+answerSlack:
		c.Book.Count("no end")
		if c.Bounds && c.Touch.IsCalm(began, ownOf(host), coreName) {
			c.Book.Find("time limit", "%s has no end from %s: %v", id, entry, err)
		}
	default:
		c.Book.Count("cut")
		if c.Direct && c.Touch.IsCalm(began, anyName) && time.Since(began) < limit {
			c.Book.Find("planned stop", "%s was cut at %s after %.3f s: %v", id, entry, time.Since(began).Seconds(), err)
		}
	}
}

// judge checks an answer. Its error says why the answer is not whole.
func (c *Caller) judge(resp *hop.Response, a *ask, q gate.CallInfo) (time.Duration, error) {
	seal := platform.Seal(resp.Header)
	switch code := resp.StatusCode; code {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.Book.Refused(q.ID, code)
		c.Book.Count("refused")
		_, err := io.Copy(io.Discard, resp.Body)
		after, perr := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
		if perr != nil {
			c.Book.Find("refusal", "%s was refused without a time to come back: %v", q.ID, perr)
		}
		return max(after, time.Millisecond), err
	default:
		if code < http.StatusInternalServerError {
			c.Book.Find("denied", "%s is proper and was answered with %d", q.ID, code)
		}
		c.Book.Count(fmt.Sprint(code))
		_, err := io.Copy(io.Discard, resp.Body)
		return -1, err
	}
	r, ok := c.Book.RunOf(q.ID, seal)
	if !ok {
		c.Book.Find("whole", "%s got an answer with seal %q, which no run of it bears", q.ID, seal)
		return -1, nil
	}
	if a.kind == site.Streaming {
		return c.events(resp, q, r)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return -1, err
	}
	if string(b) != r.answer {
		c.Book.Find("whole", "%s got %q for %q", q.ID, b, r.answer)
	}
	c.Book.Count("served")
	return 0, nil
}

// events checks a stream.
func (c *Caller) events(resp *hop.Response, q gate.CallInfo, r run) (time.Duration, error) {
	events := hop.NewEventReader(resp.Body)
	for last := int64(0); ; last++ {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			if last != r.events {
				c.Book.Find("order", "%s ended after %d of %d events", q.ID, last, r.events)
			}
			c.Book.Count("served")
			return 0, nil
		}
		if err != nil {
			return -1, err
		}
		if ev.ID != last+1 || !strings.Contains(string(ev.Raw), "data: "+eventText(q.ID, ev.ID)+"\n") {
			c.Book.Find("order", "%s got event %d behind %d: %q", q.ID, ev.ID, last, ev.Raw)
			return -1, nil
		}
	}
}
