package site

import "github.com/cockroachdb/errors"

// Load is the load that an engine reports of itself. It is some hundred milliseconds old
// when it arrives.
type Load struct {
	// Used is the KV cache memory in use, in tokens. Running is the number of sequences
	// in decode.
	Used, Running int
	// Pace is how many times slower than declared the engine is; 0 if not reported.
	Pace float64
}

// ErrNegativeLoad is returned for a load with a negative value.
var ErrNegativeLoad = errors.New("negative value in the load of an engine")

// Check returns ErrLoad or nil.
func (l *Load) Check() error {
	if l.Used < 0 || l.Running < 0 || l.Pace < 0 {
		return ErrNegativeLoad
	}
	return nil
}
