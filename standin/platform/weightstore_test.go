package platform

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// TestWeightStoreTimes guards against loads that take another time than the model of the
// weight store says: at a limited rate, and in proportion to the loads in flight beyond
// eight. Measured load stalls would then be wrong.
func TestWeightStoreTimes(t *testing.T) {
	for _, test := range []struct {
		name      string
		perSecond float64
		loads     int
		want      time.Duration
	}{
		{"one load", 0, 1, 250 * time.Millisecond},
		{"eight loads", 0, 8, 250 * time.Millisecond},
		{"sixteen loads", 0, 16, 500 * time.Millisecond},
		{"limited rate", 2.5, 3, 2*400*time.Millisecond + 250*time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				s := NewWeightStore(test.perSecond, 1)
				begun := time.Now()
				var group sync.WaitGroup
				for range test.loads {
					group.Go(func() { c.Check(s.Fetch(context.Background(), "a@1"), quicktest.IsNil) })
				}
				group.Wait()
				took := time.Since(begun)
				c.Assert(took >= test.want-25*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", took))
				c.Assert(took <= test.want+25*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", took))
			})
		})
	}
}

// TestHostListLags guards against a stand-in host list that shows changes before its lag
// has passed, or not at all. Tests would then miss faults that a late host list causes.
func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		l := NewHostList(5 * time.Second)
		l.Set(fleet.ListedHost{Name: "a", State: fleet.HostLive})
		time.Sleep(6 * time.Second)
		l.MarkLeaving("a")
		hosts, err := l.Hosts()
		c.Assert(err, quicktest.IsNil)
		c.Assert(hosts[0].State, quicktest.Equals, fleet.HostLive)
		time.Sleep(6 * time.Second)
		hosts, err = l.Hosts()
		c.Assert(err, quicktest.IsNil)
		c.Assert(hosts[0].State, quicktest.Equals, fleet.HostLeaving)
	})
}
