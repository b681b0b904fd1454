package peer

import (
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
