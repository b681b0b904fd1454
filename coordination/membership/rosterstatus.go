package membership

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

func (r *roster) hasRecentHeartbeat(record *hostRecord, now time.Time) bool {
	return !record.lastHeartbeat.IsZero() && now.Sub(record.lastHeartbeat) < unreachableTimeout
}

// reachability returns whether a host is reachable, and its revision. Without a
// recent heartbeat of the host itself, and unless the hosts are in full mesh, it
// uses the reports of those relays that sent a recent heartbeat and for which
// accept returns true.
func (r *roster) reachability(record *hostRecord, now time.Time, accept func(fleet.Host) bool) (bool, uint64) {
	if r.hasRecentHeartbeat(record, now) {
		return true, record.revision
	}
	if r.fullMesh {
		return false, record.revision
	}
	reachable, revision := false, record.revision
	for name, report := range record.relayReports {
		source := r.hosts[name]
		if source == nil || report.start != record.host.Start || !r.hasRecentHeartbeat(source, now) || !accept(source.host) {
			continue
		}
		reachable = reachable || report.isLive
		revision = max(revision, report.revision)
	}
	return reachable, revision
}

// updateStatus sets the status of a host for the view and updates the
// advertisements of the host.
func (r *roster) updateStatus(record *hostRecord, now time.Time) {
	if r.hosts[record.host.Name] != record {
		return
	}
	reachable, revision := r.reachability(record, now, func(fleet.Host) bool { return true })
	host := record.host
	host.State = r.stateOf(record, reachable)
	status := HostStatus{Host: host, Reachable: reachable, Revision: configuration.Revision(revision)}
	if status != record.status {
		if status.Host != record.status.Host || status.Reachable != record.status.Reachable {
			r.events = append(r.events, Event{Kind: EventHost, Host: host})
			r.publishNow = true
		}
		record.status = status
		r.hostsDirty = true
	}
	r.updateAdvertisements(record, now)
}

// stateOf returns the state of a host that the view shows. Gone takes precedence
// over leaving, and leaving over reachability.
func (r *roster) stateOf(record *hostRecord, reachable bool) fleet.HostState {
	switch {
	case record.isGone:
		return fleet.HostGone
	case r.isLeaving(string(record.host.Name), record.host.Start):
		return fleet.HostLeaving
	case reachable:
		return fleet.HostLive
	default:
		return fleet.HostUnreachable
	}
}

// updateAdvertisements updates what heartbeats say of a host. All peers learn
// that the host exists. Its state is advertised as live only across failure
// domains, and only by a host that receives its heartbeats or has the report of
// a relay in its failure domain. Otherwise two hosts could keep an unreachable
// one live by repeating each other's reports.
//
// When this host begins to advertise the host as live, the engines that the host
// owns get new sequences, because this host passes on their summaries from then on.
func (r *roster) updateAdvertisements(record *hostRecord, now time.Time) {
	toOwn := fleet.KnownHost{Host: record.host}
	toOwn.Host.State = fleet.HostUnreachable
	toOthers := toOwn
	if !r.fullMesh {
		if record.host.FailureDomain == r.self.FailureDomain {
			if r.hasRecentHeartbeat(record, now) {
				toOthers.Host.State, toOthers.Revision = fleet.HostLive, record.revision
			}
		} else {
			reachable, revision := r.reachability(record, now, func(source fleet.Host) bool { return source.FailureDomain == record.host.FailureDomain })
			if reachable {
				toOwn.Host.State, toOwn.Revision = fleet.HostLive, revision
			}
		}
	}
	beginsLive := r.updateAdvertisement(&record.toOwnDomain, toOwn)
	beginsLive = r.updateAdvertisement(&record.toOtherDomains, toOthers) || beginsLive
	if !beginsLive {
		return
	}
	for _, engine := range r.engines {
		if engine.summary.Owner == record.host.Name {
			engine.instancesSequence = r.nextSequence(changeEntry{engine: engine.summary.Engine})
		}
	}
}

// updateAdvertisement sets the content of an advertisement and gives it a new
// sequence if the content changed. It reports whether the advertisement now says
// that the host is live and did not say so before.
func (r *roster) updateAdvertisement(t *advertisement, known fleet.KnownHost) bool {
	if t.sequence != 0 && t.known == known {
		return false
	}
	begins := known.Host.State == fleet.HostLive && t.known.Host.State != fleet.HostLive
	*t = advertisement{known: known, sequence: r.nextSequence(changeEntry{host: known.Host.Name})}
	return begins
}

// tick updates the status of all hosts, because no event marks the moment at
// which a host becomes unreachable. It also decides between full mesh and
// relays, advertises delayed changes of load and deletes old records.
func (r *roster) tick(now time.Time) {
	count := 1
	for name, record := range r.hosts {
		if now.Sub(record.lastUpdate) >= retentionDuration {
			r.removeHost(name)
			continue
		}
		if !record.isGone && now.Sub(record.lastUpdate) < fullMeshCountWindow {
			count++
		}
	}
	if fullMesh := count <= r.fullMeshHostLimit; fullMesh != r.fullMesh {
		r.fullMesh, r.hostsDirty = fullMesh, true
	}
	for _, record := range r.hosts {
		r.updateStatus(record, now)
	}
	for _, record := range r.engines {
		r.advertiseLoad(record, false, now)
	}
	r.compact()
	for name, record := range r.leaving {
		if now.Sub(record.learnedAt) >= retentionDuration && r.hosts[fleet.HostName(name)] == nil && r.servers[name] == 0 {
			delete(r.leaving, name)
			r.hostsDirty = true
		}
	}
}

// removeHost deletes the record of a host and the reports that it sent as a
// relay.
func (r *roster) removeHost(name fleet.HostName) {
	delete(r.hosts, name)
	for _, record := range r.hosts {
		delete(record.relayReports, name)
	}
	r.hostsDirty = true
}
