package hop

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// ErrInvalidEvent reports that a stream contains something that is not a valid event.
var ErrInvalidEvent = errors.New("invalid event")

// Event is one complete server-sent event of a stream.
type Event struct {
	// Raw holds the bytes of the event as received, including the empty line at its end.
	Raw []byte
	// ID is the number of the event, if HasID is set.
	ID    int64
	HasID bool
}

// EventReader reads the events of a stream.
type EventReader struct{ r *bufio.Reader }

// NewEventReader returns a reader of the events in a response body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(body, readBufferBytes)}
}

// Next returns the next event. It returns io.EOF after the last one, io.ErrUnexpectedEOF
// if the stream ends within an event, ErrInvalidEvent, or the error of the underlying
// reader.
func (r *EventReader) Next() (Event, error) {
	var ev Event
	for {
		line, err := r.r.ReadSlice('\n')
		ev.Raw = append(ev.Raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(ev.Raw) < maxEventBytes:
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(ev.Raw)) > 0:
			return ev, io.ErrUnexpectedEOF
		case err != nil:
			return ev, err
		case len(ev.Raw) > maxEventBytes:
			return ev, errors.Wrapf(ErrInvalidEvent, "longer than %d bytes", maxEventBytes)
		}
		if endsEvent(ev.Raw) {
			break
		}
	}
	return ev, ev.parseID()
}

// endsEvent reports whether raw ends with an empty line and so is a complete event.
func endsEvent(raw []byte) bool {
	if len(bytes.TrimRight(raw, "\r\n")) == 0 {
		return false // An empty line before the event belongs to it.
	}
	return bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\n\r\n"))
}

// parseID sets the ID of the event from its last "id:" line.
func (e *Event) parseID() error {
	for line := range bytes.Lines(e.Raw) {
		v, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64)
		if err != nil {
			return errors.Wrapf(ErrInvalidEvent, "id %q is not a number", v)
		}
		e.ID, e.HasID = n, true
	}
	return nil
}
