package lease

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A validLease is a held lease as seen by Valid.
type validLease struct {
	epoch   fleet.Epoch
	expires time.Time
}

// Valid returns the epoch of a held lease and whether the lease may be used. It
// may be called by any goroutine; the result holds for the moment of the call
// only.
func (m *Manager) Valid(name Name) (fleet.Epoch, bool) {
	leases := m.validLeases.Load()
	if leases == nil {
		return 0, false
	}
	t, ok := (*leases)[name]
	if !ok || !m.now().Before(t.expires) {
		return 0, false
	}
	return t.epoch, true
}

// publishValidLeases replaces the map that Valid reads, if it has changed.
func (m *Manager) publishValidLeases() {
	if !m.publishPending {
		return
	}
	m.publishPending = false
	leases := make(map[Name]validLease)
	for name, l := range m.leases {
		if l.held && l.unresolvedVersion == 0 {
			leases[name] = validLease{epoch: l.reportedEpoch, expires: l.expires}
		}
	}
	m.validLeases.Store(&leases)
}
