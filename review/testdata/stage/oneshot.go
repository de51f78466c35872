package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

func init() { scenes["oneshot"] = oneshot }

// receipt is the answer of a runner to a request that isn't a stream.
const receipt = `{"done":true}`

// oneshot has a second version of the configuration add a route whose requests may run once. It leads to a service with an
// engine, or, without trouble, to the one that the first such route leads to.
func oneshot(ctx context.Context, s *stage) (bool, error) {
	if err := s.setUp(ctx, config(1)); err != nil {
		return false, err
	}
	var ran atomic.Int64
	for n, service := range []string{"llm", "llm", "desk", "desk"} {
		r, err := s.newRunner(n, service, func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			id := q.Header.Get("Bambooproxy-Attempt-Id")
			w.Header().Set("Bambooproxy-Attempt-Id", id)
			w.Header().Set("Bambooproxy-Runner-Seal", "seal."+id)
			w.Header().Set("Content-Type", "application/json")
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(w, receipt)
			s.record.line("runner %d (%s) has run %s and answered it with 200", n, service, id)
			if q.URL.Path == "/added/1" {
				ran.Add(1)
			}
		})
		if err != nil {
			return false, err
		}
		go r.beat(ctx)
	}
	time.Sleep(3 * time.Second)

	service := "desk"
	if s.trouble {
		service = "llm"
	}
	c := config(2)
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "r-added", "host": "site.example", "pathPrefix": "/added/", "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2,
		"service": service, "maxAttempts": 1, "public": false,
	})
	if err := s.putConfig(ctx, c); err != nil {
		return false, err
	}
	// Later than the bound of configuration, and steady.
	time.Sleep(5 * time.Second)

	served := make(map[string]int)
	for i := range requestsPerRoute {
		for _, path := range []string{"/once/1", "/added/1"} {
			status, body, err := s.order(i, path)
			s.record.line("client %d %s: status %d, %q, %v", i, path, status, body, err)
			if status == http.StatusOK && body == receipt {
				served[path]++
			}
		}
	}
	first, later := served["/once/1"], served["/added/1"]
	s.record.line("served: %d of %d on the first route, %d of %d on the one added later, of which %d have run", first, requestsPerRoute, later, requestsPerRoute, ran.Load())
	if first == 0 {
		return false, fmt.Errorf("nothing was served on the first route")
	}
	return 4*later < first, nil
}

// order has a client send a request that may run once, and returns the answer.
func (s *stage) order(n int, path string) (status int, body string, err error) {
	nc, err := net.Dial("tcp4", net.JoinHostPort(s.entries[n%2].host, strconv.Itoa(frontPort)))
	if err != nil {
		return 0, "", err
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
	s.send(nc, http.MethodPost, path, fmt.Sprintf("%s%d", path[1:5], n), "hi")
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}
