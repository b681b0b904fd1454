package ring

import (
	"testing"

	"github.com/frankban/quicktest"
)

// TestFullRingRejectsMessages guards against a sender that blocks because the
// duty that receives its messages is slow.
func TestFullRingRejectsMessages(t *testing.T) {
	c := quicktest.New(t)
	r := New[int](2)
	c.Assert(r.Offer(1), quicktest.IsTrue)
	c.Assert(r.Offer(2), quicktest.IsTrue)
	c.Assert(r.Offer(3), quicktest.IsFalse)
	c.Assert(r.RejectedCount(), quicktest.Equals, uint64(1))
	c.Assert(<-r.Messages(), quicktest.Equals, 1)
	c.Assert(r.Offer(4), quicktest.IsTrue)
	c.Assert(r.Len(), quicktest.Equals, 2)
}
