package store

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
)

// openStore opens the folder /data and sets the identity if it is new.
func openStore(t *testing.T, fs FS) (*Store, *Contents) {
	t.Helper()
	s, c, err := Open(fs, "/data")
	quicktest.Assert(t, err, quicktest.IsNil)
	if c.Identity == nil {
		quicktest.Assert(t, s.SetIdentity([]byte("me")), quicktest.IsNil)
	}
	return s, c
}

// writeEntries writes the entries from first to last, and a state, in one batch.
func writeEntries(t *testing.T, s *Store, first, last uint64) {
	t.Helper()
	b := Batch{State: fmt.Append(nil, "state ", last)}
	for i := first; i <= last; i++ {
		b.Entries = append(b.Entries, Entry{Index: i, Data: fmt.Append(nil, "entry ", i)})
	}
	quicktest.Assert(t, s.Write(b), quicktest.IsNil)
}

// indexRange returns the indexes of the first and last entry, or zeros if there is none.
func indexRange(c *Contents) (first, last uint64) {
	if len(c.Entries) == 0 {
		return 0, 0
	}
	return c.Entries[0].Index, c.Entries[len(c.Entries)-1].Index
}

// TestRestartRestoresData guards against data that a restart loses, or entries that come back
// although later entries or a snapshot replaced them.
func TestRestartRestoresData(t *testing.T) {
	fs := &Mem{}
	s, _ := openStore(t, fs)
	writeEntries(t, s, 1, 10)
	writeEntries(t, s, 8, 12)
	quicktest.Assert(t, s.Write(Batch{Entries: []Entry{{Index: 9, Data: []byte("other")}}}), quicktest.IsNil)
	quicktest.Assert(t, s.SaveSnapshot(5, []byte("snap"), false), quicktest.IsNil)
	fs.Crash(0)
	_, c := openStore(t, fs)
	quicktest.Check(t, string(c.Identity), quicktest.Equals, "me")
	quicktest.Check(t, string(c.State), quicktest.Equals, "state 12")
	quicktest.Check(t, string(c.Snapshot), quicktest.Equals, "snap")
	first, last := indexRange(c)
	quicktest.Check(t, []uint64{c.Index, first, last}, quicktest.DeepEquals, []uint64{5, 6, 9})
	quicktest.Check(t, string(c.Entries[3].Data), quicktest.Equals, "other")
}

// TestResetReplacesWholeLog guards against old entries that come back after a snapshot beyond the
// end of the log replaced it.
func TestResetReplacesWholeLog(t *testing.T) {
	fs := &Mem{}
	s, _ := openStore(t, fs)
	writeEntries(t, s, 1, 10)
	quicktest.Assert(t, s.SaveSnapshot(100, []byte("snap"), true), quicktest.IsNil)
	writeEntries(t, s, 101, 103)
	fs.Crash(0)
	_, c := openStore(t, fs)
	first, last := indexRange(c)
	quicktest.Check(t, []uint64{c.Index, first, last}, quicktest.DeepEquals, []uint64{100, 101, 103})
}

// TestUnfinishedWriteIsCutOff guards against a store that doesn't open, or loses synced entries,
// after a power loss during a write. It keeps every possible prefix of the last write.
func TestUnfinishedWriteIsCutOff(t *testing.T) {
	for keep := 0; ; keep++ {
		fs := &Mem{}
		s, _ := openStore(t, fs)
		writeEntries(t, s, 1, 3)
		size := int(s.size)
		fs.FailSync(errors.New("power lost"))
		err := s.Write(Batch{Entries: []Entry{{Index: 4, Data: []byte("four")}}})
		quicktest.Assert(t, errors.Is(err, ErrFailed), quicktest.IsTrue)
		fs.Crash(keep)
		s, c := openStore(t, fs)
		_, last := indexRange(c)
		if recordSize := recordHeaderSize + len("four"); keep >= recordSize {
			quicktest.Assert(t, last, quicktest.Equals, uint64(4))
			return
		}
		quicktest.Assert(t, last, quicktest.Equals, uint64(3))
		quicktest.Assert(t, c.Cut, quicktest.Equals, int64(keep))
		quicktest.Assert(t, s.size, quicktest.Equals, int64(size))
		writeEntries(t, s, 4, 5)
		fs.Crash(0)
		_, c = openStore(t, fs)
		_, last = indexRange(c)
		quicktest.Assert(t, last, quicktest.Equals, uint64(5))
	}
}

// TestDamagedDataIsDetected guards against corrupt data that is taken for an unfinished write and
// cut off. It inverts each byte that is known to be synced.
func TestDamagedDataIsDetected(t *testing.T) {
	fs := &Mem{}
	s, _ := openStore(t, fs)
	writeEntries(t, s, 1, 3)
	syncedSize := int(s.size)
	writeEntries(t, s, 4, 4)
	const file = "/data/0000000000000001.log"
	for offset := range syncedSize {
		fs.Crash(0)
		fs.Corrupt(file, offset)
		_, _, err := Open(fs, "/data")
		var d *DamageError
		quicktest.Assert(t, errors.As(err, &d), quicktest.IsTrue, quicktest.Commentf("byte %d: %v", offset, err))
		quicktest.Assert(t, d.File, quicktest.Equals, file)
		quicktest.Assert(t, d.Offset <= int64(offset) && d.Offset+recordHeaderSize+16 > int64(offset), quicktest.IsTrue)
		fs.Corrupt(file, offset)
	}
}

// TestMissingIdentity guards against data that is read under a new identity.
func TestMissingIdentity(t *testing.T) {
	fs := &Mem{}
	s, _ := openStore(t, fs)
	writeEntries(t, s, 1, 3)
	quicktest.Assert(t, s.Close(), quicktest.IsNil)
	quicktest.Assert(t, fs.Remove("/data/identity"), quicktest.IsNil)
	_, _, err := Open(fs, "/data")
	quicktest.Assert(t, errors.Is(err, ErrNoIdentity), quicktest.IsTrue)
}

// TestSyncErrorStopsWrites guards against writes after a failed sync, even if later syncs
// succeed. The on-disk state is unknown.
func TestSyncErrorStopsWrites(t *testing.T) {
	fs := &Mem{}
	s, _ := openStore(t, fs)
	writeEntries(t, s, 1, 3)
	fs.FailSync(errors.New("input/output error"))
	quicktest.Check(t, errors.Is(s.Write(Batch{State: []byte("x")}), ErrFailed), quicktest.IsTrue)
	fs.FailSync(nil)
	quicktest.Check(t, errors.Is(s.Write(Batch{State: []byte("x")}), ErrFailed), quicktest.IsTrue)
}

// TestDiskFull guards against a full disk that loses accepted entries or blocks writes after space
// is freed. It fills the disk at every byte of a write and a snapshot.
func TestDiskFull(t *testing.T) {
	for freeBytes := range 200 {
		fs := &Mem{}
		s, _ := openStore(t, fs)
		writeEntries(t, s, 1, 3)
		fs.SetRoom(freeBytes)
		err := s.Write(Batch{Entries: []Entry{{Index: 4, Data: make([]byte, 100)}}})
		if err == nil {
			err = s.SaveSnapshot(3, make([]byte, 100), false)
		}
		quicktest.Assert(t, errors.Is(err, ErrDiskFull), quicktest.IsTrue, quicktest.Commentf("%d bytes free: %v", freeBytes, err))
		fs.SetRoom(1 << 20)
		writeEntries(t, s, 4, 6)
		fs.Crash(0)
		_, c := openStore(t, fs)
		first, last := indexRange(c)
		quicktest.Assert(t, []uint64{first, last}, quicktest.DeepEquals, []uint64{1, 6})
	}
}

// TestLock guards against two processes that write to the same folder.
func TestLock(t *testing.T) {
	for name, fs := range map[string]FS{"memory": &Mem{}, "disk": OS{}} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, _, err := Open(fs, dir)
			quicktest.Assert(t, err, quicktest.IsNil)
			_, _, err = Open(fs, dir)
			quicktest.Check(t, err, quicktest.ErrorMatches, ".*in use by another process.*")
			quicktest.Assert(t, s.Close(), quicktest.IsNil)
			s, _, err = Open(fs, dir)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, s.Close(), quicktest.IsNil)
		})
	}
}

// TestRandomCrashesLoseNoData guards against a sequence of writes, snapshots and power losses
// after which accepted entries are missing. The sequences are random with fixed seeds.
func TestRandomCrashesLoseNoData(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 2))
		fs := &Mem{}
		s, _ := openStore(t, fs)
		var next, snapshotIndex uint64 = 1, 0
		for range 40 {
			switch r.IntN(4) {
			case 0, 1:
				end := next + r.Uint64N(5)
				writeEntries(t, s, next, end)
				next = end + 1
			case 2:
				if next > snapshotIndex+1 {
					snapshotIndex += 1 + r.Uint64N(next-snapshotIndex-1)
					quicktest.Assert(t, s.SaveSnapshot(snapshotIndex, []byte("snap"), false), quicktest.IsNil)
				}
			case 3:
				fs.Crash(r.IntN(50))
				var c *Contents
				s, c = openStore(t, fs)
				quicktest.Assert(t, c.Index, quicktest.Equals, snapshotIndex)
				if next > snapshotIndex+1 {
					first, last := indexRange(c)
					quicktest.Assert(t, []uint64{first, last}, quicktest.DeepEquals, []uint64{snapshotIndex + 1, next - 1})
				}
			}
		}
	}
}

// syncsFS records which folders are synced.
type syncsFS struct {
	*Mem
	synced []string
}

func (f *syncsFS) SyncDir(dir string) error {
	f.synced = append(f.synced, dir)
	return f.Mem.SyncDir(dir)
}

// TestNewFolderIsDurable guards against a folder that a power loss takes after it was created, with all
// that was synced in it.
func TestNewFolderIsDurable(t *testing.T) {
	fs := &syncsFS{Mem: &Mem{}}
	s, _, err := Open(fs, "/data/log")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, fs.synced, quicktest.Contains, "/data")
	quicktest.Assert(t, s.Close(), quicktest.IsNil)
}

// TestCoveredSegmentsAreRemoved guards against segments that stay although a snapshot covers them,
// and against the removal of segments that are still needed.
func TestCoveredSegmentsAreRemoved(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(OS{}, dir)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, s.SetIdentity([]byte("me")), quicktest.IsNil)
	for i := range uint64(20) {
		b := Batch{State: []byte("s"), Entries: []Entry{{Index: i + 1, Data: make([]byte, 1<<20)}}}
		quicktest.Assert(t, s.Write(b), quicktest.IsNil)
	}
	quicktest.Check(t, len(s.segments), quicktest.Equals, 3)
	quicktest.Assert(t, s.SaveSnapshot(10, []byte("snap"), false), quicktest.IsNil)
	quicktest.Check(t, len(s.segments), quicktest.Equals, 3)
	quicktest.Assert(t, s.Close(), quicktest.IsNil)
	s, c, err := Open(OS{}, dir)
	quicktest.Assert(t, err, quicktest.IsNil)
	first, last := indexRange(c)
	quicktest.Check(t, []uint64{first, last}, quicktest.DeepEquals, []uint64{11, 20})
	quicktest.Check(t, string(c.State), quicktest.Equals, "s")
	quicktest.Assert(t, s.Close(), quicktest.IsNil)
}
