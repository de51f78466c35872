package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/platform"
)

const (
	// askers is how many callers ask faulty targets at a time: a few less than an entry has places for.
	askers = 80
	// faultyTargets is how many targets of a pool send bytes without end.
	faultyTargets = 8
	// faultyTime is how long the targets send before anything is checked.
	faultyTime = 5 * time.Second
	// faultyPath and streamPath lead to faulty targets of a service and of a pool of engines.
	faultyPath = "/faulty/"
	streamPath = "/stream/"
	faultyPool = "faulty"
	enginePool = "engines"
)

// faultyTables returns the tables of a version with the faulty pools.
func faultyTables(version int64) *site.Tables {
	out := tables(version)
	for _, p := range []struct {
		name, path string
		kind       site.Kind
		engine     *site.Engine
	}{
		{faultyPool, faultyPath, site.Idempotent, nil},
		{enginePool, streamPath, site.Streaming, &site.Engine{Slots: 16, Memory: 400_000, Step: time.Millisecond, Rate: 150_000, Chunk: 2048, Stride: 20}},
	} {
		out.Pools = append(out.Pools, site.Pool{Name: p.name, Connections: 400, Engine: p.engine})
		out.Routes = append(out.Routes, site.Route{
			Name: p.name, Host: hostName, Prefix: p.path, Kind: p.kind, Limit: 2 * patience, Aim: 10 * time.Second, Pause: 5 * time.Second,
			Attempts: 2, Public: true, Split: []site.PoolWeight{{Pool: p.name, Weight: 1}},
		})
	}
	return out
}

// answer is what a faulty target writes to the request r before it goes on byte by byte.
type answer func(c net.Conn, r *http.Request) error

// startFaulty starts targets of a pool that send an answer without end, and returns the number of answers that have begun.
func startFaulty(s *testSite, pool string, send answer) *atomic.Int64 {
	begun := new(atomic.Int64)
	ctx, cancel := context.WithCancel(s.t.Context())
	s.t.Cleanup(cancel)
	for i := range faultyTargets {
		ln, err := net.Listen("tcp4", addr(hostOf(10+i), targetPort))
		quicktest.Assert(s.t, err, quicktest.IsNil)
		context.AfterFunc(ctx, func() { ln.Close() })
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go serveFaulty(ctx, c, send, begun)
			}
		}()
		x := &target{announced: site.Target{
			ID: fmt.Sprint(pool, "-", i), Pool: pool, Address: ln.Addr().String(), DataCentre: dataCentre, Slots: 16, State: site.Ready, StartedMs: time.Now().UnixMilli(),
		}}
		x.announce(s.t, s.control.settings.Control)
	}
	return begun
}

func serveFaulty(ctx context.Context, c net.Conn, send answer, begun *atomic.Int64) {
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		begun.Add(1)
		if send(c, r) == nil {
			trickle(ctx, c, strings.Repeat("x", 1000))
		}
	}
}

// manyFields begins a head of many short fields, which take a multiple of its bytes, and doesn't end it.
func manyFields(c net.Conn, _ *http.Request) error {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n")
	for i := 0; b.Len() < 63_000; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return write(c, b.String())
}

// replyHead returns the head of an answer to r up to the empty line.
func replyHead(r *http.Request, status int, fields string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s", status, http.StatusText(status), fields)
	call, _, err := platform.DecodeRequest(r.Header)
	if err != nil {
		return err.Error()
	}
	// A write to a strings.Builder can't fail.
	_ = platform.EncodeReply(gate.ReplyInfo{RequestID: call.ID}, "seal").Write(&b)
	return b.String() + "\r\n"
}

// longEvent begins a stream with an event of almost a megabyte, and doesn't end it.
func longEvent(c net.Conn, r *http.Request) error {
	return write(c, replyHead(r, http.StatusOK, ""), "id: 1\ndata: ", strings.Repeat("x", 1_000_000))
}

// stoppedBody begins a body of 10 MB, and doesn't end it.
func stoppedBody(c net.Conn, r *http.Request) error {
	return write(c, replyHead(r, http.StatusOK, "Content-Length: 10000000\r\n"), strings.Repeat("x", 1_000_000))
}

// eventsWithoutEnd sends events as fast as they are taken.
func eventsWithoutEnd(c net.Conn, r *http.Request) error {
	err := write(c, replyHead(r, http.StatusOK, ""))
	for i := 1; err == nil; i++ {
		err = write(c, fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 4000)))
	}
	return err
}

// unreadBytes returns what the system holds of the answers of faulty targets that the entry hasn't read.
func unreadBytes(t *testing.T) (sum int64) {
	b, err := os.ReadFile("/proc/net/tcp")
	quicktest.Assert(t, err, quicktest.IsNil)
	for line := range strings.Lines(string(b)) {
		var i, state int
		var local, remote, rest string
		var unsent, unread int64
		if n, _ := fmt.Sscanf(line, "%d: %s %s %X %X:%X %s", &i, &local, &remote, &state, &unsent, &unread, &rest); n < 6 {
			continue
		}
		for i := range faultyTargets {
			ip := net.ParseIP(hostOf(10 + i)).To4()
			if remote == fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], targetPort) {
				sum += unread
			}
		}
	}
	return sum
}

// askAgain returns members that send a request and another one on a new connection when it was answered.
func askAgain(path string) member {
	return func(ctx context.Context, c net.Conn, i int) error {
		if err := ask(path)(ctx, c, i); err != nil {
			return err
		}
		_, err := io.Copy(io.Discard, c)
		return err
	}
}

// ask returns members that send a request and read nothing.
func ask(path string) member {
	return func(_ context.Context, c net.Conn, i int) error {
		info := gate.CallInfo{ID: fmt.Sprint("ask-", i, "-", time.Now().UnixNano()), TimeLimit: patience, PromptTokens: 100, MaxOutputTokens: 100}
		var b strings.Builder
		fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: 0\r\n", path, hostName)
		// A write to a strings.Builder can't fail.
		_ = platform.EncodeCall(info).Write(&b)
		return write(c, b.String(), "\r\n")
	}
}

// newFaultySite starts a site with the faulty pools.
func newFaultySite(t *testing.T) *testSite {
	s := newSite(t)
	s.lastVersion++
	doc, err := platform.EncodeTables(faultyTables(s.lastVersion))
	quicktest.Assert(t, err, quicktest.IsNil)
	status, err := call(http.MethodPut, "http://"+s.control.settings.Control+platform.ConfigPath, doc)
	quicktest.Assert(t, wantStatus(status, err), quicktest.IsNil)
	return s
}

// testFaulty has a crowd ask faulty targets.
func testFaulty(t *testing.T, pool, path string, send answer) {
	s := newFaultySite(t)
	begun := startFaulty(s, pool, send)
	startCrowd(t, askers, s.entry.settings.Callers, askAgain(path))
	time.Sleep(faultyTime)
	quicktest.Check(t, begun.Load() >= askers/2, quicktest.IsTrue, quicktest.Commentf("%d answers", begun.Load()))
	s.check()
	s.await("a large answer is served", func() error { return s.send(largePath) })
	t.Logf("%d answers without end", begun.Load())
}

// TestHeadsOfAnswersWithoutEnd: targets begin heads of many fields and add a byte from time to time.
func TestHeadsOfAnswersWithoutEnd(t *testing.T) {
	testFaulty(t, faultyPool, faultyPath+"1", manyFields)
}

// TestEventsWithoutEnd: engines begin long events and add a byte from time to time.
func TestEventsWithoutEnd(t *testing.T) { testFaulty(t, enginePool, streamPath+"1", longEvent) }

// TestBodiesOfAnswersStopShort: bodies that stop half-way must leave room for others.
func TestBodiesOfAnswersStopShort(t *testing.T) {
	testFaulty(t, faultyPool, faultyPath+"1", stoppedBody)
}

// TestReceiveBuffersOfUnreadAnswers: the system may hold no more of answers that stay unread than connections may take.
func TestReceiveBuffersOfUnreadAnswers(t *testing.T) {
	s := newFaultySite(t)
	startFaulty(s, enginePool, eventsWithoutEnd)
	time.Sleep(settleTime)
	startCrowd(t, askers, s.entry.settings.Callers, ask(streamPath+"1"))
	unread := unreadBytes(t)
	quicktest.Check(t, unread > memory<<20/32, quicktest.IsTrue, quicktest.Commentf("%d bytes", unread))
	quicktest.Check(t, unread <= memory<<20/4, quicktest.IsTrue, quicktest.Commentf("%d bytes", unread))
	t.Logf("%d KB of answers are unread", unread>>10)
	s.check()
}
