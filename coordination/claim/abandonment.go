package claim

import (
	"time"

	"github.com/google/uuid"

	"github.com/persimmonmux/persimmonmux/state/booking"
)

// maxAbandonedTokens bounds the abandoned tokens of one key, because a caller that
// retries during a long outage of the table could otherwise use unlimited memory.
const maxAbandonedTokens = 16

// unconfirmedWrites counts the claim writes that were sent with one token and whose reply
// was lost: inserts of an absent record and replacements of an existing one.
type unconfirmedWrites struct {
	inserts, replaces int
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
// delay of 20 ms that grows to 30 s, or to 500 ms during a stop. The claim of the other
// host does not end the cleanup: that host may delete it, and a late insert then succeeds.
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
	default:
		maxDelay := 30 * time.Second
		if stopping {
			maxDelay = 500 * time.Millisecond
		}
		e.lastRecordCurrent = false
		e.scheduleRetry(now, 20*time.Millisecond, maxDelay)
		return operation{}
	}
}

// endCleanupDelay makes the next operation of the cleanup due at once. It is called when a
// stop begins, because a delay of up to 30 s may exceed CloseTimeout.
func (e *entry) endCleanupDelay() {
	if e.phase == phaseIdle {
		e.dueTime = time.Time{}
	}
}
