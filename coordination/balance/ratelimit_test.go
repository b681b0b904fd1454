package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// TestSharesSumToTheLimit guards against hosts that together send more than a server states
// while its owner does not answer.
func TestSharesSumToTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		const hostCount, limit, seconds = 8, 4.0, 20
		var hosts []*Balancer
		for range hostCount {
			b := newTestBalancer("east")
			view := b.Views.View()
			view.Hosts = make(map[string]*site.Host)
			for n := range hostCount {
				view.Hosts[string(rune('a'+n))] = &site.Host{}
			}
			hosts = append(hosts, b)
		}
		taken := 0
		for range seconds * 100 {
			for _, b := range hosts {
				server := b.Views.View().Servers["engine-0"]
				b.RecordRateLimit(server, limit)
				if b.TakeShare(server) {
					taken++
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		c.Check(taken >= limit*seconds*9/10 && taken <= limit*seconds, quicktest.IsTrue, quicktest.Commentf("%d requests", taken))
	})
}

// TestServerWithoutTurnIsPassedOver guards against requests that go to a server that has
// no turn although another one takes them, and against a statement that outlives its
// server.
func TestServerWithoutTurnIsPassedOver(t *testing.T) {
	c := quicktest.New(t)
	b := newTestBalancer("east", "far")
	near := b.Views.View().Servers["engine-0"]
	b.RecordRateLimit(near, 4)
	b.RecordTurnRefused(near, time.Minute)
	for range 3 {
		pick, err := b.Choose(ServerRequirements{Service: "writers"})
		c.Assert(err, quicktest.IsNil)
		c.Check(pick.Server.ID, quicktest.Equals, site.ServerID("engine-1"))
		c.Check(pick.Limited, quicktest.IsFalse)
	}
	pick, err := b.Choose(ServerRequirements{Service: "writers", Tried: []site.ServerID{"engine-1"}})
	c.Assert(err, quicktest.IsNil)
	c.Check(pick.Limited, quicktest.IsTrue)
	c.Check(b.LimitedServers(), quicktest.Equals, 1)
	restarted := *near
	restarted.StartUnixMilli++
	c.Check(b.StatedLimit(&restarted).Known, quicktest.IsFalse)
}
