package quorum

import (
	"context"
	"encoding/binary"
	"fmt"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/internal/red"
	"github.com/bambooproxy/bambooproxy/internal/store"
	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// countingMachine is a StateMachine that counts its commands and keeps the last one.
type countingMachine struct {
	mu    sync.Mutex
	count uint64
	last  string
}

func (m *countingMachine) Apply(_ uint64, cmd []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count++
	m.last = string(cmd)
	return binary.BigEndian.AppendUint64(nil, m.count)
}

func (m *countingMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append(binary.BigEndian.AppendUint64(nil, m.count), m.last...), nil
}

func (m *countingMachine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count, m.last = binary.BigEndian.Uint64(b), string(b[8:])
	return nil
}

func (m *countingMachine) read() (uint64, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count, m.last
}

// slowSyncFS is a file system with slow syncs. They block the node's goroutine as a pause
// of its process would.
type slowSyncFS struct {
	*store.Mem
	syncDelay atomic.Int64
}

func (s *slowSyncFS) Append(path string) (store.File, error) {
	f, err := s.Mem.Append(path)
	return slowSyncFile{f, s}, err
}

func (s *slowSyncFS) Create(path string) (store.File, error) {
	f, err := s.Mem.Create(path)
	return slowSyncFile{f, s}, err
}

type slowSyncFile struct {
	store.File
	fs *slowSyncFS
}

func (f slowSyncFile) Sync() error {
	time.Sleep(time.Duration(f.fs.syncDelay.Load()))
	return f.File.Sync()
}

// testGroup is a group of nodes on an in-memory network.
type testGroup struct {
	t        *testing.T
	net      *memnet.Network
	replicas map[string]*testReplica
	addrs    []string
	// targetVoters and joinExisting are the Voters and Join settings of nodes started
	// next.
	targetVoters int
	joinExisting bool
	// hostSlept is how long the hosts were suspended, while the Go runtime's clock stood
	// still.
	hostSlept atomic.Int64
}

// testReplica is a node and what remains of it after its process ends.
type testReplica struct {
	node    *Node
	machine *countingMachine
	disk    *store.Mem
	fs      *slowSyncFS
	initial []string
	stop    context.CancelFunc
	runErr  chan error
}

func newGroup(t *testing.T, size int) *testGroup {
	g := &testGroup{t: t, net: &memnet.Network{}, replicas: make(map[string]*testReplica)}
	for i := range size {
		g.addrs = append(g.addrs, fmt.Sprintf("10.0.0.%d:81", i+1))
	}
	for _, a := range g.addrs {
		g.start(a, g.addrs...)
	}
	return g
}

// start starts a node at an address. A restarted node keeps its disk and initial members.
func (g *testGroup) start(addr string, initial ...string) *testReplica {
	m := &testReplica{disk: &store.Mem{}, initial: initial}
	if old := g.replicas[addr]; old != nil {
		m.disk, m.initial = old.disk, old.initial
	}
	g.replicas[addr] = m
	local := &wire.Server{}
	pool := &wire.Pool{Dial: g.net.Dialer(addr), Self: addr, Local: local}
	m.machine = &countingMachine{}
	m.fs = &slowSyncFS{Mem: m.disk}
	m.node = &Node{
		Seed: 1,
		Addr: addr, InitialMembers: m.initial, DataDir: "/data", FS: m.fs, Machine: m.machine, Calls: pool,
		Log: &log.Logger{Level: log.PanicLevel}, SnapshotBytes: 64 << 10, TargetVoters: g.targetVoters, JoinExisting: g.joinExisting,
	}
	if g.targetVoters > 0 {
		start := time.Now()
		m.node.Clock = func() time.Duration { return time.Since(start) + time.Duration(g.hostSlept.Load()) }
	}
	local.Methods = m.node.Methods()
	ln, err := g.net.Listen(addr)
	quicktest.Assert(g.t, err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(g.t.Context())
	m.stop, m.runErr = cancel, make(chan error, 1)
	served := make(chan struct{})
	serveCtx, stopServing := context.WithCancel(context.Background())
	go func() {
		_ = local.Serve(serveCtx, ln)
		close(served)
	}()
	go func() {
		err := m.node.Run(ctx)
		stopServing()
		pool.Close()
		<-served
		m.runErr <- err
	}()
	return m
}

// stopReplica stops a node gracefully.
func (g *testGroup) stopReplica(addr string) {
	m := g.replicas[addr]
	m.stop()
	quicktest.Check(g.t, <-m.runErr, quicktest.IsNil)
}

// crashReplica isolates a node, stops it and drops its unsynced writes.
func (g *testGroup) crashReplica(addr string) {
	g.isolate(addr)
	m := g.replicas[addr]
	m.stop()
	<-m.runErr
	m.disk.Crash(0)
	g.heal(addr)
}

func (g *testGroup) isolate(addr string) {
	for a := range g.replicas {
		if a != addr {
			g.net.Cut(addr, a)
		}
	}
}

func (g *testGroup) heal(addr string) {
	for a := range g.replicas {
		g.net.Heal(addr, a)
	}
}

func (g *testGroup) close() {
	for a := range g.replicas {
		g.stopReplica(a)
	}
}

// leader waits until a node other than except[0] leads and can be read, and returns its
// address.
func (g *testGroup) leader(except ...string) string {
	g.t.Helper()
	for range 300 {
		for a, m := range g.replicas {
			ctx, cancel := context.WithTimeout(g.t.Context(), 10*time.Millisecond)
			err := m.node.Barrier(ctx)
			cancel()
			if err == nil && (len(except) == 0 || a != except[0]) {
				return a
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	g.t.Fatal("no leader")
	return ""
}

func (g *testGroup) propose(addr, cmd string) error {
	ctx, cancel := context.WithTimeout(g.t.Context(), 10*time.Second)
	defer cancel()
	_, err := g.replicas[addr].node.Propose(ctx, []byte(cmd))
	return err
}

func (g *testGroup) mustPropose(addr, cmd string) {
	g.t.Helper()
	quicktest.Assert(g.t, g.propose(addr, cmd), quicktest.IsNil)
}

// waitApplied waits until all nodes have applied count commands, the newest of which is
// last.
func (g *testGroup) waitApplied(count uint64, last string) {
	g.t.Helper()
	for range 300 {
		allApplied := true
		for _, m := range g.replicas {
			n, l := m.machine.read()
			allApplied = allApplied && n == count && l == last
		}
		if allApplied {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	for a, m := range g.replicas {
		n, l := m.machine.read()
		g.t.Errorf("%s has applied %d commands, the last %q; want %d, the last %q; status %+v",
			a, n, l, count, last, m.node.Status())
	}
}

// TestCommitFromEveryReplica checks that a command proposed on any replica reaches all of
// them, in groups of 1, 3 and 5.
func TestCommitFromEveryReplica(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, size)
				for i := range 50 {
					g.mustPropose(g.addrs[i%size], fmt.Sprint("c", i))
				}
				g.waitApplied(50, "c49")
				g.close()
			})
		})
	}
}

// TestIsolatedLeader isolates the leader for 10 minutes while the others commit. The old
// leader must serve no reads and report its proposal as MayHaveRun, and it must catch up
// once it is reconnected.
func TestIsolatedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.mustPropose(g.addrs[0], "before")
		old := g.leader()
		g.waitApplied(1, "before")
		g.isolate(old)
		isolatedAt := time.Now()
		proposeErr := make(chan error, 1)
		go func() { proposeErr <- g.propose(old, "lost") }()
		next := g.leader(old)
		t.Logf("next leader after %s", time.Since(isolatedAt))
		for i := range 100 {
			g.mustPropose(next, fmt.Sprint("c", i))
		}
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			quicktest.Check(t, g.replicas[old].node.Barrier(ctx), quicktest.IsNotNil)
			cancel()
			time.Sleep(30 * time.Second)
		}
		err := <-proposeErr
		quicktest.Check(t, verd.From(err).Verdict, quicktest.Equals, verd.MayHaveRun)
		g.heal(old)
		g.mustPropose(old, "after")
		g.waitApplied(102, "after")
		g.close()
	})
}

// TestCrashOfAllReplicas crashes all replicas at once, five times, and checks that no
// committed command is lost or applied twice.
func TestCrashOfAllReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		for round := range 5 {
			for i := range 300 {
				g.mustPropose(g.addrs[i%3], fmt.Sprint("c", round, i))
			}
			for _, a := range g.addrs {
				g.crashReplica(a)
			}
			for _, a := range g.addrs {
				g.start(a)
			}
		}
		g.mustPropose(g.addrs[0], "end")
		g.waitApplied(5*300+1, "end")
		g.close()
	})
}

// TestReplicaLossAfterDiskRepair guards against a repair that ends too early: one replica
// loses its disk, and right after it votes again another replica is lost. Nothing
// committed may be lost, and the repaired replica must have a new ID.
func TestReplicaLossAfterDiskRepair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		for i := range 2000 {
			g.mustPropose(g.addrs[0], fmt.Sprint("c", i))
		}
		first := g.leader()
		oldID := g.replicas[first].node.Status().ID
		g.crashReplica(first)
		g.replicas[first].disk = &store.Mem{}
		g.start(first)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if r, ok := g.replicas[first].node.Status().Config.FindAddr(first); ok && r.Voter {
				break
			}
		}
		quicktest.Check(t, g.replicas[first].node.Status().ID == oldID, quicktest.IsFalse)
		second := g.leader()
		g.crashReplica(second)
		delete(g.replicas, second)
		g.mustPropose(g.leader(), "end")
		g.waitApplied(2001, "end")
		g.close()
	})
}

// TestStopHandsLeadershipOver checks that a leader that is stopped transfers leadership,
// so that the next commit doesn't wait for an election timeout.
func TestStopHandsLeadershipOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.mustPropose(g.addrs[0], "before")
		old := g.leader()
		g.waitApplied(1, "before")
		stoppedAt := time.Now()
		g.stopReplica(old)
		delete(g.replicas, old)
		next := g.leader()
		g.mustPropose(next, "after")
		elapsed := time.Since(stoppedAt)
		quicktest.Check(t, elapsed < defaultElectionTimeout, quicktest.IsTrue, quicktest.Commentf("%s", elapsed))
		g.close()
	})
}

// TestReplaceFollower replaces a follower by a replica at a new address, and checks that
// a request to remove an unknown address is refused.
func TestReplaceFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.mustPropose(g.addrs[0], "before")
		lead := g.leader()
		old := g.addrs[0]
		if old == lead {
			old = g.addrs[1]
		}
		const newAddr = "10.0.0.4:81"
		g.start(newAddr, g.addrs...)
		quicktest.Assert(t, g.replicas[lead].node.ChangeMembers(t.Context(), ChangeRequest{Add: newAddr, Remove: old}), quicktest.IsNil)
		time.Sleep(5 * time.Second)
		cfg := g.replicas[lead].node.Status().Config
		_, oldIsMember := cfg.FindAddr(old)
		r, _ := cfg.FindAddr(newAddr)
		quicktest.Check(t, oldIsMember, quicktest.IsFalse)
		quicktest.Check(t, r.Voter, quicktest.IsTrue)
		g.stopReplica(old)
		delete(g.replicas, old)
		g.mustPropose(newAddr, "after")
		g.waitApplied(2, "after")
		err := g.replicas[lead].node.ChangeMembers(t.Context(), ChangeRequest{Remove: "10.9.9.9:81"})
		quicktest.Check(t, verd.From(err).Reason, quicktest.Equals, verd.BadRequest)
		g.close()
	})
}

// TestSyncFailure checks that a replica whose disk fails to sync stops with
// store.ErrFailed and that the others carry on.
func TestSyncFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.mustPropose(g.addrs[0], "before")
		failing := g.leader()
		g.replicas[failing].disk.FailSync(errors.New("input/output error"))
		err := g.propose(failing, "lost")
		quicktest.Check(t, err, quicktest.IsNotNil)
		quicktest.Check(t, errors.Is(<-g.replicas[failing].runErr, store.ErrFailed), quicktest.IsTrue)
		delete(g.replicas, failing)
		g.mustPropose(g.leader(), "after")
		g.close()
	})
}

// TestPausedLeader guards against a stale read: the leader is paused for longer than its
// lease while a read waits. The read must fail, as another leader has committed
// meanwhile.
func TestPausedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.mustPropose(g.addrs[0], "before")
		old := g.leader()
		g.waitApplied(1, "before")
		g.replicas[old].fs.syncDelay.Store(int64(10 * time.Second))
		go func() { _ = g.propose(old, "while paused") }()
		time.Sleep(10 * time.Millisecond)
		readErr := make(chan error, 1)
		go func() { readErr <- g.replicas[old].node.Barrier(t.Context()) }()
		next := g.leader(old)
		g.mustPropose(next, "after")
		quicktest.Check(t, <-readErr, quicktest.ErrorMatches, ".*is not the leader.*")
		g.replicas[old].fs.syncDelay.Store(0)
		time.Sleep(10 * time.Second)
		g.mustPropose(old, "end")
		_, last := g.replicas[next].machine.read()
		quicktest.Check(t, last, quicktest.Equals, "end")
		g.close()
	})
}

// TestSnapshotInManyChunks checks that a replica that lost its disk is repaired with a
// snapshot of many chunks while commits continue.
func TestSnapshotInManyChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		lead := g.leader()
		big := strings.Repeat("x", maxCommandBytes)
		g.mustPropose(lead, big)
		lost := g.addrs[0]
		if lost == lead {
			lost = g.addrs[1]
		}
		g.crashReplica(lost)
		g.replicas[lost].disk = &store.Mem{}
		g.start(lost)
		for range 30 {
			g.mustPropose(lead, big)
			time.Sleep(100 * time.Millisecond)
		}
		g.waitApplied(31, big)
		r, _ := g.replicas[lead].node.Status().Config.FindAddr(lost)
		quicktest.Check(t, r.Voter, quicktest.IsTrue)
		g.close()
	})
}

// TestCorruptLogStopsReplica checks that a replica with a corrupt log refuses to start
// and names the file, and that it joins as a new replica once its folder is empty.
func TestCorruptLogStopsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		for i := range 20 {
			g.mustPropose(g.addrs[0], fmt.Sprint("c", i))
		}
		lead := g.leader()
		corrupt := g.addrs[0]
		if corrupt == lead {
			corrupt = g.addrs[1]
		}
		g.crashReplica(corrupt)
		m := g.replicas[corrupt]
		names, err := m.disk.List("/data")
		quicktest.Assert(t, err, quicktest.IsNil)
		for _, name := range names {
			if strings.HasSuffix(name, ".log") {
				m.disk.Corrupt(path.Join("/data", name), 30)
			}
		}
		m = g.start(corrupt)
		var damage *store.DamageError
		quicktest.Assert(t, errors.As(<-m.runErr, &damage), quicktest.IsTrue)
		quicktest.Check(t, damage.File, quicktest.Matches, "/data/0.*log")
		m.disk = &store.Mem{}
		g.start(corrupt)
		g.mustPropose(lead, "end")
		g.waitApplied(21, "end")
		g.close()
	})
}

// TestJoinNeedsOperator checks that a replica at an unknown address is not added until an
// operator's request names it.
func TestJoinNeedsOperator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.mustPropose(g.addrs[0], "before")
		const newAddr = "10.0.0.4:81"
		m := g.start(newAddr, g.addrs...)
		time.Sleep(10 * time.Second)
		count, _ := m.machine.read()
		quicktest.Check(t, count, quicktest.Equals, uint64(0))
		lead := g.replicas[g.leader()].node
		quicktest.Check(t, len(lead.Status().Config.Replicas), quicktest.Equals, 3)
		quicktest.Assert(t, lead.ChangeMembers(t.Context(), ChangeRequest{Add: newAddr}), quicktest.IsNil)
		g.waitApplied(1, "before")
		g.close()
	})
}

// TestReplaceLeader replaces the leader by a replica at a new address, and then removes
// the leader that follows. Both requests go through a Client.
func TestReplaceLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.mustPropose(g.addrs[0], "before")
		old := g.leader()
		const newAddr = "10.0.0.4:81"
		g.start(newAddr, g.addrs...)
		client := &Client{Seeds: append([]string{newAddr}, g.addrs...), Calls: g.replicas[newAddr].node.Calls}
		quicktest.Assert(t, client.ChangeMembers(t.Context(), ChangeRequest{Add: newAddr, Remove: old}), quicktest.IsNil)
		time.Sleep(5 * time.Second)
		r, err := client.Report(t.Context())
		quicktest.Assert(t, err, quicktest.IsNil)
		cfg := Config{Replicas: r.Replicas}
		quicktest.Check(t, cfg.VoterCount(), quicktest.Equals, 3)
		_, still := cfg.FindAddr(old)
		quicktest.Check(t, still, quicktest.IsFalse)
		g.stopReplica(old)
		delete(g.replicas, old)
		second := g.leader()
		err = client.ChangeMembers(t.Context(), ChangeRequest{Remove: second})
		red.Check(t, "remove", err == nil, "removal of the leader: %v", err)
		if err != nil {
			g.close()
			return
		}
		g.stopReplica(second)
		delete(g.replicas, second)
		g.mustPropose(g.leader(), "after")
		g.waitApplied(2, "after")
		g.close()
	})
}
