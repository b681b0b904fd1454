package lease

import (
	"context"

	"github.com/persimmonmux/persimmonmux/state/table"
)

// Release gives up a lease, or the request for it. The caller must have stopped
// all use of the lease, and of everything that it issued under the lease. Release
// reports whether the ring had room.
func (k *Manager) Release(name Name) bool {
	k.setup()
	return k.messages.Offer(releaseRequest{name: name})
}

// A releaseRequest is the message of Release.
type releaseRequest struct {
	name Name
}

func (r releaseRequest) handle(_ context.Context, k *Manager) {
	l, ok := k.leases[r.name]
	if !ok {
		return
	}
	l.wanted = false
	if l.recordKnown && k.isOwn(l.record) && !l.releasing {
		now := k.now()
		l.releasing, l.releaseDeadline, l.nextAccess = true, now.Add(k.Duration), now
	}
	k.loseLease(l, "")
}

// releaseAll makes all leases invalid and makes one attempt to release them in the
// table.
func (k *Manager) releaseAll(ctx context.Context) {
	var writes []table.Write
	for _, l := range k.leases {
		if l.held && !l.accessPending && l.unresolvedVersion == 0 {
			writes = append(writes, table.Write{Key: l.name.Key(), Expected: l.version, Value: l.record.releasedRecord().encode()})
		}
		k.loseLease(l, "")
	}
	k.publishValidLeases()
	k.sendEvents()
	if len(writes) == 0 {
		return
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.TableTimeout)
	defer cancel()
	if _, err := k.Table.Commit(limited, table.Transaction{Writes: writes, Independent: true}); err != nil {
		k.Logger.Warn().Err(err).Msg("held leases could not be released on shutdown")
	}
}
