package quorum

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/store"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

// commandBytes is the size of the commands that the benchmarks commit.
const commandBytes = 128

// loopbackGroup is a group of nodes that use loopback TCP and the real disk.
type loopbackGroup struct {
	nodes []*Node
	stops []func()
}

func newLoopbackGroup(b *testing.B, size int) *loopbackGroup {
	b.Helper()
	var listeners []net.Listener
	var addrs []string
	for range size {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		quicktest.Assert(b, err, quicktest.IsNil)
		listeners = append(listeners, ln)
		addrs = append(addrs, ln.Addr().String())
	}
	g := &loopbackGroup{}
	for i, ln := range listeners {
		g.start(b, ln, addrs, filepath.Join(b.TempDir(), fmt.Sprint(i)))
	}
	return g
}

func (g *loopbackGroup) start(b *testing.B, ln net.Listener, addrs []string, folder string) {
	self := ln.Addr().String()
	local := &wire.Server{}
	var d net.Dialer
	dial := func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	pool := &wire.Pool{Dial: dial, Self: self, Local: local}
	n := &Node{
		Addr: self, InitialMembers: addrs, DataDir: folder, FS: store.OS{}, Machine: &countingMachine{}, Calls: pool,
		Log: &log.Logger{Level: log.PanicLevel},
	}
	local.Methods = n.Methods()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = local.Serve(ctx, ln) })
	wg.Go(func() {
		if err := n.Run(ctx); err != nil {
			b.Error(err)
		}
	})
	g.nodes = append(g.nodes, n)
	g.stops = append(g.stops, func() {
		cancel()
		wg.Wait()
		pool.Close()
	})
}

func (g *loopbackGroup) close() {
	for _, stop := range g.stops {
		stop()
	}
}

// leader returns a node, other than except, that leads and holds a lease.
func (g *loopbackGroup) leader(except *Node) *Node {
	for {
		for _, n := range g.nodes {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			err := n.Barrier(ctx)
			cancel()
			if err == nil && n != except {
				return n
			}
		}
	}
}

// BenchmarkSync measures the disk alone: one append and sync per iteration.
func BenchmarkSync(b *testing.B) {
	f, err := store.OS{}.Create(filepath.Join(b.TempDir(), "file"))
	quicktest.Assert(b, err, quicktest.IsNil)
	defer f.Close()
	data := make([]byte, commandBytes)
	for b.Loop() {
		if _, err := f.Write(data); err != nil {
			b.Fatal(err)
		}
		if err := f.Sync(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "syncs/s")
}

// BenchmarkCommit measures the commit rate by number of replicas and of concurrent
// callers.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{1, 3, 5} {
		for _, callers := range []int{1, 64} {
			b.Run(fmt.Sprintf("replicas=%d/callers=%d", size, callers), func(b *testing.B) {
				g := newLoopbackGroup(b, size)
				defer g.close()
				leader := g.leader(nil)
				b.ResetTimer()
				commitCommands(b, leader, callers, b.N)
				b.StopTimer()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			})
		}
	}
}

// commitCommands commits count commands from the given number of concurrent callers.
func commitCommands(tb testing.TB, n *Node, callers, count int) {
	work := make(chan struct{})
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			cmd := make([]byte, commandBytes)
			for range work {
				if _, err := n.Propose(context.Background(), cmd); err != nil {
					tb.Error(err)
				}
			}
		})
	}
	for range count {
		work <- struct{}{}
	}
	close(work)
	wg.Wait()
}

// BenchmarkRestart measures the time from opening the folder to having applied the whole
// log, with and without snapshots.
func BenchmarkRestart(b *testing.B) {
	for _, entries := range []uint64{1_000, 10_000, 100_000} {
		for name, limit := range map[string]int{"log": 1 << 30, "snapshots": defaultSnapshotBytes} {
			b.Run(fmt.Sprintf("entries=%d/%s", entries, name), func(b *testing.B) {
				folder := b.TempDir()
				fillLog(b, folder, entries, limit)
				for b.Loop() {
					n := singleNode(folder, limit)
					quicktest.Assert(b, runAndCheckCount(n, entries), quicktest.IsNil)
				}
			})
		}
	}
}

// singleNode returns a node that forms a group of its own and snapshots after limit bytes.
func singleNode(folder string, limit int) *Node {
	n := &Node{
		Addr: "127.0.0.1:1", DataDir: folder, FS: store.OS{}, Machine: &countingMachine{},
		Log: &log.Logger{Level: log.PanicLevel}, SnapshotBytes: limit,
	}
	n.setup()
	return n
}

// fillLog commits the given number of commands to a group of one replica, which takes a
// snapshot after limit bytes.
func fillLog(tb testing.TB, folder string, entries uint64, limit int) {
	tb.Helper()
	n := singleNode(folder, limit)
	ctx, cancel := context.WithCancel(tb.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- n.Run(ctx) }()
	commitCommands(tb, n, 200, int(entries))
	cancel()
	quicktest.Assert(tb, <-runErr, quicktest.IsNil)
}

// runAndCheckCount starts a node, waits until it can be read, and returns an error unless
// the node has applied exactly that many commands.
func runAndCheckCount(n *Node, entries uint64) error {
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- n.Run(ctx) }()
	err := n.Barrier(ctx)
	if count, _ := n.Machine.(*countingMachine).read(); err == nil && count != entries {
		err = fmt.Errorf("node has applied %d commands, want %d", count, entries)
	}
	cancel()
	if e := <-runErr; e != nil {
		return e
	}
	return err
}

// TestRestartRecoversAllCommands guards against commands lost or applied twice when a
// replica restarts from its log alone, or from a snapshot and the rest of the log.
func TestRestartRecoversAllCommands(t *testing.T) {
	for _, entries := range []uint64{1_000, 100_000} {
		for _, limit := range []int{1 << 30, 1 << 20} {
			t.Run(fmt.Sprintf("%d/%d", entries, limit), func(t *testing.T) {
				folder := t.TempDir()
				fillLog(t, folder, entries, limit)
				quicktest.Check(t, runAndCheckCount(singleNode(folder, limit), entries), quicktest.IsNil)
			})
		}
	}
}

// BenchmarkFailover measures the time from the loss of the leader of three replicas to
// the next commit.
func BenchmarkFailover(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		g := newLoopbackGroup(b, 3)
		lead := g.leader(nil)
		for i, n := range g.nodes {
			if n == lead {
				n.Timing.ElectionTimeout = 0 // Stop without transferring leadership.
				g.stops[i]()
				g.stops[i] = func() {}
			}
		}
		b.StartTimer()
		next := g.leader(lead)
		_, err := next.Propose(context.Background(), []byte("next"))
		quicktest.Assert(b, err, quicktest.IsNil)
		b.StopTimer()
		g.close()
		b.StartTimer()
	}
}
