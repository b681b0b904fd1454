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

// headTimeout bounds a read of the head for an operator, who waits for it.
const headTimeout = time.Second

// An OperationStatus is what the table says of an operation.
type OperationStatus struct {
	// Head is the highest accepted revision.
	Head configuration.Revision
	// AcceptedChange is the change that the operation made, or nil.
	AcceptedChange *configuration.Change
}

// Head reads the head from the platform. It may lag.
func (d *Distributor) Head(ctx context.Context) (configuration.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	records, err := d.Table.Read(ctx, []table.Key{headKey})
	if err != nil {
		return 0, err
	}
	var head headRecord
	if err := decode(records[0], &head); err != nil {
		return 0, err
	}
	return max(head.Revision, d.Revision()), nil
}

// LookupOperation finds out without lag what became of an operation. It changes
// nothing; its error is a *verdict.Error with verdict NotRun.
func (d *Distributor) LookupOperation(ctx context.Context, operation configuration.OperationID) (OperationStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	// The conditions never hold, so the transaction writes nothing and its
	// results are the records without lag.
	transaction := table.Transaction{Writes: []table.Write{
		writeHead:      {Key: headKey, Expected: never},
		writeOperation: {Key: operationKey(operation), Expected: never},
	}}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = 20*time.Millisecond, time.Second
	results, err := d.Table.Commit(ctx, transaction)
	for errors.Is(err, table.ErrOutcomeUnknown) && duty.Sleep(ctx, pause.NextBackOff()) {
		results, err = d.Table.Commit(ctx, transaction)
	}
	if err != nil {
		return OperationStatus{}, unavailable(err)
	}
	var head headRecord
	if err := decode(results[writeHead].Current, &head); err != nil {
		return OperationStatus{}, unavailable(err)
	}
	found := OperationStatus{Head: head.Revision}
	if results[writeOperation].Current.Version == 0 {
		return found, nil
	}
	var record operationRecord
	if err := decode(results[writeOperation].Current, &record); err != nil {
		return OperationStatus{}, unavailable(err)
	}
	for {
		changes, err := d.readChanges(ctx, record.Revision-1, record.Revision)
		if err == nil && len(changes) == 1 {
			found.AcceptedChange = &changes[0]
			return found, nil
		}
		// The read lags behind the transaction.
		if err != nil || !duty.Sleep(ctx, staleRetry) {
			return OperationStatus{}, unavailable(errors.Join(err, ctx.Err()))
		}
	}
}

// CatchUp brings this host up to a revision that was accepted.
func (d *Distributor) CatchUp(ctx context.Context, revision configuration.Revision) error {
	d.prepare()
	if d.Revision() >= revision {
		return nil
	}
	if err := d.fetch(ctx, revision); err != nil {
		return unavailable(err)
	}
	return nil
}

// Change returns the change that led to a revision, if this host keeps it.
func (d *Distributor) Change(revision configuration.Revision) (configuration.Change, bool) {
	if revision == 0 {
		return configuration.Change{}, false
	}
	changes, reaches := d.holding().after(revision - 1)
	if !reaches || len(changes) == 0 {
		return configuration.Change{}, false
	}
	return changes[0], true
}
