package balance

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A fixedView is a ViewSource whose view does not change.
type fixedView struct{ view *site.View }

func (f fixedView) View() *site.View { return f.view }

// newTestBalancer returns a Balancer for one service with one engine in each of
// the zones.
func newTestBalancer(zones ...string) *Balancer {
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

// requirements returns the ServerRequirements of a request for the adapter with the
// given name.
func requirements(name string) ServerRequirements {
	return ServerRequirements{Service: "writers", Adapter: site.Adapter{Model: "base", Name: name}}
}

// TestHostsAgreeOnHomeEngines guards against two hosts that have the same adapter
// loaded on two different engines.
func TestHostsAgreeOnHomeEngines(t *testing.T) {
	c := quicktest.New(t)
	first, second := newTestBalancer("east", "west", "far"), newTestBalancer("east", "west", "far")
	second.Zone = "far"
	for i := range 50 {
		a, err := first.Choose(requirements(fmt.Sprintf("a%d", i)))
		c.Assert(err, quicktest.IsNil)
		b, err := second.Choose(requirements(fmt.Sprintf("a%d", i)))
		c.Assert(err, quicktest.IsNil)
		c.Assert(a.Server.ID, quicktest.Equals, b.Server.ID)
		c.Assert(a.Loaded, quicktest.IsFalse)
		first.Done(a.Server, site.Adapter{}, false)
		second.Done(b.Server, site.Adapter{}, false)
	}
}

// TestUnloadedAdapterGoesToZoneWithOwner guards against requests that wait for a
// load in a zone that has lost its owner, although engines in other zones could
// load the adapter.
func TestUnloadedAdapterGoesToZoneWithOwner(t *testing.T) {
	c := quicktest.New(t)
	b := newTestBalancer("east", "west", "far")
	b.HasOwner = func(zone string) bool { return zone == "west" }
	for i := range 50 {
		pick, err := b.Choose(requirements(fmt.Sprintf("a%d", i)))
		c.Assert(err, quicktest.IsNil)
		c.Assert(pick.Server.Zone, quicktest.Equals, "west")
		b.Done(pick.Server, site.Adapter{}, false)
	}
	b.HasOwner = func(string) bool { return false }
	_, err := b.Choose(requirements("a1"))
	c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeNotOwner)
	b.UpdateResidency(site.Residency{Server: site.Incarnation{ID: "engine-2", StartUnixMilli: 1}, Epoch: 1, Sequence: 1, Adapters: map[site.Adapter]int{requirements("a1").Adapter: 1}})
	pick, err := b.Choose(requirements("a1"))
	c.Assert(err, quicktest.IsNil)
	c.Assert(pick.Loaded, quicktest.IsTrue)
}

// TestResidencyOfFormerOwnerIsIgnored guards against a residency from an owner
// that has lost its lease, or from a former instance of the engine, replacing a
// newer one.
func TestResidencyOfFormerOwnerIsIgnored(t *testing.T) {
	c := quicktest.New(t)
	b := newTestBalancer("east")
	server := site.Incarnation{ID: "engine-0", StartUnixMilli: 1}
	b.UpdateResidency(site.Residency{Server: server, Epoch: 2, Sequence: 1, Adapters: map[site.Adapter]int{requirements("new").Adapter: 1}})
	b.UpdateResidency(site.Residency{Server: server, Epoch: 1, Sequence: 9, Adapters: map[site.Adapter]int{requirements("old").Adapter: 1}})
	b.UpdateResidency(site.Residency{Server: site.Incarnation{ID: "engine-0", StartUnixMilli: 0}, Epoch: 9, Sequence: 9})
	pick, err := b.Choose(requirements("new"))
	c.Assert(err, quicktest.IsNil)
	c.Assert(pick.Loaded, quicktest.IsTrue)
	pick, err = b.Choose(requirements("old"))
	c.Assert(err, quicktest.IsNil)
	c.Assert(pick.Loaded, quicktest.IsFalse)
}

// TestFailedServerIsAvoided guards against requests to a server that has just
// failed while another one works.
func TestFailedServerIsAvoided(t *testing.T) {
	c := quicktest.New(t)
	b := newTestBalancer("east", "far")
	plain := ServerRequirements{Service: "writers"}
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
