package store

import (
	"fmt"
	"io/fs"
	"path"

	"github.com/cockroachdb/errors"
)

// load reads the contents of the folder and prepares the last segment for writing.
func (s *Store) load() (*Contents, error) {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return nil, errors.Wrapf(err, "list data folder %s", s.dir)
	}
	c := &Contents{}
	if err := s.loadIdentity(c); err != nil {
		return nil, err
	}
	for _, name := range names {
		if n, ok := parseNumber(name, snapshotExt); ok {
			c.Index = max(c.Index, n)
			err = s.loadSnapshot(name, c)
		} else if n, ok := parseNumber(name, segmentExt); ok {
			s.segments = append(s.segments, segment{number: n})
		}
		if err != nil {
			return nil, err
		}
	}
	if c.Identity == nil && (c.Snapshot != nil || len(s.segments) > 0) {
		return nil, errors.Wrapf(ErrNoIdentity, "%s", s.dir)
	}
	for i := range s.segments {
		if err := s.loadSegment(i, c); err != nil {
			return nil, err
		}
	}
	s.state = c.State
	if err := s.dropCoveredEntries(c); err != nil {
		return nil, err
	}
	if err := s.syncLoaded(); err != nil {
		return nil, err
	}
	return c, s.prune(c.Index)
}

// syncLoaded makes durable what was read, before anything is removed. The last process may have been
// killed before it synced the end of the last segment, or the name of a file that it had created or
// renamed, or when it had created a segment and not yet written the state to it.
func (s *Store) syncLoaded() error {
	if s.file != nil {
		if err := s.file.Sync(); err != nil {
			return s.markFailed(err)
		}
		if s.state != nil && !s.segments[len(s.segments)-1].hasState {
			if err := s.commit(record{kind: stateRecord, syncedSize: uint64(s.size), data: s.state}.appendTo(nil)); err != nil {
				return err
			}
		}
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return s.markFailed(err)
	}
	return nil
}

// loadIdentity reads the identity, which a new folder doesn't have.
func (s *Store) loadIdentity(c *Contents) error {
	file := path.Join(s.dir, identityName)
	b, err := s.fs.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "read identity %s", file)
	}
	_, c.Identity, err = decodeFile(file, b)
	return err
}

// loadSnapshot reads a snapshot. Snapshots are loaded in the order of their indexes, so the
// newest replaces the others.
func (s *Store) loadSnapshot(name string, c *Contents) error {
	file := path.Join(s.dir, name)
	b, err := s.fs.ReadFile(file)
	if err != nil {
		return errors.Wrapf(err, "read snapshot %s", file)
	}
	c.Index, c.Snapshot, err = decodeFile(file, b)
	return err
}

// loadSegment reads segment i. Only the last segment may end in an unfinished write.
func (s *Store) loadSegment(i int, c *Contents) error {
	file := s.segmentPath(s.segments[i].number)
	b, err := s.fs.ReadFile(file)
	if err != nil {
		return errors.Wrapf(err, "read segment %s", file)
	}
	last := i == len(s.segments)-1
	offset := 0
	for offset < len(b) {
		r, size, ok := parseRecord(b[offset:])
		if !ok {
			break
		}
		if err := s.applyRecord(i, r, c); err != nil {
			return &DamageError{File: file, Offset: int64(offset), Reason: err.Error()}
		}
		offset += size
	}
	if offset < len(b) && (!last || syncedBeyond(b, offset)) {
		return &DamageError{File: file, Offset: int64(offset), Reason: "invalid record in data that was synced"}
	}
	if !last {
		return nil
	}
	return s.resumeSegment(file, int64(offset), int64(len(b)), c)
}

// resumeSegment opens the last segment for writing and cuts off what follows its last complete
// record, at offset size. The caller syncs it.
func (s *Store) resumeSegment(file string, size, fileSize int64, c *Contents) error {
	f, err := s.fs.Append(file)
	if err != nil {
		return errors.Wrapf(err, "open segment %s", file)
	}
	s.file, s.size = f, size
	if size == fileSize {
		return nil
	}
	c.Cut = fileSize - size
	if err := f.Truncate(size); err != nil {
		return s.markFailed(err)
	}
	return nil
}

// applyRecord adds a record of segment i to the contents.
func (s *Store) applyRecord(i int, r record, c *Contents) error {
	switch r.kind {
	case stateRecord:
		c.State = r.data
		s.segments[i].hasState = true
	case entryRecord:
		s.segments[i].lastIndex = max(s.segments[i].lastIndex, r.index)
		return c.applyEntry(Entry{Index: r.index, Data: r.data})
	case syncMarkRecord:
	default:
		return errors.Newf("unknown record kind %d", r.kind)
	}
	return nil
}

// applyEntry stores an entry at its index and drops all entries after it.
func (c *Contents) applyEntry(e Entry) error {
	if len(c.Entries) == 0 {
		c.Entries = append(c.Entries, e)
		return nil
	}
	first, next := c.Entries[0].Index, c.Entries[len(c.Entries)-1].Index+1
	switch {
	case e.Index <= first:
		c.Entries = append(c.Entries[:0], e)
	case e.Index <= next:
		c.Entries = append(c.Entries[:e.Index-first], e)
	case e.Index <= c.Index+1:
		// The snapshot replaced the log up to here.
		c.Entries = append(c.Entries[:0], e)
	default:
		return errors.Newf("entry %d follows entry %d, expected at most %d", e.Index, next-1, next)
	}
	return nil
}

// dropCoveredEntries drops the entries that the snapshot covers. The rest must follow it without
// a gap.
func (s *Store) dropCoveredEntries(c *Contents) error {
	for len(c.Entries) > 0 && c.Entries[0].Index <= c.Index {
		c.Entries = c.Entries[1:]
	}
	if len(c.Entries) > 0 && c.Entries[0].Index != c.Index+1 {
		return &DamageError{File: s.dir, Reason: fmt.Sprintf("log starts at entry %d, but the snapshot ends at entry %d", c.Entries[0].Index, c.Index)}
	}
	return nil
}
