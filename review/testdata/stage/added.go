package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenes["added"] = added }

const (
	// liveEvents is the number of events of a stream, one every livePause.
	liveEvents = 40
	livePause  = 100 * time.Millisecond
	// patience is the gap after which a client leaves a stream, also before its first event: two seconds, four times the
	// objective or eight times the longest pause, whichever is longest.
	patience = 2 * time.Second
	// requestsPerRoute is how many requests each route gets. The rule wants 20.
	requestsPerRoute = 24
)

// added has a second version of the configuration add a streaming route. It leads to a service without an engine, or, without
// trouble, to the one that the first route leads to.
func added(ctx context.Context, s *stage) (bool, error) {
	if err := s.setUp(ctx, config(1)); err != nil {
		return false, err
	}
	for n, service := range []string{"llm", "llm", "desk", "desk"} {
		r, err := s.newRunner(n, service, func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			id := q.Header.Get("Bambooproxy-Attempt-Id")
			w.Header().Set("Bambooproxy-Attempt-Id", id)
			w.Header().Set("Bambooproxy-Runner-Seal", "seal."+id)
			w.Header().Set("Content-Type", "text/event-stream")
			last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
			for i := last + 1; i <= liveEvents; i++ {
				_, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
				if err == nil {
					err = http.NewResponseController(w).Flush()
				}
				if err != nil || q.Context().Err() != nil {
					s.record.line("runner %d (%s) ends %s after %d events: its connection was closed", n, service, id, i)
					return
				}
				time.Sleep(livePause)
			}
			s.record.line("runner %d (%s) has written all of %s", n, service, id)
		})
		if err != nil {
			return false, err
		}
		go r.beat(ctx)
	}
	time.Sleep(3 * time.Second)

	service := "llm"
	if s.trouble {
		service = "desk"
	}
	c := config(2)
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "r-live", "host": "site.example", "pathPrefix": "/live/", "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 300, "priority": 1,
		"service": service, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapAimMs": 250,
	})
	if err := s.putConfig(ctx, c); err != nil {
		return false, err
	}
	// Later than the bound of configuration, and steady.
	time.Sleep(5 * time.Second)

	var first, later atomic.Int64
	var wg sync.WaitGroup
	for i := range requestsPerRoute {
		for _, route := range []struct {
			path   string
			served *atomic.Int64
		}{{"/chat/1", &first}, {"/live/1", &later}} {
			wg.Go(func() {
				if s.watch(i, route.path) {
					route.served.Add(1)
				}
			})
		}
		time.Sleep(400 * time.Millisecond)
	}
	wg.Wait()
	s.record.line("served: %d of %d on the first route, %d of %d on the one added later", first.Load(), requestsPerRoute, later.Load(), requestsPerRoute)
	if first.Load() == 0 {
		return false, fmt.Errorf("nothing was served on the first route")
	}
	return 4*later.Load() < first.Load(), nil
}

// watch has a client read a stream, and leave it after a gap of patience. It reports whether the stream came whole.
func (s *stage) watch(n int, path string) bool {
	nc, err := net.Dial("tcp4", net.JoinHostPort(s.entries[n%2].host, strconv.Itoa(frontPort)))
	if err != nil {
		s.record.line("client %d %s: %v", n, path, err)
		return false
	}
	defer nc.Close()
	gap := time.AfterFunc(patience, func() { nc.Close() })
	defer gap.Stop()
	began := time.Now()
	s.send(nc, http.MethodPost, path, fmt.Sprintf("%s%d", path[1:5], n), "hi")
	r := readStream(bufio.NewReader(nc), func(int) { gap.Reset(patience) })
	s.record.line("client %d %s: status %d, %d of %d events after %s, %v", n, path, r.status, r.events, liveEvents, time.Since(began).Round(time.Millisecond), r.err)
	return r.status == http.StatusOK && r.err == nil && r.events == liveEvents
}
