package revision

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// headReadTimeout bounds a read of the head. It is short, because an operator
// waits for the result.
const headReadTimeout = time.Second

// An OperationStatus is the state of an operation in the table.
type OperationStatus struct {
	// Head is the highest accepted revision.
	Head configuration.Revision
	// AcceptedChange is the change that the operation made; nil means that the
	// operation has not been accepted.
	AcceptedChange *configuration.Change
}

// Head returns the highest accepted revision that it reads from the table, or
// the applied revision here if that is higher. The result may lag.
func (d *Distributor) Head(ctx context.Context) (configuration.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, headReadTimeout)
	defer cancel()
	records, err := d.Table.Read(ctx, []table.Key{headKey})
	if err != nil {
		return 0, err
	}
	var head headRecord
	if err := decodeRecord(records[0], &head); err != nil {
		return 0, err
	}
	return max(head.Revision, d.Revision()), nil
}

// LookupOperation finds out without lag whether an operation was accepted. It
// changes nothing, so its error is a *verdict.Error with verdict NotRun.
func (d *Distributor) LookupOperation(ctx context.Context, operation configuration.OperationID) (OperationStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	// The conditions never hold, so the transaction writes nothing and returns
	// the records without lag.
	transaction := table.Transaction{Writes: []table.Write{
		writeHead:      {Key: headKey, Expected: impossibleVersion},
		writeOperation: {Key: operationKey(operation), Expected: impossibleVersion},
	}}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = 20*time.Millisecond, time.Second
	results, err := d.Table.Commit(ctx, transaction)
	for errors.Is(err, table.ErrOutcomeUnknown) && duty.Sleep(ctx, pause.NextBackOff()) {
		results, err = d.Table.Commit(ctx, transaction)
	}
	if err != nil {
		return OperationStatus{}, newUnavailableError(err)
	}
	var head headRecord
	if err := decodeRecord(results[writeHead].Current, &head); err != nil {
		return OperationStatus{}, newUnavailableError(err)
	}
	found := OperationStatus{Head: head.Revision}
	if results[writeOperation].Current.Version == 0 {
		return found, nil
	}
	var record operationRecord
	if err := decodeRecord(results[writeOperation].Current, &record); err != nil {
		return OperationStatus{}, newUnavailableError(err)
	}
	for {
		changes, err := d.readChanges(ctx, record.Revision-1, record.Revision)
		if err == nil && len(changes) == 1 {
			found.AcceptedChange = &changes[0]
			return found, nil
		}
		// The operation record is there, so a change that is absent was missed by a
		// read that lags.
		if err != nil || !duty.Sleep(ctx, staleReadRetryDelay) {
			return OperationStatus{}, newUnavailableError(errors.Join(err, ctx.Err()))
		}
	}
}

// CatchUp brings this host up to a revision that was accepted. Its error is a
// *verdict.Error with verdict NotRun.
func (d *Distributor) CatchUp(ctx context.Context, revision configuration.Revision) error {
	d.prepare()
	if d.Revision() >= revision {
		return nil
	}
	if err := d.fetch(ctx, revision); err != nil {
		return newUnavailableError(err)
	}
	return nil
}

// Change returns the change that led to a revision, or false if this host does
// not have that revision or does not keep the change any more.
func (d *Distributor) Change(revision configuration.Revision) (configuration.Change, bool) {
	if revision == 0 {
		return configuration.Change{}, false
	}
	changes, complete := d.currentReplica().changesAfter(revision - 1)
	if !complete || len(changes) == 0 {
		return configuration.Change{}, false
	}
	return changes[0], true
}
