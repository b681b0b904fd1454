package lease

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// A lease is the Manager's state of one lease.
type lease struct {
	name   Name
	wanted bool
	rank   int
	// recordKnown means that record and version were read or written at least once.
	recordKnown bool
	record      Record
	version     table.Version
	// malformed means that the record cannot be parsed; it is not overwritten.
	malformed bool
	// firstSeen is when this version was first seen. The record was written before.
	firstSeen time.Time
	// held means that this process holds the lease until expires under
	// reportedEpoch.
	held    bool
	expires time.Time
	// reportedEpoch is the last epoch reported as gained and not yet as lost, or 0.
	reportedEpoch fleet.Epoch
	// unresolvedVersion is the version that an unresolved transfer of this host may
	// still replace, or 0. The lease is not held on a record of this version.
	unresolvedVersion table.Version
	// releasing means that a release is to be written, until releaseDeadline.
	releasing       bool
	releaseDeadline time.Time
	// accessPending means that a worker reads or writes the record.
	accessPending bool
	// nextAccess is when the record is read or written next, unless the lease is
	// held.
	nextAccess time.Time
}

// isOwn reports whether the record names this process as the holder.
func (m *Manager) isOwn(r Record) bool {
	return r.Holder == m.Host && r.Start == m.Start
}

// expireLeases ends the leases that were not renewed in time and forgets the
// times of writes that are older than a lease.
func (m *Manager) expireLeases(now time.Time) {
	for _, l := range m.leases {
		if l.held && !now.Before(l.expires) {
			l.held = false
			l.nextAccess = now
			m.publishPending = true
			m.queueEvent(Event{Name: l.name, Type: Expired, Epoch: l.reportedEpoch})
		}
	}
	for number, sent := range m.sentAt {
		if now.Sub(sent) > m.Duration {
			delete(m.sentAt, number)
		}
	}
}

// applyObservation updates the lease from its record. at is a time that is not
// before the record was written.
func (m *Manager) applyObservation(l *lease, record table.Record, at, now time.Time) {
	parsed, err := decode(record)
	l.malformed = err != nil
	if err != nil {
		m.Logger.Error().Err(err).Msg("lease record is malformed and is not overwritten")
		return
	}
	m.updateEra(now)
	if m.keepLease(l, parsed, record.Version, now) {
		return
	}
	if !l.recordKnown || record.Version != l.version {
		l.firstSeen = at
	}
	l.recordKnown, l.record, l.version = true, parsed, record.Version
	if l.unresolvedVersion != 0 && l.version != l.unresolvedVersion {
		l.unresolvedVersion = 0
		if m.isOfEarlierHistory(parsed) {
			// The transfer may have taken effect in the history that is lost.
			l.held = false
		}
	}
	if !m.isOwned(l) {
		m.loseLease(l, parsed.Holder)
		l.releasing = false
		return
	}
	m.applyOwnRecord(l, now)
}

// applyOwnRecord updates the lease after its record was found to name this process
// as the holder.
func (m *Manager) applyOwnRecord(l *lease, now time.Time) {
	if l.reportedEpoch != 0 && l.reportedEpoch != l.record.Epoch {
		m.loseLease(l, l.record.Holder)
	}
	if !l.wanted && !l.releasing {
		l.releasing, l.releaseDeadline = true, now.Add(m.Duration)
	}
	sent, ok := m.sentAt[l.record.WriteNumber]
	if !ok || l.releasing || l.unresolvedVersion != 0 {
		return
	}
	expires := sent.Add(m.Duration - m.SafetyMargin)
	if now.Before(expires) {
		m.hold(l, expires)
	}
}

// hold makes the lease held until expires under the epoch of its record. It reports
// the epoch as gained if the lease was not held before.
func (m *Manager) hold(l *lease, expires time.Time) {
	if !l.held {
		r := l.record
		l.reportedEpoch = r.Epoch
		m.queueEvent(Event{
			Name: l.name, Type: Gained, Epoch: r.Epoch,
			PreviousHolder: r.PreviousHolder, PreviousStart: r.PreviousStart, Released: r.Released, IsPredecessorUnknown: r.IsPredecessorUnknown,
		})
	}
	l.held, l.expires, m.publishPending = true, expires, true
}

// loseLease ends the holding of a lease for good. It reports the epoch as lost if
// the epoch was reported as gained.
func (m *Manager) loseLease(l *lease, holder fleet.HostName) {
	if l.reportedEpoch != 0 {
		m.queueEvent(Event{Name: l.name, Type: Lost, Epoch: l.reportedEpoch, Holder: holder})
	}
	l.reportedEpoch, l.held, m.publishPending = 0, false, true
}
