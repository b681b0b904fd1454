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

// A delayedGrants is a grant provider that grants after a delay and counts releases.
type delayedGrants struct {
	delay    time.Duration
	epoch    fleet.Epoch
	releases int
}

func (s *delayedGrants) AcquireGrant(_ context.Context, d dispatch.GrantRequest) (fleet.Grant, error) {
	time.Sleep(s.delay)
	return fleet.Grant{Engine: d.Engine, RunID: d.RunID, Epoch: s.epoch, Duration: d.Duration}, nil
}

func (s *delayedGrants) Release(fleet.Grant) {
	s.releases++
}

// TestGrantHolder guards against a grant of a previous owner that is in use but was
// not listed to the new owner, because it reached the holder after the new owner's
// query, and against a grant that is kept past its end.
func TestGrantHolder(t *testing.T) {
	for _, test := range []struct {
		name         string
		delay        time.Duration
		epoch        fleet.Epoch
		queriedAfter time.Duration
		kept         bool
		reported     int
	}{
		{"granted before the query", 0, 1, time.Second, true, 1},
		{"granted after the query", 2 * time.Second, 1, time.Second, false, 0},
		{"granted by the new owner", 2 * time.Second, 2, time.Second, true, 0},
		{"ended before it arrived", 40 * time.Second, 1, time.Minute, false, 0},
		{"ended before the query", 0, 1, time.Minute, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				owners := &delayedGrants{delay: test.delay, epoch: test.epoch}
				h := &GrantHolder{Owners: owners}
				go h.Run(context.Background())
				defer h.Close()
				kept := make(chan bool, 1)
				go func() {
					_, err := h.AcquireGrant(context.Background(), newGrantRequest("a", "1"))
					kept <- err == nil
				}()
				advance(test.queriedAfter)
				grants, err := h.Holdings(context.Background(), "e", 2)
				c.Assert(err, quicktest.IsNil)
				c.Assert(grants, quicktest.HasLen, test.reported)
				for _, g := range grants {
					c.Assert(g.Duration, quicktest.Equals, 30*time.Second-test.queriedAfter)
				}
				c.Assert(<-kept, quicktest.Equals, test.kept)
				c.Assert(owners.releases == 0, quicktest.Equals, test.kept)
				h.Release(fleet.Grant{Engine: "e", RunID: "1", Epoch: test.epoch})
				grants, err = h.Holdings(context.Background(), "e", 9)
				c.Assert(err, quicktest.IsNil)
				c.Assert(grants, quicktest.HasLen, 0)
			})
		})
	}
}
