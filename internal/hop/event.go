package hop

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 1 << 20

// ErrEvent says that a stream has what is no event.
var ErrEvent = errors.New("not an event")

// Event is one whole event of a stream.
type Event struct {
	// Raw is the event as it came, with the empty line at its end.
	Raw []byte
	// ID is its number; HasID says whether it has one.
	ID    int64
	HasID bool
}

// Events reads a stream of events.
type Events struct{ r *bufio.Reader }

// NewEvents reads the events of an answer's body.
func NewEvents(body io.Reader) *Events {
	return &Events{r: bufio.NewReaderSize(body, readBuffer)}
}

// Next returns the next event, io.EOF behind the last, and any other error if
// the stream breaks off, also in the middle of an event.
func (e *Events) Next() (Event, error) {
	var ev Event
	for {
		line, err := e.r.ReadSlice('\n')
		ev.Raw = append(ev.Raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(ev.Raw) < maxEvent:
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(ev.Raw)) > 0:
			return ev, io.ErrUnexpectedEOF
		case err != nil:
			return ev, err
		case len(ev.Raw) > maxEvent:
			return ev, errors.Wrap(ErrEvent, "too long")
		}
		if isBlank(ev.Raw) {
			break
		}
	}
	return ev, ev.parse()
}

// isBlank says whether the last line is empty and ends an event.
func isBlank(raw []byte) bool {
	if len(bytes.TrimRight(raw, "\r\n")) == 0 {
		return false // An empty line before the event belongs to it.
	}
	return bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\n\r\n"))
}

// parse finds the number of the event.
func (e *Event) parse() error {
	for line := range bytes.Lines(e.Raw) {
		v, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64)
		if err != nil {
			return errors.Wrapf(ErrEvent, "number %q", v)
		}
		e.ID, e.HasID = n, true
	}
	return nil
}
