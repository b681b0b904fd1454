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
	// acceptTimeout bounds one call of Accept or LookupOperation, also when its
	// context has no deadline or a later one.
	acceptTimeout = 10 * time.Second
	// staleReadRetryDelay is the pause before a read that lagged is repeated.
	staleReadRetryDelay = 50 * time.Millisecond
	// maxChangeBytes is the largest size in bytes of an encoded change.
	maxChangeBytes = 1 << 20
)

// Indexes of the writes in the transaction that accepts a change.
const (
	writeHead = iota
	writeOperation
	writeChange
)

// impossibleVersion is a version that no record has. A transaction that expects
// it writes nothing and returns the current records without lag.
const impossibleVersion = table.Version(math.MaxUint64)

// Accept applies a change to the expected revision and returns the revision that
// it led to. The operation ID of the change must be set. A repeated call with
// the same operation ID and change returns the same revision and has no further
// effect.
//
// The error is a *verdict.Error. Its code is conflict, with a *ConflictError as its
// cause, when the head is not the expected revision; malformed, mostly with a
// *configuration.FieldError as its cause, when the change is invalid;
// table-unavailable otherwise. With verdict MayHaveRun, the change may have been
// accepted or may still be; only a repeated call settles whether it is.
func (d *Distributor) Accept(ctx context.Context, expected configuration.Revision, change configuration.Change) (configuration.Revision, error) {
	d.prepare()
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	change.Revision = expected + 1
	a := &acceptance{distributor: d, expected: expected, change: change}
	if change.Operation == "" {
		return 0, newMalformedError(&configuration.FieldError{Path: "operation", Problem: "is missing"})
	}
	if err := a.encode(); err != nil {
		return 0, err
	}
	revision, err := a.run(ctx)
	if err != nil {
		return 0, err
	}
	if a.accepted {
		d.submit(ctx, message{origin: originAccepted, changes: []configuration.Change{change}})
	}
	return revision, nil
}

func newMalformedError(cause error) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeMalformed, Message: "change is not valid", Cause: cause}
}

// An acceptance is the state of one call of Accept.
type acceptance struct {
	distributor *Distributor
	expected    configuration.Revision
	change      configuration.Change
	encoded     []byte
	digest      string
	// accepted says that this call wrote the change.
	accepted bool
}

// encode sets the digest and the encoded change.
func (a *acceptance) encode() error {
	var err error
	if a.digest, err = changeDigest(a.change); err != nil {
		return newMalformedError(err)
	}
	if a.encoded, err = json.Marshal(&a.change); err != nil {
		return newMalformedError(err)
	}
	if len(a.encoded) > maxChangeBytes {
		return newMalformedError(&configuration.FieldError{Path: "change", Problem: fmt.Sprintf("has more than %d bytes", maxChangeBytes)})
	}
	return nil
}

// run returns the revision that the operation led to, now or earlier.
func (a *acceptance) run(ctx context.Context) (configuration.Revision, error) {
	head, revision, err := a.readHead(ctx)
	if err != nil || revision != 0 {
		return revision, err
	}
	if err := a.catchUp(ctx); err != nil {
		return 0, err
	}
	base := a.distributor.currentReplica()
	if base.revision() != a.expected {
		return a.resolveConflict(ctx)
	}
	if err := base.configuration.Validate(&a.change); err != nil {
		return 0, newMalformedError(err)
	}
	return a.commit(ctx, head)
}

// readHead returns the version of the head record, if the head is the expected
// revision, or the revision of the operation, if it was accepted earlier.
func (a *acceptance) readHead(ctx context.Context) (table.Version, configuration.Revision, error) {
	d := a.distributor
	for {
		records, err := d.Table.Read(ctx, []table.Key{headKey, operationKey(a.change.Operation)})
		if err != nil {
			return 0, 0, newUnavailableError(err)
		}
		if records[1].Version != 0 {
			revision, err := a.repeatedRevision(records[1])
			return 0, revision, err
		}
		var head headRecord
		if err := decodeRecord(records[0], &head); err != nil {
			return 0, 0, newUnavailableError(err)
		}
		switch {
		case head.Revision == a.expected:
			return records[0].Version, 0, nil
		case head.Revision < a.expected && d.Revision() >= a.expected:
			// The read lags: the expected revision is applied here, so the head
			// has reached it.
			if !duty.Sleep(ctx, staleReadRetryDelay) {
				return 0, 0, newUnavailableError(ctx.Err())
			}
		default:
			revision, err := a.resolveConflict(ctx)
			return 0, revision, err
		}
	}
}

// resolveConflict finds out without lag whether the operation was accepted
// earlier or the head is not the expected revision.
func (a *acceptance) resolveConflict(ctx context.Context) (configuration.Revision, error) {
	writes := a.writes(impossibleVersion)
	results, err := a.distributor.Table.Commit(ctx, table.Transaction{Writes: writes})
	if err != nil {
		return 0, newUnavailableError(err)
	}
	return a.outcome(results)
}

// outcome evaluates the records that a transaction returned because it did not
// apply: it returns the revision of the operation if it was accepted earlier, or else a
// conflict.
func (a *acceptance) outcome(results []table.WriteResult) (configuration.Revision, error) {
	if operation := results[writeOperation].Current; operation.Version != 0 {
		return a.repeatedRevision(operation)
	}
	var head headRecord
	if err := decodeRecord(results[writeHead].Current, &head); err != nil {
		return 0, newUnavailableError(err)
	}
	return 0, newConflictError(a.expected, head.Revision)
}

func newConflictError(expected, actual configuration.Revision) *verdict.Error {
	return &verdict.Error{
		Verdict: verdict.NotRun, Code: verdict.CodeConflict, Message: "change was not accepted",
		Cause: &ConflictError{Expected: expected, Actual: actual},
	}
}

// repeatedRevision returns the revision of an operation that was accepted
// earlier, or an error if it was accepted with a different change.
func (a *acceptance) repeatedRevision(record table.Record) (configuration.Revision, error) {
	var operation operationRecord
	if err := decodeRecord(record, &operation); err != nil {
		return 0, newUnavailableError(err)
	}
	if operation.Digest != a.digest {
		return 0, newMalformedError(&configuration.FieldError{
			Path:    "operation",
			Problem: fmt.Sprintf("was used for the different change to revision %d", operation.Revision),
		})
	}
	return operation.Revision, nil
}

// catchUp brings this host up to the expected revision, because a change is
// validated against the configuration that it changes.
func (a *acceptance) catchUp(ctx context.Context) error {
	d := a.distributor
	if d.Revision() >= a.expected {
		return nil
	}
	if err := d.fetch(ctx, a.expected); err != nil {
		return newUnavailableError(err)
	}
	return nil
}

// writes returns the writes that accept the change. They apply only if the head
// record still has version head and the other two records are absent.
func (a *acceptance) writes(head table.Version) []table.Write {
	headValue, _ := json.Marshal(headRecord{Revision: a.change.Revision})
	operationValue, _ := json.Marshal(operationRecord{Revision: a.change.Revision, Digest: a.digest})
	return []table.Write{
		writeHead:      {Key: headKey, Expected: head, Value: headValue},
		writeOperation: {Key: operationKey(a.change.Operation), Value: operationValue},
		writeChange:    {Key: changeKey(a.change.Revision), Value: a.encoded},
	}
}

// commit writes the change. When the answer is lost, it sends the same
// transaction again: its conditions let it apply at most once, and the records
// that are returned when it does not apply show what happened. If the head has
// moved on and there is no operation record, no earlier send of the transaction
// can still apply.
func (a *acceptance) commit(ctx context.Context, head table.Version) (configuration.Revision, error) {
	transaction := table.Transaction{Writes: a.writes(head)}
	inDoubt := false
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = 20*time.Millisecond, time.Second
	for {
		results, err := a.distributor.Table.Commit(ctx, transaction)
		if err == nil {
			if !results[writeHead].Applied {
				return a.commitOutcome(results)
			}
			a.accepted = true
			return a.change.Revision, nil
		}
		if errors.Is(err, table.ErrUnavailable) && !inDoubt {
			return 0, newUnavailableError(err)
		}
		inDoubt = inDoubt || !errors.Is(err, table.ErrUnavailable)
		if !duty.Sleep(ctx, pause.NextBackOff()) {
			return 0, verdict.NewMayHaveRun(verdict.CodeTableUnavailable, err, "operation %q may have been accepted; repeat it to find out", a.change.Operation)
		}
	}
}

// commitOutcome returns what outcome returns for the records. If they show that an
// earlier send of the same transaction applied, it sets accepted.
func (a *acceptance) commitOutcome(results []table.WriteResult) (configuration.Revision, error) {
	revision, err := a.outcome(results)
	a.accepted = err == nil && revision == a.change.Revision
	return revision, err
}

func newUnavailableError(cause error) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeTableUnavailable, Message: "change was not accepted", Cause: cause}
}
