package store

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Errors of a Store.
var (
	// ErrDiskFull means that the disk is full. Earlier writes are intact, and the failed write
	// may be retried.
	ErrDiskFull = errors.New("disk full")
	// ErrFailed means that a write or sync failed. The on-disk state is unknown, so the store
	// refuses all further writes.
	ErrFailed = errors.New("disk sync failed")
	// ErrNoIdentity means that a folder holds data but no identity file.
	ErrNoIdentity = errors.New("folder holds data but no identity file")
)

// DamageError means that data that was synced is corrupt.
type DamageError struct {
	File string
	// Offset is the position in File, in bytes.
	Offset int64
	Reason string
}

// Error returns the file, the offset and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}
