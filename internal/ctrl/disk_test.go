package ctrl

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/ledger"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/quorum"
	"github.com/bambooproxy/bambooproxy/internal/store"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// replica is a replica of the log that stores its data on disk, with its state machine.
type replica struct {
	*quorum.Node
	machine *Machine
	stop    func()
}

func openReplica(tb testing.TB, folder string) *replica {
	tb.Helper()
	r := &replica{machine: &Machine{}}
	r.Node = &quorum.Node{Addr: "127.0.0.1:1", DataDir: folder, FS: store.OS{}, Machine: r.machine, Log: quietLogger()}
	ctx, cancel := context.WithCancel(tb.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	r.stop = func() {
		cancel()
		quicktest.Assert(tb, <-ended, quicktest.IsNil)
	}
	quicktest.Assert(tb, r.Barrier(ctx), quicktest.IsNil)
	return r
}

func (r *replica) propose(tb testing.TB, c Command) Result {
	tb.Helper()
	b, err := encode(0, c)
	quicktest.Assert(tb, err, quicktest.IsNil)
	out, err := r.Propose(tb.Context(), b)
	quicktest.Assert(tb, err, quicktest.IsNil)
	res, err := decodeResult(out)
	quicktest.Assert(tb, err, quicktest.IsNil)
	return res
}

// runCalls begins and ends ledger calls from several callers concurrently.
func (r *replica) runCalls(tb testing.TB, callers, each int) {
	var wg sync.WaitGroup
	for w := range callers {
		wg.Go(func() {
			for i := range each {
				c := ledger.Call{Organisation: "o", Key: fmt.Sprint(w, "-", i), Attempt: "a", Entry: "e", Incarnation: 1}
				r.propose(tb, Begin{Call: c})
				r.propose(tb, End{Call: c, Verdict: verd.Ran, Response: &ledger.Response{Status: 200}})
			}
		})
	}
	wg.Wait()
}

// TestRestartFromDisk guards against state that is lost or altered when a replica
// restarts from its disk. The snapshots before and after must be equal, a repeated change
// must get its first outcome, and a call that has ended must stay ended.
func TestRestartFromDisk(t *testing.T) {
	folder := t.TempDir()
	r := openReplica(t, folder)
	r.propose(t, Join{Member: member.Member{Name: "e", Incarnation: 1, State: member.Serving}})
	first := r.propose(t, Change{ID: "0", Tables: tables("p0")})
	for i := range 200 {
		r.propose(t, Change{ID: fmt.Sprint(i + 1), BaseRevision: uint64(i + 1), Tables: tables(fmt.Sprint("p", i))})
	}
	r.runCalls(t, 20, 20)
	before, err := r.machine.Snapshot()
	quicktest.Assert(t, err, quicktest.IsNil)
	r.stop()

	r = openReplica(t, folder)
	defer r.stop()
	after, err := r.machine.Snapshot()
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, string(after) == string(before), quicktest.IsTrue)
	again := r.propose(t, Change{ID: "0", Tables: tables("p0")})
	quicktest.Check(t, again, quicktest.DeepEquals, first)
	c := ledger.Call{Organisation: "o", Key: "3-3", Attempt: "b", Entry: "e", Incarnation: 1}
	quicktest.Check(t, r.propose(t, Begin{Call: c}).CallStatus.State, quicktest.Equals, ledger.Completed)
}

// BenchmarkRestartFromDisk measures the ledger calls per second through one replica on
// disk, and its restart after 1,000 changes and 100,000 calls. Use -benchtime=1x.
func BenchmarkRestartFromDisk(b *testing.B) {
	const callers, each = 200, 500
	for b.Loop() {
		folder := b.TempDir()
		r := openReplica(b, folder)
		r.propose(b, Join{Member: member.Member{Name: "e", Incarnation: 1, State: member.Serving}})
		for i := range 1000 {
			r.propose(b, Change{ID: fmt.Sprint(i), BaseRevision: uint64(i), Tables: tables("a", fmt.Sprint("p", i))})
		}
		began := time.Now()
		r.runCalls(b, callers, each)
		b.ReportMetric(callers*each/time.Since(began).Seconds(), "calls/s")
		r.stop()
		began = time.Now()
		r = openReplica(b, folder)
		b.ReportMetric(time.Since(began).Seconds(), "s-restart")
		r.stop()
	}
	b.ReportMetric(0, "ns/op")
}
