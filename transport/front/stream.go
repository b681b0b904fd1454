package front

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/persimmonmux/persimmonmux/coordination/forward"
)

// eventLimit bounds one event of a stream, in bytes.
const eventLimit = 1 << 20

var errEventTooLarge = errors.New("event is too large")

// stream passes the events on as they arrive. An event is passed on when it is
// whole, so that a stream that breaks off in the middle of one can be resumed.
func (a *response) stream() error {
	a.head(-1)
	reader := bufio.NewReader(a.incoming.Body)
	var event []byte
	for {
		line, err := reader.ReadBytes('\n')
		event = append(event, line...)
		if len(event) > eventLimit {
			return &forward.IncompleteError{Cause: errEventTooLarge}
		}
		blank := len(bytes.TrimRight(line, "\r\n")) == 0
		if err == nil && blank {
			if err := a.event(event, reader.Buffered() == 0); err != nil {
				return err
			}
			event = nil
			continue
		}
		if errors.Is(err, io.EOF) {
			return a.event(event, true)
		}
		if err != nil {
			return &forward.IncompleteError{Cause: err}
		}
	}
}

// event passes one event on. flush is false while more events are at hand.
func (a *response) event(event []byte, flush bool) error {
	if len(event) > 0 {
		if err := a.write(event); err != nil {
			return err
		}
		if id, ok := eventID(event); ok {
			a.client.lastEvent = id
		}
	}
	if !flush {
		return nil
	}
	if err := http.NewResponseController(a.client.writer).Flush(); err != nil {
		return &forward.IncompleteError{ClientGone: true, Cause: err}
	}
	return nil
}

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		name, value, ok := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if ok && string(name) == "id" {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
