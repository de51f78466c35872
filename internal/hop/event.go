package hop

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/guard"
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
	// IsComment is set if there is nothing but comment lines, which targets send to keep a
	// connection open, and the time after which callers reconnect.
	IsComment bool
	// IsPartial is set for an event that the stream ended within, or broke off in. Its ID is set if
	// that line is complete.
	IsPartial bool
}

// EventReader reads the events of a stream.
type EventReader struct {
	r *bufio.Reader
	// held counts the memory of the current event.
	held *guard.Response
}

// NewEventReader returns a reader of the events in a response body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(body, readBufferBytes)}
}

// Next returns the next event. It returns io.EOF after the last one, io.ErrUnexpectedEOF
// if the stream ends within an event, ErrInvalidEvent, the error of guard.Response.Hold, or that of the
// underlying reader. With these errors, but for ErrInvalidEvent, it returns what there is of an event.
func (r *EventReader) Next() (Event, error) {
	var ev Event
	// hasContent is set once a line was not empty; isContinued is set in the middle of a
	// line that exceeds the buffer.
	hasContent, isContinued := false, false
	if err := r.held.EndEvent(); err != nil {
		return ev, err
	}
	for {
		line, err := r.r.ReadSlice('\n')
		ev.Raw = append(ev.Raw, line...)
		if err := r.held.Hold(cap(ev.Raw), len(line)); err != nil {
			return ev.partial(), err
		}
		isEmpty := !isContinued && len(bytes.TrimRight(line, "\r\n")) == 0
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(ev.Raw) < maxEventBytes:
			hasContent, isContinued = true, true
			continue
		case errors.Is(err, io.EOF) && (hasContent || !isEmpty):
			return ev.partial(), io.ErrUnexpectedEOF
		case err != nil:
			return ev.partial(), err
		case len(ev.Raw) > maxEventBytes:
			return ev, errors.Wrapf(ErrInvalidEvent, "longer than %d bytes", maxEventBytes)
		case isEmpty && hasContent:
			return ev, ev.parse()
		}
		// Empty lines before an event belong to it.
		hasContent, isContinued = hasContent || !isEmpty, false
	}
}

// parse sets the fields from the lines of the event. It returns ErrInvalidEvent if an ID is
// no number, if a line is neither a field nor a comment, or if fields have neither an ID nor data.
func (e *Event) parse() error {
	hasData, hasField := false, false
	for line := range bytes.Lines(e.Raw) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, hasColon := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0, len(name) == 0, string(name) == "retry":
			continue // The end of the event, a comment, or a field that holds for the connection.
		case !hasColon && !IsFieldName(name):
			return errors.Wrap(ErrInvalidEvent, "a line is neither a field nor a comment")
		case string(name) == "data":
			hasData = true
		case string(name) == "id" && hasColon:
			n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return errors.Wrapf(ErrInvalidEvent, "id %q is not a number", value)
			}
			e.ID, e.HasID = n, true
		}
		hasField = true
	}
	if hasField && !e.HasID && !hasData {
		return errors.Wrap(ErrInvalidEvent, "no line is an id, data or a comment")
	}
	e.IsComment = !hasField
	return nil
}

// partial returns the fields of an event whose end is missing.
func (e *Event) partial() Event {
	out := Event{Raw: e.Raw}
	for line := range bytes.Lines(e.Raw) {
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 && text[0] != ':' {
			out.IsPartial = true
		}
	}
	whole := Event{Raw: e.Raw[:bytes.LastIndexByte(e.Raw, '\n')+1]}
	if whole.parse() == nil {
		out.ID, out.HasID = whole.ID, whole.HasID
	}
	return out
}

// IsFieldName reports whether a line that consists of name is a field without a value.
func IsFieldName(name []byte) bool {
	switch string(name) {
	case "data", "id", "event":
		return true
	default:
		return false
	}
}
