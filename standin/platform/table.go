// Package platform is a small stand-in for the platform: a transactional table,
// an object store, a host list and a weight store, with faults set by a seed.
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

// TableFaults are the faults of a Table. All probabilities are from 0 to 1.
type TableFaults struct {
	// Unavailable makes every operation fail without effect.
	Unavailable bool `long:"unavailable" json:"unavailable"`
	// LostReply is the probability that a transaction takes effect but its
	// reply is lost.
	LostReply float64 `long:"lost-reply" json:"lost-reply"`
	// LostRequest is the probability that a transaction has no effect and its
	// caller cannot know.
	LostRequest float64 `long:"lost-request" json:"lost-request"`
	// LateWrite is the probability that a transaction reports an unknown
	// outcome and takes effect LateDelay afterwards.
	LateWrite float64       `long:"late-write" json:"late-write"`
	LateDelay time.Duration `long:"late-delay" json:"late-delay"`
	// Delay is the time of each operation.
	Delay time.Duration `long:"delay" json:"delay"`
	// ForgetHistory drops the history when the faults are set.
	ForgetHistory bool `long:"forget-history" json:"forget-history"`
}

// A Table is an in-memory transactional table. It is safe for concurrent use.
// The zero value is not ready; use NewTable.
type Table struct {
	mutex   sync.Mutex
	records map[table.Key]table.Record
	random  *rand.Rand
	faults  TableFaults
	writes  uint64
	reads   uint64
	// history has the newest writes, and forgotten is the version up to which
	// older ones are no longer known.
	history   []tableChange
	forgotten uint64
	// changed is closed and replaced with each write.
	changed chan struct{}
}

// NewTable returns an empty table whose faults follow seed.
func NewTable(seed uint64) *Table {
	return &Table{
		records: make(map[table.Key]table.Record),
		random:  rand.New(rand.NewPCG(seed, 1)),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults from now on.
func (t *Table) SetFaults(faults TableFaults) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = faults
	if faults.ForgetHistory {
		t.dropHistory()
	}
}

// OperationCounts returns the number of transactions that took effect and of records read.
func (t *Table) OperationCounts() (writes, reads uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.writes, t.reads
}

// Read returns the records of keys in their order. Absent records have version 0.
func (t *Table) Read(ctx context.Context, keys []table.Key) ([]table.Record, error) {
	if err := t.pause(ctx); err != nil {
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

// Scan returns up to limit records whose keys have the prefix and sort after
// the given key, in rising order.
func (t *Table) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Record, error) {
	if err := t.pause(ctx); err != nil {
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

// Commit carries out a transaction.
func (t *Table) Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error) {
	if err := t.pause(ctx); err != nil {
		return nil, fmt.Errorf("commit: %w: %w", table.ErrOutcomeUnknown, err)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.faults.Unavailable {
		return nil, fmt.Errorf("commit: %w", table.ErrUnavailable)
	}
	chance := t.random.Float64()
	if chance < t.faults.LostRequest {
		return nil, fmt.Errorf("commit: %w", table.ErrOutcomeUnknown)
	}
	chance -= t.faults.LostRequest
	if chance < t.faults.LateWrite {
		time.AfterFunc(t.faults.LateDelay, func() { t.apply(transaction) })
		return nil, fmt.Errorf("commit: %w", table.ErrOutcomeUnknown)
	}
	chance -= t.faults.LateWrite
	results := t.applyLocked(transaction)
	if chance < t.faults.LostReply {
		return nil, fmt.Errorf("commit: %w", table.ErrOutcomeUnknown)
	}
	return results, nil
}

func (t *Table) pause(ctx context.Context) error {
	t.mutex.Lock()
	delay := t.faults.Delay
	t.mutex.Unlock()
	return sleep(ctx, delay)
}

func (t *Table) apply(transaction table.Transaction) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.applyLocked(transaction)
}

func (t *Table) applyLocked(transaction table.Transaction) []table.WriteResult {
	results := make([]table.WriteResult, len(transaction.Writes))
	all := true
	for i, write := range transaction.Writes {
		results[i].Applied = write.Unconditional || t.records[write.Key].Version == write.Expected
		all = all && results[i].Applied
	}
	t.writes++
	for i, write := range transaction.Writes {
		if !all && !transaction.Independent {
			results[i].Applied = false
		}
		if results[i].Applied {
			t.write(write)
		}
		results[i].Current = t.current(write.Key)
	}
	return results
}

func (t *Table) write(write table.Write) {
	t.note(tableChange{version: t.writes, key: write.Key, deleted: write.Delete})
	if write.Delete {
		delete(t.records, write.Key)
		return
	}
	t.records[write.Key] = table.Record{
		Key:     write.Key,
		Version: table.Version(t.writes),
		Value:   slices.Clone(write.Value),
	}
}

func (t *Table) current(key table.Key) table.Record {
	record, ok := t.records[key]
	if !ok {
		return table.Record{Key: key}
	}
	record.Value = slices.Clone(record.Value)
	return record
}
