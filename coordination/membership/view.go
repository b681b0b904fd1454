package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A HostStatus is the state of an entry host as observed by this host.
type HostStatus struct {
	// Host is the host's description; Host.State is the state that this host
	// determined from heartbeats, relays and the host list.
	Host fleet.Host
	// Reachable says that a heartbeat of the host, or a report of a relay that
	// receives its heartbeats, is recent. It is independent of Host.State for a
	// leaving host, which stays leaving when its heartbeats end.
	Reachable bool
	// Revision is the last known revision of the configuration applied at the
	// host; 0 means none.
	Revision configuration.Revision
}

// A View is an immutable snapshot of what one host knows of all entry hosts,
// engines and leaving backend servers. The Monitor publishes a new one for each
// change.
type View struct {
	// Hosts maps names to the known entry hosts, this host included.
	Hosts map[fleet.HostName]HostStatus
	// Engines has the newest known summary of each engine. It also contains
	// engines whose owner is unreachable.
	Engines map[fleet.EngineName]fleet.EngineSummary
	// LeavingServers maps the name of each leaving backend server to the
	// highest start number that leaves; 0 means that the host list does not
	// know the start number.
	LeavingServers map[string]fleet.StartNumber
	// FullMesh says that all hosts exchange heartbeats with each other.
	// Otherwise hosts do so within their failure domain only, and relays
	// connect the failure domains.
	FullMesh bool
}

// ServerLeaving reports whether the process of a backend server with a start
// number is leaving. Start 0 stands for a process whose start number is not
// known. A server that is listed as leaving without a start number counts as
// leaving for every start number, because requests sent to a server that stops
// do more harm than a new process that gets no requests.
func (v *View) ServerLeaving(name string, start fleet.StartNumber) bool {
	leaving, ok := v.LeavingServers[name]
	return ok && (leaving == 0 || leaving >= start)
}

// LiveHosts returns the live hosts of a failure domain, or of all failure
// domains for an empty domain, sorted by name. This host is included.
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

// RendezvousOrder returns hosts sorted by their rendezvous-hashing weight for a
// key, highest first. All hosts that pass the same hosts and key get the same
// order.
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

// Relays returns the relays of one failure domain to another: the hosts that
// exchange heartbeats and configuration changes between the two domains. They are
// the first two of hosts, all of which belong to the same one of the domains, in
// the rendezvous-hashing order of the pair. Relays gives the same result when one
// and other are swapped.
func Relays(one, other fleet.FailureDomainName, hosts []fleet.Host) []fleet.Host {
	pair := string(min(one, other)) + "\x00" + string(max(one, other))
	ranked := RendezvousOrder(pair, hosts)
	return ranked[:min(relaysPerPair, len(ranked))]
}
