package site

import "github.com/cockroachdb/errors"

// Load is what an engine says of its work, as of some hundred milliseconds before.
type Load struct {
	// Used is the memory in use in tokens, Running the answers that it writes.
	Used, Running int
	// Pace is how much slower than declared the engine is; 0 if it does not say.
	Pace float64
}

// ErrLoad says that what an engine says of its work makes no sense.
var ErrLoad = errors.New("the load of an engine is negative")

// Check returns ErrLoad or nil.
func (l *Load) Check() error {
	if l.Used < 0 || l.Running < 0 || l.Pace < 0 {
		return ErrLoad
	}
	return nil
}
