package front

import (
	"bufio"
	"errors"
	"io"
	"net/http"

	"github.com/persimmonmux/persimmonmux/coordination/forward"
)

// deliverStream sends the events of a stream to the caller as they arrive. Only complete
// events are sent, so that a stream that breaks off within an event can be resumed after the
// last complete one. The answer begins with the first event that has data: up to then the
// request may still go to another server, or fail with a status.
func (r *response) deliverStream(observer forward.DeliveryObserver) error {
	events := &eventReader{source: bufio.NewReader(r.body())}
	// unsent holds the comments and empty lines before the first event.
	var unsent []byte
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return r.deliverEvents(unsent, true)
		}
		if err != nil {
			return &forward.IncompleteError{Cause: err}
		}
		_, hasData := eventField(event, "data")
		unsent = append(unsent, event...)
		if !hasData && !r.exchange.responseStarted {
			if len(unsent) > maxEventBytes {
				return &forward.IncompleteError{Cause: errEventTooLarge}
			}
			continue
		}
		if err := r.deliverEvents(unsent, !events.hasNext()); err != nil {
			return err
		}
		unsent = nil
		if id, ok := eventField(event, "id"); ok {
			r.exchange.lastEventID = id
		}
		if hasData {
			observer.EventDelivered()
		}
	}
}

// deliverEvents sends events to the caller, with the head of the answer before the first
// ones. flush is false while another whole event is already buffered.
func (r *response) deliverEvents(events []byte, flush bool) error {
	r.writeHeader(-1)
	if len(events) > 0 {
		if err := r.write(events); err != nil {
			return err
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
