package chat

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Done is the data of the last event of a complete stream.
const Done = "[DONE]"

// EventStreamType is the media type of server-sent events.
const EventStreamType = "text/event-stream"

// ErrEventTooLong is returned by EventReader.Next for a line, or the data of an event,
// that is longer than the limit given to NewEventReader.
var ErrEventTooLong = errors.New("chat: event too long")

// initialBufferBytes is the initial size of the line buffer of an EventReader.
const initialBufferBytes = 4096

var (
	// dataPrefix begins each data line that is written. In lines that are read, the
	// space after dataFieldName is optional.
	dataPrefix    = []byte("data: ")
	lineFeed      = []byte("\n")
	dataFieldName = []byte("data:")
)

// AppendEvent appends one server-sent event with the data to target and returns the
// extended slice. Each line of the data becomes a data field, as the format requires.
func AppendEvent(target, data []byte) []byte {
	for line := range bytes.SplitSeq(data, lineFeed) {
		target = append(target, dataPrefix...)
		target = append(target, bytes.TrimSuffix(line, []byte("\r"))...)
		target = append(target, '\n')
	}
	return append(target, '\n')
}

// An EventReader reads the data of server-sent events from a stream. It skips event
// names, ids and comments. It must not be used by several goroutines at a time.
type EventReader struct {
	scanner *bufio.Scanner
	// limit is the most bytes of data of one event.
	limit int
	// data is the data of the current event; each call of Next reuses it.
	data []byte
}

// NewEventReader returns an EventReader that reads from r and accepts lines, and data of
// one event, of up to limit bytes.
func NewEventReader(r io.Reader, limit int) *EventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, min(limit, initialBufferBytes)), limit)
	return &EventReader{scanner: scanner, limit: limit}
}

// Next returns the data of the next event, which is valid until the next call. At the
// end of the stream it returns io.EOF. If the stream ends within an event, that event
// is not returned.
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
		value, ok := bytes.CutPrefix(line, dataFieldName)
		if !ok {
			continue
		}
		if found {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(r.data) > r.limit {
			return nil, ErrEventTooLong
		}
		found = true
	}
	if err := r.scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
		return nil, ErrEventTooLong
	} else if err != nil {
		return nil, err
	}
	return nil, io.EOF
}
