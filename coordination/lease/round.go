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
	// written and read are the leases of writes and of the keys to read.
	written, read []*lease
	// records holds what the table said, by key.
	records map[table.Key]observation
	failed  bool
	renewal bool
}

// An observation is a record and a time that is not before it was written.
type observation struct {
	record table.Record
	at     time.Time
}

// startRound collects all leases that are due and starts a worker for them.
func (k *Manager) startRound(ctx context.Context, now time.Time) {
	r := &round{records: make(map[table.Key]observation), renewal: !now.Before(k.renewAt)}
	number := k.writes + 1
	for name, l := range k.leases {
		if l.busy {
			continue
		}
		if k.forgettable(l, now) {
			delete(k.leases, name)
			continue
		}
		k.plan(r, l, number, now)
	}
	if len(r.writes) > 0 {
		k.writes = number
		k.sent[number] = now
	}
	if len(r.written)+len(r.read) == 0 {
		return
	}
	for _, l := range append(r.written[:len(r.written):len(r.written)], r.read...) {
		l.busy = true
	}
	k.inRound = true
	k.lifecycle.Go(func() {
		k.carry(ctx, r)
		k.results <- r
	})
}

// forgettable says whether the lease is neither wanted nor to be released.
func (k *Manager) forgettable(l *lease, now time.Time) bool {
	if l.releasing && !now.Before(l.releaseEnd) {
		// The lease has ended by itself.
		l.releasing = false
	}
	return !l.wanted && !l.releasing && l.barred == 0
}

// plan adds to the round what the lease needs now.
func (k *Manager) plan(r *round, l *lease, number uint64, now time.Time) {
	due := !now.Before(l.due)
	if l.held && !l.releasing {
		due = r.renewal
	}
	mine := l.known && k.mine(l.record)
	switch {
	case !due:
	case !l.known || l.malformed:
		r.read = append(r.read, l)
	case l.releasing && mine:
		r.write(l, l.record.released())
	case mine:
		renewed := l.record
		renewed.WriteNumber, renewed.DurationMilliseconds = number, k.Duration.Milliseconds()
		r.write(l, renewed)
	case l.wanted && !now.Before(k.takeAt(l)):
		r.write(l, l.record.next(k.Host, k.Start, k.Duration, number))
	default:
		r.read = append(r.read, l)
	}
}

func (r *round) write(l *lease, record Record) {
	r.written = append(r.written, l)
	r.writes = append(r.writes, table.Write{Key: l.name.Key(), Expected: l.version, Value: record.encode()})
}

// carry runs on a worker goroutine.
func (k *Manager) carry(ctx context.Context, r *round) {
	var keys []table.Key
	if len(r.writes) > 0 {
		results, err := k.commit(ctx, table.Transaction{Writes: r.writes, Independent: true})
		at := k.now()
		for _, result := range results {
			r.records[result.Current.Key] = observation{record: result.Current, at: at}
		}
		if err != nil {
			r.failed = true
			k.Logger.Warn().Err(err).Int("leases", len(r.writes)).Msg("lease transaction failed")
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
	records, err := k.read(ctx, keys)
	if err != nil {
		r.failed = true
		k.Logger.Warn().Err(err).Int("leases", len(keys)).Msg("lease records cannot be read")
		return
	}
	at := k.now()
	for _, record := range records {
		r.records[record.Key] = observation{record: record, at: at}
	}
}

func (k *Manager) commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error) {
	ctx, cancel := context.WithTimeout(ctx, k.TableTimeout)
	defer cancel()
	return k.Table.Commit(ctx, transaction)
}

// read reads records. It has half of the time of a write, because it can be
// repeated at once when the table was away for a moment.
func (k *Manager) read(ctx context.Context, keys []table.Key) ([]table.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, k.TableTimeout/2)
	defer cancel()
	return k.Table.Read(ctx, keys)
}

// handle takes over the results of the round.
func (r *round) handle(_ context.Context, k *Manager) {
	now := k.now()
	k.inRound = false
	if r.renewal {
		k.renewAt = now.Add(k.jitter(k.RenewalInterval))
	}
	failures := k.failures
	k.failures = 0
	if r.failed {
		k.failures = failures + 1
		// A lease of 10 s with renewals every 3 s leaves room for two tries; the
		// shorter pause after a failure makes it four.
		k.renewAt = now.Add(k.jitter(k.RenewalInterval / 2))
	}
	for _, l := range append(r.written, r.read...) {
		l.busy = false
		if o, ok := r.records[l.name.Key()]; ok {
			k.observe(l, o.record, o.at, now)
		}
		l.due = k.dueAfter(l, r.failed, now)
	}
}

// dueAfter returns when a lease that is not held is read or written next.
func (k *Manager) dueAfter(l *lease, failed bool, now time.Time) time.Time {
	rank := time.Duration(1 + l.rank)
	wait := k.jitter(k.RenewalInterval) * rank
	if failed {
		// The first failures may be those of a start beside an outage. Of the
		// candidates of one lease, those that would not take it first also ask a
		// table that is away less often.
		return now.Add(k.jitter(min(k.RenewalInterval/8<<min(k.failures-1, 2), k.RenewalInterval/2)) * rank)
	}
	if l.known && !l.malformed && k.mine(l.record) {
		// The record names this process but the lease is not held yet.
		return now
	}
	if !l.wanted || !l.known || l.malformed {
		return now.Add(wait)
	}
	if take := k.takeAt(l); take.Before(now.Add(wait)) {
		return take
	}
	return now.Add(wait)
}
