package claim

import (
	"container/heap"
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// message is sent to the duty by a request goroutine. Either attempt or query is set. If
// both are nil, a caller stopped waiting for the key in withdrawnKey.
type message struct {
	attempt      *attempt
	query        *statusQuery
	withdrawnKey booking.Key
}

// statusQuery queries the status of a claim that this host made.
type statusQuery struct {
	key   booking.Key
	token booking.ClaimToken
	// reply has a buffer of one, so that the duty never blocks on it.
	reply chan booking.ClaimStatus
}

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

// loop is the state of the Registry's duty. Only the goroutine of the duty changes it.
type loop struct {
	registry *Registry
	// limiter enforces TransactionRate and TransactionBurst.
	limiter *rate.Limiter
	// workContext is the context of table operations and peer queries. It outlives the
	// context of Run, because claims are still resolved while the Registry closes.
	workContext  context.Context
	entries      map[booking.Key]*entry
	timers       wakeHeap
	attemptCount int
	// retainedBytes is the total size of the response bodies that wait to be recorded.
	retainedBytes int
	// writes, reads and peerQueries are the operations that wait for a worker goroutine.
	// An entry has at most one operation in them.
	writes, reads, peerQueries []*operation
	// tableOperationsInFlight counts transactions and reads.
	tableOperationsInFlight, peerQueriesInFlight int
	isStopping                                   bool
}

// run is the body of the duty. After ctx ends it continues until no entry is left, or for
// CloseTimeout.
func (l *loop) run(ctx context.Context) error {
	r := l.registry
	workContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	l.workContext = workContext
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	stop := ctx.Done()
	var closeTimeoutPassed <-chan time.Time
	for !l.isStopping || len(l.entries) > 0 {
		l.startWorkers(time.Now())
		timer.Reset(l.untilNextWake(time.Now()))
		select {
		case m := <-r.messages.Messages():
			l.handleMessage(m, time.Now())
		case resolved := <-r.resolutions.Messages():
			l.startResolution(resolved, time.Now())
		case result := <-r.workerResults.Messages():
			l.handleWorkerResult(result, time.Now())
		case <-timer.C:
		case <-stop:
			stop = nil
			l.isStopping = true
			closeTimer := time.NewTimer(r.settings.CloseTimeout)
			defer closeTimer.Stop()
			closeTimeoutPassed = closeTimer.C
			for _, e := range l.snapshotEntries() {
				l.stepEntry(e, time.Now())
			}
		case <-closeTimeoutPassed:
			l.failRemaining()
			return ctx.Err()
		}
		l.stepDueEntries(time.Now())
	}
	l.failRemaining()
	return ctx.Err()
}

// failRemaining fails all attempts and resolutions that still wait. It is the last step
// of the loop.
func (l *loop) failRemaining() {
	for _, e := range l.snapshotEntries() {
		e.failAttempts(verdict.CodeStopping, 0, nil)
		e.completeResolution(verdict.NewMayHaveRun(verdict.CodeStopping, nil, "outcome of request %s was not recorded before the stop", e.key.Request))
	}
}

// snapshotEntries returns the entries as a slice, because stepping an entry may remove it
// from the map.
func (l *loop) snapshotEntries() []*entry {
	entries := make([]*entry, 0, len(l.entries))
	for _, e := range l.entries {
		entries = append(entries, e)
	}
	return entries
}

func (l *loop) handleMessage(m message, now time.Time) {
	switch {
	case m.attempt != nil:
		l.addAttempt(m.attempt, now)
	case m.query != nil:
		status := booking.StatusUnknown
		if e, ok := l.entries[m.query.key]; ok {
			status = e.status(m.query.token)
		}
		m.query.reply <- status
	default:
		if e, ok := l.entries[m.withdrawnKey]; ok {
			l.stepEntry(e, now)
		}
	}
}

// addAttempt adds an attempt to the entry of its key, or refuses it if the Registry is
// closing or at a limit.
func (l *loop) addAttempt(a *attempt, now time.Time) {
	if l.isStopping {
		a.settle(attemptResult{failure: a.newError(verdict.CodeStopping, 0, nil)})
		return
	}
	e, exists := l.entries[a.key]
	if l.attemptCount >= l.registry.settings.Capacity || !exists && len(l.entries) >= l.registry.settings.Capacity {
		a.settle(attemptResult{failure: a.newError(verdict.CodeOverloaded, time.Second, nil)})
		return
	}
	if !exists {
		e = newEntry(a.key, l.registry.Host, l.registry.Start)
		l.entries[a.key] = e
	}
	if e.phase == phaseIdle && len(e.abandoned) >= maxAbandonedTokens {
		a.settle(attemptResult{failure: a.newError(verdict.CodeTableUnavailable, time.Second, nil)})
		return
	}
	a.otherMayHaveRun.Store(e.phase == phaseHeld && e.status(e.token) == booking.StatusRunning)
	e.attempts = append(e.attempts, a)
	l.stepEntry(e, now)
}

// startResolution starts recording the outcome of a held claim.
func (l *loop) startResolution(r *resolution, now time.Time) {
	e, ok := l.entries[r.key]
	if !ok || e.phase != phaseHeld || e.token != r.token || e.resolution != nil {
		r.reply <- verdict.NewMayHaveRun(verdict.CodeInternal, nil, "claim of request %s is not held under this handle", r.key.Request)
		return
	}
	r.outcome, r.retainedBytes = storedOutcome(r.outcome, l.registry.settings.RetainedBytesLimit-l.retainedBytes)
	e.resolution = r
	e.dueTime = time.Time{}
	l.stepEntry(e, now)
}

// stepEntry advances an entry until it waits for a worker, a time or a message, and
// removes it once it is done.
func (l *loop) stepEntry(e *entry, now time.Time) {
	if !e.inFlight {
		e.failAfterTableTimeout(now, l.registry.settings.TableFailureTimeout)
		o := e.nextOperation(now, l.isStopping)
		if o.kind != operationNone {
			l.enqueue(e, o, now)
		}
	} else {
		e.dropEndedAttempts(now)
	}
	l.updateTotals(e)
	if e.isDone() {
		l.timers.remove(e)
		delete(l.entries, e.key)
	} else {
		l.timers.set(e, e.nextWakeTime(now))
	}
	l.registry.counts.entries.Store(uint64(len(l.entries)))
}

// updateTotals adds to the totals what changed in the entry since the last call.
func (l *loop) updateTotals(e *entry) {
	current := entryTotals{attempts: len(e.attempts), abandoned: e.abandonedCount}
	if e.resolution != nil {
		current.retainedBytes = e.resolution.retainedBytes
	}
	l.attemptCount += current.attempts - e.countedTotals.attempts
	l.retainedBytes += current.retainedBytes - e.countedTotals.retainedBytes
	l.registry.counts.abandoned.Add(current.abandoned - e.countedTotals.abandoned)
	e.countedTotals = current
}

// enqueue adds an operation to the queue of its kind.
func (l *loop) enqueue(e *entry, o operation, now time.Time) {
	o.entry, o.queuedAt = e, now
	e.inFlight = true
	switch {
	case o.isWrite():
		l.writes = append(l.writes, &o)
	case o.kind == operationRead:
		l.reads = append(l.reads, &o)
	default:
		l.peerQueries = append(l.peerQueries, &o)
	}
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

// untilNextWake returns how long the duty may wait for a message before a group of writes
// or an entry is due. If none is, it returns an hour, and the duty then waits again.
func (l *loop) untilNextWake(now time.Time) time.Duration {
	wait := time.Hour
	if len(l.writes) > 0 && l.tableOperationsInFlight < l.registry.settings.InFlightLimit {
		wait = l.writes[0].queuedAt.Add(l.registry.settings.GroupCommitDelay).Sub(now)
		if missing := 1 - l.limiter.TokensAt(now); missing > 0 {
			// The added millisecond covers the rounding of the limiter's tokens.
			rateDelay := time.Duration(missing/l.registry.settings.TransactionRate*float64(time.Second)) + time.Millisecond
			wait = max(wait, rateDelay)
		}
	}
	if len(l.timers) > 0 {
		wait = min(wait, l.timers[0].wakeTime.Sub(now))
	}
	return max(wait, 0)
}

// stepDueEntries steps the entries whose wakeTime has come.
func (l *loop) stepDueEntries(now time.Time) {
	for len(l.timers) > 0 && !now.Before(l.timers[0].wakeTime) {
		e := l.timers[0]
		l.timers.remove(e)
		l.stepEntry(e, now)
	}
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

// takeFirst removes up to limit operations from the front of a queue and returns them.
func takeFirst(queue *[]*operation, limit int) []*operation {
	n := min(limit, len(*queue))
	group := slices.Clone((*queue)[:n])
	*queue = slices.Delete(*queue, 0, n)
	return group
}

// wakeHeap is a container/heap that orders entries by wakeTime.
type wakeHeap []*entry

// Len returns the number of entries in the heap. It implements heap.Interface, as do the
// four methods below.
func (h wakeHeap) Len() int { return len(h) }

// Less reports whether entry i wakes before entry j.
func (h wakeHeap) Less(i, j int) bool { return h[i].wakeTime.Before(h[j].wakeTime) }

// Swap exchanges two entries and updates their heapIndex.
func (h wakeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends an entry. Only container/heap calls it.
func (h *wakeHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop removes the last entry. Only container/heap calls it.
func (h *wakeHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	last.heapIndex = -1
	return last
}

// set adds the entry or moves it to the given wake time; a zero time removes it.
func (h *wakeHeap) set(e *entry, wake time.Time) {
	if wake.IsZero() {
		h.remove(e)
		return
	}
	e.wakeTime = wake
	if e.heapIndex < 0 {
		heap.Push(h, e)
		return
	}
	heap.Fix(h, e.heapIndex)
}

func (h *wakeHeap) remove(e *entry) {
	if e.heapIndex >= 0 {
		heap.Remove(h, e.heapIndex)
	}
}
