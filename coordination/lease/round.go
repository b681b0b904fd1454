package lease

import (
	"context"
	"errors"
	"time"

	"github.com/persimmonmux/persimmonmux/state/table"
)

// A round is one transaction and one read for all leases that are due. At most
// one round is in flight.
type round struct {
	writes []table.Write
	// written holds the leases of writes, and read the leases whose records are
	// only read.
	written, read []*lease
	// records holds the records that the table returned, by key.
	records map[table.Key]observation
	failed  bool
	// renewal means that the round renews all held leases.
	renewal bool
}

// An observation is a record and a time that is not before it was written.
type observation struct {
	record table.Record
	at     time.Time
}

// startRound collects all leases that are due and starts a worker for them.
func (m *Manager) startRound(ctx context.Context, now time.Time) {
	r := &round{records: make(map[table.Key]observation), renewal: !now.Before(m.nextRenewal)}
	number := m.lastWriteNumber + 1
	for name, l := range m.leases {
		if l.accessPending {
			continue
		}
		if m.canForget(l, now) {
			delete(m.leases, name)
			continue
		}
		m.planLease(r, l, number, now)
	}
	if len(r.writes) > 0 {
		m.lastWriteNumber = number
		m.sentAt[number] = now
	}
	if len(r.written)+len(r.read) == 0 {
		return
	}
	for _, l := range append(r.written[:len(r.written):len(r.written)], r.read...) {
		l.accessPending = true
	}
	m.roundPending = true
	m.lifecycle.Go(func() {
		m.executeRound(ctx, r)
		m.results <- r
	})
}

// canForget reports whether the lease is neither wanted nor to be released, and
// no transfer of it is unresolved. It first cancels a release whose deadline
// has passed.
func (m *Manager) canForget(l *lease, now time.Time) bool {
	if l.releasing && !now.Before(l.releaseDeadline) {
		// The lease has expired by itself.
		l.releasing = false
	}
	return !l.wanted && !l.releasing && l.unresolvedVersion == 0
}

// planLease adds the write or the read that the lease needs now to the round.
func (m *Manager) planLease(r *round, l *lease, number uint64, now time.Time) {
	due := !now.Before(l.nextAccess)
	if l.held && !l.releasing {
		due = r.renewal
	}
	own := m.isOwned(l)
	switch {
	case !due:
	case !l.recordKnown || l.malformed:
		r.read = append(r.read, l)
	case l.releasing && own:
		r.addWrite(l, l.record.releasedRecord(m.era))
	case own:
		renewed := l.record
		renewed.WriteNumber, renewed.DurationMilliseconds, renewed.Era = number, m.Duration.Milliseconds(), m.era
		r.addWrite(l, renewed)
	case l.wanted && !now.Before(m.takeoverTime(l)):
		r.addWrite(l, l.record.nextHolderRecord(m.Host, m.Start, m.Duration, number, l.version, m.era))
	default:
		r.read = append(r.read, l)
	}
}

func (r *round) addWrite(l *lease, record Record) {
	r.written = append(r.written, l)
	r.writes = append(r.writes, table.Write{Key: l.name.Key(), Expected: l.version, Value: record.encode()})
}

// executeRound commits the writes and reads the records of a round on a worker
// goroutine. It also reads the written records if the reply was lost.
func (m *Manager) executeRound(ctx context.Context, r *round) {
	var keys []table.Key
	if len(r.writes) > 0 {
		results, err := m.commit(ctx, table.Transaction{Writes: r.writes, Independent: true})
		at := m.now()
		for _, result := range results {
			r.records[result.Current.Key] = observation{record: result.Current, at: at}
		}
		if err != nil {
			r.failed = true
			m.Logger.Warn().Err(err).Int("leases", len(r.writes)).Msg("lease transaction failed")
		}
		if err != nil && !errors.Is(err, table.ErrUnavailable) {
			for _, l := range r.written {
				keys = append(keys, l.name.Key())
			}
		}
	}
	for _, l := range r.read {
		keys = append(keys, l.name.Key())
	}
	if len(keys) == 0 {
		return
	}
	records, err := m.read(ctx, keys)
	if err != nil {
		r.failed = true
		m.Logger.Warn().Err(err).Int("leases", len(keys)).Msg("lease records cannot be read")
		return
	}
	at := m.now()
	for _, record := range records {
		r.records[record.Key] = observation{record: record, at: at}
	}
}

func (m *Manager) commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error) {
	ctx, cancel := context.WithTimeout(ctx, m.TableTimeout)
	defer cancel()
	return m.Table.Commit(ctx, transaction)
}

// read reads records. It has half of the timeout of a write, because it can be
// repeated at once when the table was briefly unavailable.
func (m *Manager) read(ctx context.Context, keys []table.Key) ([]table.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, m.TableTimeout/2)
	defer cancel()
	return m.Table.Read(ctx, keys)
}

// handle applies the results of the round.
func (r *round) handle(_ context.Context, m *Manager) {
	now := m.now()
	m.roundPending = false
	if r.renewal {
		m.nextRenewal = now.Add(m.jitter(m.RenewalInterval))
	}
	failures := m.failedRounds
	m.failedRounds = 0
	if r.failed {
		m.failedRounds = failures + 1
		// A lease of 10 s with renewals every 3 s leaves room for two attempts; the
		// shorter pause after a failure makes it four.
		m.nextRenewal = now.Add(m.jitter(m.RenewalInterval / 2))
	}
	for _, l := range append(r.written, r.read...) {
		l.accessPending = false
		if o, ok := r.records[l.name.Key()]; ok {
			m.applyObservation(l, o.record, o.at, now)
		}
		l.nextAccess = m.nextAccessAfter(l, r.failed, now)
	}
}

// nextAccessAfter returns when a lease that is not held is read or written next.
func (m *Manager) nextAccessAfter(l *lease, failed bool, now time.Time) time.Time {
	rank := time.Duration(1 + l.rank)
	wait := m.jitter(m.RenewalInterval) * rank
	if failed {
		// The first failures may be those of a process that starts during an outage, so
		// the delay begins with an eighth of the renewal interval and doubles up to a
		// half. A candidate of higher rank, which would not take the lease first, calls
		// an unavailable table less often.
		return now.Add(m.jitter(min(m.RenewalInterval/8<<min(m.failedRounds-1, 2), m.RenewalInterval/2)) * rank)
	}
	if !l.malformed && m.isOwned(l) {
		// The record names this process but the lease is not held yet.
		return now
	}
	if !l.wanted || !l.recordKnown || l.malformed {
		return now.Add(wait)
	}
	if take := m.takeoverTime(l); take.Before(now.Add(wait)) {
		return take
	}
	return now.Add(wait)
}
