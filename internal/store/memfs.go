package store

import (
	"bytes"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Mem is an in-memory file system that can simulate a power loss, failing syncs and a full disk.
// The zero value is empty and has unlimited space.
type Mem struct {
	mu sync.Mutex
	// files is the current state, by path; durable is the state after a power loss.
	files, durable map[string]*memFile
	locks          map[string]bool
	// freeBytes is how much can still be written, if limited is set.
	freeBytes int
	limited   bool
	syncErr   error
}

// memFile is the content of a file and the part of it that was synced.
type memFile struct {
	data, synced []byte
	// truncated is set if data was truncated after the last sync.
	truncated bool
}

// Crash simulates a power loss: data that was not synced is lost, except for the first keep bytes
// appended to each file. Locks are released, and syncs work again.
func (m *Mem) Crash(keep int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files = make(map[string]*memFile)
	for name, f := range m.durable {
		data := slices.Clone(f.synced)
		if bytes.HasPrefix(f.data, f.synced) {
			data = append(data, f.data[len(f.synced):min(len(f.data), len(f.synced)+keep)]...)
		}
		m.files[name] = &memFile{data: data, synced: slices.Clone(data)}
	}
	m.durable = cloneFiles(m.files)
	m.locks = nil
	m.syncErr = nil
}

// Copy returns a copy for another process, which finds the files as the one before left them when
// it was killed: what was not synced is there, and may still be lost in a power loss.
func (m *Mem) Copy() *Mem {
	m.mu.Lock()
	defer m.mu.Unlock()
	copies := make(map[*memFile]*memFile)
	clone := func(files map[string]*memFile) map[string]*memFile {
		to := make(map[string]*memFile, len(files))
		for name, f := range files {
			if copies[f] == nil {
				copies[f] = &memFile{data: slices.Clone(f.data), synced: slices.Clone(f.synced), truncated: f.truncated}
			}
			to[name] = copies[f]
		}
		return to
	}
	return &Mem{files: clone(m.files), durable: clone(m.durable)}
}

// CopyAfterPowerLoss returns a copy as a power loss may leave it. Of each file a random part of what
// was written since its last sync is kept, and may have a gap. Each name that was created, renamed or
// removed since its folder was synced is randomly as before or after that.
func (m *Mem) CopyAfterPowerLoss(r *rand.Rand) *Mem {
	c := m.Copy()
	names := slices.Sorted(maps.Keys(c.files))
	for name := range c.durable {
		if c.files[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	kept := make(map[string]*memFile)
	for _, name := range names {
		f := c.files[name]
		if before := c.durable[name]; before != f && r.IntN(2) == 0 {
			f = before
		}
		if f != nil {
			data := f.afterPowerLoss(r)
			kept[name] = &memFile{data: data, synced: slices.Clone(data)}
		}
	}
	return &Mem{files: kept, durable: cloneFiles(kept)}
}

// afterPowerLoss returns what a power loss may leave of a file.
func (f *memFile) afterPowerLoss(r *rand.Rand) []byte {
	if !bytes.HasPrefix(f.data, f.synced) {
		return slices.Clone([][]byte{f.data, f.synced}[r.IntN(2)])
	}
	data := slices.Clone(f.data[:len(f.synced)+r.IntN(len(f.data)-len(f.synced)+1)])
	if rest := data[len(f.synced):]; len(rest) > 0 && r.IntN(2) == 0 {
		from := r.IntN(len(rest))
		clear(rest[from : from+r.IntN(len(rest)-from)+1])
	}
	return data
}

// SetRoom limits how many bytes can still be written before the disk is full.
func (m *Mem) SetRoom(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freeBytes, m.limited = bytes, true
}

// FailSync makes every sync fail with err until the next crash; nil makes syncs succeed.
func (m *Mem) FailSync(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncErr = err
}

// Corrupt inverts the byte at an offset of a file. A second call restores it.
func (m *Mem) Corrupt(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.files[name]
	f.data[offset] ^= 0xff
	f.synced, f.truncated = slices.Clone(f.data), false
}

// MkdirAll does nothing: folders exist implicitly.
func (*Mem) MkdirAll(string) error { return nil }

// List returns the names in a folder, sorted.
func (m *Mem) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.files {
		if path.Dir(name) == path.Clean(dir) {
			names = append(names, path.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile returns the whole content of a file.
func (m *Mem) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.files[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(f.data), nil
}

// Create opens an empty file for writing.
func (m *Mem) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.files == nil {
		m.files = make(map[string]*memFile)
	}
	f := &memFile{}
	m.files[name] = f
	return &memHandle{fs: m, file: f}, nil
}

// Append opens an existing file for writing at its end.
func (m *Mem) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.files[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &memHandle{fs: m, file: f}, nil
}

// Rename renames a file and replaces an existing one.
func (m *Mem) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.files[from]
	if !ok {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(m.files, from)
	m.files[to] = f
	return nil
}

// Remove deletes a file.
func (m *Mem) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.files, name)
	return nil
}

// SyncDir makes the names in a folder durable.
func (m *Mem) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.syncErr != nil {
		return m.syncErr
	}
	durable := cloneFiles(m.durable)
	for name := range durable {
		if path.Dir(name) == path.Clean(dir) {
			delete(durable, name)
		}
	}
	for name, f := range m.files {
		if path.Dir(name) == path.Clean(dir) {
			durable[name] = f
		}
	}
	m.durable = durable
	return nil
}

// Lock takes an exclusive lock, which is released by Close or by a crash.
func (m *Mem) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locks[name] {
		return nil, errors.Newf("%s is in use by another process", name)
	}
	if m.locks == nil {
		m.locks = make(map[string]bool)
	}
	m.locks[name] = true
	return &memLock{fs: m, name: name}, nil
}

// cloneFiles copies the map; both maps share the files.
func cloneFiles(from map[string]*memFile) map[string]*memFile {
	to := make(map[string]*memFile, len(from))
	for name, f := range from {
		to[name] = f
	}
	return to
}

// memLock is a lock held on a path.
type memLock struct {
	fs   *Mem
	name string
}

func (l *memLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	delete(l.fs.locks, l.name)
	return nil
}

// memHandle is an open file.
type memHandle struct {
	fs   *Mem
	file *memFile
}

func (h *memHandle) Write(b []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	n := len(b)
	if h.fs.limited {
		n = min(n, h.fs.freeBytes)
		h.fs.freeBytes -= n
	}
	h.file.data = append(h.file.data, b[:n]...)
	if n < len(b) {
		return n, unix.ENOSPC
	}
	return n, nil
}

func (h *memHandle) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.fs.syncErr != nil {
		return h.fs.syncErr
	}
	if h.file.truncated {
		h.file.synced, h.file.truncated = nil, false
	}
	h.file.synced = append(h.file.synced, h.file.data[len(h.file.synced):]...)
	return nil
}

func (h *memHandle) Truncate(size int64) error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	h.file.data = h.file.data[:size]
	h.file.truncated = true
	return nil
}

func (*memHandle) Close() error { return nil }
