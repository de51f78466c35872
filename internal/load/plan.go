// Package load is a load generator for a site on loopback addresses. It sends requests at
// a fixed mean rate, checks the answers and measures latencies.
package load

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxRate bounds the requests per second.
	maxRate = 5_000
	// maxDuration bounds the time in which requests are sent.
	maxDuration = time.Hour
	// maxPrompt bounds the length of a prompt in tokens.
	maxPrompt = 2_000_000
)

// Plan describes the load of a run. Plans with the same values, Seed included, give the
// same requests.
type Plan struct {
	// Entries are the addresses of instances for callers, all on the loopback.
	Entries []string
	// Rate is the mean number of requests per second. They are sent as a Poisson
	// process (an open loop), whether or not earlier ones have ended.
	Rate     float64
	Duration time.Duration
	Mix      []PromptShare
	// Output is the length of each answer in tokens.
	Output int
	Model  string
	// Once is the share of requests that are calls to OncePath instead of prompts,
	// from 0 to 1. Each has an idempotency key.
	Once     float64
	OncePath string
	// Limit is the time limit of each request.
	Limit time.Duration
	// Organisation is sent with each request, with Token as its bearer token. Either
	// may be empty.
	Organisation, Token string
	// AtOnce bounds the requests in flight; further ones are counted as Unsent.
	AtOnce int
	Seed   uint64
}

// PromptShare is the share of requests with one prompt length.
type PromptShare struct {
	// Tokens is the length of the prompts.
	Tokens int `json:"tokens"`
	// Weight is the share relative to the weights of the other lengths.
	Weight float64 `json:"weight"`
}

// ParseMix parses a mix of TOKENS:WEIGHT pairs such as 1000:80,20000:15,200000:5 and sorts
// it by length.
func ParseMix(s string) ([]PromptShare, error) {
	var out []PromptShare
	for part := range strings.SplitSeq(s, ",") {
		length, weightText, ok := strings.Cut(part, ":")
		if !ok {
			return nil, errors.Newf("%q is not TOKENS:WEIGHT", part)
		}
		tokens, err := strconv.Atoi(length)
		if err != nil || tokens <= 0 || tokens > maxPrompt {
			return nil, errors.Newf("prompt length %q is not a whole number from 1 to %d", length, maxPrompt)
		}
		weight, err := strconv.ParseFloat(weightText, 64)
		if err != nil || !(weight > 0) {
			return nil, errors.Newf("weight %q is not a number over 0", weightText)
		}
		out = append(out, PromptShare{tokens, weight})
	}
	slices.SortFunc(out, func(a, b PromptShare) int { return cmp.Compare(a.Tokens, b.Tokens) })
	return out, nil
}

// Check returns an error for the first invalid field.
func (p *Plan) Check() error {
	if len(p.Entries) == 0 {
		return errors.New("no entry address: at least one is required")
	}
	for _, a := range p.Entries {
		if err := checkLoopback(a); err != nil {
			return err
		}
	}
	switch {
	case !(p.Rate > 0) || p.Rate > maxRate:
		return errors.Newf("rate %g is not over 0 and at most %d requests per second", p.Rate, maxRate)
	case p.Duration <= 0 || p.Duration > maxDuration:
		return errors.Newf("duration %s is not over 0 and at most %s", p.Duration, maxDuration)
	case len(p.Mix) == 0:
		return errors.New("mix is empty: at least one prompt length is required")
	case p.Output <= 0:
		return errors.Newf("output of %d tokens is not positive", p.Output)
	case !(p.Once >= 0 && p.Once <= 1):
		return errors.Newf("share %g of calls to the once path is not between 0 and 1", p.Once)
	case p.Limit <= 0:
		return errors.Newf("time limit %s is not positive", p.Limit)
	case p.AtOnce <= 0:
		return errors.Newf("limit of %d requests in flight is not positive", p.AtOnce)
	}
	return nil
}

// checkLoopback returns an error unless addr is an IP and port on the loopback: load must
// not leave this machine.
func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return errors.Newf("entry address %q is not an IP and port", addr)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return errors.Newf("entry address %s is not a loopback address", addr)
	}
	return nil
}
