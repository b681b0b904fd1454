package membership

import (
	"cmp"
	"slices"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// header returns a heartbeat that contains only the sender and its revision.
func (r *roster) header(revision configuration.Revision) fleet.Heartbeat {
	return fleet.Heartbeat{Host: r.self, Revision: uint64(revision)}
}

// A heartbeatItem adds one change to a heartbeat.
type heartbeatItem struct {
	sequence uint64
	add      func(*fleet.Heartbeat)
}

// heartbeatFor returns the heartbeat for a peer: the changes after the sequence
// that the peer acknowledged last. If there are more than maxHeartbeatItems, it
// contains the oldest ones.
func (r *roster) heartbeatFor(name fleet.HostName, revision configuration.Revision) fleet.Heartbeat {
	h := r.header(revision)
	record := r.hosts[name]
	if record == nil {
		return h
	}
	h.Acknowledged, h.AcknowledgedStart = record.receivedSequence, record.host.Start
	since := record.acknowledgedSequence
	if since > 0 {
		h.AssumedStart = record.host.Start
	}
	items := r.itemsFor(record, since)
	h.Sequence = r.sequence
	if len(items) > maxHeartbeatItems {
		slices.SortFunc(items, func(a, b heartbeatItem) int { return cmp.Compare(a.sequence, b.sequence) })
		items = items[:maxHeartbeatItems]
		h.Sequence = items[maxHeartbeatItems-1].sequence
	}
	for _, item := range items {
		item.add(&h)
	}
	return h
}

// itemsFor returns the items for the changes after a sequence, newest first.
func (r *roster) itemsFor(peer *hostRecord, since uint64) []heartbeatItem {
	var items []heartbeatItem
	inOwnDomain := peer.host.FailureDomain == r.self.FailureDomain
	for i := len(r.changeLog) - 1; i >= 0 && r.changeLog[i].sequence > since; i-- {
		entry := r.changeLog[i]
		var add func(*fleet.Heartbeat)
		switch {
		case entry.leaving != "":
			add = r.leavingItem(entry)
		case entry.host != "":
			add = r.hostItem(entry, peer, inOwnDomain)
		default:
			add = r.engineItem(entry, since, inOwnDomain)
		}
		if add != nil {
			items = append(items, heartbeatItem{entry.sequence, add})
		}
	}
	return items
}

// leavingItem, hostItem and engineItem return the function that adds the subject
// of an entry to a heartbeat, or nil when the entry is obsolete or the subject
// is not advertised to the peer.
func (r *roster) leavingItem(entry changeEntry) func(*fleet.Heartbeat) {
	record := r.leaving[entry.leaving]
	if record == nil || record.sequence != entry.sequence {
		return nil
	}
	leaving := fleet.LeavingMember{Name: entry.leaving, Start: record.start}
	return func(h *fleet.Heartbeat) { h.Leaving = append(h.Leaving, leaving) }
}

func (r *roster) hostItem(entry changeEntry, peer *hostRecord, inOwnDomain bool) func(*fleet.Heartbeat) {
	record := r.hosts[entry.host]
	if record == nil || record == peer || record.isGone {
		return nil
	}
	t := record.toOtherDomains
	if inOwnDomain {
		t = record.toOwnDomain
	}
	if t.sequence != entry.sequence {
		return nil
	}
	return func(h *fleet.Heartbeat) { h.KnownHosts = append(h.KnownHosts, t.known) }
}

func (r *roster) engineItem(entry changeEntry, since uint64, inOwnDomain bool) func(*fleet.Heartbeat) {
	record := r.engines[entry.engine]
	if record == nil || record.lastSequence() != entry.sequence || !r.advertisesEngine(record, inOwnDomain) {
		return nil
	}
	summary := record.summary
	if record.instancesSequence <= since {
		summary.InstancesOmitted, summary.Instances = true, nil
	}
	return func(h *fleet.Heartbeat) { h.Engines = append(h.Engines, summary) }
}

// advertisesEngine reports whether this host sends an engine's summary to peers:
// it does if it owns the engine or advertises the owner as live to them.
func (r *roster) advertisesEngine(record *engineRecord, inOwnDomain bool) bool {
	if record.summary.Owner == r.self.Name {
		return true
	}
	owner := r.hosts[record.summary.Owner]
	if owner == nil {
		return false
	}
	if inOwnDomain {
		return owner.toOwnDomain.known.Host.State == fleet.HostLive
	}
	return owner.toOtherDomains.known.Host.State == fleet.HostLive
}
