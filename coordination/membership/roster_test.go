package membership

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// TestLeavingHostStaysLeavingWhenItIsListed guards against a view that withdraws
// a leaving process. It happened when a peer reported a name as leaving before
// this host knew that the name is a host: the view listed it as a server, and
// dropped it from there once the host list named the host.
func TestLeavingHostStaysLeavingWhenItIsListed(t *testing.T) {
	now := time.Now()
	r := newRoster(fleet.Host{Name: "host-2-00", Start: 1}, 0)
	r.receive(fleet.Heartbeat{
		Host:    fleet.Host{Name: "host-0-00", Start: 1, State: fleet.HostLive},
		Leaving: []fleet.LeavingMember{{Name: "host-1-00", Start: 3}},
	}, now)
	before := r.view(nil, 0)
	quicktest.Assert(t, before.ServerLeaving("host-1-00", 3), quicktest.IsTrue)

	r.applyHostList(fleet.HostList{Hosts: []fleet.Host{{Name: "host-1-00", Start: 3, State: fleet.HostLive}}}, now)
	after := r.view(before, 0)
	quicktest.Check(t, after.Hosts["host-1-00"].Host.State, quicktest.Equals, fleet.HostLeaving)
	quicktest.Check(t, after.ServerLeaving("host-1-00", 3), quicktest.IsTrue)
}
