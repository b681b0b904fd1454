package front

import (
	"bufio"
	"errors"
	"io"
	"net/http"

	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/platform"
)

// maxPreludeBytes bounds the comments and empty lines before the first event of a stream.
const maxPreludeBytes = 8 << 10

// errPreludeTooLarge means that they exceed maxPreludeBytes.
var errPreludeTooLarge = errors.New("stream has more than 8 KiB before its first event")

// deliverStream sends the events of a stream to the caller as they arrive. Only complete
// events are sent, so that a stream that breaks off within an event can be resumed after the
// last complete one. The answer begins with the first event that has data: up to then the
// request may still go to another server, or fail with a status.
func (r *response) deliverStream(observer forward.DeliveryObserver) error {
	events := &eventReader{source: bufio.NewReader(r.body()), held: r.reservation()}
	defer events.close()
	// unsent holds the comments and empty lines before the first event.
	var unsent []byte
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			if err := observer.CheckEnd(); err != nil {
				return &forward.IncompleteError{Cause: err}
			}
			return r.deliverEvents(unsent, true)
		}
		if err != nil {
			return &forward.IncompleteError{Cause: err}
		}
		decoded := platform.DecodeEvent(event)
		if err := observer.CheckEvent(decoded); err != nil {
			r.flushDelivered()
			return &forward.IncompleteError{Cause: err}
		}
		if !decoded.HasData && !r.exchange.responseStarted {
			unsent = append(unsent, event...)
			if len(unsent) > maxPreludeBytes {
				return &forward.IncompleteError{Cause: errPreludeTooLarge}
			}
			continue
		}
		if len(unsent) > 0 {
			event, unsent = append(unsent, event...), nil
		}
		if err := r.deliverEvents(event, !events.hasNext()); err != nil {
			return err
		}
		if decoded.ID != "" {
			r.exchange.lastEventID = decoded.ID
		}
		if decoded.HasData {
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
	if err := r.flush(); err != nil {
		return &forward.IncompleteError{ClientGone: true, Cause: err}
	}
	return nil
}

// flush sends what was written to the caller.
func (r *response) flush() error {
	return http.NewResponseController(r.exchange.writer).Flush()
}

// flushDelivered sends the events that wait for the next one, because the delivery ends
// before it. Otherwise they are lost if the connection of the caller is closed.
func (r *response) flushDelivered() {
	if r.exchange.responseStarted {
		// The caller may have left, which the next write shows.
		_ = r.flush()
	}
}
