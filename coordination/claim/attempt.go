package claim

import (
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// The states of an attempt. Only one side may leave attemptWaiting, so that a
// ticket is never handed to a caller who was already told "not run".
const (
	attemptWaiting int32 = iota
	attemptAnswered
	attemptWithdrawn
)

// An attempt is one call of Claim that waits for its answer.
type attempt struct {
	key      booking.Key
	deadline time.Time
	// reply has room for the one answer.
	reply chan attemptAnswer
	state atomic.Int32
	// contested says that another try of the request may have run.
	contested atomic.Bool
}

// An attemptAnswer is the result of Claim.
type attemptAnswer struct {
	ticket  booking.ClaimHandle
	outcome *booking.Outcome
	failure *verdict.Error
}

func newAttempt(key booking.Key, deadline time.Time) *attempt {
	return &attempt{key: key, deadline: deadline, reply: make(chan attemptAnswer, 1)}
}

// settle hands the answer over and reports whether the caller still waited.
func (a *attempt) settle(answer attemptAnswer) bool {
	if !a.state.CompareAndSwap(attemptWaiting, attemptAnswered) {
		return false
	}
	a.reply <- answer
	return true
}

// withdraw ends the wait of the caller and reports whether no answer was given.
func (a *attempt) withdraw() bool {
	return a.state.CompareAndSwap(attemptWaiting, attemptWithdrawn)
}

// refusal returns the error for an attempt that ends without a ticket.
func (a *attempt) refusal(code verdict.Code, retryAfter time.Duration, cause error) *verdict.Error {
	if a.contested.Load() {
		return verdict.NewMayHaveRun(verdict.CodeClaimUnresolved, cause, "claim of request %s by an earlier try is unresolved", a.key.Request)
	}
	failure := verdict.NewNotRun(code, "claim of request %s was not made", a.key.Request)
	failure.RetryAfter = retryAfter
	failure.Cause = cause
	return failure
}
