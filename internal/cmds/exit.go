package cmds

import (
	"io/fs"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Exit is the exit code of the program.
type Exit int

// The exit codes. Scripts may rely on them.
const (
	// Success means that the command succeeded.
	Success Exit = 0
	// Failed means a failure without a code of its own.
	Failed Exit = 1
	// Usage means that the command line is invalid.
	Usage Exit = 2
	// Refused means that an instance answered with an error.
	Refused Exit = 3
	// Unreachable means that no instance answered, or that the outcome of a change is
	// unknown.
	Unreachable Exit = 4
	// BadFile means that a file is missing, unreadable or invalid.
	BadFile Exit = 5
	// Conflict means that the change conflicts with an earlier one.
	Conflict Exit = 6
)

// errBadFile marks errors caused by a missing or invalid file. errNoAnswer marks errors of
// calls that no instance answered.
var (
	errBadFile  = errors.New("missing or invalid file")
	errNoAnswer = errors.New("no answer from an instance")
)

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) Exit {
	var callErr *verd.Error
	var fieldErr *table.FieldError
	switch {
	case err == nil:
		return Success
	case errors.Is(err, errUsage):
		return Usage
	case errors.Is(err, errNoAnswer):
		return Unreachable
	case errors.As(err, &callErr) && callErr.Reason == verd.Conflict:
		return Conflict
	case errors.As(err, &callErr):
		return Refused
	case errors.Is(err, errBadFile), errors.As(err, &fieldErr), errors.Is(err, fs.ErrNotExist), errors.Is(err, fs.ErrPermission):
		return BadFile
	default:
		return Failed
	}
}
