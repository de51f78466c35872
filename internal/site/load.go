package site

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Load is the load that an engine reports. It is some hundred milliseconds old when it
// arrives.
type Load struct {
	// KVUsed is the KV cache memory in use, in tokens. Running is the number of sequences
	// in decode.
	KVUsed, Running int
	// Slowdown is how many times slower than declared the engine is; 0 if not reported.
	Slowdown float64
	// Cold is how much longer the engine is cold; 0 if not reported.
	Cold time.Duration
}

// ErrNegativeLoad is returned by Load.Check if a field is negative.
var ErrNegativeLoad = errors.New("negative value in the load of an engine")

// Check returns ErrNegativeLoad or nil.
func (l *Load) Check() error {
	if l.KVUsed < 0 || l.Running < 0 || l.Slowdown < 0 {
		return ErrNegativeLoad
	}
	return nil
}
