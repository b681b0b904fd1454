package forward

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/persimmonmux/persimmonmux/state/site"
)

var (
	// errMalformedEvent means that an event has lines that a run does not write; see
	// site.StreamEvent.
	errMalformedEvent = errors.New("stream event is malformed")
	// errEventWithoutData means that an event has no part of the answer.
	errEventWithoutData = errors.New("stream event has no data")
	// errTooManyEvents means that a stream has more events than its answer may have tokens, so
	// that the events before are not those of a run either.
	errTooManyEvents = errors.New("stream has more events than the answer may have tokens")
	// errNoEvent means that a stream ended before its first event.
	errNoEvent = errors.New("stream has no event")
)

// An eventOrder checks that the events of a stream are those of one run: each has data and a
// number as its id, and the numbers increase. A run may leave numbers out. A faulty server may
// send other events, in a stream that is framed properly.
type eventOrder struct {
	// last is the number of the last event that the client has, or -1.
	last int64
}

// newEventOrder returns the eventOrder of a request. lastEventID is the last event that the
// client has from an earlier request, or empty.
func newEventOrder(lastEventID string) eventOrder {
	last, ok := eventNumber(lastEventID)
	if !ok {
		last = -1
	}
	return eventOrder{last: last}
}

// check returns an error if the event does not continue the stream.
func (o *eventOrder) check(event site.StreamEvent) error {
	if event.IsMalformed {
		return errMalformedEvent
	}
	if event.IsEmpty {
		return nil
	}
	number, ok := eventNumber(event.ID)
	if !ok {
		return fmt.Errorf("stream event has id %q, expected a number", shortened(event.ID))
	}
	if number <= o.last {
		return fmt.Errorf("stream event has id %d after %d", number, o.last)
	}
	if !event.HasData {
		return errEventWithoutData
	}
	o.last = number
	return nil
}

// checkEnd returns an error if a stream that ends now cannot be complete. A stream that the
// client resumes may have no further events.
func (o *eventOrder) checkEnd() error {
	if o.last < 0 {
		return errNoEvent
	}
	return nil
}

// eventNumber returns the number in the id of an event. It is at least 0 and has neither a sign
// nor leading zeros, so that no id is long and none has two forms.
func eventNumber(id string) (number int64, ok bool) {
	number, err := strconv.ParseInt(id, 10, 64)
	return number, err == nil && number >= 0 && strconv.FormatInt(number, 10) == id
}
