// Package auth says who callers, operators, targets and other instances are:
// by the tokens that they bring, or by their certificates.
package auth

import (
	"context"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/timing"
)

// followEvery is how often files are looked at for changes.
const followEvery = 2 * time.Second

// Live is a value read from files, which it follows while Run runs.
type Live[T any] struct {
	// Paths are the files that the value comes from.
	Paths []string
	// Load reads the files.
	Load func() (*T, error)
	Log  *log.Logger

	value atomic.Pointer[T]
	seen  []stamp
}

// stamp is what shows that a file has changed.
type stamp struct {
	size    int64
	changed time.Time
}

// Open reads the files for the first time.
func (l *Live[T]) Open() error {
	l.seen = l.stamps()
	v, err := l.Load()
	if err != nil {
		return err
	}
	l.value.Store(v)
	return nil
}

// Get returns the newest value.
func (l *Live[T]) Get() *T { return l.value.Load() }

// Run follows the files until ctx ends. A file that can't be read, or is
// wrong, leaves the value as it was.
func (l *Live[T]) Run(ctx context.Context) error {
	timing.Every(ctx, followEvery, l.follow)
	return nil
}

func (l *Live[T]) follow() {
	now := l.stamps()
	if equal(now, l.seen) {
		return
	}
	l.seen = now
	v, err := l.Load()
	if err != nil {
		l.Log.Warn().Strs("files", l.Paths).Err(err).Msg("changed files refused")
		return
	}
	l.value.Store(v)
	l.Log.Info().Strs("files", l.Paths).Msg("files read anew")
}

func (l *Live[T]) stamps() []stamp {
	out := make([]stamp, len(l.Paths))
	for i, p := range l.Paths {
		if fi, err := os.Stat(p); err == nil {
			out[i] = stamp{fi.Size(), fi.ModTime()}
		}
	}
	return out
}

func equal(a, b []stamp) bool {
	return slices.EqualFunc(a, b, func(x, y stamp) bool { return x.size == y.size && x.changed.Equal(y.changed) })
}
