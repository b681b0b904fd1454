package forward

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// TestEventsContinueAtAnotherServer guards against a stream that is resumed at a server which
// sends events again that the client has.
func TestEventsContinueAtAnotherServer(t *testing.T) {
	c := quicktest.New(t)
	order := newEventOrder("")
	for _, test := range []struct {
		id      string
		isSound bool
	}{{"0", true}, {"3", true}, {"3", false}, {"1", false}, {"", false}, {"4", true}} {
		err := order.check(site.StreamEvent{ID: test.id, HasData: true})
		c.Check(err == nil, quicktest.Equals, test.isSound, quicktest.Commentf("id %q: %v", test.id, err))
	}
}

// TestEventOrderOfResumedRequest guards against a stream that a client resumes and that begins
// before its last event, and against an id of a client that lets every event fail.
func TestEventOrderOfResumedRequest(t *testing.T) {
	c := quicktest.New(t)
	order := newEventOrder("7")
	c.Check(order.check(site.StreamEvent{ID: "7", HasData: true}), quicktest.ErrorMatches, "stream event has id 7 after 7")
	c.Check(order.check(site.StreamEvent{ID: "8", HasData: true}), quicktest.IsNil)
	order = newEventOrder("not a number")
	c.Check(order.check(site.StreamEvent{ID: "0", HasData: true}), quicktest.IsNil)
}
