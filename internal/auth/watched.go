// Package auth authenticates callers, operators and targets by bearer tokens and other
// instances by TLS certificates.
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

// pollInterval is how often files are checked for changes.
const pollInterval = 2 * time.Second

// Watched is a value loaded from files and reloaded when they change while Run runs.
type Watched[T any] struct {
	// Paths are the files that the value is loaded from.
	Paths []string
	// Load reads and decodes the files.
	Load func() (*T, error)
	Log  *log.Logger

	value      atomic.Pointer[T]
	lastStates []fileState
}

// fileState is the part of a file's metadata that reveals a change.
type fileState struct {
	size     int64
	modified time.Time
}

// Open loads the value for the first time.
func (w *Watched[T]) Open() error {
	w.lastStates = w.fileStates()
	v, err := w.Load()
	if err != nil {
		return err
	}
	w.value.Store(v)
	return nil
}

// Get returns the value of the last successful load.
func (w *Watched[T]) Get() *T { return w.value.Load() }

// Run polls the files for changes until ctx ends. If a changed file cannot be loaded,
// the previous value stays in use.
func (w *Watched[T]) Run(ctx context.Context) error {
	timing.Every(ctx, pollInterval, w.reload)
	return nil
}

func (w *Watched[T]) reload() {
	states := w.fileStates()
	if sameFiles(states, w.lastStates) {
		return
	}
	w.lastStates = states
	v, err := w.Load()
	if err != nil {
		w.Log.Warn().Strs("files", w.Paths).Err(err).Msg("reload of changed files failed; keeping previous content")
		return
	}
	w.value.Store(v)
	w.Log.Info().Strs("files", w.Paths).Msg("reloaded changed files")
}

func (w *Watched[T]) fileStates() []fileState {
	out := make([]fileState, len(w.Paths))
	for i, p := range w.Paths {
		if fi, err := os.Stat(p); err == nil {
			out[i] = fileState{fi.Size(), fi.ModTime()}
		}
	}
	return out
}

func sameFiles(a, b []fileState) bool {
	return slices.EqualFunc(a, b, func(x, y fileState) bool { return x.size == y.size && x.modified.Equal(y.modified) })
}
