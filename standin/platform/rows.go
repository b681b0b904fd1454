package platform

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/persimmonmux/persimmonmux/state/table"
)

const (
	// maxRowsPerResponse is the highest number of rows in one answer to rows-get.
	maxRowsPerResponse = 500
	// maxFeedWaitDuration bounds the time that one rows-feed call waits for changes.
	maxFeedWaitDuration = 30 * time.Second
)

// A row is a row of a table in the JSON of an answer or a transaction. Ver is nil if a
// transaction states no condition on the row, and Tombstone is set for a deleted row.
type row struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Ver       *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

// A rowsResponse is the JSON answer to every call for rows. Ver is the version of the
// table, and NowMs the platform's monotonic clock in milliseconds.
type rowsResponse struct {
	Rows      []row  `json:"rows"`
	Truncated bool   `json:"truncated,omitempty"`
	Ver       uint64 `json:"ver"`
	NowMs     int64  `json:"nowMs"`
}

// A rowsTransaction is the JSON body of a transaction. Expect holds the versions on which
// the writes of the same rows in SetKeys and Delete depend.
type rowsTransaction struct {
	Expect  []row `json:"expect"`
	SetKeys []row `json:"setKeys"`
	Delete  []row `json:"delete"`
}

// clockStart is the zero of the monotonic clock in answers.
var clockStart = time.Now()

// newRowsResponse returns an answer at the current time of the clock.
func newRowsResponse(version uint64, rows []row) rowsResponse {
	if rows == nil {
		rows = []row{}
	}
	return rowsResponse{Rows: rows, Ver: version, NowMs: time.Since(clockStart).Milliseconds()}
}

// rowFromRecord returns the row of a record, whose key consists of the table's name, a
// slash and the row's key.
func rowFromRecord(record table.Record) row {
	name, key, _ := strings.Cut(string(record.Key), "/")
	version := record.Version.Transaction()
	return row{Table: name, Key: key, Value: record.Value, Ver: &version}
}

// recordKey returns the key of the row's record, the reverse of rowFromRecord.
func (r *row) recordKey() table.Key {
	return table.Key(r.Table + "/" + r.Key)
}

// tableTransaction returns the transaction in the form that Table.Commit takes. Its conditions are
// numbers, of whatever history.
func (t *rowsTransaction) tableTransaction() table.Transaction {
	expected := make(map[table.Key]table.Version, len(t.Expect))
	for _, e := range t.Expect {
		if e.Ver != nil {
			expected[e.recordKey()] = table.NewVersion(0, min(*e.Ver, table.MaxTransaction))
		}
	}
	var transaction table.Transaction
	add := func(list []row, remove bool) {
		for _, r := range list {
			version, conditional := expected[r.recordKey()]
			transaction.Writes = append(transaction.Writes, table.Write{
				Key:           r.recordKey(),
				Expected:      version,
				Unconditional: !conditional,
				Delete:        remove,
				Value:         r.Value,
			})
		}
	}
	add(t.SetKeys, false)
	add(t.Delete, true)
	return transaction
}

// getRows answers with the rows of a range of keys in one table.
func (s *Server) getRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := maxRowsPerResponse
	if text := query.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			http.Error(w, "limit: expected a positive number", http.StatusBadRequest)
			return
		}
		limit = min(n, maxRowsPerResponse)
	}
	if !throttle(w, r, s.Reads) {
		return
	}
	prefix := query.Get("table") + "/"
	records, version, err := s.Table.scanRange(r.Context(), table.Key(prefix+query.Get("from")), upperBound(prefix, query.Get("to")))
	if err != nil {
		replyError(w, err)
		return
	}
	truncated := len(records) > limit
	var rows []row
	for _, record := range records[:min(limit, len(records))] {
		rows = append(rows, rowFromRecord(record))
	}
	answer := newRowsResponse(version, rows)
	answer.Truncated = truncated
	reply(w, answer)
}

// upperBound returns the record key before which a range of a table's rows ends. Without an
// end the range goes up to the last key of the table: "0" is the character after "/".
func upperBound(prefix, to string) table.Key {
	if to == "" {
		return table.Key(strings.TrimSuffix(prefix, "/") + "0")
	}
	return table.Key(prefix + to)
}

// commitRows carries out a transaction. If a condition does not hold, it answers with
// status 412 and the current rows of the conditional writes.
func (s *Server) commitRows(w http.ResponseWriter, r *http.Request) {
	var body rowsTransaction
	if !decode(w, r, &body) || !throttle(w, r, s.Writes) {
		return
	}
	transaction := body.tableTransaction()
	results, _, err := s.Table.commit(r.Context(), transaction, numberHolds)
	if err != nil {
		replyError(w, err)
		return
	}
	applied := true
	rows := []row{}
	for i, result := range results {
		applied = applied && result.Applied
		if !transaction.Writes[i].Unconditional && result.Current.Version > 0 {
			rows = append(rows, rowFromRecord(result.Current))
		}
	}
	version := s.Table.version()
	if !applied {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		encode(w, newRowsResponse(version, rows))
		return
	}
	reply(w, newRowsResponse(version, nil))
}

// feedRows answers with the rows of a table that changed after a version. It waits until
// there is one, or until the waitMs of the call have passed. It answers with status 410 if the
// changes after the version are no longer in the history.
func (s *Server) feedRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, failure := strconv.Atoi(query.Get("waitMs"))
	if err != nil || failure != nil {
		http.Error(w, "after and waitMs: expected numbers", http.StatusBadRequest)
		return
	}
	if !throttle(w, r, s.Reads) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, maxFeedWaitDuration))
	defer cancel()
	changes, version, err := s.Table.changesAfter(ctx, query.Get("table"), after)
	switch {
	case errors.Is(err, errHistoryGone):
		http.Error(w, err.Error(), http.StatusGone)
	case err != nil:
		replyError(w, err)
	default:
		reply(w, newRowsResponse(version, changes))
	}
}

// A tableChange is one write in the history of a table.
type tableChange struct {
	version uint64
	key     table.Key
	deleted bool
}

// errHistoryGone means that the history does not go back to the version of a call.
var errHistoryGone = errors.New("history does not go back to the requested version")

// maxHistoryChanges is the number of changes in the history of a table.
const maxHistoryChanges = 10_000

// recordChange adds a write to the history. The mutex is held.
func (t *Table) recordChange(change tableChange) {
	t.history = append(t.history, change)
	if len(t.history) > maxHistoryChanges {
		t.droppedThrough = t.history[0].version
		t.history = t.history[1:]
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// dropHistory removes all changes from the history, so that readers of changes have to
// read the whole tables again. The mutex is held.
func (t *Table) dropHistory() {
	t.droppedThrough = t.writes
	t.history = nil
	close(t.changed)
	t.changed = make(chan struct{})
}

// version returns the version of the table, which each transaction raises.
func (t *Table) version() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.writes
}

// scanRange returns the records whose keys are at least from and below to, in ascending
// order, and the version of the table.
func (t *Table) scanRange(ctx context.Context, from, to table.Key) ([]table.Record, uint64, error) {
	if err := t.waitDelay(ctx); err != nil {
		return nil, 0, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.faults.Unavailable {
		return nil, 0, table.ErrUnavailable
	}
	var found []table.Record
	for key := range t.records {
		if key >= from && key < to {
			found = append(found, t.current(key))
		}
	}
	slices.SortFunc(found, func(a, b table.Record) int { return strings.Compare(string(a.Key), string(b.Key)) })
	t.reads += uint64(len(found))
	return found, t.writes, nil
}

// changesAfter waits for changes of the table with a name after a version. It returns the
// changed rows and the version of the table, or no rows when ctx ends.
func (t *Table) changesAfter(ctx context.Context, name string, after uint64) ([]row, uint64, error) {
	for {
		rows, version, changed, err := t.currentChanges(name, after)
		if err != nil || len(rows) > 0 {
			return rows, version, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, version, nil
		}
	}
}

// currentChanges returns the rows of the table with a name that changed after a version,
// each with its newest change only, the version of the table, and a channel that is closed
// at the next change.
func (t *Table) currentChanges(name string, after uint64) ([]row, uint64, <-chan struct{}, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.faults.Unavailable {
		return nil, 0, nil, table.ErrUnavailable
	}
	if after < t.droppedThrough || after > t.writes {
		return nil, 0, nil, errHistoryGone
	}
	newest := make(map[table.Key]uint64)
	for _, change := range t.history {
		newest[change.key] = change.version
	}
	var rows []row
	for _, change := range t.history {
		if change.version <= after || newest[change.key] != change.version || !strings.HasPrefix(string(change.key), name+"/") {
			continue
		}
		record := t.current(change.key)
		record.Version = table.NewVersion(t.era, change.version)
		changed := rowFromRecord(record)
		changed.Tombstone = change.deleted
		rows = append(rows, changed)
	}
	return rows, t.writes, t.changed, nil
}
