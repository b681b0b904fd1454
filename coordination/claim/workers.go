package claim

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// workerResult is what a worker goroutine reports to the duty about a group of
// operations.
type workerResult struct {
	operations []*operation
	// writes or reads holds one result for each operation, in the same order, if err is
	// nil.
	writes []table.WriteResult
	reads  []table.Record
	status booking.ClaimStatus
	err    error
}

// startWorkers starts worker goroutines for queued operations, within the limits on
// operations in flight.
func (l *loop) startWorkers(now time.Time) {
	settings := l.registry.settings
	for l.tableOperationsInFlight < settings.InFlightLimit && len(l.reads) > 0 {
		l.startRead(takeFirst(&l.reads, settings.GroupWriteLimit))
	}
	for l.tableOperationsInFlight < settings.InFlightLimit && l.isGroupReady(now) {
		l.startCommit(takeFirst(&l.writes, settings.GroupWriteLimit))
	}
	for l.peerQueriesInFlight < settings.PeerQueryLimit && len(l.peerQueries) > 0 {
		l.startPeerQuery(takeFirst(&l.peerQueries, 1))
	}
}

// isGroupReady reports whether queued writes are to be sent now: the group is full or its
// first write has waited for GroupCommitDelay, and the rate limit allows another
// transaction. While the Registry closes, writes are sent at once.
func (l *loop) isGroupReady(now time.Time) bool {
	if len(l.writes) == 0 {
		return false
	}
	settings := l.registry.settings
	if l.isStopping {
		return true
	}
	grouped := len(l.writes) >= settings.GroupWriteLimit || now.Sub(l.writes[0].queuedAt) >= settings.GroupCommitDelay
	return grouped && l.limiter.TokensAt(now) >= 1
}

func (l *loop) startCommit(group []*operation) {
	l.tableOperationsInFlight++
	l.limiter.AllowN(time.Now(), 1)
	transaction := table.Transaction{Independent: true, Writes: make([]table.Write, len(group))}
	for i, o := range group {
		transaction.Writes[i] = o.write
	}
	r := l.registry
	r.counts.transactions.Add(1)
	r.counts.writes.Add(uint64(len(group)))
	r.lifecycle.Go(func() {
		ctx, cancel := context.WithTimeout(l.workContext, r.settings.OperationTimeout)
		defer cancel()
		results, err := r.Table.Commit(ctx, transaction)
		if err == nil && len(results) != len(group) {
			err = table.ErrOutcomeUnknown
		}
		r.workerResults.Offer(workerResult{operations: group, writes: results, err: err})
	})
}

func (l *loop) startRead(group []*operation) {
	l.tableOperationsInFlight++
	keys := make([]table.Key, len(group))
	for i, o := range group {
		keys[i] = o.entry.tableKey
	}
	r := l.registry
	r.lifecycle.Go(func() {
		ctx, cancel := context.WithTimeout(l.workContext, r.settings.OperationTimeout)
		defer cancel()
		records, err := r.Table.Read(ctx, keys)
		if err == nil && len(records) != len(group) {
			err = table.ErrUnavailable
		}
		r.workerResults.Offer(workerResult{operations: group, reads: records, err: err})
	})
}

func (l *loop) startPeerQuery(group []*operation) {
	l.peerQueriesInFlight++
	r := l.registry
	key, queried := group[0].entry.key, group[0].queriedClaim
	r.lifecycle.Go(func() {
		ctx, cancel := context.WithTimeout(l.workContext, r.settings.OperationTimeout)
		defer cancel()
		status, err := r.Peers.ClaimStatus(ctx, queried.Host, queried.Start, key, queried.Token)
		if err != nil {
			status = booking.StatusUnknown
		}
		r.workerResults.Offer(workerResult{operations: group, status: status})
	})
}

// takeFirst removes up to limit operations from the front of a queue and returns them.
func takeFirst(queue *[]*operation, limit int) []*operation {
	n := min(limit, len(*queue))
	group := slices.Clone((*queue)[:n])
	*queue = slices.Delete(*queue, 0, n)
	return group
}

// handleWorkerResult updates and steps the entries of the operations that a worker
// goroutine executed.
func (l *loop) handleWorkerResult(result workerResult, now time.Time) {
	if result.operations[0].kind == operationPeerQuery {
		l.peerQueriesInFlight--
	} else {
		l.tableOperationsInFlight--
	}
	for i, o := range result.operations {
		e := o.entry
		e.inFlight = false
		phaseBefore := e.phase
		switch {
		case o.kind == operationPeerQuery:
			e.handlePeerStatus(o.queriedClaim.Token, result.status)
		case result.err != nil:
			provedNoEffect := errors.Is(result.err, table.ErrUnavailable) && !errors.Is(result.err, table.ErrOutcomeUnknown)
			e.handleFailure(o, !provedNoEffect, result.err, now)
		case o.kind == operationRead:
			l.handleRead(o, result.reads[i], now)
		default:
			l.handleWrite(o, result.writes[i], now)
		}
		l.countReplacement(e, o, phaseBefore)
		l.stepEntry(e, now)
	}
}

func (l *loop) handleRead(o *operation, r table.Record, now time.Time) {
	current, err := decodeRecord(r)
	if err != nil {
		o.entry.handleFailure(o, false, err, now)
		return
	}
	o.entry.setLastRecord(current)
}

func (l *loop) handleWrite(o *operation, result table.WriteResult, now time.Time) {
	current, err := decodeRecord(result.Current)
	if err != nil {
		o.entry.handleFailure(o, true, err, now)
		return
	}
	o.entry.handleWriteResult(o, result.Applied, current, now)
}

// countReplacement counts a claim that entered phaseHeld by replacing a record.
func (l *loop) countReplacement(e *entry, o *operation, phaseBefore phase) {
	if o.kind == operationClaim && phaseBefore == phaseClaiming && e.phase == phaseHeld && o.write.Expected != 0 {
		l.registry.counts.replaced.Add(1)
	}
}
