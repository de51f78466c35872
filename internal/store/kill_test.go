package store

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
)

// errKilled is returned by a dyingFS.
var errKilled = errors.New("killed")

// dyingFS fails each operation once left are done, like a process that is killed there.
type dyingFS struct {
	*Mem
	left int
}

func (d *dyingFS) die() error {
	if d.left--; d.left < 0 {
		return errKilled
	}
	return nil
}

func (d *dyingFS) Create(name string) (File, error) {
	if err := d.die(); err != nil {
		return nil, err
	}
	f, err := d.Mem.Create(name)
	return &dyingFile{f, d}, err
}

func (d *dyingFS) Append(name string) (File, error) {
	if err := d.die(); err != nil {
		return nil, err
	}
	f, err := d.Mem.Append(name)
	return &dyingFile{f, d}, err
}

func (d *dyingFS) Rename(from, to string) error {
	return errors.CombineErrors(d.die(), d.ifAlive(func() error { return d.Mem.Rename(from, to) }))
}

func (d *dyingFS) Remove(name string) error {
	return errors.CombineErrors(d.die(), d.ifAlive(func() error { return d.Mem.Remove(name) }))
}

func (d *dyingFS) SyncDir(dir string) error {
	return errors.CombineErrors(d.die(), d.ifAlive(func() error { return d.Mem.SyncDir(dir) }))
}

func (d *dyingFS) ifAlive(do func() error) error {
	if d.left < 0 {
		return nil
	}
	return do()
}

type dyingFile struct {
	File
	fs *dyingFS
}

func (f *dyingFile) Write(b []byte) (int, error) {
	if err := f.fs.die(); err != nil {
		return 0, err
	}
	return f.File.Write(b)
}

func (f *dyingFile) Sync() error {
	return errors.CombineErrors(f.fs.die(), f.fs.ifAlive(f.File.Sync))
}

func (f *dyingFile) Truncate(size int64) error {
	return errors.CombineErrors(f.fs.die(), f.fs.ifAlive(func() error { return f.File.Truncate(size) }))
}

// lives is a series of processes that use the same folder one after the other.
type lives struct {
	t    *testing.T
	rand *rand.Rand
	seed uint64
	// covered is the snapshot, last the entry and state the state that were last written or read.
	covered, last uint64
	state         string
}

// open opens the folder and checks that nothing is missing in it.
func (l *lives) open(fs FS) (*Store, error) {
	s, c, err := Open(fs, "/data")
	if err != nil {
		return nil, err
	}
	first, end := indexRange(c)
	end = max(c.Index, end)
	quicktest.Assert(l.t, first == 0 || first == c.Index+1, quicktest.IsTrue, quicktest.Commentf("seed %d", l.seed))
	quicktest.Assert(l.t, c.Index >= l.covered && end >= l.last && string(c.State) >= l.state, quicktest.IsTrue,
		quicktest.Commentf("seed %d: read snapshot %d, entry %d and state %q after %d, %d and %q", l.seed, c.Index, end, c.State, l.covered, l.last, l.state))
	l.covered, l.last, l.state = c.Index, end, string(c.State)
	if c.Identity == nil {
		err = s.SetIdentity([]byte("me"))
	}
	return s, err
}

// write writes some entries with a state, and now and then a snapshot.
func (l *lives) write(s *Store) error {
	b := Batch{State: fmt.Appendf(nil, "state %06d", l.last+1)}
	for i := range 1 + l.rand.Uint64N(3) {
		b.Entries = append(b.Entries, Entry{Index: l.last + 1 + i, Data: fmt.Append(nil, "entry ", l.last+1+i)})
	}
	if err := s.Write(b); err != nil {
		return err
	}
	l.last, l.state = b.Entries[len(b.Entries)-1].Index, string(b.State)
	if l.rand.IntN(3) > 0 {
		return nil
	}
	if err := s.SaveSnapshot(l.last, fmt.Append(nil, "snap ", l.last), false); err != nil {
		return err
	}
	l.covered = l.last
	return nil
}

// TestRestartSyncsWhatItReads guards against entries, states and snapshots that a process reads after the
// one before was killed within a write, and that a later power loss or kill takes: a replica has
// acknowledged them.
func TestRestartSyncsWhatItReads(t *testing.T) {
	for seed := range uint64(600) {
		l := &lives{t: t, rand: rand.New(rand.NewPCG(seed, 3)), seed: seed}
		disk := &Mem{}
		for range 6 {
			fs := &dyingFS{Mem: disk, left: l.rand.IntN(60)}
			s, err := l.open(fs)
			for err == nil {
				err = l.write(s)
			}
			quicktest.Assert(t, errors.Is(err, errKilled), quicktest.IsTrue, quicktest.Commentf("seed %d: %v", seed, err))
			if disk = fs.Copy(); l.rand.IntN(2) == 0 {
				disk = fs.CopyAfterPowerLoss(l.rand)
			}
		}
	}
}
