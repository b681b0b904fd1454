package chat

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Done is the data of the event that closes a whole stream.
const Done = "[DONE]"

// EventStreamType is the media type of server-sent events.
const EventStreamType = "text/event-stream"

// ErrEventTooLong is returned for a line of a stream that exceeds the limit of
// its reader.
var ErrEventTooLong = errors.New("chat: line of the event stream too long")

var (
	dataField   = []byte("data: ")
	lineFeed    = []byte("\n")
	dataKeyword = []byte("data:")
)

// AppendEvent appends one server-sent event with the data to target. Line feeds
// in the data start further data lines, as the format demands.
func AppendEvent(target, data []byte) []byte {
	for line := range bytes.SplitSeq(data, lineFeed) {
		target = append(target, dataField...)
		target = append(target, bytes.TrimSuffix(line, []byte("\r"))...)
		target = append(target, '\n')
	}
	return append(target, '\n')
}

// An EventReader reads the data of server-sent events. Event names, ids and
// comments are skipped.
type EventReader struct {
	scanner *bufio.Scanner
	data    []byte
}

// NewEventReader returns an EventReader that accepts lines of up to limit bytes.
func NewEventReader(r io.Reader, limit int) *EventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, min(limit, 4096)), limit)
	return &EventReader{scanner: scanner}
}

// Next returns the data of the next event; it is valid until the next call. At
// the end it returns io.EOF; an event that was cut off is not returned.
func (r *EventReader) Next() ([]byte, error) {
	r.data = r.data[:0]
	found := false
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if len(line) == 0 {
			if found {
				return r.data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, dataKeyword)
		if !ok {
			continue
		}
		if found {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, bytes.TrimPrefix(value, []byte(" "))...)
		found = true
	}
	if err := r.scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
		return nil, ErrEventTooLong
	} else if err != nil {
		return nil, err
	}
	return nil, io.EOF
}
