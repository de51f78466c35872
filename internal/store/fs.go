package store

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// FS is the part of a file system that a Store needs. Written data is durable once the file is
// synced, and a created or renamed file once its folder is.
type FS interface {
	// MkdirAll creates a folder and its parents.
	MkdirAll(dir string) error
	// List returns the names in a folder, sorted.
	List(dir string) ([]string, error)
	// ReadFile returns the whole content of a file.
	ReadFile(path string) ([]byte, error)
	// Create opens an empty file for writing.
	Create(path string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the names in a folder durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock, which is released by Close. It fails if another process
	// holds the lock.
	Lock(path string) (io.Closer, error)
}

// File is a file open for appending.
type File interface {
	io.WriteCloser
	// Sync makes the written data durable.
	Sync() error
	// Truncate shortens the file to a size in bytes.
	Truncate(size int64) error
}

// OS is the file system of the operating system.
type OS struct{}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// MkdirAll creates a folder and its parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// List returns the names in a folder, sorted.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile returns the whole content of a file.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create opens an empty file for writing.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append opens an existing file for writing at its end.
func (OS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
}

// Rename renames a file and replaces an existing one.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir makes the names in a folder durable.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.CombineErrors(f.Sync(), f.Close())
}

// Lock takes an exclusive lock on a file, which is created if necessary.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Clean(path), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "%s is in use by another process", path), f.Close())
	}
	return f, nil
}
