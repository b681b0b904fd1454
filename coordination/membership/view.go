package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A HostStatus is an entry host as this host sees it.
type HostStatus struct {
	// Host has the state that this host judges.
	Host fleet.Host
	// Reachable says that the host was heard of within the silence limit. A
	// leaving host stays leaving whether it is heard or not.
	Reachable bool
	// Revision is the configuration last known to be in force there; 0 means
	// none.
	Revision configuration.Revision
}

// A View is what one host knows of the others. It is not modified once
// published.
type View struct {
	// Hosts by name, this host included.
	Hosts map[fleet.HostName]HostStatus
	// Engines has the newest summary of each engine. The owner may be silent.
	Engines map[fleet.EngineName]fleet.EngineSummary
	// LeavingServers are the backend servers that leave, with the highest
	// start that leaves; 0 where the list does not know it.
	LeavingServers map[string]fleet.StartNumber
	// FullMesh says that all hosts exchange heartbeats with each other;
	// otherwise relays connect the failure domains.
	FullMesh bool
}

// ServerLeaving reports whether the process of a backend server leaves. Start
// 0 stands for a process whose start is not known. A server that is listed as
// leaving without its start leaves whatever its start is, because work for a
// server that stops does more harm than a new process that waits.
func (v *View) ServerLeaving(name string, start fleet.StartNumber) bool {
	leaving, ok := v.LeavingServers[name]
	return ok && (leaving == 0 || leaving >= start)
}

// LiveHosts returns the live hosts of a failure domain by name, or of all failure
// domains for an empty name.
func (v *View) LiveHosts(domain fleet.FailureDomainName) []fleet.Host {
	var live []fleet.Host
	for _, status := range v.Hosts {
		if status.Host.State == fleet.HostLive && (domain == "" || status.Host.FailureDomain == domain) {
			live = append(live, status.Host)
		}
	}
	slices.SortFunc(live, func(a, b fleet.Host) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return live
}

// RendezvousOrder returns hosts in rendezvous-hashing order of a key.
func RendezvousOrder(key string, hosts []fleet.Host) []fleet.Host {
	type ranked struct {
		host   fleet.Host
		weight uint64
	}
	order := make([]ranked, len(hosts))
	for i, host := range hosts {
		order[i] = ranked{host: host, weight: xxhash.Sum64String(key + "\x00" + string(host.Name))}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.weight != b.weight {
			if a.weight > b.weight {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.host.Name), string(b.host.Name))
	})
	sorted := make([]fleet.Host, len(order))
	for i, r := range order {
		sorted[i] = r.host
	}
	return sorted
}

// Relays returns the hosts of one failure domain that exchange heartbeats and
// changes with another one: the first two of hosts in rendezvous-hashing order
// of the pair.
func Relays(one, other fleet.FailureDomainName, hosts []fleet.Host) []fleet.Host {
	pair := string(min(one, other)) + "\x00" + string(max(one, other))
	ranked := RendezvousOrder(pair, hosts)
	return ranked[:min(relaysPerPair, len(ranked))]
}
