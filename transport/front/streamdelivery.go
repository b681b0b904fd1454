package front

import (
	"bytes"
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
	// comments holds the lines of comments and reconnection times since the last event, and
	// commentBytes is their size with the empty lines. They are sent as the first lines of the
	// event that follows them: they may be garbage, which only shows by what follows, and
	// callers may take every block of lines for an event.
	comments     []byte
	commentBytes int
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

// holdComments keeps the lines of a block that is no event for the event that follows.
func (d *streamDelivery) holdComments(block []byte) error {
	d.commentBytes += len(block)
	if d.commentBytes > maxCommentBytes {
		return &forward.IncompleteError{Cause: errCommentsTooLarge}
	}
	d.comments = append(d.comments, withoutLastLine(block)...)
	if !d.events.hasNext() {
		d.response.flushDelivered()
	}
	return nil
}

// withoutLastLine returns a block of lines without the empty line that ends it.
func withoutLastLine(block []byte) []byte {
	return block[:bytes.LastIndexByte(bytes.TrimSuffix(block, []byte("\n")), '\n')+1]
}

// send sends an event that begins with the comments before it.
func (d *streamDelivery) send(event []byte, id string) error {
	if len(d.comments) > 0 {
		if err := d.response.deliverEvents(d.comments, false); err != nil {
			return err
		}
		d.comments = nil
	}
	d.commentBytes = 0
	if err := d.response.deliverEvents(event, !d.events.hasNext()); err != nil {
		return err
	}
	d.response.exchange.lastEventID = id
	d.observer.EventDelivered()
	return nil
}

// finish ends a stream that the server ended properly. Comments after the last event are
// dropped, because no event follows them.
func (d *streamDelivery) finish() error {
	if err := d.observer.CheckEnd(); err != nil {
		return &forward.IncompleteError{Cause: err}
	}
	return d.response.deliverEvents(nil, true)
}
