package engineapi

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maximumLine bounds one line of a stream, in bytes.
const maximumLine = 1 << 20

// errEventWithoutEnd means that a stream ended within an event.
var errEventWithoutEnd = errors.New("stream ended within an event")

// An Event is one server-sent event.
type Event struct {
	// Position is the number in the id field; it is -1 without an id field.
	Position int
	// Data is the joined data lines.
	Data []byte
}

// An EventReader reads server-sent events. Its fields are set before use.
type EventReader struct {
	// Progress is called after each line, comments included, when it is not nil.
	Progress func()

	scanner *bufio.Scanner
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maximumLine)
	return &EventReader{scanner: scanner}
}

// Next returns the next event. It returns io.EOF only between two events.
func (r *EventReader) Next() (Event, error) {
	event := Event{Position: -1}
	started := false
	for r.scanner.Scan() {
		if r.Progress != nil {
			r.Progress()
		}
		line := r.scanner.Bytes()
		if len(line) == 0 {
			if started {
				return event, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "data":
			if event.Data != nil {
				event.Data = append(event.Data, '\n')
			}
			event.Data = append(event.Data, value...)
			started = true
		case "id":
			position, err := strconv.Atoi(string(value))
			if err != nil || position < 0 {
				return Event{}, fmt.Errorf("event id %q: not a position", value)
			}
			event.Position = position
			started = true
		}
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, err
	}
	if started {
		return Event{}, errEventWithoutEnd
	}
	return Event{}, io.EOF
}

// AppendEvent appends the encoded event to buffer. Data must have no line break.
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
