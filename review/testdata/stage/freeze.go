package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { scenes["freeze"] = freeze }

const (
	// streamEvents is the number of events of an answer, one every 100 ms.
	streamEvents = 80
	// freezeTime and downTime are how long the entry stands still and the runner is down.
	freezeTime = 4 * time.Second
	downTime   = 3 * time.Second
	clients    = 4
)

// freeze has an entry stand still while a runner whose streams it passes on crashes and starts again at its address.
func freeze(ctx context.Context, s *stage) (bool, error) {
	c := config(1)
	route := c["routes"].([]any)[0].(map[string]any)
	route["timeoutMs"], route["targetLatencyMs"], route["gapAimMs"] = 15000, 3000, 1000
	if err := s.setUp(ctx, c); err != nil {
		return false, err
	}
	addr := loopback(100) + ":8080"
	first, err := s.startRunner("i-7f3a0001", "llm", addr, streamEvents)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	begun := make(chan struct{}, clients)
	results := make([]stream, clients)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			nc, err := net.Dial("tcp4", net.JoinHostPort(s.entries[0].host, strconv.Itoa(frontPort)))
			if err != nil {
				results[i].err = err
				return
			}
			defer nc.Close()
			s.send(nc, "POST", "/chat/1", fmt.Sprintf("a%d", i), "hi")
			results[i] = readStream(bufio.NewReader(nc), func(n int) {
				if n == 10 {
					begun <- struct{}{}
				}
			})
		})
	}
	for range clients {
		select {
		case <-begun:
		case <-time.After(8 * time.Second):
			return false, fmt.Errorf("the streams did not begin")
		}
	}
	// The second runner is there for whoever is to go on.
	second, err := s.startRunner("i-7f3a0002", "llm", loopback(101)+":8080", streamEvents)
	if err != nil {
		return false, err
	}
	defer second.kill()
	if s.trouble {
		s.record.line("%s stands still", s.entries[0].name)
		s.signal(s.entries[0], syscall.SIGSTOP)
		stopped := time.Now()
		time.Sleep(300 * time.Millisecond)
		first.kill()
		s.record.line("runner i-7f3a0001 crashed")
		time.Sleep(downTime)
		if first, err = s.startRunner("i-7f3a0003", "llm", addr, streamEvents); err != nil {
			return false, err
		}
		time.Sleep(time.Until(stopped.Add(freezeTime)))
		s.signal(s.entries[0], syscall.SIGCONT)
		s.record.line("%s goes on", s.entries[0].name)
	}
	defer func() { first.kill() }()
	wg.Wait()
	isBroken := false
	for i, r := range results {
		complete := r.err == nil
		s.record.line("client a%d: status %d, %d of %d events, last %q, ended as complete %t (%v)", i, r.status, r.events, streamEvents, r.last, complete, r.err)
		isBroken = isBroken || r.status == 200 && complete && r.events < streamEvents
	}
	return isBroken, nil
}
