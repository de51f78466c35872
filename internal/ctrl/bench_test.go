package ctrl

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/ledger"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// measureTime is how long each benchmark measures an idle site.
const measureTime = 10 * time.Second

// loopbackSite is a site whose control instance and members run in one process and talk
// over loopback addresses.
type loopbackSite struct {
	b *testing.B
	// seed is the address of the control instance.
	seed string
	// bytes counts what is written to all connections.
	bytes atomic.Int64
	ctx   context.Context
	wg    sync.WaitGroup
}

// countingConn is a connection that counts the bytes written to it.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// countingListener counts the bytes written to the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

func (l *loopbackSite) dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	return countingConn{c, &l.bytes}, err
}

func (l *loopbackSite) serve(srv *wire.Server) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(l.b, err, quicktest.IsNil)
	l.wg.Go(func() { _ = srv.Serve(l.ctx, countingListener{ln, &l.bytes}) })
	return ln.Addr().String()
}

func (l *loopbackSite) startControl() {
	m := &Machine{}
	s := &Server{Tables: tables("a", "b"), Machine: m, Replicated: &MemoryLog{Machine: m}, Log: quietLogger()}
	l.seed = l.serve(&wire.Server{Methods: s.Methods()})
	l.wg.Go(func() { _ = s.Run(l.ctx) })
}

func (l *loopbackSite) startMember(n int) *Agent {
	srv := &wire.Server{}
	pool := &wire.Pool{Dial: l.dial}
	m := member.Member{Name: fmt.Sprintf("m%03d", n), DataCentre: fmt.Sprint("dc", n%6), Incarnation: 1, State: member.Serving}
	a := NewAgent(m, &Client{Seeds: []string{l.seed}, Calls: pool}, pool, quietLogger())
	srv.Methods = a.Methods()
	a.self.PeerAddr = l.serve(srv)
	l.wg.Go(func() {
		_ = a.Run(l.ctx)
		pool.Close()
	})
	return a
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	quicktest.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u), quicktest.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkMemberCost measures the network traffic and CPU time per member of an idle
// site, the leader's included, and how long a change takes until it is in force. It runs
// for a fixed time: use -benchtime=1x.
func BenchmarkMemberCost(b *testing.B) {
	for _, n := range []int{10, 30, 100, 300} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) { measureMemberCost(b, n) })
	}
}

func measureMemberCost(b *testing.B, n int) {
	ctx, stop := context.WithCancel(b.Context())
	l := &loopbackSite{b: b, ctx: ctx}
	l.startControl()
	var agents []*Agent
	for i := range n {
		agents = append(agents, l.startMember(i))
	}
	for _, a := range agents {
		<-a.Ready()
	}
	<-time.After(relayBypassTime + 5*time.Second)
	bytesBefore, cpuBefore := l.bytes.Load(), cpuTime(b)
	<-time.After(measureTime)
	memberSeconds := float64(n) * measureTime.Seconds()
	b.ReportMetric(float64(l.bytes.Load()-bytesBefore)/memberSeconds, "B/s/member")
	b.ReportMetric((cpuTime(b)-cpuBefore).Seconds()/memberSeconds*100, "%core/member")
	client := &Client{Seeds: []string{l.seed}, Calls: &wire.Pool{Dial: l.dial}}
	start := time.Now()
	_, err := client.Apply(ctx, Change{ID: "x", BaseRevision: 1, Tables: tables("a", "b", "c")})
	quicktest.Assert(b, err, quicktest.IsNil)
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms-in-force")
	b.ReportMetric(0, "ns/op")
	stop()
	l.wg.Wait()
}

// BenchmarkBegin measures applying a Begin and an End of the ledger to the state machine.
func BenchmarkBegin(b *testing.B) {
	var m Machine
	join, err := encode(0, Join{Member: member.Member{Name: "e", Incarnation: 1, State: member.Serving}})
	quicktest.Assert(b, err, quicktest.IsNil)
	m.Apply(0, join)
	for i := 0; b.Loop(); i++ {
		c := ledger.Call{Organisation: "o", Key: fmt.Sprint(i), Attempt: "a", Entry: "e", Incarnation: 1}
		begin, _ := encode(0, Begin{Call: c})
		end, _ := encode(0, End{Call: c, Verdict: verd.Ran, Response: &ledger.Response{Status: 200}})
		m.Apply(0, begin)
		m.Apply(0, end)
	}
}

// BenchmarkAssign measures a change of the members, with the lease assignment it causes,
// at the largest site that the design allows for.
func BenchmarkAssign(b *testing.B) {
	var s State
	names := make([]string, 40)
	for i := range names {
		names[i] = fmt.Sprint("p", i)
	}
	s.Apply(0, Change{ID: "x", Tables: tables(names...)})
	for i := range 560 {
		s.Apply(0, Join{Member: member.Member{
			Name: fmt.Sprintf("m%03d", i), DataCentre: fmt.Sprint("dc", i%11), Incarnation: 1, State: member.Serving,
		}})
	}
	state := member.Leaving
	for b.Loop() {
		s.Apply(0, Join{Member: member.Member{Name: "m007", DataCentre: "dc7", Incarnation: 1, State: state}})
		if state == member.Leaving {
			state = member.Serving
		} else {
			state = member.Leaving
		}
	}
}

// BenchmarkRestore measures restoring a snapshot with 1,000 changes and 100,000 ledger
// calls.
func BenchmarkRestore(b *testing.B) {
	var m Machine
	m.state.Apply(0, Join{Member: member.Member{Name: "e", Incarnation: 1, State: member.Serving}})
	for i := range 1000 {
		m.state.Apply(0, Change{ID: fmt.Sprint(i), BaseRevision: uint64(i), Tables: tables("a", fmt.Sprint("p", i))})
	}
	for i := range 100_000 {
		c := ledger.Call{Organisation: "o", Key: fmt.Sprint(i), Attempt: "a", Entry: "e", Incarnation: 1}
		m.state.Apply(0, Begin{Call: c})
		m.state.Apply(0, End{Call: c, Verdict: verd.Ran, Response: &ledger.Response{Status: 200, Body: make([]byte, 200)}})
	}
	snap, err := m.Snapshot()
	quicktest.Assert(b, err, quicktest.IsNil)
	b.ReportMetric(float64(len(snap)), "B")
	for b.Loop() {
		var next Machine
		quicktest.Assert(b, next.Restore(snap), quicktest.IsNil)
	}
	b.ReportMetric(float64(len(snap)), "B")
}
