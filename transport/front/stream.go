package front

import (
	"bufio"
	"errors"
	"io"
	"net/http"

	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/platform"
)

// maxCommentBytes bounds the comments, reconnection times and empty lines before an event of a
// stream.
const maxCommentBytes = 8 << 10

// errCommentsTooLarge means that they exceed maxCommentBytes.
var errCommentsTooLarge = errors.New("stream has more than 8 KiB between two events")

// deliverStream sends the events of a stream to the caller as they arrive. Only complete
// events are sent, so that a stream that breaks off within an event can be resumed after the
// last complete one. The answer begins with the first event that has data: up to then the
// request may still go to another server, or fail with a status.
func (r *response) deliverStream(observer forward.DeliveryObserver) error {
	d := &streamDelivery{
		response: r, observer: observer,
		events: &eventReader{source: bufio.NewReader(r.body()), held: r.reservation()},
	}
	defer d.events.close()
	err := d.run()
	if err != nil {
		r.flushDelivered()
	}
	return err
}

// A streamDelivery sends one server's part of a stream to the caller.
type streamDelivery struct {
	response *response
	observer forward.DeliveryObserver
	events   *eventReader
	// comments holds the comments, reconnection times and empty lines since the last event.
	// They are sent with the event that follows them, or at the end of a stream that has an
	// event: they may be garbage, which only shows by what follows.
	comments []byte
	// hasEvent says that an event with data was sent.
	hasEvent bool
}

// run sends events until the stream ends. Its error is a *forward.IncompleteError.
func (d *streamDelivery) run() error {
	for {
		event, err := d.events.next()
		if errors.Is(err, io.EOF) {
			return d.finish()
		}
		if err != nil {
			return &forward.IncompleteError{Cause: err}
		}
		decoded := platform.DecodeEvent(event)
		if err := d.observer.CheckEvent(decoded); err != nil {
			return &forward.IncompleteError{Cause: err}
		}
		if decoded.IsEmpty {
			err = d.holdComments(event)
		} else {
			err = d.send(event, decoded.ID)
		}
		if err != nil {
			return err
		}
	}
}

// holdComments keeps an event without fields for later.
func (d *streamDelivery) holdComments(event []byte) error {
	if len(d.comments)+len(event) > maxCommentBytes {
		return &forward.IncompleteError{Cause: errCommentsTooLarge}
	}
	d.comments = append(d.comments, event...)
	if !d.events.hasNext() {
		d.response.flushDelivered()
	}
	return nil
}

// send sends an event with the comments before it.
func (d *streamDelivery) send(event []byte, id string) error {
	if len(d.comments) > 0 {
		if err := d.response.deliverEvents(d.comments, false); err != nil {
			return err
		}
		d.comments = nil
	}
	if err := d.response.deliverEvents(event, !d.events.hasNext()); err != nil {
		return err
	}
	d.hasEvent = true
	d.response.exchange.lastEventID = id
	d.observer.EventDelivered()
	return nil
}

// finish ends a stream that the server ended properly.
func (d *streamDelivery) finish() error {
	if err := d.observer.CheckEnd(); err != nil {
		return &forward.IncompleteError{Cause: err}
	}
	if !d.hasEvent {
		d.comments = nil
	}
	return d.response.deliverEvents(d.comments, true)
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
