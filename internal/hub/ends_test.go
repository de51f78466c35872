package hub

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/red"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/internal/store"
)

// losePower stops all instances at one moment, and returns what a power loss leaves of the disks of
// the control instances.
func (cl *cluster) losePower(r *rand.Rand) map[string]*store.Mem {
	return cl.stopAll(func(d *store.Mem) *store.Mem { return d.CopyAfterPowerLoss(r) })
}

// stopAll stops all instances at one moment, and returns a copy of the disk of each control instance.
func (cl *cluster) stopAll(copyDisk func(d *store.Mem) *store.Mem) map[string]*store.Mem {
	addrs := slices.Sorted(slices.Values(cl.addrs()))
	for _, a := range addrs {
		cl.isolate(a)
	}
	disks := make(map[string]*store.Mem)
	for _, a := range addrs {
		if c := cl.controls[a]; c != nil {
			disks[a] = copyDisk(c.disk)
		}
	}
	for _, c := range cl.controls {
		c.stop()
	}
	for _, e := range cl.entries {
		e.stop()
	}
	for _, c := range cl.controls {
		<-c.done
	}
	for _, e := range cl.entries {
		<-e.done
	}
	for _, a := range addrs {
		cl.heal(a)
	}
	clear(cl.controls)
	clear(cl.entries)
	return disks
}

// TestFreshEntryIgnoresEmptyDisk has two control instances out of three run: one has lost its disk,
// and the other has missed the newest tables. Guards against a fresh entry that takes the two for a
// majority, and the older tables for the current ones.
func TestFreshEntryIgnoresEmptyDisk(t *testing.T) {
	runCluster(t, 3, 0, func(t *testing.T, cl *cluster) {
		cl.publish(1)
		time.Sleep(time.Second)
		outdated := cl.follower().PeerAddr
		cl.isolate(outdated)
		cl.publish(2)
		time.Sleep(time.Second)
		disks := cl.losePower(rand.New(rand.NewPCG(1, 1)))
		others := slices.DeleteFunc(slices.Clone(cl.seeds), func(a string) bool { return a == outdated })
		cl.startControl(outdated, disks[outdated], false)
		cl.startControl(others[0], &store.Mem{}, false)
		e := cl.startEntry("a0", "10.0.1.1:7")
		time.Sleep(3 * time.Second)
		e.withLock(func() { quicktest.Assert(t, e.confirmed, quicktest.IsFalse) })
		cl.startControl(others[1], disks[others[1]], false)
		time.Sleep(4 * time.Second)
		e.withLock(func() {
			quicktest.Assert(t, e.confirmed, quicktest.IsTrue)
			quicktest.Assert(t, e.version, quicktest.Equals, int64(2))
		})
	})
}

// TestFreshEntryKnowsLastChange has all instances lose power right after tables were acknowledged.
// Guards against a fresh entry that takes for confirmed what control instances have applied before an
// election: they have the last change in their logs, and don't know yet that it is committed.
func TestFreshEntryKnowsLastChange(t *testing.T) {
	runCluster(t, 3, 0, func(t *testing.T, cl *cluster) {
		cl.publish(1)
		time.Sleep(2 * time.Second)
		cl.publish(2)
		disks := cl.losePower(rand.New(rand.NewPCG(2, 1)))
		for _, a := range cl.seeds[:2] {
			cl.startControl(a, disks[a], false)
		}
		e := cl.startEntry("a0", "10.0.1.1:7")
		for confirmed := false; !confirmed; time.Sleep(10 * time.Millisecond) {
			e.withLock(func() {
				if confirmed = e.confirmed; confirmed {
					quicktest.Assert(t, e.version, quicktest.Equals, int64(2))
				}
			})
		}
	})
}

// slowDisk is a disk whose syncs take time.
type slowDisk struct {
	*store.Mem
	wait func()
}

func (d *slowDisk) Create(name string) (store.File, error) {
	f, err := d.Mem.Create(name)
	return &slowFile{f, d}, err
}

func (d *slowDisk) Append(name string) (store.File, error) {
	f, err := d.Mem.Append(name)
	if err != nil {
		return nil, err
	}
	return &slowFile{f, d}, nil
}

func (d *slowDisk) SyncDir(dir string) error {
	d.wait()
	return d.Mem.SyncDir(dir)
}

type slowFile struct {
	store.File
	disk *slowDisk
}

func (f *slowFile) Sync() error {
	f.disk.wait()
	return f.File.Sync()
}

const (
	// serviceTime is the time in which everything must be served again after all instances are back,
	// and returnTime how long it takes at most until the first and the last of them are.
	serviceTime = 15 * time.Second
	returnTime  = 2 * time.Second
	// repairTime is how long an instance counts as lost after it has returned without its disk.
	repairTime = 4 * time.Second
	// maxSyncTime bounds the time of a sync, except on the slow disk.
	maxSyncTime = 20 * time.Millisecond
	slowFactor  = 10
)

// ending is a day that ends with the loss of disks, while all others lose power.
type ending struct {
	*cluster
	rand *rand.Rand
	seed uint64
	// losses is the number of disks that may be lost at the same time.
	losses int
	// acknowledged and sent are the newest tables, and drained whether a drain was acknowledged.
	acknowledged, sent atomic.Int64
	drained            atomic.Bool
	// newest is the newest version that was read.
	newest int64
	// addresses is the number of control instances that ever were.
	addresses int
	// slow is the address of a control instance with a slow disk.
	slow atomic.Pointer[string]
	log  []string
}

// TestAcknowledgedSurvivesLossOfDisksAndPower guards against acknowledged tables and drains that are lost,
// or read in an older state, when as many control instances as may be lost at once lose their disks and all
// other instances lose power. Everything must be served again within serviceTime.
func TestAcknowledgedSurvivesLossOfDisksAndPower(t *testing.T) {
	for seed := range uint64(endings) {
		synctest.Test(t, func(t *testing.T) { playEnding(t, seed) })
	}
}

// endings is the number of seeds played.
const endings = 20

func playEnding(t *testing.T, seed uint64) {
	t.Helper()
	e := &ending{rand: rand.New(rand.NewPCG(seed, 5)), seed: seed, losses: 1 + int(seed%2)}
	e.addresses = 2*e.losses + 1
	e.cluster = &cluster{t: t, seed: seed + 1, voters: e.addresses, controls: make(map[string]*controlNode), entries: make(map[string]*entryNode)}
	e.wrapDisk = func(addr string, disk *store.Mem) store.FS {
		var mu sync.Mutex
		syncTimes := rand.New(rand.NewPCG(seed, xxhash.Sum64String(addr)))
		return &slowDisk{disk, func() {
			mu.Lock()
			d := time.Millisecond + time.Duration(syncTimes.Int64N(int64(maxSyncTime)))
			mu.Unlock()
			if *e.slow.Load() == addr {
				d *= slowFactor
			}
			time.Sleep(d)
		}}
	}
	e.slow.Store(new(string))
	if e.rand.IntN(2) == 0 {
		// A change or two are as large as this.
		e.snapshotBytes = 1 << 10
	}
	e.cluster.start(e.addresses, 2, 3)
	defer e.close()
	defer func() {
		if t.Failed() {
			t.Logf("seed %d: %v", seed, e.log)
		}
	}()
	e.leader()
	e.change()
	time.Sleep(repairTime)
	for range e.rand.IntN(4) {
		e.disturb()
	}
	e.end()
}

func (e *ending) note(format string, args ...any) {
	e.log = append(e.log, fmt.Sprintf(format, args...))
}

// anyControl returns a random control instance.
func (e *ending) anyControl() *controlNode {
	addrs := slices.Sorted(maps.Keys(e.controls))
	return e.controls[addrs[e.rand.IntN(len(addrs))]]
}

// change publishes tables until they are acknowledged.
func (e *ending) change() {
	for range 40 {
		if e.tryChange(e.anyControl()) {
			return
		}
	}
	red.Check(e.t, "acknowledged", false, "seed %d: no change is acknowledged after %v", e.seed, e.log)
}

func (e *ending) tryChange(c *controlNode) bool {
	v := e.sent.Add(1)
	if c.Publish(context.Background(), tables(v), fmt.Append(nil, v)) != nil {
		return false
	}
	e.acknowledged.Store(v)
	return true
}

// listSeeds makes three random ones of these control instances the seeds of those that start from now on.
func (e *ending) listSeeds(addrs []string) {
	addrs = slices.Sorted(slices.Values(addrs))
	e.rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	e.seeds = addrs[:min(3, len(addrs))]
}

// emptyDisks empties as many random disks as may be lost, that of the first address among them if
// there is one, and returns the addresses.
func (e *ending) emptyDisks(disks map[string]*store.Mem, first string) []string {
	addrs := slices.Sorted(maps.Keys(disks))
	e.rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	if i := slices.Index(addrs, first); i >= 0 {
		addrs[0], addrs[i] = addrs[i], addrs[0]
	}
	for _, a := range addrs[:e.losses] {
		disks[a] = &store.Mem{}
	}
	return addrs[:e.losses]
}

// disturb plays a disturbance that is within what may be lost, and waits until it has passed.
func (e *ending) disturb() {
	a := e.anyControl().PeerAddr
	e.listSeeds(slices.Collect(maps.Keys(e.controls)))
	switch e.rand.IntN(7) {
	case 0:
		e.note("%s loses its disk", a)
		e.change()
		e.crash(a)
		time.Sleep(time.Duration(e.rand.Int64N(int64(returnTime))))
		e.startControl(a, &store.Mem{}, false)
		time.Sleep(repairTime)
	case 1:
		e.addresses++
		by := fmt.Sprintf("10.0.0.%d:7", e.addresses)
		e.note("%s is replaced by %s", a, by)
		e.crash(a)
		e.listSeeds(slices.Collect(maps.Keys(e.controls)))
		e.startControl(by, &store.Mem{}, false)
		time.Sleep(repairTime)
	case 2:
		e.addresses++
		by := fmt.Sprintf("10.0.0.%d:7", e.addresses)
		e.note("%s is added", by)
		e.startControl(by, &store.Mem{}, false)
		time.Sleep(repairTime)
	case 3:
		e.note("the leader is cut off")
		a = e.leader().PeerAddr
		e.isolate(a)
		time.Sleep(time.Duration(e.rand.Int64N(int64(2 * returnTime))))
		e.heal(a)
		time.Sleep(repairTime)
	case 4:
		e.note("all are killed")
		e.restart(e.stopAll((*store.Mem).Copy))
		time.Sleep(repairTime)
	case 5:
		e.note("all lose power")
		e.change()
		e.restart(e.losePower(e.rand))
		time.Sleep(repairTime)
	case 6:
		e.note("the disk of %s is slow", a)
		e.slow.Store(&a)
	}
	e.change()
}

// restart starts all instances within returnTime.
func (e *ending) restart(disks map[string]*store.Mem) {
	addrs := slices.Sorted(maps.Keys(disks))
	e.listSeeds(addrs)
	e.rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for i, a := range addrs {
		time.Sleep(time.Duration(e.rand.Int64N(int64(returnTime) / int64(len(addrs)))))
		e.startControl(a, disks[a], false)
		if i < 2 {
			e.startEntry(fmt.Sprintf("a%d", i), fmt.Sprintf("10.0.1.%d:7", i+1))
		}
	}
}

// end plays the loss of disks and power shortly after a change, perhaps with another one on its way, and
// checks what is served afterwards.
func (e *ending) end() {
	if e.rand.IntN(2) == 0 {
		e.change()
		time.Sleep(time.Duration(e.rand.IntN(400)) * time.Millisecond)
	}
	if e.rand.IntN(3) == 0 {
		e.drained.Store(e.drain())
	}
	e.change()
	acknowledged := e.acknowledged.Load()
	for range max(0, e.rand.IntN(4)-1) {
		go e.tryChange(e.anyControl())
		time.Sleep(time.Duration(e.rand.IntN(8000)) * time.Microsecond)
		acknowledged = e.acknowledged.Load()
	}
	if e.rand.IntN(3) == 0 {
		time.Sleep(time.Duration(5+e.rand.IntN(395)) * time.Millisecond)
		acknowledged = e.acknowledged.Load()
	}
	leader := ""
	for a, c := range e.controls {
		if c.isLeader() && e.rand.IntN(2) == 0 {
			leader = a
		}
	}
	disks := e.losePower(e.rand)
	e.note("%d acknowledged, all lose power and %v their disks", acknowledged, e.emptyDisks(disks, leader))
	e.restart(disks)
	e.checkServed(acknowledged)
}

// drain announces a target and drains it. It reports whether the drain was acknowledged.
func (e *ending) drain() bool {
	c := e.anyControl()
	return c.Announce(context.Background(), clusterTarget("1", 1, site.Ready)) == nil &&
		c.Announce(context.Background(), clusterTarget("1", 2, site.Draining)) == nil
}

// checkServed reads from control instances and entries in turn, until all have answered several times in a
// row. They must within serviceTime.
func (e *ending) checkServed(acknowledged int64) {
	const inTurn = 4
	comment := quicktest.Commentf("seed %d: %v", e.seed, e.log)
	addrs := slices.Sorted(maps.Keys(e.controls))
	reads := 0
	for began := time.Now(); reads < inTurn*len(addrs); time.Sleep(100 * time.Millisecond) {
		for _, a := range addrs {
			if reads++; !e.read(e.controls[a], acknowledged) {
				reads = 0
			}
			e.checkEntries(acknowledged)
		}
		if time.Since(began) >= serviceTime {
			red.Check(e.t, "served", false, "seed %d: not served %s after the return, after %v", e.seed, serviceTime, e.log)
			return
		}
	}
	e.change()
	time.Sleep(time.Second)
	for _, n := range e.entries {
		n.withLock(func() { quicktest.Assert(e.t, n.version, quicktest.Equals, e.acknowledged.Load(), comment) })
	}
}

// read reads the tables from a control instance, which may refuse. They must not be older than what was
// acknowledged or read before.
func (e *ending) read(c *controlNode, acknowledged int64) bool {
	source, err := c.TablesSource(context.Background())
	if err != nil {
		return false
	}
	v, err := strconv.ParseInt(string(source), 10, 64)
	quicktest.Assert(e.t, err, quicktest.IsNil)
	quicktest.Assert(e.t, v >= max(acknowledged, e.newest), quicktest.IsTrue,
		quicktest.Commentf("seed %d: read %d after %d was acknowledged and %d read: %v", e.seed, v, acknowledged, e.newest, e.log))
	e.newest = v
	return true
}

// checkEntries checks that entries use nothing older than what was acknowledged.
func (e *ending) checkEntries(acknowledged int64) {
	for _, n := range e.entries {
		n.withLock(func() {
			if !n.confirmed {
				return
			}
			quicktest.Assert(e.t, n.version >= acknowledged, quicktest.IsTrue,
				quicktest.Commentf("seed %d: entry uses %d after %d was acknowledged: %v", e.seed, n.version, acknowledged, e.log))
			if e.drained.Load() {
				quicktest.Assert(e.t, n.states["1"], quicktest.Equals, site.Draining, quicktest.Commentf("seed %d: %v", e.seed, e.log))
			}
		})
	}
}
