package cmds

import (
	"io"
	"sync"

	"github.com/phuslu/log"
)

// maxQueuedLogLines bounds the log lines that wait to be written. Lines beyond it are
// dropped, so that a slow reader of the log never blocks a request.
const maxQueuedLogLines = 4096

// logWriter writes log lines in the background. After Close it drops them, as timers may still log while a process ends;
// a log.AsyncWriter panics then.
type logWriter struct {
	async log.AsyncWriter

	mu       sync.RWMutex
	isClosed bool
}

func newLogWriter(w io.Writer) *logWriter {
	return &logWriter{async: log.AsyncWriter{Writer: &log.IOWriter{Writer: w}, ChannelSize: maxQueuedLogLines, DiscardOnFull: true}}
}

// WriteEntry implements log.Writer.
func (w *logWriter) WriteEntry(e *log.Entry) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.isClosed {
		return 0, nil
	}
	return w.async.WriteEntry(e)
}

// Close writes the lines that wait.
func (w *logWriter) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isClosed = true
	return w.async.Close()
}
