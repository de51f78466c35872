package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

func init() { scenes["numbers"] = numbers }

const (
	// numberedEvents is the number of events of an answer, and idStep what their ids increase by with trouble: the number of
	// tokens in an event, as a runner has it that numbers events by their tokens.
	numberedEvents = 10
	idStep         = 34
	// keptConnections is the number of connections, and maxLost how many of them may be closed without an answer.
	keptConnections = 8
	maxLost         = 3
)

// numbers has runners whose events have increasing ids, which are consecutive without trouble.
func numbers(ctx context.Context, s *stage) (bool, error) {
	if err := s.setUp(ctx, config(1)); err != nil {
		return false, err
	}
	step := 1
	if s.trouble {
		step = idStep
	}
	for n, service := range []string{"llm", "llm", "desk"} {
		r, err := s.newRunner(n, service, func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			id := q.Header.Get("Bambooproxy-Attempt-Id")
			w.Header().Set("Bambooproxy-Attempt-Id", id)
			w.Header().Set("Bambooproxy-Runner-Seal", "seal."+id)
			if service != "llm" {
				fmt.Fprint(w, "done")
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
			s.record.line("runner %d runs %s, Last-Event-Id %q", n, id, q.Header.Get("Last-Event-Id"))
			for i := last/step + 1; i <= numberedEvents; i++ {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i*step, i); err != nil {
					return
				}
				_ = http.NewResponseController(w).Flush()
				time.Sleep(30 * time.Millisecond)
			}
		})
		if err != nil {
			return false, err
		}
		go r.beat(ctx)
	}
	time.Sleep(3 * time.Second)

	lost := 0
	for i := range keptConnections {
		nc, err := net.Dial("tcp4", net.JoinHostPort(s.entries[i%2].ip, strconv.Itoa(frontPort)))
		if err != nil {
			return false, err
		}
		in := bufio.NewReader(nc)
		// The connection is kept after a first request.
		s.send(nc, "GET", "/read/1", fmt.Sprintf("k%d", i), "")
		if r := readStream(in, nil); r.status != http.StatusOK || r.err != nil {
			return false, fmt.Errorf("first request: status %d, %w", r.status, r.err)
		}
		s.send(nc, "POST", "/chat/1", fmt.Sprintf("a%d", i), "hi")
		r := readStream(in, nil)
		nc.Close()
		isLost := r.err != nil
		s.record.line("client a%d: status %d, %d of %d events, %v", i, r.status, r.events, numberedEvents, r.err)
		if isLost {
			lost++
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.record.line("%d connections closed without a complete answer, allowed %d", lost, maxLost)
	return lost > maxLost, nil
}
