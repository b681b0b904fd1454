package claim

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/persimmonmux/persimmonmux/state/booking"
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
				e.endCleanupDelay()
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
