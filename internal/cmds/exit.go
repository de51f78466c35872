package cmds

import (
	"io/fs"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Exit is the exit code of the program.
type Exit int

// The exit codes, which scripts may rely on.
const (
	// Success means that all went well.
	Success Exit = 0
	// Failed is any failure that has no code of its own.
	Failed Exit = 1
	// Usage means that the command line is wrong.
	Usage Exit = 2
	// Refused means that the system answered and did not do it.
	Refused Exit = 3
	// Unreachable means that no instance answered.
	Unreachable Exit = 4
	// BadFile means that a file is missing or has a fault.
	BadFile Exit = 5
	// Conflict means that another change came first.
	Conflict Exit = 6
)

// errBadFile marks a missing or faulty file, errNoAnswer an instance without answer.
var (
	errBadFile  = errors.New("file")
	errNoAnswer = errors.New("no answer")
)

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) Exit {
	var ve *verd.Error
	var fe *table.FieldError
	switch {
	case err == nil:
		return Success
	case errors.Is(err, errUsage):
		return Usage
	case errors.Is(err, errNoAnswer):
		return Unreachable
	case errors.As(err, &ve) && ve.Reason == verd.Conflict:
		return Conflict
	case errors.As(err, &ve):
		return Refused
	case errors.Is(err, errBadFile), errors.As(err, &fe), errors.Is(err, fs.ErrNotExist), errors.Is(err, fs.ErrPermission):
		return BadFile
	default:
		return Failed
	}
}
