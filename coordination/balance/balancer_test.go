package balance

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A fixedView is a view that does not change.
type fixedView struct{ view *site.View }

func (f fixedView) View() *site.View { return f.view }

// engines returns a Balancer before one service with an engine in each zone.
func engines(zones ...string) *Balancer {
	view := &site.View{Servers: map[site.ServerID]*site.Server{}}
	for i, zone := range zones {
		id := site.ServerID(fmt.Sprintf("engine-%d", i))
		view.Servers[id] = &site.Server{
			Incarnation: site.Incarnation{ID: id, StartUnixMilli: 1}, Service: "writers", Zone: zone, State: site.Ready, MaxConcurrency: 10,
		}
	}
	view.BuildIndex()
	return &Balancer{
		Zone:     "east",
		Regions:  map[string]string{"east": "here", "west": "here", "far": "there"},
		Views:    fixedView{view},
		HasOwner: func(string) bool { return true },
	}
}

func want(name string) Requirements {
	return Requirements{Service: "writers", Adapter: site.Adapter{Model: "base", Name: name}}
}

// TestHostsAgreeOnHomes guards against two hosts that have one adapter loaded on
// two engines.
func TestHostsAgreeOnHomes(t *testing.T) {
	c := quicktest.New(t)
	first, second := engines("east", "west", "far"), engines("east", "west", "far")
	second.Zone = "far"
	for i := range 50 {
		a, err := first.Choose(want(fmt.Sprintf("a%d", i)))
		c.Assert(err, quicktest.IsNil)
		b, err := second.Choose(want(fmt.Sprintf("a%d", i)))
		c.Assert(err, quicktest.IsNil)
		c.Assert(a.Server.ID, quicktest.Equals, b.Server.ID)
		c.Assert(a.Loaded, quicktest.IsFalse)
		first.Done(a.Server, site.Adapter{}, false)
		second.Done(b.Server, site.Adapter{}, false)
	}
}

// TestMissGoesWhereOrdersAreGiven guards against requests that wait for a load
// in a zone whose owner is lost, while other zones could load the adapter.
func TestMissGoesWhereOrdersAreGiven(t *testing.T) {
	c := quicktest.New(t)
	b := engines("east", "west", "far")
	b.HasOwner = func(zone string) bool { return zone == "west" }
	for i := range 50 {
		pick, err := b.Choose(want(fmt.Sprintf("a%d", i)))
		c.Assert(err, quicktest.IsNil)
		c.Assert(pick.Server.Zone, quicktest.Equals, "west")
		b.Done(pick.Server, site.Adapter{}, false)
	}
	b.HasOwner = func(string) bool { return false }
	_, err := b.Choose(want("a1"))
	c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeNotOwner)
	b.UpdateResidency(site.Residency{Server: site.Incarnation{ID: "engine-2", StartUnixMilli: 1}, Epoch: 1, Sequence: 1, Adapters: map[site.Adapter]int{want("a1").Adapter: 1}})
	pick, err := b.Choose(want("a1"))
	c.Assert(err, quicktest.IsNil)
	c.Assert(pick.Loaded, quicktest.IsTrue)
}

// TestOldOwnerIsNotBelieved guards against a residency told by an owner that has
// lost its lease.
func TestOldOwnerIsNotBelieved(t *testing.T) {
	c := quicktest.New(t)
	b := engines("east")
	server := site.Incarnation{ID: "engine-0", StartUnixMilli: 1}
	b.UpdateResidency(site.Residency{Server: server, Epoch: 2, Sequence: 1, Adapters: map[site.Adapter]int{want("new").Adapter: 1}})
	b.UpdateResidency(site.Residency{Server: server, Epoch: 1, Sequence: 9, Adapters: map[site.Adapter]int{want("old").Adapter: 1}})
	b.UpdateResidency(site.Residency{Server: site.Incarnation{ID: "engine-0", StartUnixMilli: 0}, Epoch: 9, Sequence: 9})
	pick, err := b.Choose(want("new"))
	c.Assert(err, quicktest.IsNil)
	c.Assert(pick.Loaded, quicktest.IsTrue)
	pick, err = b.Choose(want("old"))
	c.Assert(err, quicktest.IsNil)
	c.Assert(pick.Loaded, quicktest.IsFalse)
}

// TestFailedServerIsAvoided guards against requests that go on to a server that
// has just failed while another one is sound.
func TestFailedServerIsAvoided(t *testing.T) {
	c := quicktest.New(t)
	b := engines("east", "far")
	plain := Requirements{Service: "writers"}
	pick, err := b.Choose(plain)
	c.Assert(err, quicktest.IsNil)
	c.Assert(pick.Server.Zone, quicktest.Equals, "east")
	b.Done(pick.Server, site.Adapter{}, false)
	b.RecordFailure(pick.Server)
	pick, err = b.Choose(plain)
	c.Assert(err, quicktest.IsNil)
	c.Assert(pick.Server.Zone, quicktest.Equals, "far")
	b.Done(pick.Server, site.Adapter{}, false)
	b.RecordResponse(b.Views.View().Servers["engine-0"], &LoadReport{Running: 1, Slots: 10})
	pick, err = b.Choose(plain)
	c.Assert(err, quicktest.IsNil)
	c.Assert(pick.Server.Zone, quicktest.Equals, "east")
}
