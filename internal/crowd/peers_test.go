package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc/drpcwire"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/quorum"
	"github.com/bambooproxy/bambooproxy/internal/relay"
	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// maxMessage is the size of the longest message that instances accept, and maxFrame that of the
	// longest frame that they send.
	maxMessage = 4 << 20
	maxFrame   = 64 << 10
	// maxElements is the length of the longest list that they accept.
	maxElements = 131_072
	stepMethod  = "quorum.step"
)

// peerCrowd holds the connections of a crowd to the ports for peers of both processes.
type peerCrowd struct {
	site  *testSite
	wait  sync.WaitGroup
	mu    sync.Mutex
	conns []net.Conn
}

// newPeerCrowd returns a crowd that ends with the test.
func newPeerCrowd(s *testSite) *peerCrowd {
	c := &peerCrowd{site: s}
	s.t.Cleanup(func() {
		c.mu.Lock()
		for _, conn := range c.conns {
			conn.Close()
		}
		c.mu.Unlock()
		c.wait.Wait()
	})
	return c
}

// connect opens n connections to each process. On each of them, serve runs on a goroutine of its own,
// and what is received meanwhile is dropped if reads is set.
func (c *peerCrowd) connect(n int, reads bool, serve func(w io.Writer)) {
	for range n {
		for _, p := range []*process{c.site.control, c.site.entry} {
			conn, err := net.DialTimeout("tcp4", p.settings.Peers, patience)
			if err != nil {
				continue // The process may refuse a crowd.
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			if reads {
				c.wait.Go(func() { _, _ = io.Copy(io.Discard, conn) }) // Ends with the connection.
			}
			c.wait.Go(func() {
				_ = conn.SetWriteDeadline(time.Now().Add(patience))
				serve(conn)
			})
		}
	}
}

// settle waits until the writes of the crowd end or block, as far as patience allows.
func (c *peerCrowd) settle() { time.Sleep(3 * time.Second) }

// check checks that both processes live within their limits, and serve callers and peers.
func (c *peerCrowd) check() {
	s := c.site
	s.t.Helper()
	s.check()
	s.await("an ordinary call to the control instance is answered", func() error {
		var r quorum.Report
		err := callPeer(s.control, &r)
		if err == nil && !r.IsLeader {
			return errRefused
		}
		return err
	})
	s.await("an ordinary call to the entry is answered", func() error {
		err := callPeer(s.entry, &quorum.Report{})
		if err != nil && strings.Contains(err.Error(), "unknown method") {
			return nil
		}
		return err
	})
	s.entry.check(s.t)
	s.control.check(s.t)
}

// callPeer calls a process as another instance. An error without an answer is errRefused.
func callPeer(p *process, out *quorum.Report) error {
	pool := &wire.Pool{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", addr)
	}}
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := pool.Call(ctx, p.settings.Peers, "quorum.report", &quorum.ReportRequest{}, out)
	if err == nil {
		return nil
	}
	if e := verd.From(err); e.Reason == verd.Unreached || e.Reason == verd.Overloaded {
		return errors.Mark(err, errRefused)
	}
	return err
}

// frames returns a packet in frames of at most size bytes, without its last byte if it is unfinished.
func frames(kind drpcwire.Kind, stream, message uint64, data []byte, size int, unfinished bool) []byte {
	var out []byte
	for first := true; first || len(data) > 0; first = false {
		n := min(size, len(data))
		out = drpcwire.AppendFrame(out, drpcwire.Frame{
			Data: data[:n], ID: drpcwire.ID{Stream: stream, Message: message}, Kind: kind, Done: n == len(data),
		})
		data = data[n:]
	}
	if unfinished {
		return out[:len(out)-1]
	}
	return out
}

// invoke returns the frame that begins a call.
func invoke(stream uint64, method string) []byte {
	return frames(drpcwire.KindInvoke, stream, 1, []byte(method), maxFrame, false)
}

// encode returns v as CBOR, and encodeCall the message of a call with that input.
func encode(t *testing.T, v any) []byte {
	t.Helper()
	b, err := cbor.Marshal(v)
	quicktest.Assert(t, err, quicktest.IsNil)
	return b
}

func encodeCall(t *testing.T, body []byte) []byte {
	t.Helper()
	return encode(t, map[int]any{2: cbor.RawMessage(body)})
}

// send writes all parts, as far as the peer takes them.
func send(w io.Writer, parts ...[]byte) bool {
	for _, b := range parts {
		if _, err := w.Write(b); err != nil {
			return false
		}
	}
	return true
}

// emptyMaps returns a CBOR list of n empty maps, one byte each.
func emptyMaps(n int) []byte {
	return append([]byte{0x9a, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, bytes.Repeat([]byte{0xa0}, n)...)
}

// TestPeersUnfinishedMessages guards against messages of legal size that stop short of their end.
func TestPeersUnfinishedMessages(t *testing.T) {
	c := newPeerCrowd(newSite(t))
	message := frames(drpcwire.KindMessage, 1, 2, make([]byte, maxMessage-64), maxFrame, true)
	c.connect(48, true, func(w io.Writer) { send(w, invoke(1, stepMethod), message) })
	c.settle()
	c.check()
}

// TestPeersUnfinishedFrames guards against frames that announce a huge size and stop short of it.
func TestPeersUnfinishedFrames(t *testing.T) {
	c := newPeerCrowd(newSite(t))
	message := frames(drpcwire.KindMessage, 1, 2, make([]byte, maxMessage-64), maxMessage, true)
	c.connect(48, true, func(w io.Writer) { send(w, invoke(1, stepMethod), message) })
	c.settle()
	c.check()
}

// TestPeersTinyFrames guards against messages of very many frames of a byte that never end.
func TestPeersTinyFrames(t *testing.T) {
	c := newPeerCrowd(newSite(t))
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: []byte{0}, ID: drpcwire.ID{Stream: 1, Message: 2}, Kind: drpcwire.KindMessage})
	part := bytes.Repeat(frame, 1<<14)
	c.connect(24, true, func(w io.Writer) {
		send(w, invoke(1, stepMethod))
		for range (maxMessage - 64) / (1 << 14) {
			if !send(w, part) {
				return
			}
		}
	})
	c.settle()
	c.check()
}

// TestPeersKeptBuffers guards against calls of legal size on connections that stay open and silent.
func TestPeersKeptBuffers(t *testing.T) {
	c := newPeerCrowd(newSite(t))
	call := encodeCall(t, encode(t, map[int]any{9: make([]byte, maxMessage-256)}))
	for _, size := range []int{maxFrame, maxMessage} {
		message := frames(drpcwire.KindMessage, 1, 2, call, size, false)
		c.connect(24, true, func(w io.Writer) { send(w, invoke(1, stepMethod), message) })
	}
	c.settle()
	c.check()
}

// TestPeersSilentConnections guards against connections that send nothing, or a part of a frame.
func TestPeersSilentConnections(t *testing.T) {
	c := newPeerCrowd(newSite(t))
	c.connect(200, true, func(io.Writer) {})
	c.connect(200, true, func(w io.Writer) { send(w, invoke(1, stepMethod)[:5]) })
	c.settle()
	c.check()
}

// TestPeersIdleConnections guards against connections that stay open after a call.
func TestPeersIdleConnections(t *testing.T) {
	c := newPeerCrowd(newSite(t))
	message := frames(drpcwire.KindMessage, 1, 2, encodeCall(t, []byte{0xa0}), maxFrame, false)
	c.connect(400, true, func(w io.Writer) { send(w, invoke(1, "quorum.report"), message) })
	c.settle()
	c.check()
}

// TestPeersCostlyMessages guards against messages of legal size that take many times as much memory
// when they are decoded.
func TestPeersCostlyMessages(t *testing.T) {
	c := newPeerCrowd(newSite(t))
	hello := encode(t, link.FollowerMessage{Hello: &link.Hello{Name: "crowd", PeerAddr: "127.0.0.1:1", DataCentre: dataCentre, Revision: link.NoUpdates}})
	lists := map[int]any{}
	for _, key := range []int{2, 5, 7, 8, 9, 10, 11, 12, 13, 14, 15, 21} {
		lists[key] = cbor.RawMessage(emptyMaps(maxElements))
	}
	message := frames(drpcwire.KindMessage, 1, 3, encode(t, lists), maxFrame, false)
	begin := append(invoke(1, link.Method), frames(drpcwire.KindMessage, 1, 2, hello, maxFrame, false)...)
	c.connect(16, true, func(w io.Writer) { send(w, begin, message) })
	batch := encode(t, map[int]any{3: []any{map[int]any{4: 3, 5: map[int]any{3: cbor.RawMessage(emptyMaps(maxElements))}}}})
	call := frames(drpcwire.KindMessage, 1, 2, encodeCall(t, batch), maxFrame, false)
	c.connect(32, true, func(w io.Writer) { send(w, invoke(1, stepMethod), call) })
	deep := bytes.Repeat([]byte{0x81}, maxMessage-256)
	nested := frames(drpcwire.KindMessage, 1, 2, append([]byte{0xa1, 0x02}, deep...), maxFrame, false)
	c.connect(8, true, func(w io.Writer) { send(w, invoke(1, stepMethod), nested) })
	huge := frames(drpcwire.KindMessage, 1, 2, []byte{0xa1, 0x02, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, maxFrame, false)
	c.connect(8, true, func(w io.Writer) { send(w, invoke(1, stepMethod), huge) })
	c.settle()
	c.check()
}

// TestPeersUnreadAnswers guards against very many calls whose answers nobody reads.
func TestPeersUnreadAnswers(t *testing.T) {
	c := newPeerCrowd(newSite(t))
	message := encodeCall(t, []byte{0xa0})
	name := strings.Repeat("\x01", 1<<20)
	c.connect(32, false, func(w io.Writer) {
		for i := range uint64(64) {
			if !send(w, invoke(i+1, name), frames(drpcwire.KindMessage, i+1, 2, message, maxFrame, false)) {
				return
			}
		}
	})
	c.connect(32, false, func(w io.Writer) {
		for i := range uint64(50_000) {
			if !send(w, invoke(i+1, "quorum.report"), frames(drpcwire.KindMessage, i+1, 2, message, maxFrame, false)) {
				return
			}
		}
	})
	c.settle()
	c.check()
}

// TestPeersEndlessFrames guards against metadata and calls without a message that come without end.
func TestPeersEndlessFrames(t *testing.T) {
	c := newPeerCrowd(newSite(t))
	metadata := bytes.Repeat([]byte{0x0a, 0x04, 0x0a, 0x00, 0x12, 0x00}, (maxMessage-64)/6)
	c.connect(24, true, func(w io.Writer) {
		for i := range uint64(32) {
			if !send(w, frames(drpcwire.KindInvokeMetadata, i+1, 1, metadata, maxFrame, false)) {
				return
			}
		}
	})
	c.connect(24, true, func(w io.Writer) {
		for i := range uint64(100_000) {
			if !send(w, invoke(i+1, stepMethod)) {
				return
			}
		}
	})
	c.settle()
	c.check()
}

// TestPeersForeignBytes guards against clients that speak another protocol.
func TestPeersForeignBytes(t *testing.T) {
	c := newPeerCrowd(newSite(t))
	c.connect(24, true, func(w io.Writer) {
		send(w, []byte("POST /config HTTP/1.1\r\nHost: crowd.example\r\nContent-Length: 4000000\r\n\r\n"), make([]byte, maxMessage-100))
	})
	c.connect(24, true, func(w io.Writer) { send(w, bytes.Repeat([]byte{0xff}, maxMessage)) })
	c.connect(24, true, func(w io.Writer) { send(w, bytes.Repeat([]byte{0x16, 0x03, 0x01}, maxMessage/3)) })
	c.settle()
	c.check()
}

// TestPeersStreams guards against links and tunnels that are opened and then silent, or read nothing.
func TestPeersStreams(t *testing.T) {
	c := newPeerCrowd(newSite(t))
	c.connect(60, false, func(w io.Writer) { send(w, invoke(1, link.Method)) })
	c.connect(60, false, func(w io.Writer) {
		send(w, invoke(1, relay.Method), frames(drpcwire.KindMessage, 1, 2, encode(t, map[int]any{1: c.site.target.announced.Address}), maxFrame, false))
	})
	c.connect(60, false, func(w io.Writer) {
		send(w, invoke(1, relay.Method), frames(drpcwire.KindMessage, 1, 2, encode(t, map[int]any{1: "127.0.0.1:9"}), maxFrame, false))
	})
	c.settle()
	c.check()
}

// TestPeersLinkedStrangers guards against links of unknown instances that report without end on targets
// and requests that nobody knows.
func TestPeersLinkedStrangers(t *testing.T) {
	const links, messages, listed = 8, 60, 10_000
	c := newPeerCrowd(newSite(t))
	var count atomic.Int64
	c.connect(links, true, func(w io.Writer) {
		name := fmt.Sprintf("stranger-%d", count.Add(1))
		hello := encode(t, link.FollowerMessage{Hello: &link.Hello{Name: name, PeerAddr: "127.0.0.1:1", DataCentre: dataCentre, Revision: link.NoUpdates}})
		if !send(w, invoke(1, link.Method), frames(drpcwire.KindMessage, 1, 2, hello, maxFrame, false)) {
			return
		}
		number := uint64(2)
		for i := range messages {
			var ids, cold, limits, requests, grants, entries []any
			for j := range listed {
				id := fmt.Sprintf("%s-%d-%d", name, i, j)
				ids = append(ids, id)
				cold = append(cold, map[int]any{1: id, 2: 1, 3: int64(time.Hour)})
				limits = append(limits, map[int]any{1: id, 2: 1, 3: 1.5, 4: true})
				requests = append(requests, map[int]any{1: id, 2: pool, 8: int64(time.Hour), 5: int64(time.Hour)})
				grants = append(grants, map[int]any{1: map[int]any{1: id, 2: pool, 8: int64(time.Hour)}, 2: id})
				entries = append(entries, map[int]any{1: id, 2: dataCentre, 3: "127.0.0.1:1"})
			}
			for key, v := range map[int]any{4: ids, 6: ids, 15: cold, 14: limits, 5: requests, 9: grants, 2: entries} {
				number++
				part := map[int]any{key: v, 3: key == 2}
				if !send(w, frames(drpcwire.KindMessage, 1, number, encode(t, part), maxFrame, false)) {
					return
				}
			}
		}
	})
	c.settle()
	c.check()
}
