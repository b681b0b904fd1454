package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// CandidateHosts returns the hosts in rendezvous hashing order for an engine: each
// host is first for an equal share of the engines, and the loss of one host moves
// only the engines for which it was first.
func CandidateHosts(engine fleet.EngineName, hosts []fleet.Host) []fleet.Host {
	ordered := slices.Clone(hosts)
	slices.SortFunc(ordered, func(a, b fleet.Host) int {
		return cmp.Or(
			cmp.Compare(rendezvousWeight(engine, b.Name), rendezvousWeight(engine, a.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return ordered
}

// rendezvousWeight returns the weight of a host for an engine; the host with the
// highest weight comes first.
func rendezvousWeight(engine fleet.EngineName, host fleet.HostName) uint64 {
	return xxhash.Sum64String(string(engine) + "\x00" + string(host))
}
