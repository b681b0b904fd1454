package site

import (
	"testing"

	"github.com/frankban/quicktest"
)

// TestUrgency guards against an order of requests in which a route goes before an
// organisation, and against other values than before where there is no organisation.
func TestUrgency(t *testing.T) {
	c := quicktest.New(t)
	for priority, engine := range []int{0, 2, 4, 6, 8, 9, 9} {
		c.Check(NewUrgency(nil, &Route{Priority: priority}), quicktest.Equals, Urgency{Queue: priority, Engine: engine})
	}
	c.Check(NewUrgency(&Organisation{}, &Route{}), quicktest.Equals, Urgency{})
	last := Urgency{Queue: -1, Engine: -1}
	for organisation := range 3 {
		for route := range 3 {
			next := NewUrgency(&Organisation{Priority: organisation}, &Route{Priority: route})
			comment := quicktest.Commentf("organisation %d, route %d: %+v after %+v", organisation, route, next, last)
			c.Check(next.Queue > last.Queue, quicktest.IsTrue, comment)
			c.Check(next.Engine > last.Engine, quicktest.IsTrue, comment)
			last = next
		}
	}
	for _, route := range []int{-5, 0, 9, 10, 1 << 40} {
		for organisation := range 9 {
			lower := NewUrgency(&Organisation{Priority: organisation}, &Route{Priority: route})
			upper := NewUrgency(&Organisation{Priority: organisation + 1}, &Route{})
			c.Check(lower.Queue < upper.Queue, quicktest.IsTrue)
			c.Check(lower.Engine >= 0 && lower.Engine <= upper.Engine && upper.Engine <= 9, quicktest.IsTrue)
		}
	}
}
