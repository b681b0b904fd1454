package peer

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// TestPlaceRequestKeepsTimeLeft guards against owners that keep requests waiting whose time is
// up before their turn comes.
func TestPlaceRequestKeepsTimeLeft(t *testing.T) {
	c := quicktest.New(t)
	for _, left := range []time.Duration{0, 2600 * time.Millisecond} {
		c.Check(ToPlaceRequest(FromPlaceRequest(site.PlaceRequest{TimeLeft: left})).TimeLeft, quicktest.Equals, left)
	}
}
