package revision

import (
	"slices"
	"strings"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A RolloutStatus says which hosts have applied a revision. Each list is sorted by
// name.
type RolloutStatus struct {
	// Applied lists the hosts that have the revision or a higher one.
	Applied []fleet.HostName
	// Pending lists the reachable hosts that do not have the revision yet.
	Pending []fleet.HostName
	// Unreachable lists the unreachable hosts, whatever revision they had last.
	Unreachable []fleet.HostName
}

// RolloutStatus returns which hosts have applied a revision, as far as known from
// heartbeats. Hosts that are gone are left out.
func (d *Distributor) RolloutStatus(revision configuration.Revision) RolloutStatus {
	var rollout RolloutStatus
	for name, status := range d.Members.View().Hosts {
		switch {
		case name == d.Self.Name:
			if d.Revision() >= revision {
				rollout.Applied = append(rollout.Applied, name)
			} else {
				rollout.Pending = append(rollout.Pending, name)
			}
		case status.Host.State == fleet.HostGone:
		case !status.Reachable:
			rollout.Unreachable = append(rollout.Unreachable, name)
		case status.Revision >= revision:
			rollout.Applied = append(rollout.Applied, name)
		default:
			rollout.Pending = append(rollout.Pending, name)
		}
	}
	for _, names := range [][]fleet.HostName{rollout.Applied, rollout.Pending, rollout.Unreachable} {
		slices.SortFunc(names, func(a, b fleet.HostName) int { return strings.Compare(string(a), string(b)) })
	}
	return rollout
}
