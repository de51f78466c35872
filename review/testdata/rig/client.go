package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var attemptIDs atomic.Int64

func newAttemptID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), attemptIDs.Add(1)) }

// answer is what a client got of one attempt.
type answer struct {
	status int
	seal   string
	// retryAfter is when the client may come again after a refusal.
	retryAfter time.Duration
	// events are the IDs of the whole events in their order.
	events []int
	// complete is set if the answer ended as its framing says.
	complete bool
	err      error
}

// attempt describes one attempt of a client for a stream.
type attempt struct {
	entry, path, key string
	deadline         time.Duration
	lastEvent        int
}

// send sends one attempt over a new connection and reads the stream.
func send(ctx context.Context, rec *record, a attempt) (id string, ans answer) {
	id = newAttemptID()
	ctx, cancel := context.WithTimeout(ctx, a.deadline)
	defer cancel()
	d := net.Dialer{Timeout: time.Second}
	rec.line("client: %s sent to %s, last-event-id %d", id, a.entry, a.lastEvent)
	defer func() {
		first, last := 0, 0
		if n := len(ans.events); n > 0 {
			first, last = ans.events[0], ans.events[n-1]
		}
		rec.line("client: %s answered %d, events %d to %d (%d), complete %v, error %v", id, ans.status, first, last, len(ans.events), ans.complete, ans.err)
	}()
	conn, err := d.DialContext(ctx, "tcp4", a.entry)
	if err != nil {
		ans.err = err
		return id, ans
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	body := strings.Repeat("p", 1200)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: ficu95.example\r\nBambooproxy-Attempt-Id: %s\r\nBambooproxy-Model: m\r\n"+
		"Bambooproxy-Token-Counts: 5000,800\r\nBambooproxy-Prompt-Prefix: 5c1e07a2:40,%s:4960\r\nBambooproxy-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n",
		a.path, id, id, a.deadline.Milliseconds(), a.key, len(body))
	if a.lastEvent > 0 {
		head += fmt.Sprintf("Last-Event-Id: %d\r\n", a.lastEvent)
	}
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		ans.err = err
		return id, ans
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		ans.err = err
		return id, ans
	}
	defer resp.Body.Close()
	ans.status, ans.seal = resp.StatusCode, resp.Header.Get("Bambooproxy-Runner-Seal")
	if v, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		ans.retryAfter = time.Duration(v * float64(time.Second))
	}
	ans.events, ans.err = readEvents(resp.Body)
	if errors.Is(ans.err, io.EOF) {
		ans.err, ans.complete = nil, true
	}
	return id, ans
}

// readEvents reads events until the end of the stream, which is io.EOF.
func readEvents(body io.Reader) (ids []int, err error) {
	r := bufio.NewReader(body)
	id := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return ids, err
		}
		line = strings.TrimSpace(line)
		if _, scanErr := fmt.Sscanf(line, "id: %d", &id); scanErr == nil {
			continue
		}
		if line == "" && id > 0 {
			ids = append(ids, id)
			id = 0
		}
	}
}
