package claim

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// phase is the state of this host's own claim of a key.
type phase int

const (
	// phaseIdle means that this host has no claim of the key, apart from abandoned ones
	// that may still be in the table.
	phaseIdle phase = iota
	// phaseClaiming means that the table has not confirmed this host's claim yet.
	phaseClaiming
	// phaseHeld means that this host's claim is in the table.
	phaseHeld
)

// entry is the state of one request key on this host. It is owned by the duty and chooses
// the next operation from the record last seen in the table and from the claim writes
// that may still reach the table.
//
// A record may be deleted only if no insert for its key, under any token, can arrive
// later. A late insert on an absent key would create a claim that no caller holds. Where
// a late insert cannot be excluded, the record is overwritten with the outcome NotRun: a
// new claim may replace such a record, but a late insert fails on it.
type entry struct {
	key      booking.Key
	tableKey table.Key
	host     fleet.HostName
	start    fleet.StartNumber

	attempts []*attempt
	phase    phase
	// token identifies this host's current claim. It is empty in phaseIdle. A token is
	// not used again once its claim was resolved, released or abandoned.
	token       booking.ClaimToken
	unconfirmed unconfirmedWrites
	// hasReplaced is true if the current claim replaced a record. Other hosts rely on the
	// key staying taken, so the record is not deleted.
	hasReplaced bool
	resolution  *resolution

	// lastRecord is the record last seen in the table. lastRecordCurrent is false after
	// the reply to a write was lost, because the record may have changed since; it must
	// then be read again.
	lastRecord        record
	lastRecordCurrent bool

	// abandoned holds this host's tokens under which the request did not run and never
	// will, until the table can no longer contain their claims. The values are the
	// unconfirmed writes of each token.
	abandoned map[booking.ClaimToken]unconfirmedWrites
	// lateInserts is the number of this host's inserts that may still reach the table.
	// They take effect if the key is absent then.
	lateInserts int
	// lateReplaceVersions are the record versions that this host's late replacements
	// expect. Such a replacement still applies while the record has that version.
	lateReplaceVersions []table.Version

	// queriedToken is the token of the claim whose host was queried since the record was
	// last read.
	queriedToken booking.ClaimToken
	// replaceableToken is the token of a claim whose host reported that it abandoned the
	// claim.
	replaceableToken booking.ClaimToken

	// inFlight is true while an operation of this key is queued or executed; there is at
	// most one per key.
	inFlight bool
	// dueTime is the earliest time of the next operation.
	dueTime time.Time
	// failingSince is when the first of the consecutive failing operations was queued;
	// zero while operations succeed.
	failingSince   time.Time
	lastTableError error
	retryBackoff   *backoff.ExponentialBackOff
	// wakeTime and heapIndex are maintained by wakeHeap; heapIndex is -1 while the entry
	// is not in the heap.
	wakeTime  time.Time
	heapIndex int
	// abandonedCount is the total number of tokens that were ever abandoned.
	abandonedCount uint64
	// countedTotals is what this entry has contributed to the totals of the loop so far.
	countedTotals entryTotals
}

// entryTotals is the contribution of one entry to the totals of the loop.
type entryTotals struct {
	attempts, retainedBytes int
	abandoned               uint64
}

func newEntry(key booking.Key, host fleet.HostName, start fleet.StartNumber) *entry {
	// The first write expects an absent record. If that is wrong, the write result shows
	// the existing record, so that a claim usually costs no read.
	return &entry{key: key, tableKey: tableKey(key), host: host, start: start, lastRecordCurrent: true, heapIndex: -1}
}

// status returns the status of the claim that this host made with token.
func (e *entry) status(token booking.ClaimToken) booking.ClaimStatus {
	if _, ok := e.abandoned[token]; ok {
		return booking.StatusAbandoned
	}
	if token == "" || token != e.token {
		return booking.StatusUnknown
	}
	if e.resolution != nil && e.resolution.outcome.Verdict == verdict.NotRun {
		return booking.StatusAbandoned
	}
	return booking.StatusRunning
}

// isDone reports whether the entry can be removed from memory: no attempt, claim or
// cleanup is left.
func (e *entry) isDone() bool {
	return !e.inFlight && e.phase == phaseIdle && len(e.attempts) == 0 && len(e.abandoned) == 0
}

// nextOperation advances the entry and returns the operation to execute next, or one of
// kind operationNone if the entry has to wait.
func (e *entry) nextOperation(now time.Time, stopping bool) operation {
	e.dropEndedAttempts(now)
	if stopping {
		e.failAttempts(verdict.CodeStopping, 0, nil)
	}
	switch e.phase {
	case phaseIdle:
		return e.nextWhileIdle(now, stopping)
	case phaseClaiming:
		return e.nextWhileClaiming(now, stopping)
	default:
		return e.nextWhileHeld(now, stopping)
	}
}

// nextWhileIdle returns the next operation in phaseIdle: that of a new claim if an
// attempt waits, otherwise one of the cleanup.
func (e *entry) nextWhileIdle(now time.Time, stopping bool) operation {
	if len(e.attempts) == 0 {
		return e.nextCleanup(now, stopping)
	}
	e.beginClaim()
	return e.nextWhileClaiming(now, stopping)
}

// finish delivers a final outcome to all attempts and leaves the entry with nothing to
// do. The record makes late inserts fail for the lifetime of the claim, so no cleanup is
// needed.
func (e *entry) finish(outcome *booking.Outcome) {
	for _, a := range e.attempts {
		a.settle(replayResult(e.key, outcome))
	}
	e.attempts, e.abandoned = nil, nil
	e.lateInserts, e.lateReplaceVersions = 0, nil
	e.phase, e.token = phaseIdle, ""
}

// scheduleRetry sets dueTime with an exponential backoff between initialDelay and
// maxDelay.
func (e *entry) scheduleRetry(now time.Time, initialDelay, maxDelay time.Duration) {
	if e.retryBackoff == nil || e.retryBackoff.MaxInterval != maxDelay {
		e.retryBackoff = backoff.NewExponentialBackOff()
		e.retryBackoff.InitialInterval = initialDelay
		e.retryBackoff.MaxInterval = maxDelay
		e.retryBackoff.Multiplier = 2
		e.retryBackoff.Reset()
	}
	e.dueTime = now.Add(e.retryBackoff.NextBackOff())
}

// nextWakeTime returns when the duty must step the entry even if no message arrives; zero
// means never.
func (e *entry) nextWakeTime(now time.Time) time.Time {
	if e.inFlight {
		return time.Time{}
	}
	var wake time.Time
	if now.Before(e.dueTime) {
		wake = e.dueTime
	}
	if e.phase == phaseHeld && e.resolution == nil {
		wake = time.Time{}
	}
	for _, a := range e.attempts {
		if wake.IsZero() || a.deadline.Before(wake) {
			wake = a.deadline
		}
	}
	return wake
}
