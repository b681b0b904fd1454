package front

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/persimmonmux/persimmonmux/coordination/forward"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errEventTooLarge means that an event of a stream is longer than maxEventBytes.
var errEventTooLarge = errors.New("stream event exceeds the size limit of 1 MiB")

// deliverStream sends the events of a stream to the caller as they arrive. Only
// complete events are sent, so that a stream that breaks off within an event can be
// resumed after the last complete one.
func (r *response) deliverStream(observer forward.DeliveryObserver) error {
	r.writeHeader(-1)
	reader := bufio.NewReader(r.body())
	var event []byte
	for {
		lineStart := len(event)
		var err error
		event, err = appendLine(event, reader)
		blank := len(bytes.TrimRight(event[lineStart:], "\r\n")) == 0
		if err == nil && blank {
			if err := r.deliverEvent(event, !hasWholeEvent(reader)); err != nil {
				return err
			}
			if _, ok := eventField(event, "data"); ok {
				observer.EventDelivered()
			}
			event = nil
			continue
		}
		if errors.Is(err, io.EOF) {
			// The framing of the body shows where it ends, but not that the stream is whole.
			if len(bytes.TrimRight(event, "\r\n")) > 0 {
				return &forward.IncompleteError{Cause: io.ErrUnexpectedEOF}
			}
			return r.deliverEvent(event, true)
		}
		if err != nil {
			return &forward.IncompleteError{Cause: err}
		}
	}
}

// hasWholeEvent reports whether the end of an event is buffered, so that reading on does not
// wait for the server.
func hasWholeEvent(reader *bufio.Reader) bool {
	// Peek returns what is buffered and cannot fail.
	buffered, _ := reader.Peek(reader.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// appendLine appends the next line of a stream to the event. The error is
// errEventTooLarge if the event then exceeds maxEventBytes.
func appendLine(event []byte, reader *bufio.Reader) ([]byte, error) {
	for {
		part, err := reader.ReadSlice('\n')
		event = append(event, part...)
		if len(event) > maxEventBytes {
			return event, errEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
	}
}

// deliverEvent sends one event to the caller and records its id. flush is false while
// another whole event is already buffered.
func (r *response) deliverEvent(event []byte, flush bool) error {
	if len(event) > 0 {
		if err := r.write(event); err != nil {
			return err
		}
		if id, ok := eventField(event, "id"); ok {
			r.exchange.lastEventID = id
		}
	}
	if !flush {
		return nil
	}
	if err := http.NewResponseController(r.exchange.writer).Flush(); err != nil {
		return &forward.IncompleteError{ClientGone: true, Cause: err}
	}
	return nil
}

// eventField returns the value of the first field of an event with the name, and false if
// the event has none.
func eventField(event []byte, name string) (string, bool) {
	for line := range bytes.Lines(event) {
		field, value, ok := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if ok && string(field) == name {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
