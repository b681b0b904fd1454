package revision

import (
	"slices"

	"github.com/persimmonmux/persimmonmux/state/configuration"
)

// keptChanges is the number of changes kept for pulls. It is more than an hour
// of changes at 17,000 per day.
const keptChanges = 1000

// A replica is the configuration in force with the changes that led to it. It
// is not modified once published.
type replica struct {
	// configuration is nil before the first revision.
	configuration *configuration.Configuration
	// changes are without gaps; the last one led to configuration. They are
	// empty after a snapshot was taken.
	changes []configuration.Change
}

func (h *replica) revision() configuration.Revision {
	if h.configuration == nil {
		return 0
	}
	return h.configuration.Revision
}

// after returns the kept changes after a revision, and whether they reach back
// to it.
func (h *replica) after(revision configuration.Revision) ([]configuration.Change, bool) {
	if revision >= h.revision() {
		return nil, true
	}
	missing := uint64(h.revision() - revision)
	if missing > uint64(len(h.changes)) || missing > keptChanges {
		return nil, false
	}
	return h.changes[len(h.changes)-int(missing):], true
}

// with returns the holding after changes and a snapshot were taken. Only
// higher revisions are taken: a snapshot as a whole, changes in order and
// without a gap.
func (h *replica) with(changes []configuration.Change, snapshot *configuration.Configuration) *replica {
	taken := h
	if snapshot != nil && snapshot.Revision > h.revision() {
		taken = &replica{configuration: snapshot}
	}
	for i := range changes {
		change := &changes[i]
		if change.Revision <= taken.revision() {
			continue
		}
		if change.Revision != taken.revision()+1 {
			break
		}
		base := taken.configuration
		if base == nil {
			base = &configuration.Configuration{}
		}
		kept := taken.changes
		if len(kept) >= 2*keptChanges {
			kept = slices.Clone(kept[len(kept)-keptChanges:])
		}
		taken = &replica{configuration: base.Apply(change), changes: append(kept, *change)}
	}
	return taken
}
