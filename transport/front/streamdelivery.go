package front

import (
	"errors"
	"io"

	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/platform"
)

// maxCommentBytes bounds the comments, reconnection times and empty lines before an event of a
// stream.
const maxCommentBytes = 8 << 10

// errCommentsTooLarge means that they exceed maxCommentBytes.
var errCommentsTooLarge = errors.New("stream has more than 8 KiB between two events")

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
