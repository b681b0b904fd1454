package lease

import (
	"context"

	"github.com/persimmonmux/persimmonmux/state/table"
)

// Release gives up a lease, or the request for it. The caller must have stopped
// all use of the lease, and of everything that it issued under the lease. Release
// reports whether the ring had room.
func (m *Manager) Release(name Name) bool {
	m.setup()
	return m.messages.Offer(releaseRequest{name: name})
}

// A releaseRequest is the message of Release.
type releaseRequest struct {
	name Name
}

func (r releaseRequest) handle(_ context.Context, m *Manager) {
	l, ok := m.leases[r.name]
	if !ok {
		return
	}
	l.wanted = false
	if m.isOwned(l) && !l.releasing {
		now := m.now()
		l.releasing, l.releaseDeadline, l.nextAccess = true, now.Add(m.Duration), now
	}
	m.loseLease(l, "")
}

// releaseAll makes all leases invalid and makes one attempt to release them in the
// table.
func (m *Manager) releaseAll(ctx context.Context) {
	var writes []table.Write
	for _, l := range m.leases {
		if l.held && !l.accessPending && l.unresolvedVersion == 0 {
			writes = append(writes, table.Write{Key: l.name.Key(), Expected: l.version, Value: l.record.releasedRecord(m.era).encode()})
		}
		m.loseLease(l, "")
	}
	m.publishValidLeases()
	m.sendEvents()
	if len(writes) == 0 {
		return
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.TableTimeout)
	defer cancel()
	if _, err := m.Table.Commit(limited, table.Transaction{Writes: writes, Independent: true}); err != nil {
		m.Logger.Warn().Err(err).Msg("held leases could not be released on shutdown")
	}
}
