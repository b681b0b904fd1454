package deployment

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// A FaultyTable is one host's access to the table that all hosts share. A test can make
// it unavailable or its reads stale. It is safe for concurrent use.
type FaultyTable struct {
	// Inner is the shared table. It is set before use.
	Inner *platform.Table

	mutex       sync.Mutex
	unavailable bool
	// staleRecords are what reads of keys with stalePrefix return; nil means that no
	// reads are stale.
	staleRecords map[table.Key]table.Record
	stalePrefix  table.Key
}

// SetUnavailable sets whether this host's reads and transactions fail without effect.
func (l *FaultyTable) SetUnavailable(unavailable bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unavailable = unavailable
}

// noScanLimit is a limit that no scan of a test's table reaches.
const noScanLimit = 1 << 30

// StartStaleReads makes reads of keys with a prefix return the present records, whatever
// is written later, until StopStaleReads. It has no effect if the table cannot be read.
func (l *FaultyTable) StartStaleReads(prefix table.Key) {
	records, err := l.Inner.Scan(context.Background(), prefix, "", noScanLimit)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		return
	}
	l.stalePrefix = prefix
	l.staleRecords = make(map[table.Key]table.Record)
	for _, record := range records {
		l.staleRecords[record.Key] = record
	}
}

// StopStaleReads makes reads return the current records again.
func (l *FaultyTable) StopStaleReads() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.staleRecords = nil
}

// Read returns the records of keys in their order. After StartStaleReads, those whose
// keys have its prefix are the records of that time.
func (l *FaultyTable) Read(ctx context.Context, keys []table.Key) ([]table.Record, error) {
	l.mutex.Lock()
	unavailable, stale, prefix := l.unavailable, l.staleRecords, string(l.stalePrefix)
	l.mutex.Unlock()
	if unavailable {
		return nil, fmt.Errorf("read: %w", table.ErrUnavailable)
	}
	records, err := l.Inner.Read(ctx, keys)
	if err != nil || stale == nil {
		return records, err
	}
	for i, key := range keys {
		if strings.HasPrefix(string(key), prefix) {
			records[i] = stale[key]
			records[i].Key = key
		}
	}
	return records, nil
}

// Commit carries out a transaction on the shared table.
func (l *FaultyTable) Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error) {
	l.mutex.Lock()
	unavailable := l.unavailable
	l.mutex.Unlock()
	if unavailable {
		return nil, fmt.Errorf("commit: %w", table.ErrUnavailable)
	}
	return l.Inner.Commit(ctx, transaction)
}
