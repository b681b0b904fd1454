package claim

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

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
	if e.grantHandle(now) {
		e.setOtherMayHaveRun(true)
		return
	}
	e.resolution = &resolution{token: e.token, key: e.key, outcome: booking.Outcome{Verdict: verdict.NotRun}}
}

// grantHandle grants the handle of the current claim to the first attempt that still
// waits, and reports whether there was one. It removes that attempt and those before it.
func (e *entry) grantHandle(now time.Time) bool {
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
			return true
		}
	}
	return false
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
		return e.newResolutionWrite(outcome, now)
	}
	if outcome.Verdict == verdict.NotRun {
		e.completeRelease()
		return e.nextWhileIdle(now, stopping)
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

// newResolutionWrite returns the write that records the outcome of the current claim, or
// the one that releases the claim if the request did not run.
func (e *entry) newResolutionWrite(outcome booking.Outcome, now time.Time) operation {
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

// completeResolution delivers the result to the caller of Resolve, if one waits, and
// removes the resolution.
func (e *entry) completeResolution(err error) {
	if e.resolution != nil && e.resolution.reply != nil {
		e.resolution.reply <- err
	}
	e.resolution = nil
}
