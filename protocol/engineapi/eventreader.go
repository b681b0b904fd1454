package engineapi

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

const (
	// maxEventBytes bounds one line of a stream and the data of one event.
	maxEventBytes = 1 << 20
	// maxKeptLineBytes is the capacity up to which the buffer of a line is used again for
	// the next event.
	maxKeptLineBytes = 4 << 10
)

var (
	// errTruncatedEvent means that a stream ended within an event.
	errTruncatedEvent = errors.New("stream ended within an event")
	// errEventTooLarge means that a line or the data of an event exceeds maxEventBytes.
	errEventTooLarge = errors.New("event exceeds the size limit of 1 MiB")
	// errBufferRefused means that a Reservation refuses a longer buffer.
	errBufferRefused = errors.New("host holds too many bytes of unfinished responses")
)

// A Reservation decides how long one buffer may become.
type Reservation interface {
	// Grow returns the buffer with room for more bytes after its length, or false if they
	// may not be held.
	Grow(buffer []byte, more int) ([]byte, bool)
	// Release is called when the buffer is dropped.
	Release()
}

// An Event is one server-sent event of a streamed completion.
type Event struct {
	// Position is the number in the id field, or -1 if the event has none.
	Position int
	// Data is the content of the data lines, joined by line feeds.
	Data []byte
}

// An EventReader reads server-sent events from a stream. Its fields are set before the
// first call of Next.
type EventReader struct {
	// Progress, if not nil, is called after each line, including comments and empty
	// lines.
	Progress func()
	// Line decides how long a line may be, and Data the same for the data of an event.
	Line, Data Reservation

	source *bufio.Reader
	// line holds the current line without its end. It is used again for the next one.
	line []byte
}

// NewEventReader returns an EventReader that reads from r. Lines, and the data of one
// event, may have up to 1 MiB and what the reservations allow.
func NewEventReader(r io.Reader, line, data Reservation) *EventReader {
	return &EventReader{Line: line, Data: data, source: bufio.NewReader(r)}
}

// Close drops the buffers.
func (r *EventReader) Close() {
	r.dropLine()
	r.Data.Release()
}

// dropLine drops the buffer of lines.
func (r *EventReader) dropLine() {
	r.line = nil
	r.Line.Release()
}

// Next returns the next event, whose data is counted as held until the next call. At the
// end of the stream it returns io.EOF if the last event was complete, and another error
// otherwise.
func (r *EventReader) Next() (Event, error) {
	if cap(r.line) > maxKeptLineBytes {
		r.dropLine()
	}
	r.Data.Release()
	event := Event{Position: -1}
	started := false
	for {
		err := r.readLine()
		if errors.Is(err, io.EOF) && started {
			return Event{}, errTruncatedEvent
		}
		if err != nil {
			return Event{}, err
		}
		if r.Progress != nil {
			r.Progress()
		}
		if len(r.line) == 0 {
			if started {
				return event, nil
			}
			continue
		}
		isField, err := r.addField(&event)
		if err != nil {
			return Event{}, err
		}
		started = started || isField
	}
}

// readLine reads the next line. The error is io.EOF at the end of the stream, or
// errTruncatedEvent if its last line is not complete.
func (r *EventReader) readLine() error {
	r.line = r.line[:0]
	for {
		part, err := r.source.ReadSlice('\n')
		if len(r.line)+len(part) > maxEventBytes {
			return errEventTooLarge
		}
		var ok bool
		if r.line, ok = r.Line.Grow(r.line, len(part)); !ok {
			return errBufferRefused
		}
		r.line = append(r.line, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(r.line) > 0:
			return errTruncatedEvent
		case err != nil:
			return err
		default:
			r.line = bytes.TrimSuffix(bytes.TrimSuffix(r.line, []byte("\n")), []byte("\r"))
			return nil
		}
	}
}

// addField adds the current line to the event and reports whether it is a field of it.
func (r *EventReader) addField(event *Event) (bool, error) {
	field, value, _ := bytes.Cut(r.line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "data":
		if len(event.Data)+len(value) > maxEventBytes {
			return false, errEventTooLarge
		}
		var ok bool
		if event.Data, ok = r.Data.Grow(event.Data, len(value)+1); !ok {
			return false, errBufferRefused
		}
		if len(event.Data) > 0 {
			event.Data = append(event.Data, '\n')
		}
		event.Data = append(event.Data, value...)
		return true, nil
	case "id":
		position, err := strconv.Atoi(string(value))
		if err != nil || position < 0 {
			return false, fmt.Errorf("event id %q: expected a number of at least 0", value)
		}
		event.Position = position
		return true, nil
	default:
		return false, nil
	}
}

// AppendEvent appends the encoded event to buffer and returns the extended slice. The
// data must have no line feed.
func AppendEvent(buffer []byte, event Event) []byte {
	if event.Position >= 0 {
		buffer = append(buffer, "id: "...)
		buffer = strconv.AppendInt(buffer, int64(event.Position), 10)
		buffer = append(buffer, '\n')
	}
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, event.Data...)
	return append(buffer, "\n\n"...)
}
