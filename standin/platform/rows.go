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
	// rowsPerResponse is the most rows of one answer.
	rowsPerResponse = 500
	// longestWait bounds the wait of one feed call.
	longestWait = 30 * time.Second
)

// A row is a row of a table in an answer or a transaction.
type row struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Ver       *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

// A rowsResponse is the answer to every call about rows.
type rowsResponse struct {
	Rows      []row  `json:"rows"`
	Truncated bool   `json:"truncated,omitempty"`
	Ver       uint64 `json:"ver"`
	NowMs     int64  `json:"nowMs"`
}

// A rowsTransaction is the body of a transaction.
type rowsTransaction struct {
	Expect  []row `json:"expect"`
	SetKeys []row `json:"setKeys"`
	Delete  []row `json:"delete"`
}

// started is the beginning of the steady clock of answers.
var started = time.Now()

func answerOf(version uint64, rows []row) rowsResponse {
	if rows == nil {
		rows = []row{}
	}
	return rowsResponse{Rows: rows, Ver: version, NowMs: time.Since(started).Milliseconds()}
}

// rowOf returns the row of a record, whose key begins with the table's name.
func rowOf(record table.Record) row {
	name, key, _ := strings.Cut(string(record.Key), "/")
	version := uint64(record.Version)
	return row{Table: name, Key: key, Value: record.Value, Ver: &version}
}

func (r *row) recordKey() table.Key {
	return table.Key(r.Table + "/" + r.Key)
}

// writes returns the transaction as the table carries it out.
func (t *rowsTransaction) writes() table.Transaction {
	expected := make(map[table.Key]table.Version, len(t.Expect))
	for _, e := range t.Expect {
		if e.Ver != nil {
			expected[e.recordKey()] = table.Version(*e.Ver)
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

// getRows answers the rows of a range of keys.
func (s *Server) getRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := rowsPerResponse
	if text := query.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			http.Error(w, "limit is not a positive number", http.StatusBadRequest)
			return
		}
		limit = min(n, rowsPerResponse)
	}
	if !throttle(w, r, s.Reads) {
		return
	}
	prefix := query.Get("table") + "/"
	records, version, err := s.Table.between(r.Context(), table.Key(prefix+query.Get("from")), upperBound(prefix, query.Get("to")))
	if err != nil {
		fail(w, err)
		return
	}
	truncated := len(records) > limit
	var rows []row
	for _, record := range records[:min(limit, len(records))] {
		rows = append(rows, rowOf(record))
	}
	answer := answerOf(version, rows)
	answer.Truncated = truncated
	reply(w, answer)
}

// upperBound returns the key before which a range of a table's rows ends.
func upperBound(prefix, to string) table.Key {
	if to == "" {
		return table.Key(strings.TrimSuffix(prefix, "/") + "0")
	}
	return table.Key(prefix + to)
}

// commitRows carries out a transaction.
func (s *Server) commitRows(w http.ResponseWriter, r *http.Request) {
	var body rowsTransaction
	if !decode(w, r, &body) || !throttle(w, r, s.Writes) {
		return
	}
	transaction := body.writes()
	results, err := s.Table.Commit(r.Context(), transaction)
	if err != nil {
		fail(w, err)
		return
	}
	applied := true
	rows := []row{}
	for i, result := range results {
		applied = applied && result.Applied
		if !transaction.Writes[i].Unconditional && result.Current.Version > 0 {
			rows = append(rows, rowOf(result.Current))
		}
	}
	version := s.Table.version()
	if !applied {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		encode(w, answerOf(version, rows))
		return
	}
	reply(w, answerOf(version, nil))
}

// feedRows answers the rows of a table that changed after a version, as soon as
// there is one.
func (s *Server) feedRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, failure := strconv.Atoi(query.Get("waitMs"))
	if err != nil || failure != nil {
		http.Error(w, "after or waitMs is not a number", http.StatusBadRequest)
		return
	}
	if !throttle(w, r, s.Reads) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, longestWait))
	defer cancel()
	changes, version, err := s.Table.changesAfter(ctx, query.Get("table"), after)
	switch {
	case errors.Is(err, errHistoryGone):
		http.Error(w, err.Error(), http.StatusGone)
	case err != nil:
		fail(w, err)
	default:
		reply(w, answerOf(version, changes))
	}
}

// A tableChange is one write in the history of a table.
type tableChange struct {
	version uint64
	key     table.Key
	deleted bool
}

// errHistoryGone means that changes after a version are no longer known.
var errHistoryGone = errors.New("the history was dropped")

// historyLimit is the number of changes that a table remembers.
const historyLimit = 10_000

// note adds a write to the history. The mutex is held.
func (t *Table) note(change tableChange) {
	t.history = append(t.history, change)
	if len(t.history) > historyLimit {
		t.forgotten = t.history[0].version
		t.history = t.history[1:]
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// dropHistory forgets all changes, so that readers have to read tables anew. The
// mutex is held.
func (t *Table) dropHistory() {
	t.forgotten = t.writes
	t.history = nil
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Table) version() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.writes
}

// between returns the records from a key up to and without another one.
func (t *Table) between(ctx context.Context, from, to table.Key) ([]table.Record, uint64, error) {
	if err := t.pause(ctx); err != nil {
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

// changesAfter waits for changes of a table after a version. When ctx ends it
// returns none.
func (t *Table) changesAfter(ctx context.Context, name string, after uint64) ([]row, uint64, error) {
	for {
		rows, version, changed, err := t.changesNow(name, after)
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

func (t *Table) changesNow(name string, after uint64) ([]row, uint64, <-chan struct{}, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.faults.Unavailable {
		return nil, 0, nil, table.ErrUnavailable
	}
	if after < t.forgotten {
		return nil, 0, nil, errHistoryGone
	}
	last := make(map[table.Key]uint64)
	for _, change := range t.history {
		last[change.key] = change.version
	}
	var rows []row
	for _, change := range t.history {
		if change.version <= after || last[change.key] != change.version || !strings.HasPrefix(string(change.key), name+"/") {
			continue
		}
		record := t.current(change.key)
		record.Version = table.Version(change.version)
		changed := rowOf(record)
		changed.Tombstone = change.deleted
		rows = append(rows, changed)
	}
	return rows, t.writes, t.changed, nil
}
