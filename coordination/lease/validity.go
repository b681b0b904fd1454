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
func (k *Manager) Valid(name Name) (fleet.Epoch, bool) {
	leases := k.validLeases.Load()
	if leases == nil {
		return 0, false
	}
	t, ok := (*leases)[name]
	if !ok || !k.now().Before(t.expires) {
		return 0, false
	}
	return t.epoch, true
}

// publishValidLeases replaces the map that Valid reads, if it has changed.
func (k *Manager) publishValidLeases() {
	if !k.publishPending {
		return
	}
	k.publishPending = false
	leases := make(map[Name]validLease)
	for name, l := range k.leases {
		if l.held && l.unresolvedVersion == 0 {
			leases[name] = validLease{epoch: l.reportedEpoch, expires: l.expires}
		}
	}
	k.validLeases.Store(&leases)
}
