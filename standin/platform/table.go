// Package platform is a stand-in for the users' platform: a transactional table, an object
// store, a host list and a weight store. It injects faults, which are drawn at random from
// a seed.
package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/state/table"
)

// TableFaults are the faults that a Table injects. Probabilities are from 0 to 1. A
// transaction meets at most one of LostRequest, LateWrite and LostReply. The zero value
// injects none.
type TableFaults struct {
	// Unavailable makes every operation fail without effect.
	Unavailable bool `long:"unavailable" json:"unavailable"`
	// LostReply is the probability that a transaction takes effect but its
	// reply is lost.
	LostReply float64 `long:"lost-reply" json:"lost-reply"`
	// LostRequest is the probability that a transaction has no effect and reports an
	// unknown outcome.
	LostRequest float64 `long:"lost-request" json:"lost-request"`
	// LateWrite is the probability that a transaction reports an unknown
	// outcome and takes effect LateDelay afterwards.
	LateWrite float64       `long:"late-write" json:"late-write"`
	LateDelay time.Duration `long:"late-delay" json:"late-delay"`
	// Delay is the duration of each operation.
	Delay time.Duration `long:"delay" json:"delay"`
	// RestoreAge, if it is more than 0, makes the table come back from a copy of that age once,
	// when the faults are set. See Restore.
	RestoreAge time.Duration `long:"restore-age" json:"restore-age"`
	// ForgetHistory drops the history once, when the faults are set, so that readers
	// of changes have to read the whole tables again.
	ForgetHistory bool `long:"forget-history" json:"forget-history"`
}

// A Table is an in-memory transactional table. It is safe for concurrent use.
// NewTable creates it; the zero value cannot be used.
type Table struct {
	mutex   sync.Mutex
	records map[table.Key]table.Record
	random  *rand.Rand
	faults  TableFaults
	// writes is the number of transactions so far. It is the version of the table.
	writes uint64
	// reads is the number of records read so far.
	reads uint64
	// history holds the newest writes, oldest first. Writes up to the version
	// droppedThrough are no longer in it.
	history        []tableChange
	droppedThrough uint64
	// changed is closed and replaced when history changes.
	changed chan struct{}
	// era is that of the present history. It rises with each Restore.
	era table.Era
	// copies are the older states that Restore may come back with, oldest first.
	copies []tableCopy
}

// NewTable returns an empty table. Faults that are set later are drawn at random from
// seed.
func NewTable(seed uint64) *Table {
	return &Table{
		records: make(map[table.Key]table.Record),
		random:  rand.New(rand.NewPCG(seed, 1)),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults. Late writes that are already scheduled still take effect.
func (t *Table) SetFaults(faults TableFaults) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = faults
	if faults.RestoreAge > 0 {
		t.restoreLocked(faults.RestoreAge)
	}
	if faults.ForgetHistory {
		t.dropHistory()
	}
}

// OperationCounts returns the number of transactions that were carried out, whether their
// conditions held or not, and the number of records read.
func (t *Table) OperationCounts() (writes, reads uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.writes, t.reads
}

// Read returns the records of keys, in the order of keys. A record that does not exist has
// version 0.
func (t *Table) Read(ctx context.Context, keys []table.Key) ([]table.Record, error) {
	if err := t.waitDelay(ctx); err != nil {
		return nil, fmt.Errorf("read %d keys: %w: %w", len(keys), table.ErrUnavailable, err)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.faults.Unavailable {
		return nil, fmt.Errorf("read %d keys: %w", len(keys), table.ErrUnavailable)
	}
	records := make([]table.Record, len(keys))
	for i, key := range keys {
		records[i] = t.current(key)
	}
	t.reads += uint64(len(keys))
	return records, nil
}

// Scan returns up to limit records whose keys have the prefix and sort after the given key,
// in ascending order of keys.
func (t *Table) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Record, error) {
	if err := t.waitDelay(ctx); err != nil {
		return nil, fmt.Errorf("scan %s: %w: %w", prefix, table.ErrUnavailable, err)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.faults.Unavailable {
		return nil, fmt.Errorf("scan %s: %w", prefix, table.ErrUnavailable)
	}
	var found []table.Record
	for key, record := range t.records {
		if strings.HasPrefix(string(key), string(prefix)) && key > after {
			found = append(found, record)
		}
	}
	slices.SortFunc(found, func(a, b table.Record) int { return strings.Compare(string(a.Key), string(b.Key)) })
	found = found[:min(limit, len(found))]
	t.reads += uint64(len(found))
	return found, nil
}

// Commit carries out a transaction. After table.ErrUnavailable it had no effect; after
// table.ErrOutcomeUnknown it may have had one or may still get one.
func (t *Table) Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error) {
	results, _, err := t.commit(ctx, transaction, versionHolds)
	return results, err
}

// A condition reports whether the version of a record is the one that a write depends on.
type condition func(current, expected table.Version) bool

// versionHolds compares whole versions.
func versionHolds(current, expected table.Version) bool { return current == expected }

// numberHolds compares the numbers of versions. The store does not know from which history the
// sender of a condition has its number.
func numberHolds(current, expected table.Version) bool {
	return current.Transaction() == expected.Transaction()
}

// commit carries out a transaction as Commit does. It returns the era of the history in which
// that happened too.
func (t *Table) commit(ctx context.Context, transaction table.Transaction, holds condition) ([]table.WriteResult, table.Era, error) {
	if err := t.waitDelay(ctx); err != nil {
		return nil, 0, fmt.Errorf("commit: %w: %w", table.ErrOutcomeUnknown, err)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.faults.Unavailable {
		return nil, 0, fmt.Errorf("commit: %w", table.ErrUnavailable)
	}
	draw := t.random.Float64()
	if draw < t.faults.LostRequest {
		return nil, 0, fmt.Errorf("commit: %w", table.ErrOutcomeUnknown)
	}
	draw -= t.faults.LostRequest
	if draw < t.faults.LateWrite {
		time.AfterFunc(t.faults.LateDelay, func() { t.apply(transaction, holds) })
		return nil, 0, fmt.Errorf("commit: %w", table.ErrOutcomeUnknown)
	}
	draw -= t.faults.LateWrite
	results := t.applyLocked(transaction, holds)
	if draw < t.faults.LostReply {
		return nil, 0, fmt.Errorf("commit: %w", table.ErrOutcomeUnknown)
	}
	return results, t.era, nil
}

// waitDelay waits for the delay of an operation, or returns the error of ctx.
func (t *Table) waitDelay(ctx context.Context) error {
	t.mutex.Lock()
	delay := t.faults.Delay
	t.mutex.Unlock()
	return sleep(ctx, delay)
}

// apply carries out a transaction without faults.
func (t *Table) apply(transaction table.Transaction, holds condition) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.applyLocked(transaction, holds)
}

// applyLocked carries out a transaction. Unless its writes are independent, none is applied
// if the condition of one fails. The mutex is held.
func (t *Table) applyLocked(transaction table.Transaction, holds condition) []table.WriteResult {
	results := make([]table.WriteResult, len(transaction.Writes))
	all := true
	for i, write := range transaction.Writes {
		results[i].Applied = write.Unconditional || holds(t.records[write.Key].Version, write.Expected)
		all = all && results[i].Applied
	}
	t.keepCopy()
	t.writes++
	for i, write := range transaction.Writes {
		if !all && !transaction.Independent {
			results[i].Applied = false
		}
		if results[i].Applied {
			t.applyWrite(write)
		}
		results[i].Current = t.current(write.Key)
	}
	return results
}

// applyWrite carries out one write and adds it to the history. The mutex is held.
func (t *Table) applyWrite(write table.Write) {
	t.recordChange(tableChange{version: t.writes, key: write.Key, deleted: write.Delete})
	if write.Delete {
		delete(t.records, write.Key)
		return
	}
	t.records[write.Key] = table.Record{
		Key:     write.Key,
		Version: t.versionLocked(),
		Value:   slices.Clone(write.Value),
	}
}

// current returns a copy of the record of a key. The mutex is held.
func (t *Table) current(key table.Key) table.Record {
	record, ok := t.records[key]
	if !ok {
		return table.Record{Key: key}
	}
	record.Value = slices.Clone(record.Value)
	return record
}
