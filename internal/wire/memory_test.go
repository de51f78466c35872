package wire

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// testMemory is the memory of a process in bytes, and decodeLimit the part of it for decoding.
	testMemory  = 96 << 20
	decodeLimit = 16 << 20
)

// callTakes makes a call with a body of some bytes, and returns how long it took.
func (s *testServer) callTakes(method string, bytes int) (time.Duration, error) {
	p := &Pool{Dial: s.net.Dialer(clientAddr)}
	defer p.Close()
	in, out := make([]byte, bytes), []byte{}
	began := time.Now()
	err := p.Call(s.t.Context(), serverAddr, method, &in, &out)
	return time.Since(began), err
}

// openUnread opens a stream whose messages nobody reads, and sends the first message.
func (s *testServer) openUnread(method string, first any) *rawConn {
	s.t.Helper()
	c, err := s.net.Dialer(clientAddr)(s.t.Context(), serverAddr)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	r := &rawConn{Conn: c, ended: make(chan struct{})}
	r.send(s.t, call(s.t, method, first))
	return r
}

// TestLargeMessageLeavesMemory guards against a message that takes all memory for decoding while it is handled:
// others of ordinary sizes are answered at once, and a large one once it has ended.
func TestLargeMessageLeavesMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, testMemory)
		c := s.dial()
		c.send(t, call(t, "stuck", make([]bool, (decodeLimit-2000)/(MaxElementBytes+2))))
		synctest.Wait()
		for range 3 {
			d, err := s.callTakes("echo", 100<<10)
			quicktest.Check(t, err, quicktest.IsNil)
			quicktest.Check(t, d < time.Second, quicktest.IsTrue, quicktest.Commentf("call took %s", d))
		}
		_, err := s.callTakes("echo", 3<<20)
		quicktest.Check(t, verd.From(err).Reason, quicktest.Equals, verd.Overloaded)
		c.Close()
		close(s.stuck)
		synctest.Wait()
		_, err = s.callTakes("echo", 3<<20)
		quicktest.Check(t, err, quicktest.IsNil)
	})
}

// TestUnreadAnswerHoldsNoDecodeMemory guards against streams that send a message as large as may be, and don't
// read the answer.
func TestUnreadAnswerHoldsNoDecodeMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, testMemory)
		for range 8 { // All of the memory, twice.
			defer s.openUnread("greet", make([]bool, (decodeLimit/largeDivisor-2000)/(MaxElementBytes+2))).Close()
			synctest.Wait()
		}
		quicktest.Check(t, s.greeted.Load(), quicktest.Equals, int64(8))
		d, err := s.callTakes("echo", 3<<20)
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, d < time.Second, quicktest.IsTrue, quicktest.Commentf("call took %s", d))
	})
}

// TestWaitForMemoryIsNotSilence guards against streams that end because the server had no memory for their first
// message for longer than it waits for it to come.
func TestWaitForMemoryIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, testMemory)
		held := s.dial()
		held.send(t, call(t, "stuck", make([]byte, 3<<20)))
		synctest.Wait()
		c := s.openUnread("greet", make([]byte, 3<<20))
		defer c.Close()
		silent := s.dial()
		silent.send(t, call(t, "greet", make([]byte, 10))[:20])
		time.Sleep(3 * time.Second)
		quicktest.Check(t, s.greeted.Load(), quicktest.Equals, int64(0))
		held.Close()
		close(s.stuck)
		time.Sleep(time.Second)
		quicktest.Check(t, s.greeted.Load(), quicktest.Equals, int64(1))
		<-silent.ended
	})
}

// TestCallsWithoutTimeoutEnd guards against calls that a stranger has handled for good.
func TestCallsWithoutTimeoutEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, testMemory)
		d, err := s.callTakes("wait", 1)
		quicktest.Check(t, err, quicktest.IsNotNil)
		quicktest.Check(t, d, quicktest.Equals, callTimeout)
	})
}

// TestDecodeMemory checks that a large message waits for the others, that these go first, and that the memory
// exceeds its limit by the part that a large one leaves at most.
func TestDecodeMemory(t *testing.T) {
	m := newDecodeMemory(100)
	try := func(bytes int64, want bool) {
		t.Helper()
		ok, _ := m.tryAcquire(bytes)
		quicktest.Check(t, ok, quicktest.Equals, want)
	}
	try(25, true)
	try(25, true)
	try(100, false) // More than a quarter is in use.
	try(25, true)
	try(25, true)
	try(1, false)
	for range 3 {
		m.release(25)
	}
	try(100, true)
	try(26, false) // One large one at a time.
	try(1, false)
	m.release(25)
	try(25, true)
	m.release(100)
	try(75, true)
	m.release(75)
	m.release(25)
	quicktest.Check(t, m.small+m.large, quicktest.Equals, int64(0))
}

// TestReceiveAfterEndOfStream guards against connections that count as streams for good, with the memory of their
// last message: a goroutine receives one while the handler of its stream returns.
func TestReceiveAfterEndOfStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, testMemory)
		held := s.dial()
		held.send(t, call(t, "stuck", make([]byte, 3<<20)))
		synctest.Wait()
		c := s.dial()
		c.send(t, call(t, "late", make([]byte, 3<<20)))
		synctest.Wait()
		close(s.leave)
		synctest.Wait()
		held.Close()
		close(s.stuck)
		quicktest.Check(t, <-s.late, quicktest.IsNotNil)
		_, err := s.callTakes("echo", 3<<20)
		quicktest.Check(t, err, quicktest.IsNil)
		time.Sleep(2 * idleTimeout)
		select {
		case <-c.ended:
		default:
			t.Error("connection still open")
		}
	})
}
