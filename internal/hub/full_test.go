package hub

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"github.com/bambooproxy/bambooproxy/internal/store"
)

// fullDisk is a disk that refuses every write while it is full.
type fullDisk struct {
	*store.Mem
	full *atomic.Bool
	// keepsSize is set if a file can't be truncated either while the disk is full.
	keepsSize bool
}

func (d *fullDisk) Create(name string) (store.File, error) {
	if d.full.Load() {
		return nil, unix.ENOSPC
	}
	f, err := d.Mem.Create(name)
	return &fullFile{f, d}, err
}

func (d *fullDisk) Append(name string) (store.File, error) {
	f, err := d.Mem.Append(name)
	if err != nil {
		return nil, err
	}
	return &fullFile{f, d}, nil
}

func (d *fullDisk) Rename(from, to string) error {
	if d.full.Load() {
		return unix.ENOSPC
	}
	return d.Mem.Rename(from, to)
}

type fullFile struct {
	store.File
	disk *fullDisk
}

func (f *fullFile) Write(b []byte) (int, error) {
	if !f.disk.full.Load() {
		return f.File.Write(b)
	}
	// What fits in the last block is written.
	n, err := f.File.Write(b[:min(len(b), 7)])
	if err != nil {
		return n, err
	}
	return n, unix.ENOSPC
}

func (f *fullFile) Truncate(size int64) error {
	if f.disk.full.Load() && f.disk.keepsSize {
		return unix.ENOSPC
	}
	return f.File.Truncate(size)
}

// TestDisksFullInTurn fills the disks of all control instances one after the other, never two at once, while an
// operator changes the tables. Guards against a group that accepts no changes after the last one has room again.
func TestDisksFullInTurn(t *testing.T) {
	for _, controls := range []int{3, 5} {
		for seed := range uint64(12) {
			t.Run(fmt.Sprintf("%d/%d", controls, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playFullDisks(t, controls, seed) })
			})
		}
	}
}

func playFullDisks(t *testing.T, controls int, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	cl := &cluster{t: t, seed: seed + 1, voters: controls, controls: make(map[string]*controlNode), entries: make(map[string]*entryNode)}
	full := make(map[string]*atomic.Bool)
	cl.wrapDisk = func(addr string, disk *store.Mem) store.FS {
		return &fullDisk{disk, full[addr], seed%3 == 0}
	}
	var order []string
	for i := range controls {
		order = append(order, fmt.Sprintf("10.0.0.%d:7", i+1))
		full[order[i]] = &atomic.Bool{}
	}
	r.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	if seed%2 == 0 {
		cl.snapshotBytes = 1 << 10
	}
	fill := func(least, most time.Duration) {
		for _, a := range order {
			full[a].Store(true)
			time.Sleep(least + time.Duration(r.Int64N(int64(most-least))))
			full[a].Store(false)
			time.Sleep(time.Duration(r.IntN(3)) * 300 * time.Millisecond)
		}
	}
	began := make(chan struct{})
	go func() {
		defer close(began)
		if seed%4 == 1 {
			// The disks are full while the group is created.
			fill(0, 800*time.Millisecond)
		}
	}()
	cl.start(controls, 2, 3)
	defer cl.close()
	<-began
	cl.leader()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var version atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ctx.Err() == nil; i++ {
			v := version.Add(1)
			_ = cl.controls[cl.seeds[i%len(cl.seeds)]].Publish(ctx, tables(v), fmt.Append(nil, v))
			time.Sleep(100 * time.Millisecond)
		}
	}()
	for range 1 + r.IntN(2) {
		fill(500*time.Millisecond, 5*time.Second)
	}
	cancel()
	<-done
	time.Sleep(3 * time.Second)
	wantTablesTaken(t, cl, version.Load())
}

// wantTablesTaken requires each control instance to take a change within ackLimit, and to read it afterwards.
func wantTablesTaken(t *testing.T, cl *cluster, version int64) {
	t.Helper()
	const ackLimit = 4 * time.Second
	for _, a := range cl.seeds {
		version++
		began := time.Now()
		for cl.controls[a].Publish(t.Context(), tables(version), fmt.Append(nil, version)) != nil {
			if time.Since(began) > ackLimit {
				t.Errorf("%s takes no change", a)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		for _, c := range cl.controls {
			got, err := c.TablesSource(t.Context())
			quicktest.Check(t, err, quicktest.IsNil)
			quicktest.Check(t, string(got), quicktest.Equals, fmt.Sprint(version))
		}
	}
}
