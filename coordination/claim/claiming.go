package claim

import (
	"time"

	"github.com/google/uuid"

	"github.com/persimmonmux/persimmonmux/state/booking"
)

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

// nextWhileClaiming returns the next operation in phaseClaiming.
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
	return e.nextWhileOtherUnresolved(now)
}

// nextWhileOtherUnresolved returns the next operation while another claim of the key is
// unresolved. It queries the host of that claim once after each read, and reads the
// record again after a delay of 20 ms that grows to 500 ms.
func (e *entry) nextWhileOtherUnresolved(now time.Time) operation {
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
