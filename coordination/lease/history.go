package lease

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/table"
)

// A table that comes back from an older copy has lost the last writes of leases, and so may name
// a former holder, or call a lease released that has been taken since (see table.Era). Two rules
// keep leases with one holder and epochs with one process:
//
//   - A record that was not written in the present history says nothing about who holds the lease.
//     Its holder, if its lease is still valid, writes it again under the same epoch. All others
//     wait for the duration of a lease from when they learned of the history.
//   - A lease that is taken over gets an epoch of the present era, which is higher than all
//     epochs of earlier ones, and within it one that grows with the version of the record.
//
// The wait also outlasts writes of an earlier history that are carried out late, when a record
// may have the version that they expect by chance.

// updateEra records that the table has a new history.
func (m *Manager) updateEra(now time.Time) {
	era := m.Table.Era()
	if era <= m.era {
		return
	}
	m.Logger.Warn().Uint64("era", uint64(era)).Msg("table has a new history; leases that are held are written again")
	m.era, m.eraSince = era, now
	m.nextRenewal = now
}

// isOfEarlierHistory reports whether the record of a lease was not written in the present
// history, as far as known. An absent record may have been lost.
func (m *Manager) isOfEarlierHistory(r Record) bool {
	return r.Era < m.era
}

// keepLease keeps a held lease whose record in the table is of an earlier history, and has it
// written again. It reports whether it did.
func (m *Manager) keepLease(l *lease, found Record, version table.Version, now time.Time) bool {
	if !l.held || !now.Before(l.expires) || l.releasing || l.unresolvedVersion != 0 || !m.isOfEarlierHistory(found) || l.version == version {
		return false
	}
	l.version = version
	m.nextRenewal = now
	return true
}

// isOwned reports whether the record names this process as the holder and may be renewed under
// its epoch. A record of an earlier history may be from before another process had the lease.
func (m *Manager) isOwned(l *lease) bool {
	return l.recordKnown && m.isOwn(l.record) && (l.held || !m.isOfEarlierHistory(l.record))
}
