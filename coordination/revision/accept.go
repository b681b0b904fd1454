package revision

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	// acceptTimeout bounds one acceptance, also when the caller set no limit.
	acceptTimeout = 10 * time.Second
	// staleRetry is the pause before a lagging head is read again.
	staleRetry = 50 * time.Millisecond
	// maximumChangeBytes bounds a change in the table.
	maximumChangeBytes = 1 << 20
)

// The positions of the writes of an acceptance.
const (
	writeHead = iota
	writeOperation
	writeChange
)

// never is a version that no record has. A transaction with this condition
// writes nothing and returns the records without lag.
const never = table.Version(math.MaxUint64)

// Accept makes a change to the expected revision and returns the revision that
// it led to. The operation of the change must be set; a repeated call with the
// same operation and change returns the same revision and changes nothing more.
//
// The error is a *verdict.Error. Its code is conflict, with a *ConflictError as its
// cause, when the head is another revision; malformed, with a
// *configuration.FieldError, when the change is wrong; table-unavailable
// otherwise. With verdict MayHaveRun, only a repeated call tells whether the
// change was accepted.
func (d *Distributor) Accept(ctx context.Context, expected configuration.Revision, change configuration.Change) (configuration.Revision, error) {
	d.prepare()
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	change.Revision = expected + 1
	a := &acceptance{distributor: d, expected: expected, change: change}
	if change.Operation == "" {
		return 0, malformed(&configuration.FieldError{Path: "operation", Problem: "is missing"})
	}
	if err := a.encode(); err != nil {
		return 0, err
	}
	revision, err := a.run(ctx)
	if err != nil {
		return 0, err
	}
	if a.accepted {
		d.feed(ctx, message{origin: originAccepted, changes: []configuration.Change{change}})
	}
	return revision, nil
}

func malformed(cause error) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeMalformed, Message: "change is not valid", Cause: cause}
}

// An acceptance is one call of Accept.
type acceptance struct {
	distributor *Distributor
	expected    configuration.Revision
	change      configuration.Change
	encoded     []byte
	digest      string
	// accepted is set when this call wrote the change.
	accepted bool
}

func (a *acceptance) encode() error {
	var err error
	if a.digest, err = digest(a.change); err != nil {
		return malformed(err)
	}
	if a.encoded, err = json.Marshal(&a.change); err != nil {
		return malformed(err)
	}
	if len(a.encoded) > maximumChangeBytes {
		return malformed(&configuration.FieldError{Path: "change", Problem: fmt.Sprintf("has more than %d bytes", maximumChangeBytes)})
	}
	return nil
}

func (a *acceptance) run(ctx context.Context) (configuration.Revision, error) {
	head, revision, err := a.read(ctx)
	if err != nil || revision != 0 {
		return revision, err
	}
	if err := a.catchUp(ctx); err != nil {
		return 0, err
	}
	base := a.distributor.holding()
	if base.revision() != a.expected {
		return a.conflict(ctx)
	}
	if err := base.configuration.Validate(&a.change); err != nil {
		return 0, malformed(err)
	}
	return a.commit(ctx, head)
}

// read returns the version of the head at the expected revision, or the
// revision that the operation led to earlier.
func (a *acceptance) read(ctx context.Context) (table.Version, configuration.Revision, error) {
	d := a.distributor
	for {
		records, err := d.Table.Read(ctx, []table.Key{headKey, operationKey(a.change.Operation)})
		if err != nil {
			return 0, 0, unavailable(err)
		}
		if records[1].Version != 0 {
			revision, err := a.repeated(records[1])
			return 0, revision, err
		}
		var head headRecord
		if err := decode(records[0], &head); err != nil {
			return 0, 0, unavailable(err)
		}
		switch {
		case head.Revision == a.expected:
			return records[0].Version, 0, nil
		case head.Revision < a.expected && d.Revision() >= a.expected:
			// The read lags: a revision in force was the head once.
			if !duty.Sleep(ctx, staleRetry) {
				return 0, 0, unavailable(ctx.Err())
			}
		default:
			revision, err := a.conflict(ctx)
			return 0, revision, err
		}
	}
}

// conflict finds out without lag whether the operation was accepted earlier or
// the head is another revision.
func (a *acceptance) conflict(ctx context.Context) (configuration.Revision, error) {
	writes := a.writes(never)
	results, err := a.distributor.Table.Commit(ctx, table.Transaction{Writes: writes})
	if err != nil {
		return 0, unavailable(err)
	}
	return a.settled(results)
}

// settled returns what the records after a transaction say that did not apply.
func (a *acceptance) settled(results []table.WriteResult) (configuration.Revision, error) {
	if operation := results[writeOperation].Current; operation.Version != 0 {
		return a.repeated(operation)
	}
	var head headRecord
	if err := decode(results[writeHead].Current, &head); err != nil {
		return 0, unavailable(err)
	}
	return 0, conflict(a.expected, head.Revision)
}

func conflict(expected, actual configuration.Revision) *verdict.Error {
	return &verdict.Error{
		Verdict: verdict.NotRun, Code: verdict.CodeConflict, Message: "change was not accepted",
		Cause: &ConflictError{Expected: expected, Actual: actual},
	}
}

// repeated returns the revision of an operation that was accepted earlier.
func (a *acceptance) repeated(record table.Record) (configuration.Revision, error) {
	var operation operationRecord
	if err := decode(record, &operation); err != nil {
		return 0, unavailable(err)
	}
	if operation.Digest != a.digest {
		return 0, malformed(&configuration.FieldError{
			Path:    "operation",
			Problem: fmt.Sprintf("was used for the different change to revision %d", operation.Revision),
		})
	}
	return operation.Revision, nil
}

// catchUp brings this host up to the expected revision, because a change is
// checked against the configuration that it changes.
func (a *acceptance) catchUp(ctx context.Context) error {
	d := a.distributor
	if d.Revision() >= a.expected {
		return nil
	}
	if err := d.fetch(ctx, a.expected); err != nil {
		return unavailable(err)
	}
	return nil
}

func (a *acceptance) writes(head table.Version) []table.Write {
	headValue, _ := json.Marshal(headRecord{Revision: a.change.Revision})
	operationValue, _ := json.Marshal(operationRecord{Revision: a.change.Revision, Digest: a.digest})
	return []table.Write{
		writeHead:      {Key: headKey, Expected: head, Value: headValue},
		writeOperation: {Key: operationKey(a.change.Operation), Value: operationValue},
		writeChange:    {Key: changeKey(a.change.Revision), Value: a.encoded},
	}
}

// commit writes the change. After a lost answer it sends the same transaction
// again: its conditions let at most one of them apply, and the results of one
// that did not apply tell what happened. That the head moved on without the
// operation record proves that no earlier one can still apply.
func (a *acceptance) commit(ctx context.Context, head table.Version) (configuration.Revision, error) {
	transaction := table.Transaction{Writes: a.writes(head)}
	inDoubt := false
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = 20*time.Millisecond, time.Second
	for {
		results, err := a.distributor.Table.Commit(ctx, transaction)
		if err == nil {
			if !results[writeHead].Applied {
				return a.settledCommit(results)
			}
			a.accepted = true
			return a.change.Revision, nil
		}
		if errors.Is(err, table.ErrUnavailable) && !inDoubt {
			return 0, unavailable(err)
		}
		inDoubt = inDoubt || !errors.Is(err, table.ErrUnavailable)
		if !duty.Sleep(ctx, pause.NextBackOff()) {
			return 0, verdict.NewMayHaveRun(verdict.CodeTableUnavailable, err, "operation %q may have been accepted; repeat it to learn", a.change.Operation)
		}
	}
}

// settledCommit is settled for the own transaction. When an earlier send of it
// took effect, this call accepted the change.
func (a *acceptance) settledCommit(results []table.WriteResult) (configuration.Revision, error) {
	revision, err := a.settled(results)
	a.accepted = err == nil && revision == a.change.Revision
	return revision, err
}

func unavailable(cause error) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeTableUnavailable, Message: "change was not accepted", Cause: cause}
}
