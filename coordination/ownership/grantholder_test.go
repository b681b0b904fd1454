package ownership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// slowOwners grants after a delay and counts releases.
type slowOwners struct {
	delay    time.Duration
	epoch    fleet.Epoch
	releases int
}

func (s *slowOwners) AcquireGrant(_ context.Context, d dispatch.GrantRequest) (fleet.Grant, error) {
	time.Sleep(s.delay)
	return fleet.Grant{Engine: d.Engine, Request: d.Request, Epoch: s.epoch, Duration: d.Duration}, nil
}

func (s *slowOwners) Release(fleet.Grant) {
	s.releases++
}

// TestHolder guards against a grant that a new owner does not learn of, or that
// its holder uses past its end.
func TestHolder(t *testing.T) {
	for _, test := range []struct {
		name     string
		delay    time.Duration
		epoch    fleet.Epoch
		asked    time.Duration
		kept     bool
		reported int
	}{
		{"before the question", 0, 1, time.Second, true, 1},
		{"after the question", 2 * time.Second, 1, time.Second, false, 0},
		{"of the new owner", 2 * time.Second, 2, time.Second, true, 0},
		{"ended on the way", 40 * time.Second, 1, time.Minute, false, 0},
		{"ended before the question", 0, 1, time.Minute, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				owners := &slowOwners{delay: test.delay, epoch: test.epoch}
				h := &GrantHolder{Owners: owners}
				go h.Run(context.Background())
				defer h.Close()
				kept := make(chan bool, 1)
				go func() {
					_, err := h.AcquireGrant(context.Background(), demandFor("a", "1"))
					kept <- err == nil
				}()
				pass(test.asked)
				grants, err := h.Holdings(context.Background(), "e", 2)
				c.Assert(err, quicktest.IsNil)
				c.Assert(grants, quicktest.HasLen, test.reported)
				for _, g := range grants {
					c.Assert(g.Duration, quicktest.Equals, 30*time.Second-test.asked)
				}
				c.Assert(<-kept, quicktest.Equals, test.kept)
				c.Assert(owners.releases == 0, quicktest.Equals, test.kept)
				h.Release(fleet.Grant{Engine: "e", Request: "1", Epoch: test.epoch})
				grants, err = h.Holdings(context.Background(), "e", 9)
				c.Assert(err, quicktest.IsNil)
				c.Assert(grants, quicktest.HasLen, 0)
			})
		})
	}
}
