package peer

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// TestStatedLimitIsKept guards against statements that are lost on the way to the owner, and
// against values that no limit can have.
func TestStatedLimitIsKept(t *testing.T) {
	c := quicktest.New(t)
	for _, stated := range []site.StatedLimit{{}, {Known: true, Age: time.Second}, {Known: true, PerSecond: 3.7, Age: time.Millisecond}} {
		c.Check(ToPlaceRequest(FromPlaceRequest(site.PlaceRequest{StatedLimit: stated})).StatedLimit, quicktest.Equals, stated)
	}
	for _, message := range []*StatedLimit{
		{RequestsPerSecond: math.NaN()}, {RequestsPerSecond: math.Inf(1)}, {RequestsPerSecond: -1}, {RequestsPerSecond: 4, AgeNanoseconds: -1},
	} {
		c.Check(toStatedLimit(message), quicktest.Equals, site.StatedLimit{})
	}
}

// TestRowsOfOneTransactionKeepTheirValues guards against a large value that arrives under the key
// of another row, because one transaction wrote both.
func TestRowsOfOneTransactionKeepTheirValues(t *testing.T) {
	c := quicktest.New(t)
	rows := []site.Row{
		{Key: "config", Value: bytes.Repeat([]byte("a"), 2*compressionThresholdBytes), Position: 7},
		{Key: "other", Value: bytes.Repeat([]byte("b"), 2*compressionThresholdBytes), Position: 7},
	}
	reply, err := ToFollowReply(FromFollowReply(site.FollowReply{Changes: []site.Changes{{Table: "op", Rows: rows}}}))
	c.Assert(err, quicktest.IsNil)
	c.Check(reply.Changes[0].Rows, quicktest.DeepEquals, rows)
}
