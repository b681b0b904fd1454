package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// exchangeTargets returns the hosts to exchange heartbeats with: all of them in
// full mesh; otherwise the hosts of this host's failure domain and, if this host is a
// relay, the relays of the other failure domains.
func (r *roster) exchangeTargets(now time.Time) []*hostRecord {
	domains := make(map[fleet.FailureDomainName][]*hostRecord)
	var targets []*hostRecord
	for _, record := range r.hosts {
		if record.isGone || record.host.PeerAddress == "" {
			continue
		}
		if r.fullMesh || record.host.FailureDomain == r.self.FailureDomain {
			targets = append(targets, record)
			continue
		}
		domains[record.host.FailureDomain] = append(domains[record.host.FailureDomain], record)
	}
	if r.fullMesh {
		return targets
	}
	own := preferLive(append(r.relayCandidates(targets), r.self))
	for domain, records := range domains {
		for _, relay := range Relays(r.self.FailureDomain, domain, own) {
			if relay.Name == r.self.Name {
				targets = append(targets, r.relaysOf(domain, records, now)...)
			}
		}
	}
	return targets
}

// relayCandidates returns the reachable hosts of records that can be relays.
// Leaving hosts are included only when no host is live.
func (r *roster) relayCandidates(records []*hostRecord) []fleet.Host {
	var reachable []fleet.Host
	for _, record := range records {
		if record.status.Reachable {
			reachable = append(reachable, record.status.Host)
		}
	}
	return preferLive(reachable)
}

// preferLive returns the live hosts, or all of them if none is live.
func preferLive(hosts []fleet.Host) []fleet.Host {
	var live []fleet.Host
	for _, host := range hosts {
		if host.State == fleet.HostLive {
			live = append(live, host)
		}
	}
	if len(live) == 0 {
		return hosts
	}
	return live
}

// relaysOf returns the relays of another failure domain. When none of its hosts
// is reachable, it returns two hosts that change with time, so that a failure
// domain in which all hosts were replaced is found again.
func (r *roster) relaysOf(domain fleet.FailureDomainName, records []*hostRecord, now time.Time) []*hostRecord {
	chosen := Relays(r.self.FailureDomain, domain, r.relayCandidates(records))
	if len(chosen) == 0 {
		slices.SortFunc(records, func(a, b *hostRecord) int { return cmp.Compare(a.host.Name, b.host.Name) })
		first := int(now.Unix()) * relaysPerPair % len(records)
		for i := range min(relaysPerPair, len(records)) {
			chosen = append(chosen, records[(first+i)%len(records)].host)
		}
	}
	var targets []*hostRecord
	for _, host := range chosen {
		targets = append(targets, r.hosts[host.Name])
	}
	return targets
}
