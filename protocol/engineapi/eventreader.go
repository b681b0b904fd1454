package engineapi

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes bounds one line of a stream and the data of one event.
const maxEventBytes = 1 << 20

var (
	// errTruncatedEvent means that a stream ended within an event.
	errTruncatedEvent = errors.New("stream ended within an event")
	// errEventTooLarge means that the data of an event exceeds maxEventBytes.
	errEventTooLarge = errors.New("event data exceeds the size limit of 1 MiB")
)

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

	scanner *bufio.Scanner
}

// NewEventReader returns an EventReader that reads from r. Lines, and the data of one
// event, may have up to 1 MiB.
func NewEventReader(r io.Reader) *EventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxEventBytes)
	return &EventReader{scanner: scanner}
}

// Next returns the next event. At the end of the stream it returns io.EOF if the last
// event was complete, and another error otherwise.
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
			if len(event.Data) > maxEventBytes {
				return Event{}, errEventTooLarge
			}
			started = true
		case "id":
			position, err := strconv.Atoi(string(value))
			if err != nil || position < 0 {
				return Event{}, fmt.Errorf("event id %q: expected a number of at least 0", value)
			}
			event.Position = position
			started = true
		}
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, err
	}
	if started {
		return Event{}, errTruncatedEvent
	}
	return Event{}, io.EOF
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
