package revision

import (
	"slices"

	"github.com/persimmonmux/persimmonmux/state/configuration"
)

// maxPullableChanges is the number of latest changes that peers can pull. At
// 17,000 changes per day, it covers more than an hour.
const maxPullableChanges = 1000

// A replica is the configuration applied at a host, with the latest changes that
// led to it. It is not modified once published.
type replica struct {
	// configuration is nil before the first revision.
	configuration *configuration.Configuration
	// changes are consecutive, and the last one led to configuration. There are
	// none directly after a snapshot.
	changes []configuration.Change
}

func (r *replica) revision() configuration.Revision {
	if r.configuration == nil {
		return 0
	}
	return r.configuration.Revision
}

// changesAfter returns the changes after a revision, and whether all of them are
// kept.
func (r *replica) changesAfter(revision configuration.Revision) ([]configuration.Change, bool) {
	if revision >= r.revision() {
		return nil, true
	}
	missing := uint64(r.revision() - revision)
	if missing > uint64(len(r.changes)) || missing > maxPullableChanges {
		return nil, false
	}
	return r.changes[len(r.changes)-int(missing):], true
}

// withUpdates returns the replica after a snapshot and changes have been applied.
// A snapshot applies if its revision is higher, and a change if its revision is
// the next one; the first gap ends the changes.
func (r *replica) withUpdates(changes []configuration.Change, snapshot *configuration.Configuration) *replica {
	updated := r
	if snapshot != nil && snapshot.Revision > r.revision() {
		updated = &replica{configuration: snapshot}
	}
	for i := range changes {
		change := &changes[i]
		if change.Revision <= updated.revision() {
			continue
		}
		if change.Revision != updated.revision()+1 {
			break
		}
		base := updated.configuration
		if base == nil {
			base = &configuration.Configuration{}
		}
		kept := updated.changes
		if len(kept) >= 2*maxPullableChanges {
			kept = slices.Clone(kept[len(kept)-maxPullableChanges:])
		}
		updated = &replica{configuration: base.Apply(change), changes: append(kept, *change)}
	}
	return updated
}
