package platform

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/persimmonmux/persimmonmux/state/table"
)

// copyInterval is the least time between two copies of a table, and maxCopies the number that
// are kept.
const (
	copyInterval = 100 * time.Millisecond
	maxCopies    = 200
)

// A tableCopy is the state of a table at one time.
type tableCopy struct {
	at      time.Time
	records map[table.Key]table.Record
	writes  uint64
}

// Era returns the era of the present history.
func (t *Table) Era() table.Era {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.era
}

// versionLocked returns the version of the last transaction. The mutex is held.
func (t *Table) versionLocked() table.Version {
	return table.NewVersion(t.era, t.writes)
}

// keepCopy keeps a copy of the state before a change, unless a recent one is kept. The mutex
// is held.
func (t *Table) keepCopy() {
	now := time.Now()
	if len(t.copies) > 0 && now.Sub(t.copies[len(t.copies)-1].at) < copyInterval {
		return
	}
	t.copies = append(t.copies, tableCopy{at: now, records: maps.Clone(t.records), writes: t.writes})
	if len(t.copies) > maxCopies {
		t.copies = t.copies[1:]
	}
}

// Restore replaces the state by the newest copy that is at least as old as age, or by the
// oldest one, and begins a new history. The transactions since then are lost, and their numbers
// are given out again.
func (t *Table) Restore(age time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.restoreLocked(age)
}

// RestoreRecords replaces the state by the records and begins a new history after the given
// number of transactions. Records with version 0 are left out.
func (t *Table) RestoreRecords(writes uint64, records ...table.Record) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	restored := tableCopy{records: make(map[table.Key]table.Record), writes: writes}
	for _, record := range records {
		if record.Version > 0 {
			restored.records[record.Key] = record
		}
	}
	t.restoreCopy(restored)
}

// restoreLocked is Restore while the mutex is held.
func (t *Table) restoreLocked(age time.Duration) {
	restored := tableCopy{records: make(map[table.Key]table.Record)}
	for i, c := range t.copies {
		if i == 0 || time.Since(c.at) >= age {
			restored = c
		}
	}
	t.restoreCopy(restored)
}

// restoreCopy replaces the state by a copy and begins a new history. The mutex is held.
func (t *Table) restoreCopy(restored tableCopy) {
	t.era++
	t.records = maps.Clone(restored.records)
	for key, record := range t.records {
		record.Version = table.NewVersion(t.era, record.Version.Transaction())
		t.records[key] = record
	}
	t.writes = restored.writes
	t.copies = nil
	t.dropHistory()
}

// An eraWriter labels a response with the era of the history that it is from. It breaks the
// connection off if the table was restored meanwhile, as the platform does.
type eraWriter struct {
	http.ResponseWriter
	table *Table
	era   table.Era
}

func newEraWriter(w http.ResponseWriter, t *Table) eraWriter {
	era := t.Era()
	w.Header().Set(headerStoreEra, strconv.FormatUint(uint64(era)+1, 10))
	return eraWriter{ResponseWriter: w, table: t, era: era}
}

// WriteHeader writes the status.
func (w eraWriter) WriteHeader(status int) {
	if w.table.Era() != w.era {
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w eraWriter) Write(content []byte) (int, error) {
	if w.table.Era() != w.era {
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(content)
}

// headerStoreEra has the number of the history that a response is from, from 1.
const headerStoreEra = "Store-Era"
