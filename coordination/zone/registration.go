package zone

import (
	"context"
	"encoding/json"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// HostTable holds the registrations of the entry hosts, with the host names as
// keys.
const HostTable site.Table = "hosts"

const (
	// registrationTimeout bounds one write of the registration.
	// registrationRetryDelay is the delay after a failed write.
	registrationTimeout    = 2 * time.Second
	registrationRetryDelay = 700 * time.Millisecond
)

// A Table is the platform's transactional table, to which the registration is
// written.
type Table interface {
	Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error)
	// Era returns the highest era that the table has answered from.
	Era() table.Era
}

// A registration is what an Elector knows of the row of its host.
type registration struct {
	// value is the row as the table returned it last, as JSON, and version its version. Each
	// write depends on the version, so that an earlier write without an answer is refused if it
	// is carried out after a later one.
	value   string
	version table.Version
	// isPending means that the row is being written. retryAt is when it may be written after a
	// failed write.
	isPending bool
	retryAt   time.Time
}

// A registrationResult is the outcome of one write: the row that the table returned, or
// isFailed if it returned none or refused the write although its condition holds.
type registrationResult struct {
	row      table.Record
	isFailed bool
}

// apply records the outcome of the pending write.
func (r *registration) apply(result registrationResult, now time.Time) {
	r.isPending = false
	if result.isFailed {
		// The write may be carried out later, also if the row should not change any more by then.
		r.value, r.retryAt = "", now.Add(registrationRetryDelay)
		return
	}
	r.value, r.version = string(result.row.Value), result.row.Version
}

// era returns the era of the newest history of the store that this host knows of, from the store
// or from other hosts.
func (e *Elector) era() table.Era {
	return max(e.Table.Era(), e.Views.Era())
}

// register writes this host's registration, with the zones that it owns, if the row differs or
// is of a history that the store has lost, and no write is pending. The first write of a process finds out the version of a row that an
// earlier process has left.
func (e *Elector) register(ctx context.Context, now time.Time) {
	host := e.Host
	host.OwnedZones = make(map[string]uint64)
	if !e.isSteppingDown.Load() {
		for zone, held := range *e.heldZones.Load() {
			host.OwnedZones[zone] = held.epoch
		}
	}
	value, err := json.Marshal(host)
	isCurrent := string(value) == e.registration.value && e.registration.version.Era() >= e.era()
	if err != nil || e.registration.isPending || isCurrent || now.Before(e.registration.retryAt) {
		return
	}
	e.registration.isPending = true
	write := table.Write{Key: table.Key(string(HostTable) + "/" + host.Name), Expected: e.registration.version, Value: value}
	e.lifecycle.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
		defer cancel()
		results, err := e.Table.Commit(ctx, table.Transaction{Writes: []table.Write{write}})
		if err != nil {
			e.Log.Warn().Err(err).Msg("registration of this host could not be written")
			e.registrationResults.Offer(registrationResult{isFailed: true})
			return
		}
		result := results[0]
		if !result.Applied && result.Current.Version == write.Expected {
			e.Log.Warn().Uint64("version", write.Expected.Transaction()).Msg("store refused the registration of this host although its condition holds")
			e.registrationResults.Offer(registrationResult{isFailed: true})
			return
		}
		e.registrationResults.Offer(registrationResult{row: result.Current})
	})
}
