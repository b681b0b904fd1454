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
// request may still go to another server, or fail with a status. Comments are sent with the event
// that follows them, or at the end of a stream that has an event: they may be garbage, which only
// shows by what follows.
func (r *response) deliverStream(observer forward.DeliveryObserver) error {
	events := &eventReader{source: bufio.NewReader(r.body()), held: r.reservation()}
	defer events.close()
	err := r.passEvents(events, observer)
	if err != nil {
		r.flushDelivered()
	}
	return err
}

// passEvents sends events until the stream ends.
func (r *response) passEvents(events *eventReader, observer forward.DeliveryObserver) error {
	// comments holds the comments, reconnection times and empty lines since the last event.
	var comments []byte
	hasEvent := false
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			if err := observer.CheckEnd(); err != nil {
				return &forward.IncompleteError{Cause: err}
			}
			if !hasEvent {
				comments = nil
			}
			return r.deliverEvents(comments, true)
		}
		if err != nil {
			return &forward.IncompleteError{Cause: err}
		}
		decoded := platform.DecodeEvent(event)
		if err := observer.CheckEvent(decoded); err != nil {
			return &forward.IncompleteError{Cause: err}
		}
		if decoded.IsEmpty {
			if len(comments)+len(event) > maxCommentBytes {
				return &forward.IncompleteError{Cause: errCommentsTooLarge}
			}
			comments = append(comments, event...)
			if !events.hasNext() {
				r.flushDelivered()
			}
			continue
		}
		if len(comments) > 0 {
			if err := r.deliverEvents(comments, false); err != nil {
				return err
			}
			comments = nil
		}
		if err := r.deliverEvents(event, !events.hasNext()); err != nil {
			return err
		}
		hasEvent = true
		r.exchange.lastEventID = decoded.ID
		observer.EventDelivered()
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

// flushDelivered sends the events that wait for the next one, because it does not follow at
// once. They are lost if the connection of the caller is closed before.
func (r *response) flushDelivered() {
	if r.exchange.responseStarted {
		// The caller may have left, which the next write shows.
		_ = r.flush()
	}
}
