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

// costTime is how long one measurement of cost lasts.
const costTime = 10 * time.Second

// loopback is control and members on loopback addresses, in one process.
type loopback struct {
	b     *testing.B
	seed  string
	bytes atomic.Int64
	ctx   context.Context
	wg    sync.WaitGroup
}

// counted counts what is written to a connection.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// countedListener counts what its connections write.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return counted{c, l.bytes}, err
}

func (l *loopback) dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	return counted{c, &l.bytes}, err
}

func (l *loopback) serve(srv *wire.Server) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(l.b, err, quicktest.IsNil)
	l.wg.Go(func() { _ = srv.Serve(l.ctx, countedListener{ln, &l.bytes}) })
	return ln.Addr().String()
}

func (l *loopback) control() {
	m := &Machine{}
	s := &Server{Tables: tables("a", "b"), Machine: m, Log: &Solo{Machine: m}, Logger: quiet()}
	l.seed = l.serve(&wire.Server{Methods: s.Methods()})
	l.wg.Go(func() { _ = s.Run(l.ctx) })
}

func (l *loopback) member(n int) *Agent {
	srv := &wire.Server{}
	pool := &wire.Pool{Dial: l.dial}
	m := member.Member{Name: fmt.Sprintf("m%03d", n), DataCentre: fmt.Sprint("dc", n%6), Incarnation: 1, State: member.Serving}
	a := NewAgent(m, &Client{Seeds: []string{l.seed}, Calls: pool}, pool, quiet())
	srv.Methods = a.Methods()
	a.self.Peers = l.serve(srv)
	l.wg.Go(func() {
		_ = a.Run(l.ctx)
		pool.Close()
	})
	return a
}

func cpu(b *testing.B) time.Duration {
	var u syscall.Rusage
	quicktest.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u), quicktest.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkMemberCost measures what leases and news cost a member at rest,
// its share of the leader included, and how long a change takes to be in
// force. It runs for a fixed time, so ask for -benchtime=1x.
func BenchmarkMemberCost(b *testing.B) {
	for _, n := range []int{10, 30, 100, 300} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) { memberCost(b, n) })
	}
}

func memberCost(b *testing.B, n int) {
	ctx, stop := context.WithCancel(b.Context())
	l := &loopback{b: b, ctx: ctx}
	l.control()
	var agents []*Agent
	for i := range n {
		agents = append(agents, l.member(i))
	}
	for _, a := range agents {
		<-a.Ready()
	}
	<-time.After(relayBypassTime + 5*time.Second)
	bytes, used := l.bytes.Load(), cpu(b)
	<-time.After(costTime)
	share := float64(n) * costTime.Seconds()
	b.ReportMetric(float64(l.bytes.Load()-bytes)/share, "B/s/member")
	b.ReportMetric((cpu(b)-used).Seconds()/share*100, "%core/member")
	client := &Client{Seeds: []string{l.seed}, Calls: &wire.Pool{Dial: l.dial}}
	began := time.Now()
	_, err := client.Apply(ctx, Change{ID: "x", Base: 1, Tables: tables("a", "b", "c")})
	quicktest.Assert(b, err, quicktest.IsNil)
	b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms-in-force")
	b.ReportMetric(0, "ns/op")
	stop()
	l.wg.Wait()
}

// BenchmarkBegin measures begins and ends at the machine.
func BenchmarkBegin(b *testing.B) {
	var m Machine
	join, err := encode(0, Join{Member: member.Member{Name: "e", Incarnation: 1, State: member.Serving}})
	quicktest.Assert(b, err, quicktest.IsNil)
	m.Apply(0, join)
	for i := 0; b.Loop(); i++ {
		c := ledger.Call{Organisation: "o", Key: fmt.Sprint(i), Attempt: "a", Entry: "e", Incarnation: 1}
		begin, _ := encode(0, Begin{Call: c})
		end, _ := encode(0, End{Call: c, Verdict: verd.Ran, Answer: &ledger.Answer{Status: 200}})
		m.Apply(0, begin)
		m.Apply(0, end)
	}
}

// BenchmarkAssign measures a change of the members at the size designed for.
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

// BenchmarkRestore measures the load of a snapshot of 1,000 changes and
// 100,000 calls.
func BenchmarkRestore(b *testing.B) {
	var m Machine
	m.state.Apply(0, Join{Member: member.Member{Name: "e", Incarnation: 1, State: member.Serving}})
	for i := range 1000 {
		m.state.Apply(0, Change{ID: fmt.Sprint(i), Base: uint64(i), Tables: tables("a", fmt.Sprint("p", i))})
	}
	for i := range 100_000 {
		c := ledger.Call{Organisation: "o", Key: fmt.Sprint(i), Attempt: "a", Entry: "e", Incarnation: 1}
		m.state.Apply(0, Begin{Call: c})
		m.state.Apply(0, End{Call: c, Verdict: verd.Ran, Answer: &ledger.Answer{Status: 200, Body: make([]byte, 200)}})
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
