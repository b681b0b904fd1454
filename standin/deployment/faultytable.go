package deployment

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// A FaultyTable is the way of one host to the table. It can be cut, and its
// reads can lag.
type FaultyTable struct {
	Inner *platform.Table

	mutex  sync.Mutex
	cut    bool
	frozen map[table.Key]table.Record
	prefix table.Key
}

// SetUnavailable sets whether the table is unreachable.
func (l *FaultyTable) SetUnavailable(cut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = cut
}

// StartStaleReads makes reads of keys with a prefix show the present state until StopStaleReads.
func (l *FaultyTable) StartStaleReads(prefix table.Key) {
	records, err := l.Inner.Scan(context.Background(), prefix, "", 1<<30)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		return
	}
	l.prefix = prefix
	l.frozen = make(map[table.Key]table.Record)
	for _, record := range records {
		l.frozen[record.Key] = record
	}
}

// StopStaleReads ends StartStaleReads.
func (l *FaultyTable) StopStaleReads() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.frozen = nil
}

// Read returns records, which lag after StartStaleReads.
func (l *FaultyTable) Read(ctx context.Context, keys []table.Key) ([]table.Record, error) {
	l.mutex.Lock()
	cut, frozen, prefix := l.cut, l.frozen, string(l.prefix)
	l.mutex.Unlock()
	if cut {
		return nil, fmt.Errorf("read: %w", table.ErrUnavailable)
	}
	records, err := l.Inner.Read(ctx, keys)
	if err != nil || frozen == nil {
		return records, err
	}
	for i, key := range keys {
		if strings.HasPrefix(string(key), prefix) {
			records[i] = frozen[key]
			records[i].Key = key
		}
	}
	return records, nil
}

// Commit carries out a transaction.
func (l *FaultyTable) Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error) {
	l.mutex.Lock()
	cut := l.cut
	l.mutex.Unlock()
	if cut {
		return nil, fmt.Errorf("commit: %w", table.ErrUnavailable)
	}
	return l.Inner.Commit(ctx, transaction)
}
