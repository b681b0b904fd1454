package watch

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// The age of a table is the time since the store confirmed that the known rows of
// this table are complete. Each table has an age of its own, because a reply about
// one table does not show that another one is complete.
//
// The ages of the tables other than SlowTable add up as follows. An owner reads each
// table again readDelay after the last reply, and the store holds a read for
// ownerWatchWait if nothing changed: 1.2 s and the time of a call. A host asks the
// owner of its zone every ownZonePollInterval, which adds up to 0.5 s. Above
// maxTableAge it reads the table itself, which leaves 0.6 s of the 2.5 s within which
// a change has to take effect.
const (
	// maxTableAge is the age of a table from which a host that owns no zone reads the
	// table itself. maxSlowTableAge is the same for SlowTable.
	maxTableAge     = 1850 * time.Millisecond
	maxSlowTableAge = 4500 * time.Millisecond
	// maxOwnerTableAge is the age of a table at an owner from which the owner counts
	// as stale. maxOwnerSlowTableAge is the same for SlowTable.
	maxOwnerTableAge     = 1400 * time.Millisecond
	maxOwnerSlowTableAge = 4 * time.Second
	// unknownAge is the age that a table has at the start, before the store confirmed
	// it.
	unknownAge = time.Hour
)

// TableAge returns the time since the store confirmed, to this host or to the host
// that sent the changes, that the known rows of the table are complete. It is an hour
// or more if the store never did.
func (w *Cache) TableAge(table site.Table) time.Duration {
	w.prepare()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return time.Since(w.tables[table].confirmedAt)
}

// StoreAge returns the age of the table that the store confirmed last, and so the
// time since the last known reply of the store. Other tables may be older. It is an
// hour or more if there was no reply.
func (w *Cache) StoreAge() time.Duration {
	age := w.TableAge(w.Tables[0])
	for _, table := range w.Tables[1:] {
		age = min(age, w.TableAge(table))
	}
	return age
}

// timeUntilOutdated returns the time until a host that owns no zone has to read the
// table itself. It is 0 or less if the host has to read it now.
func (w *Cache) timeUntilOutdated(table site.Table) time.Duration {
	if table == w.SlowTable {
		return maxSlowTableAge - w.TableAge(table)
	}
	return maxTableAge - w.TableAge(table)
}

// isStaleOwner reports whether an owner is stale whose tables have the given ages. A
// table without an age was never read in full.
func (w *Cache) isStaleOwner(ages map[site.Table]time.Duration) bool {
	for _, table := range w.Tables {
		limit := maxOwnerTableAge
		if table == w.SlowTable {
			limit = maxOwnerSlowTableAge
		}
		if age, ok := ages[table]; !ok || age > limit {
			return true
		}
	}
	return false
}

// tableAges returns the age of each table.
func (w *Cache) tableAges() map[site.Table]time.Duration {
	ages := make(map[site.Table]time.Duration, len(w.Tables))
	for _, table := range w.Tables {
		ages[table] = w.TableAge(table)
	}
	return ages
}
