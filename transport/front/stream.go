package front

import (
	"bufio"
	"net/http"

	"github.com/persimmonmux/persimmonmux/coordination/forward"
)

// deliverStream sends the events of a stream to the caller as they arrive. Only complete
// events are sent, so that a stream that breaks off within an event can be resumed after the
// last complete one. The answer begins with the first event that has data: up to then the
// request may still go to another server, or fail with a status.
func (r *response) deliverStream(observer forward.DeliveryObserver) error {
	d := &streamDelivery{
		response: r, observer: observer,
		events: &eventReader{source: bufio.NewReader(r.boundedBody()), held: r.reservation()},
	}
	defer d.events.close()
	err := d.run()
	if err != nil {
		r.flushDelivered()
	}
	return err
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

// flushDelivered sends the events that wait for the next one, because it does not follow at
// once. They are lost if the connection of the caller is closed before.
func (r *response) flushDelivered() {
	if r.exchange.responseStarted {
		// The caller may have left, which the next write shows.
		_ = r.flush()
	}
}
