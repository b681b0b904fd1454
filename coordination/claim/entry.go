package claim

import (
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// maxAbandonedTokens bounds the abandoned tokens of one key, because a caller that
// retries during a long outage of the table could otherwise use unlimited memory.
const maxAbandonedTokens = 16

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

// unconfirmedWrites counts the claim writes that were sent with one token and whose reply
// was lost: inserts of an absent record and replacements of an existing one.
type unconfirmedWrites struct {
	inserts, replaces int
}

// resolution is an outcome that is to be written to the table. Resolve creates it; the
// duty owns it from then on.
type resolution struct {
	token   booking.ClaimToken
	key     booking.Key
	outcome booking.Outcome
	// retainedBytes is the size of the response body kept in memory until the outcome is
	// recorded.
	retainedBytes int
	// reply receives the result and has a buffer of one. It is nil when no caller waits.
	reply chan error
}

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

// operationKind says what a worker goroutine does for an entry.
type operationKind int

const (
	operationNone operationKind = iota
	operationRead
	operationClaim
	operationRelease
	operationOutcome
	operationPeerQuery
)

// operation is one step of an entry that a worker goroutine executes: a table read, a
// table write or a query to another host.
type operation struct {
	entry *entry
	kind  operationKind
	write table.Write
	// queriedClaim is the claim of another host; set for operationPeerQuery.
	queriedClaim booking.Claim
	queuedAt     time.Time
}

func (o *operation) isWrite() bool {
	return o.kind == operationClaim || o.kind == operationRelease || o.kind == operationOutcome
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
		if len(e.attempts) > 0 {
			e.beginClaim()
			return e.nextWhileClaiming(now, stopping)
		}
		return e.nextCleanup(now, stopping)
	case phaseClaiming:
		return e.nextWhileClaiming(now, stopping)
	default:
		return e.nextWhileHeld(now, stopping)
	}
}

// beginClaim starts a claim with a new token.
func (e *entry) beginClaim() {
	e.phase = phaseClaiming
	e.token = booking.ClaimToken(uuid.NewString())
	e.unconfirmed = unconfirmedWrites{}
	e.hasReplaced = false
	e.failingSince = time.Time{}
	e.retryBackoff = nil
	e.dueTime = time.Time{}
}

// nextWhileClaiming returns the next operation in phaseClaiming. While another claim of
// the key is unresolved, it queries the host of that claim once after each read, and
// reads the record again after a delay of 20 ms that grows to 500 ms.
func (e *entry) nextWhileClaiming(now time.Time, stopping bool) operation {
	if e.lastRecordCurrent && e.lastRecord.isUnresolved() && e.lastRecord.claim.Token == e.token {
		e.enterHeld(now, false)
		return e.nextWhileHeld(now, stopping)
	}
	if len(e.attempts) == 0 {
		e.abandon()
		return e.nextCleanup(now, stopping)
	}
	if now.Before(e.dueTime) {
		return operation{}
	}
	if !e.lastRecordCurrent {
		return operation{kind: operationRead}
	}
	if e.lastRecord.isFinal() {
		e.finish(e.lastRecord.claim.Outcome)
		return operation{}
	}
	if !e.lastRecord.isUnresolved() || e.mayReplace() {
		e.setOtherMayHaveRun(false)
		return e.newClaimWrite(now)
	}
	e.setOtherMayHaveRun(true)
	otherClaim := e.lastRecord.claim
	if e.queriedToken != otherClaim.Token && otherClaim.Host != e.host {
		e.queriedToken = otherClaim.Token
		return operation{kind: operationPeerQuery, queriedClaim: otherClaim}
	}
	e.queriedToken = ""
	e.lastRecordCurrent = false
	e.scheduleRetry(now, 20*time.Millisecond, 500*time.Millisecond)
	return operation{}
}

// mayReplace reports whether it is proved that the request never ran under the claim in
// lastRecord.
func (e *entry) mayReplace() bool {
	_, own := e.abandoned[e.lastRecord.claim.Token]
	return own || e.lastRecord.claim.Token == e.replaceableToken
}

func (e *entry) newClaimWrite(now time.Time) operation {
	return e.newWrite(operationClaim, booking.Claim{Token: e.token, Host: e.host, Start: e.start, ClaimedAt: now})
}

func (e *entry) newWrite(kind operationKind, claim booking.Claim) operation {
	value, err := encodeClaim(claim)
	if err != nil {
		// The struct holds only strings, times and bytes, which always encode.
		panic(err)
	}
	return operation{kind: kind, write: table.Write{Key: e.tableKey, Expected: e.lastRecord.version, Value: value}}
}

// newReleaseWrite returns a write that keeps the key taken with the outcome NotRun.
func (e *entry) newReleaseWrite(token booking.ClaimToken, now time.Time) operation {
	return e.newWrite(operationRelease, booking.Claim{
		Token: token, Host: e.host, Start: e.start, ClaimedAt: now,
		Outcome: &booking.Outcome{Verdict: verdict.NotRun},
	})
}

func (e *entry) newDeleteWrite() operation {
	return operation{kind: operationRelease, write: table.Write{Key: e.tableKey, Expected: e.lastRecord.version, Delete: true}}
}

// enterHeld enters phaseHeld and grants the handle to the first attempt that still waits.
// If there is none, it releases the claim. confirmed is true if the reply to the claim
// write arrived, and false if the claim was found by a read.
func (e *entry) enterHeld(now time.Time, confirmed bool) {
	e.phase = phaseHeld
	if e.unconfirmed.replaces > 0 {
		e.hasReplaced = true
	}
	if !confirmed && e.unconfirmed.replaces == 0 && e.unconfirmed.inserts > 0 {
		e.lateInserts = max(0, e.lateInserts-1)
	}
	e.queriedToken, e.replaceableToken = "", ""
	for len(e.attempts) > 0 {
		a := e.attempts[0]
		e.attempts = e.attempts[1:]
		if !now.Before(a.deadline) {
			a.settle(attemptResult{failure: a.newError(verdict.CodeDeadline, 0, nil)})
			continue
		}
		if failure := checkRequestIDAge(e.key.Request, now, MaxRequestIDAge+grantAgeMargin); failure != nil {
			a.settle(attemptResult{failure: failure})
			continue
		}
		if a.settle(attemptResult{handle: booking.ClaimHandle{Key: e.key, Token: e.token}}) {
			e.setOtherMayHaveRun(true)
			return
		}
	}
	e.resolution = &resolution{token: e.token, key: e.key, outcome: booking.Outcome{Verdict: verdict.NotRun}}
}

// nextWhileHeld returns the next operation in phaseHeld: none before Resolve is called,
// then the write of the outcome or of the release, until a record shows that it took
// effect.
func (e *entry) nextWhileHeld(now time.Time, stopping bool) operation {
	if e.resolution == nil || now.Before(e.dueTime) {
		return operation{}
	}
	if !e.lastRecordCurrent {
		return operation{kind: operationRead}
	}
	outcome := e.resolution.outcome
	if e.lastRecord.claim.Token == e.token && e.lastRecord.isUnresolved() {
		if outcome.Verdict != verdict.NotRun {
			claim := e.lastRecord.claim
			claim.Outcome = &outcome
			return e.newWrite(operationOutcome, claim)
		}
		if e.mayDelete() {
			return e.newDeleteWrite()
		}
		return e.newReleaseWrite(e.token, now)
	}
	if outcome.Verdict == verdict.NotRun {
		e.completeRelease()
		if len(e.attempts) > 0 {
			e.beginClaim()
			return e.nextWhileClaiming(now, stopping)
		}
		return e.nextCleanup(now, stopping)
	}
	if e.lastRecord.isAbsent() {
		// The record was deleted by hand or by a cleaner on a host with a wrong clock.
		// Recording the outcome still prevents a second run.
		return e.newWrite(operationOutcome, booking.Claim{Token: e.token, Host: e.host, Start: e.start, ClaimedAt: now, Outcome: &outcome})
	}
	var err error
	if e.lastRecord.claim.Token != e.token {
		err = verdict.NewMayHaveRun(verdict.CodeInternal, nil, "claim of request %s was replaced in the table before its outcome was recorded", e.key.Request)
	}
	e.completeResolution(err)
	e.finish(&outcome)
	return operation{}
}

// mayDelete reports whether the record of the current claim may be deleted rather than
// overwritten with NotRun; see entry.
func (e *entry) mayDelete() bool {
	return !e.hasReplaced && e.lateInserts == 0 && len(e.lateReplaceVersions) == 0 && len(e.abandoned) == 0
}

// completeRelease leaves phaseHeld after the table confirmed that the claim is released.
func (e *entry) completeRelease() {
	e.completeResolution(nil)
	if e.lateInserts > 0 || len(e.lateReplaceVersions) > 0 {
		e.recordAbandoned()
	}
	e.phase, e.token = phaseIdle, ""
	e.setOtherMayHaveRun(false)
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

// abandon gives up the current claim before the table confirmed it.
func (e *entry) abandon() {
	if e.unconfirmed.inserts+e.unconfirmed.replaces > 0 {
		e.recordAbandoned()
	}
	e.phase, e.token = phaseIdle, ""
}

// recordAbandoned adds the current token to the abandoned ones, whose writes need
// cleanup.
func (e *entry) recordAbandoned() {
	if e.abandoned == nil {
		e.abandoned = make(map[booking.ClaimToken]unconfirmedWrites)
	}
	e.abandoned[e.token] = e.unconfirmed
	e.abandonedCount++
}

// nextCleanup returns the next operation that removes abandoned claims from the table or
// makes their late inserts fail. It continues until the table confirms that none is left.
// While a claim of another host prevents the write, the record is read again after a
// delay of 20 ms that grows to 30 s.
func (e *entry) nextCleanup(now time.Time, stopping bool) operation {
	if len(e.abandoned) == 0 || now.Before(e.dueTime) {
		return operation{}
	}
	if !e.lastRecordCurrent {
		return operation{kind: operationRead}
	}
	writes, own := e.abandoned[e.lastRecord.claim.Token]
	own = own && e.lastRecord.isUnresolved()
	switch {
	case !own && e.lateInserts == 0 && len(e.lateReplaceVersions) == 0:
		e.abandoned = nil
		return operation{}
	case own && writes.replaces == 0 && e.lateInserts == 1 && len(e.lateReplaceVersions) == 0:
		// The only insert that may have been late is the record itself.
		return e.newDeleteWrite()
	case own || !e.lastRecord.isUnresolved() || e.lastRecord.claim.Token == e.replaceableToken:
		return e.newReleaseWrite(booking.ClaimToken(uuid.NewString()), now)
	case stopping:
		// The claim of the other host makes the late insert fail as long as it exists.
		e.abandoned = nil
		return operation{}
	default:
		e.lastRecordCurrent = false
		e.scheduleRetry(now, 20*time.Millisecond, 30*time.Second)
		return operation{}
	}
}

// setLastRecord stores a record that was read or returned by a write.
func (e *entry) setLastRecord(current record) {
	e.lastRecord, e.lastRecordCurrent = current, true
	e.failingSince = time.Time{}
	// Versions are never reused, so a replacement that expects another version can no
	// longer apply.
	e.lateReplaceVersions = slices.DeleteFunc(e.lateReplaceVersions, func(v table.Version) bool { return v != current.version })
	if current.isReleased() || current.isFinal() {
		// Such a record may be replaced but is not deleted while the request id is
		// accepted, so a late insert fails.
		e.lateInserts = 0
	}
}

// handleWriteResult updates the entry from the result of a write.
func (e *entry) handleWriteResult(o *operation, applied bool, current record, now time.Time) {
	e.setLastRecord(current)
	e.retryBackoff = nil
	e.dueTime = time.Time{}
	if !applied {
		return
	}
	switch {
	case o.kind == operationClaim:
		e.hasReplaced = o.write.Expected != 0
		e.enterHeld(now, true)
	case o.write.Delete && e.phase == phaseIdle:
		// nextCleanup deletes a record only if it is the only late insert.
		e.lateInserts = 0
	}
}

// handleFailure updates the entry after an operation failed and schedules a retry after a
// delay of 5 ms that grows to 1 s. mayHaveEffect is false if the error proves that the
// operation had no effect.
func (e *entry) handleFailure(o *operation, mayHaveEffect bool, cause error, now time.Time) {
	e.lastTableError = cause
	if o.isWrite() && mayHaveEffect {
		e.lastRecordCurrent = false
		if o.kind == operationClaim {
			e.recordUnconfirmed(o.write.Expected)
		}
	}
	if e.failingSince.IsZero() {
		e.failingSince = o.queuedAt
	}
	e.scheduleRetry(now, 5*time.Millisecond, time.Second)
}

// recordUnconfirmed counts a claim write whose reply was lost, and which may take effect
// later.
func (e *entry) recordUnconfirmed(expected table.Version) {
	if expected == 0 {
		e.unconfirmed.inserts++
		e.lateInserts++
		return
	}
	e.unconfirmed.replaces++
	if !slices.Contains(e.lateReplaceVersions, expected) {
		e.lateReplaceVersions = append(e.lateReplaceVersions, expected)
	}
}

// handlePeerStatus stores what the host of another claim answered to a status query.
func (e *entry) handlePeerStatus(token booking.ClaimToken, status booking.ClaimStatus) {
	if status == booking.StatusAbandoned {
		e.replaceableToken = token
	}
}

// failAfterTableTimeout fails the waiting attempts if operations on the table have failed
// for at least timeout. Attempts that wait for the outcome of an earlier attempt go on
// waiting until their deadline.
func (e *entry) failAfterTableTimeout(now time.Time, timeout time.Duration) {
	if e.phase != phaseClaiming || e.failingSince.IsZero() || now.Sub(e.failingSince) < timeout {
		return
	}
	remaining := e.attempts[:0]
	for _, a := range e.attempts {
		if a.otherMayHaveRun.Load() {
			remaining = append(remaining, a)
			continue
		}
		a.settle(attemptResult{failure: a.newError(verdict.CodeTableUnavailable, time.Second, e.lastTableError)})
	}
	e.attempts = remaining
}

// failAttempts ends all attempts with an error.
func (e *entry) failAttempts(code verdict.Code, retryAfter time.Duration, cause error) {
	for _, a := range e.attempts {
		a.settle(attemptResult{failure: a.newError(code, retryAfter, cause)})
	}
	e.attempts = nil
}

// completeResolution delivers the result to the caller of Resolve, if one waits, and
// removes the resolution.
func (e *entry) completeResolution(err error) {
	if e.resolution != nil && e.resolution.reply != nil {
		e.resolution.reply <- err
	}
	e.resolution = nil
}

// dropEndedAttempts removes the attempts that were withdrawn, and fails those whose
// deadline has passed.
func (e *entry) dropEndedAttempts(now time.Time) {
	e.attempts = slices.DeleteFunc(e.attempts, func(a *attempt) bool {
		if !now.Before(a.deadline) {
			a.settle(attemptResult{failure: a.newError(verdict.CodeDeadline, 0, nil)})
		}
		return a.state.Load() != attemptWaiting
	})
}

// setOtherMayHaveRun sets otherMayHaveRun on all attempts that wait at the moment.
func (e *entry) setOtherMayHaveRun(mayHaveRun bool) {
	for _, a := range e.attempts {
		a.otherMayHaveRun.Store(mayHaveRun)
	}
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
