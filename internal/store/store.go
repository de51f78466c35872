// Package store stores a replicated log and its snapshot in a folder. What a call has written
// without an error survives a crash.
//
// The log is a sequence of numbered segment files. Each record holds a checksum and the size of
// the segment that was synced before it, which distinguishes an unfinished write at the end from
// corruption of synced data.
package store

import (
	"encoding/binary"
	"fmt"
	"io"
	"path"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxSegmentBytes is the size at which a segment is full; the next write starts a new one.
	maxSegmentBytes = 8 << 20

	lockName     = "lock"
	identityName = "identity"
	segmentExt   = ".log"
	snapshotExt  = ".snap"
	tempExt      = ".tmp"
	numberFormat = "%016d"
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Data  []byte
}

// Batch is a set of changes that is written with one sync.
type Batch struct {
	// State replaces the state if it is not nil.
	State []byte
	// Entries are consecutive; they replace all entries from the index of the first on.
	Entries []Entry
}

// Contents is the content of a folder when it was opened.
type Contents struct {
	// Identity is what SetIdentity wrote; nil in a new folder.
	Identity []byte
	// State is the latest state that was written.
	State []byte
	// Index is the index of the last entry that Snapshot covers. Snapshot is nil if there is
	// none.
	Index    uint64
	Snapshot []byte
	// Entries follow the snapshot without a gap.
	Entries []Entry
	// Cut is the size of an unfinished write that was cut off, in bytes.
	Cut int64
}

// Store writes to an open folder. It is not safe for concurrent use.
type Store struct {
	fs       FS
	dir      string
	lock     io.Closer
	segments []segment
	file     File
	// size is the size of the last segment in bytes, all of it synced.
	size  int64
	state []byte
	// failed is the error, marked as ErrFailed, after which all writes are refused.
	failed error
}

// segment is a file of the log.
type segment struct {
	number uint64
	// lastIndex is the highest index of an entry in the segment.
	lastIndex uint64
	// hasState is set if the segment was loaded and a state was in it.
	hasState bool
}

// Open locks a folder and reads its contents. Corruption of synced data is a *DamageError; an
// unfinished write at the end is cut off.
func Open(fs FS, dir string) (*Store, *Contents, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, nil, errors.Wrapf(err, "create data folder %s", dir)
	}
	// Without this a power loss may take a folder that was just created, with all that is in it.
	if err := fs.SyncDir(path.Dir(path.Clean(dir))); err != nil {
		return nil, nil, errors.Wrapf(err, "sync the parent of data folder %s", dir)
	}
	lock, err := fs.Lock(path.Join(dir, lockName))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "lock data folder %s", dir)
	}
	s := &Store{fs: fs, dir: dir, lock: lock}
	c, err := s.load()
	if err != nil {
		return nil, nil, errors.CombineErrors(err, lock.Close())
	}
	return s, c, nil
}

// Close records that all data is synced and unlocks the folder.
func (s *Store) Close() error {
	var err error
	if s.file != nil && s.failed == nil {
		err = s.commit(record{kind: syncMarkRecord, syncedSize: uint64(s.size)}.appendTo(nil))
	}
	if s.file != nil {
		err = errors.CombineErrors(err, s.file.Close())
	}
	return errors.CombineErrors(err, s.lock.Close())
}

// Write writes and syncs a batch. After ErrDiskFull the batch may be written again; after
// ErrFailed the store refuses all writes.
func (s *Store) Write(b Batch) error {
	if s.failed != nil {
		return s.failed
	}
	if b.State != nil {
		s.state = b.State
	}
	if s.file == nil || s.size >= maxSegmentBytes {
		if err := s.startSegment(); err != nil {
			return err
		}
	}
	var buf []byte
	if b.State != nil {
		buf = record{kind: stateRecord, syncedSize: uint64(s.size), data: b.State}.appendTo(buf)
	}
	for _, e := range b.Entries {
		if len(e.Data) > maxRecordBytes {
			return errors.Newf("entry %d has %d bytes; the maximum is %d", e.Index, len(e.Data), maxRecordBytes)
		}
		buf = record{kind: entryRecord, syncedSize: uint64(s.size), index: e.Index, data: e.Data}.appendTo(buf)
	}
	if err := s.commit(buf); err != nil {
		return err
	}
	seg := &s.segments[len(s.segments)-1]
	for _, e := range b.Entries {
		seg.lastIndex = max(seg.lastIndex, e.Index)
	}
	return nil
}

// commit appends bytes to the last segment and syncs it.
func (s *Store) commit(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if _, err := s.file.Write(b); err != nil {
		return s.rollBack(err)
	}
	if err := s.file.Sync(); err != nil {
		return s.markFailed(err)
	}
	s.size += int64(len(b))
	return nil
}

// rollBack cuts off a failed write and returns its error.
func (s *Store) rollBack(cause error) error {
	if err := s.file.Truncate(s.size); err != nil {
		return s.markFailed(errors.CombineErrors(cause, err))
	}
	return s.writeError(cause, s.segmentPath(s.segments[len(s.segments)-1].number))
}

// writeError wraps the error of a write to file. A full disk is marked as ErrDiskFull.
func (*Store) writeError(err error, file string) error {
	if errors.Is(err, unix.ENOSPC) {
		return errors.Wrapf(errors.Mark(err, ErrDiskFull), "write %s", file)
	}
	return errors.Wrapf(err, "write %s", file)
}

// markFailed makes the store refuse all further writes, as the on-disk state is unknown.
func (s *Store) markFailed(err error) error {
	s.failed = errors.Wrapf(errors.Mark(err, ErrFailed), "write or sync failed in %s", s.dir)
	return s.failed
}

// startSegment creates the next segment, which begins with the current state.
func (s *Store) startSegment() error {
	number := uint64(1)
	if n := len(s.segments); n > 0 {
		number = s.segments[n-1].number + 1
	}
	name := s.segmentPath(number)
	f, err := s.fs.Create(name)
	if err != nil {
		return s.writeError(err, name)
	}
	var first []byte
	if s.state != nil {
		first = record{kind: stateRecord, data: s.state}.appendTo(nil)
	}
	if _, err := f.Write(first); err != nil {
		err = errors.CombineErrors(err, f.Close())
		return s.writeError(errors.CombineErrors(err, s.fs.Remove(name)), name)
	}
	if err := f.Sync(); err != nil {
		return s.markFailed(err)
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return s.markFailed(err)
	}
	if s.file != nil {
		// The file is synced, so a failed close loses no data.
		_ = s.file.Close()
	}
	s.file, s.size = f, int64(len(first))
	s.segments = append(s.segments, segment{number: number})
	return nil
}

// SaveSnapshot replaces the log up to index by a snapshot, or the whole log if reset is set.
func (s *Store) SaveSnapshot(index uint64, data []byte, reset bool) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.replaceFile(fmt.Sprintf(numberFormat, index)+snapshotExt, index, data); err != nil {
		return err
	}
	if err := s.startSegment(); err != nil {
		return err
	}
	if reset {
		for i := range s.segments {
			s.segments[i].lastIndex = 0
		}
	}
	return s.prune(index)
}

// prune removes the segments and older snapshots that a snapshot at index covers, and temporary
// files.
func (s *Store) prune(index uint64) error {
	for len(s.segments) > 1 && s.segments[0].lastIndex <= index {
		if err := s.fs.Remove(s.segmentPath(s.segments[0].number)); err != nil {
			return errors.Wrapf(err, "remove segment %d", s.segments[0].number)
		}
		s.segments = s.segments[1:]
	}
	names, err := s.fs.List(s.dir)
	if err != nil {
		return errors.Wrapf(err, "list data folder %s", s.dir)
	}
	for _, name := range names {
		n, ok := parseNumber(name, snapshotExt)
		if ok && n < index || strings.HasSuffix(name, tempExt) {
			if err := s.fs.Remove(path.Join(s.dir, name)); err != nil {
				return errors.Wrapf(err, "remove %s", name)
			}
		}
	}
	return nil
}

// SetIdentity writes the identity of the folder's owner.
func (s *Store) SetIdentity(data []byte) error { return s.replaceFile(identityName, 0, data) }

// replaceFile replaces a file atomically: a crash leaves either the old or the new one.
func (s *Store) replaceFile(name string, index uint64, data []byte) error {
	file := path.Join(s.dir, name)
	f, err := s.fs.Create(file + tempExt)
	if err != nil {
		return s.writeError(err, file)
	}
	_, err = f.Write(encodeFile(index, data))
	if err != nil {
		err = errors.CombineErrors(err, f.Close())
		return s.writeError(errors.CombineErrors(err, s.fs.Remove(file+tempExt)), file)
	}
	if err := errors.CombineErrors(f.Sync(), f.Close()); err != nil {
		return s.markFailed(err)
	}
	if err := s.fs.Rename(file+tempExt, file); err != nil {
		return s.markFailed(err)
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return s.markFailed(err)
	}
	return nil
}

// segmentPath returns the path of the segment with the number.
func (s *Store) segmentPath(number uint64) string {
	return path.Join(s.dir, fmt.Sprintf(numberFormat, number)+segmentExt)
}

// parseNumber returns the number in a file name that consists of a number and ext.
func parseNumber(name, ext string) (uint64, bool) {
	base, ok := strings.CutSuffix(name, ext)
	if !ok {
		return 0, false
	}
	var n uint64
	if _, err := fmt.Sscanf(base, "%d", &n); err != nil {
		return 0, false
	}
	return n, true
}

// fileHeaderSize is the size of the header of a file that is replaced as a whole, in bytes:
// checksum and index.
const fileHeaderSize = 4 + 8

// encodeFile encodes the content of a file that is replaced as a whole.
func encodeFile(index uint64, data []byte) []byte {
	b := make([]byte, fileHeaderSize, fileHeaderSize+len(data))
	binary.LittleEndian.PutUint64(b[4:], index)
	b = append(b, data...)
	binary.LittleEndian.PutUint32(b, checksum(b[4:]))
	return b
}

// decodeFile verifies and decodes the content of a file that encodeFile encoded.
func decodeFile(file string, b []byte) (index uint64, data []byte, err error) {
	if len(b) < fileHeaderSize || checksum(b[4:]) != binary.LittleEndian.Uint32(b) {
		return 0, nil, &DamageError{File: file, Reason: "file is too short or its checksum differs"}
	}
	return binary.LittleEndian.Uint64(b[4:]), b[fileHeaderSize:], nil
}
