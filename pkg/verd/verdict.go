// Package verd defines errors that state whether the failed request may have run.
//
// Every error on the path of a request carries a Verdict, which states whether a retry could
// execute the request twice.
package verd

import "fmt"

// Verdict states whether a target ran a request. The zero value is MayHaveRun.
type Verdict uint8

const (
	// MayHaveRun means that the outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that provably no target started the request, so a retry is safe.
	NotRun
	// Ran means that a target provably ran the request.
	Ran
)

// Join combines the verdicts of two attempts at one request: Ran if either ran, NotRun only
// if neither ran, and MayHaveRun otherwise.
func (v Verdict) Join(w Verdict) Verdict {
	if v == Ran || w == Ran {
		return Ran
	}
	if v == NotRun && w == NotRun {
		return NotRun
	}
	return MayHaveRun
}

// String returns the name used in headers and error bodies.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	case MayHaveRun:
		return "may-have-run"
	default:
		return fmt.Sprintf("verdict(%d)", uint8(v))
	}
}

// MarshalText encodes the verdict as its name.
func (v Verdict) MarshalText() ([]byte, error) {
	if v > Ran {
		return nil, fmt.Errorf("unknown verdict %d", uint8(v))
	}
	return []byte(v.String()), nil
}

// UnmarshalText decodes the name of a verdict.
func (v *Verdict) UnmarshalText(b []byte) error {
	for _, w := range []Verdict{MayHaveRun, NotRun, Ran} {
		if string(b) == w.String() {
			*v = w
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", b)
}
