package demo

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/bambooproxy/bambooproxy/internal/entry"
	"github.com/bambooproxy/bambooproxy/internal/prompt"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Request is a request that the demo sends.
type Request struct {
	// Kind describes the request in the printed table.
	Kind string
	// Tokens is the length of the prompt; 0 means an order.
	Tokens int
	// Key is the idempotency key of an order.
	Key string
}

// Outcome is a request with its answer's status, verdict and latencies.
type Outcome struct {
	Request
	// FirstToken is the time to the first byte of the body, Complete the time to its
	// end.
	FirstToken, Complete time.Duration
	Verdict              string
	Status               int
	traceID              trace.TraceID
}

// Requests returns the requests of the demo: prompts of a thousand to a million tokens,
// and one order that is sent twice. The kinds are example data.
func Requests() []Request {
	return []Request{
		{Kind: "feeding question", Tokens: 1_000},
		{Kind: "feeding question", Tokens: 4_000},
		{Kind: "baking journal", Tokens: 20_000},
		{Kind: "baking journal", Tokens: 100_000},
		{Kind: "season of logs", Tokens: 400_000},
		{Kind: "season of logs", Tokens: 1_000_000},
		{Kind: "order", Key: OrderKey},
		{Kind: "same order again", Key: OrderKey},
	}
}

// OrderKey is the idempotency key of the demo's order, which is example data.
const OrderKey = "renew-jar-1"

// httpRequest returns the HTTP request for the entry at addr, with a sampled trace of the
// given id. The order, the model and the prompt text are example data.
func (r Request) httpRequest(ctx context.Context, addr string, traceID trace.TraceID) (*http.Request, error) {
	url, body := "http://"+addr+"/orders/renew", `{"jar":1}`
	if r.Tokens > 0 {
		text := strings.Repeat("log ", r.Tokens*prompt.BytesPerToken/len("log "))
		url = "http://" + addr + "/v1/completions"
		body = `{"model":"starter-advice","stream":true,"max_tokens":16,"prompt":"` + text + `"}`
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(entry.HeaderOrganisation, "levain")
	if r.Key != "" {
		req.Header.Set(entry.HeaderIdempotencyKey, r.Key)
	}
	sc := trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: traceID, SpanID: trace.SpanID(traceID[:8]), TraceFlags: trace.FlagsSampled,
	})
	propagation.TraceContext{}.Inject(trace.ContextWithSpanContext(ctx, sc), propagation.HeaderCarrier(req.Header))
	return req, nil
}

// Send sends a request to an entry and waits for the complete answer.
func Send(ctx context.Context, addr string, r Request) (Outcome, error) {
	traceID := trace.TraceID(uuid.New())
	req, err := r.httpRequest(ctx, addr, traceID)
	if err != nil {
		return Outcome{}, errors.Wrapf(err, "create the request to %s", addr)
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Outcome{}, errors.Wrapf(err, "send the request to %s", addr)
	}
	defer resp.Body.Close()
	out := Outcome{Request: r, Status: resp.StatusCode, Verdict: resp.Header.Get(verd.Header), traceID: traceID}
	body := bufio.NewReader(resp.Body)
	if _, err := body.ReadByte(); err != nil {
		return Outcome{}, errors.Wrapf(err, "read the first byte of the answer from %s", addr)
	}
	out.FirstToken = time.Since(start)
	if _, err := io.Copy(io.Discard, body); err != nil {
		return Outcome{}, errors.Wrapf(err, "read the answer from %s", addr)
	}
	out.Complete = time.Since(start)
	return out, nil
}

// WaitReady waits until the entry at addr answers a short prompt and an order. It returns an
// error if ctx ends first.
func WaitReady(ctx context.Context, addr string) error {
	for _, tokens := range []int{1, 0} {
		if err := waitForOK(ctx, addr, Request{Tokens: tokens}); err != nil {
			return err
		}
	}
	return nil
}

// waitForOK sends a request until it is answered with status 200.
func waitForOK(ctx context.Context, addr string, r Request) error {
	for {
		out, err := Send(ctx, addr, r)
		if err == nil && out.Status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait until %s answers a request of %d tokens", addr, r.Tokens)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// Print writes outcomes as a table, followed by the number of executions of the order and
// the KV cache still in use.
func (s *Site) Print(w io.Writer, outs []Outcome) {
	fmt.Fprintf(w, "%-18s %9s %12s %10s %7s  %-8s %s\n", "request", "tokens", "first token", "whole", "status", "verdict", "hops")
	for _, o := range outs {
		fmt.Fprintf(w, "%-18s %9d %12s %10s %7d  %-8s %s\n", o.Kind, o.Tokens,
			o.FirstToken.Round(time.Millisecond/10), o.Complete.Round(time.Millisecond/10), o.Status, o.Verdict, s.spans.names(o.traceID))
	}
	fmt.Fprintf(w, "the order ran %d time(s); memory left on the engines: %d tokens\n", s.OrderRuns(OrderKey), s.UsedMemory())
}
