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
	"github.com/bambooproxy/bambooproxy/internal/store"
	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// tally is a Machine that counts its commands and keeps the last.
type tally struct {
	mu    sync.Mutex
	count uint64
	last  string
}

func (m *tally) Apply(_ uint64, cmd []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count++
	m.last = string(cmd)
	return binary.BigEndian.AppendUint64(nil, m.count)
}

func (m *tally) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append(binary.BigEndian.AppendUint64(nil, m.count), m.last...), nil
}

func (m *tally) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count, m.last = binary.BigEndian.Uint64(b), string(b[8:])
	return nil
}

func (m *tally) read() (uint64, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count, m.last
}

// stallFS is a file system whose syncs take a while, which holds up the
// goroutine of the node as a pause of its process would.
type stallFS struct {
	*store.Mem
	wait atomic.Int64
}

func (s *stallFS) Append(path string) (store.File, error) {
	f, err := s.Mem.Append(path)
	return stallFile{f, s}, err
}

func (s *stallFS) Create(path string) (store.File, error) {
	f, err := s.Mem.Create(path)
	return stallFile{f, s}, err
}

type stallFile struct {
	store.File
	fs *stallFS
}

func (f stallFile) Sync() error {
	time.Sleep(time.Duration(f.fs.wait.Load()))
	return f.File.Sync()
}

// group is a group of nodes on a network in memory.
type group struct {
	t    *testing.T
	net  *memnet.Network
	all  map[string]*member
	addr []string
	// voters and join are those of the nodes that are started.
	voters int
	join   bool
	// slept is how long the hosts have slept, while the runtime's clock stood still.
	slept atomic.Int64
}

// member is a node with what outlives its process.
type member struct {
	node     *Node
	machine  *tally
	disk     *store.Mem
	stall    *stallFS
	founders []string
	stop     context.CancelFunc
	ended    chan error
}

func newGroup(t *testing.T, size int) *group {
	g := &group{t: t, net: &memnet.Network{}, all: make(map[string]*member)}
	for i := range size {
		g.addr = append(g.addr, fmt.Sprintf("10.0.0.%d:81", i+1))
	}
	for _, a := range g.addr {
		g.start(a, g.addr...)
	}
	return g
}

// start starts a node at an address, with the disk that it had there.
func (g *group) start(addr string, founders ...string) *member {
	m := &member{disk: &store.Mem{}, founders: founders}
	if old := g.all[addr]; old != nil {
		m.disk, m.founders = old.disk, old.founders
	}
	g.all[addr] = m
	local := &wire.Server{}
	pool := &wire.Pool{Dial: g.net.Dialer(addr), Self: addr, Local: local}
	m.machine = &tally{}
	m.stall = &stallFS{Mem: m.disk}
	m.node = &Node{
		Seed: 1,
		Self: addr, Founders: m.founders, Folder: "/data", FS: m.stall, Machine: m.machine, Calls: pool,
		Log: &log.Logger{Level: log.PanicLevel}, SnapshotBytes: 64 << 10, Voters: g.voters, Join: g.join,
	}
	if g.voters > 0 {
		began := time.Now()
		m.node.Clock = func() time.Duration { return time.Since(began) + time.Duration(g.slept.Load()) }
	}
	local.Methods = m.node.Methods()
	ln, err := g.net.Listen(addr)
	quicktest.Assert(g.t, err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(g.t.Context())
	m.stop, m.ended = cancel, make(chan error, 1)
	served := make(chan struct{})
	sctx, halt := context.WithCancel(context.Background())
	go func() {
		_ = local.Serve(sctx, ln)
		close(served)
	}()
	go func() {
		err := m.node.Run(ctx)
		halt()
		pool.Close()
		<-served
		m.ended <- err
	}()
	return m
}

// halt stops a node as planned.
func (g *group) halt(addr string) {
	m := g.all[addr]
	m.stop()
	quicktest.Check(g.t, <-m.ended, quicktest.IsNil)
}

// kill cuts a node off and takes its unsynced writes away.
func (g *group) kill(addr string) {
	g.isolate(addr)
	m := g.all[addr]
	m.stop()
	<-m.ended
	m.disk.Crash(0)
	g.heal(addr)
}

func (g *group) isolate(addr string) {
	for a := range g.all {
		if a != addr {
			g.net.Cut(addr, a)
		}
	}
}

func (g *group) heal(addr string) {
	for a := range g.all {
		g.net.Heal(addr, a)
	}
}

func (g *group) close() {
	for a := range g.all {
		g.halt(a)
	}
}

// leader waits until a node other than those leads and can be read.
func (g *group) leader(not ...string) string {
	g.t.Helper()
	for range 300 {
		for a, m := range g.all {
			ctx, cancel := context.WithTimeout(g.t.Context(), 10*time.Millisecond)
			err := m.node.Barrier(ctx)
			cancel()
			if err == nil && (len(not) == 0 || a != not[0]) {
				return a
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	g.t.Fatal("no leader")
	return ""
}

func (g *group) propose(addr, cmd string) error {
	ctx, cancel := context.WithTimeout(g.t.Context(), 10*time.Second)
	defer cancel()
	_, err := g.all[addr].node.Propose(ctx, []byte(cmd))
	return err
}

func (g *group) must(addr, cmd string) {
	g.t.Helper()
	quicktest.Assert(g.t, g.propose(addr, cmd), quicktest.IsNil)
}

// agree waits until all nodes have applied the same count.
func (g *group) agree(count uint64, last string) {
	g.t.Helper()
	for range 300 {
		same := true
		for _, m := range g.all {
			n, l := m.machine.read()
			same = same && n == count && l == last
		}
		if same {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	for a, m := range g.all {
		n, l := m.machine.read()
		g.t.Errorf("%s has %d %q, want %d %q; %+v", a, n, l, count, last, m.node.Status())
	}
}

func TestGroups(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, size)
				for i := range 50 {
					g.must(g.addr[i%size], fmt.Sprint("c", i))
				}
				g.agree(50, "c49")
				g.close()
			})
		})
	}
}

// TestIsolatedLeader cuts the leader off for a long time while the others
// carry on, and then heals it.
func TestIsolatedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.must(g.addr[0], "before")
		old := g.leader()
		g.agree(1, "before")
		g.isolate(old)
		cut := time.Now()
		lost := make(chan error, 1)
		go func() { lost <- g.propose(old, "lost") }()
		next := g.leader(old)
		t.Logf("next leader after %s", time.Since(cut))
		for i := range 100 {
			g.must(next, fmt.Sprint("c", i))
		}
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			quicktest.Check(t, g.all[old].node.Barrier(ctx), quicktest.IsNotNil)
			cancel()
			time.Sleep(30 * time.Second)
		}
		err := <-lost
		quicktest.Check(t, verd.From(err).Verdict, quicktest.Equals, verd.MayHaveRun)
		g.heal(old)
		g.must(old, "after")
		g.agree(102, "after")
		g.close()
	})
}

// TestRestartAll kills all nodes at once, several times.
func TestRestartAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		for round := range 5 {
			for i := range 300 {
				g.must(g.addr[i%3], fmt.Sprint("c", round, i))
			}
			for _, a := range g.addr {
				g.kill(a)
			}
			for _, a := range g.addr {
				g.start(a)
			}
		}
		g.must(g.addr[0], "end")
		g.agree(5*300+1, "end")
		g.close()
	})
}

// TestRepairThenLoss loses a disk and, right after its repair, another node.
func TestRepairThenLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		for i := range 2000 {
			g.must(g.addr[0], fmt.Sprint("c", i))
		}
		first := g.leader()
		was := g.all[first].node.Status().ID
		g.kill(first)
		g.all[first].disk = &store.Mem{}
		g.start(first)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if r, ok := g.all[first].node.Status().Config.At(first); ok && r.Voter {
				break
			}
		}
		quicktest.Check(t, g.all[first].node.Status().ID == was, quicktest.IsFalse)
		second := g.leader()
		g.kill(second)
		delete(g.all, second)
		g.must(g.leader(), "end")
		g.agree(2001, "end")
		g.close()
	})
}

// TestPlannedStop wants the leader to hand over, without an election's wait.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.must(g.addr[0], "before")
		old := g.leader()
		g.agree(1, "before")
		stopped := time.Now()
		g.halt(old)
		delete(g.all, old)
		next := g.leader()
		g.must(next, "after")
		took := time.Since(stopped)
		quicktest.Check(t, took < defaultElection, quicktest.IsTrue, quicktest.Commentf("%s", took))
		g.close()
	})
}

// TestReplace moves a replica to another address.
func TestReplace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.must(g.addr[0], "before")
		lead := g.leader()
		old := g.addr[0]
		if old == lead {
			old = g.addr[1]
		}
		const fresh = "10.0.0.4:81"
		g.start(fresh, g.addr...)
		quicktest.Assert(t, g.all[lead].node.Change(t.Context(), Order{Add: fresh, Remove: old}), quicktest.IsNil)
		time.Sleep(5 * time.Second)
		cfg := g.all[lead].node.Status().Config
		_, still := cfg.At(old)
		r, _ := cfg.At(fresh)
		quicktest.Check(t, still, quicktest.IsFalse)
		quicktest.Check(t, r.Voter, quicktest.IsTrue)
		g.halt(old)
		delete(g.all, old)
		g.must(fresh, "after")
		g.agree(2, "after")
		err := g.all[lead].node.Change(t.Context(), Order{Remove: "10.9.9.9:81"})
		quicktest.Check(t, verd.From(err).Reason, quicktest.Equals, verd.BadRequest)
		g.close()
	})
}

// TestSyncFailure wants a replica whose disk fails to stop, and the rest to
// carry on.
func TestSyncFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.must(g.addr[0], "before")
		bad := g.leader()
		g.all[bad].disk.FailSync(errors.New("input/output error"))
		err := g.propose(bad, "lost")
		quicktest.Check(t, err, quicktest.IsNotNil)
		quicktest.Check(t, errors.Is(<-g.all[bad].ended, store.ErrFailed), quicktest.IsTrue)
		delete(g.all, bad)
		g.must(g.leader(), "after")
		g.close()
	})
}

// TestPausedLeader pauses a leader beyond its lease with a read waiting.
func TestPausedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.must(g.addr[0], "before")
		old := g.leader()
		g.agree(1, "before")
		g.all[old].stall.wait.Store(int64(10 * time.Second))
		go func() { _ = g.propose(old, "while paused") }()
		time.Sleep(10 * time.Millisecond)
		read := make(chan error, 1)
		go func() { read <- g.all[old].node.Barrier(t.Context()) }()
		next := g.leader(old)
		g.must(next, "after")
		quicktest.Check(t, <-read, quicktest.ErrorMatches, ".*does not lead.*")
		g.all[old].stall.wait.Store(0)
		time.Sleep(10 * time.Second)
		g.must(old, "end")
		_, last := g.all[next].machine.read()
		quicktest.Check(t, last, quicktest.Equals, "end")
		g.close()
	})
}

// TestBigSnapshot sends a snapshot of many chunks to a replica that lost its
// disk, while commits go on.
func TestBigSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		lead := g.leader()
		big := strings.Repeat("x", maxCommand)
		g.must(lead, big)
		lost := g.addr[0]
		if lost == lead {
			lost = g.addr[1]
		}
		g.kill(lost)
		g.all[lost].disk = &store.Mem{}
		g.start(lost)
		for range 30 {
			g.must(lead, big)
			time.Sleep(100 * time.Millisecond)
		}
		g.agree(31, big)
		r, _ := g.all[lead].node.Status().Config.At(lost)
		quicktest.Check(t, r.Voter, quicktest.IsTrue)
		g.close()
	})
}

// TestDamage wants a replica whose log is damaged to refuse to start, and to
// come back as a new replica once its folder is gone.
func TestDamage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		for i := range 20 {
			g.must(g.addr[0], fmt.Sprint("c", i))
		}
		lead := g.leader()
		bad := g.addr[0]
		if bad == lead {
			bad = g.addr[1]
		}
		g.kill(bad)
		m := g.all[bad]
		names, err := m.disk.List("/data")
		quicktest.Assert(t, err, quicktest.IsNil)
		for _, name := range names {
			if strings.HasSuffix(name, ".log") {
				m.disk.Corrupt(path.Join("/data", name), 30)
			}
		}
		m = g.start(bad)
		var damage *store.DamageError
		quicktest.Assert(t, errors.As(<-m.ended, &damage), quicktest.IsTrue)
		quicktest.Check(t, damage.File, quicktest.Matches, "/data/0.*log")
		m.disk = &store.Mem{}
		g.start(bad)
		g.must(lead, "end")
		g.agree(21, "end")
		g.close()
	})
}

// TestUnknownJoins wants a replica that no operator added to stay out.
func TestUnknownJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.must(g.addr[0], "before")
		const fresh = "10.0.0.4:81"
		m := g.start(fresh, g.addr...)
		time.Sleep(10 * time.Second)
		count, _ := m.machine.read()
		quicktest.Check(t, count, quicktest.Equals, uint64(0))
		lead := g.all[g.leader()].node
		quicktest.Check(t, len(lead.Status().Config.Replicas), quicktest.Equals, 3)
		quicktest.Assert(t, lead.Change(t.Context(), Order{Add: fresh}), quicktest.IsNil)
		g.agree(1, "before")
		g.close()
	})
}

// TestReplaceLeader moves the leader to another address, and then removes
// whoever leads.
func TestReplaceLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.must(g.addr[0], "before")
		old := g.leader()
		const fresh = "10.0.0.4:81"
		g.start(fresh, g.addr...)
		client := &Client{Seeds: append([]string{fresh}, g.addr...), Calls: g.all[fresh].node.Calls}
		quicktest.Assert(t, client.Change(t.Context(), Order{Add: fresh, Remove: old}), quicktest.IsNil)
		time.Sleep(5 * time.Second)
		r, err := client.Report(t.Context())
		quicktest.Assert(t, err, quicktest.IsNil)
		cfg := Config{Replicas: r.Replicas}
		quicktest.Check(t, cfg.Voters(), quicktest.Equals, 3)
		_, still := cfg.At(old)
		quicktest.Check(t, still, quicktest.IsFalse)
		g.halt(old)
		delete(g.all, old)
		second := g.leader()
		quicktest.Assert(t, client.Change(t.Context(), Order{Remove: second}), quicktest.IsNil)
		g.halt(second)
		delete(g.all, second)
		g.must(g.leader(), "after")
		g.agree(2, "after")
		g.close()
	})
}
