package claim

import (
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// States of an attempt. Claim and the Registry's duty run on different goroutines, and
// both may end an attempt. Only one of them can change its state from attemptWaiting, so
// a granted handle never goes to a caller that already got "not run".
const (
	attemptWaiting int32 = iota
	attemptSettled
	attemptWithdrawn
)

// attempt is one call of Claim that waits for its result. The call creates it, and the
// duty settles it unless the call withdraws it first.
type attempt struct {
	key      booking.Key
	deadline time.Time
	// reply has a buffer of one, so that settle never blocks.
	reply chan attemptResult
	state atomic.Int32
	// otherMayHaveRun is set by the duty while another attempt of the same request may
	// have run. An attempt that fails then must not report "not run".
	otherMayHaveRun atomic.Bool
}

// attemptResult is the result of one call of Claim: a granted handle, the recorded
// outcome of an earlier attempt, or a failure.
type attemptResult struct {
	handle  booking.ClaimHandle
	outcome *booking.Outcome
	failure *verdict.Error
}

func newAttempt(key booking.Key, deadline time.Time) *attempt {
	return &attempt{key: key, deadline: deadline, reply: make(chan attemptResult, 1)}
}

// settle delivers the result and reports whether the caller was still waiting.
func (a *attempt) settle(result attemptResult) bool {
	if !a.state.CompareAndSwap(attemptWaiting, attemptSettled) {
		return false
	}
	a.reply <- result
	return true
}

// withdraw ends the caller's wait. It returns false if a result was already delivered.
func (a *attempt) withdraw() bool {
	return a.state.CompareAndSwap(attemptWaiting, attemptWithdrawn)
}

// newError returns the error for an attempt that ends without a handle. The verdict is
// MayHaveRun, whatever the code, while another attempt may have run.
func (a *attempt) newError(code verdict.Code, retryAfter time.Duration, cause error) *verdict.Error {
	if a.otherMayHaveRun.Load() {
		return verdict.NewMayHaveRun(verdict.CodeClaimUnresolved, cause, "claim of request %s by an earlier attempt is unresolved", a.key.Request)
	}
	failure := verdict.NewNotRun(code, "claim of request %s was not made", a.key.Request)
	failure.RetryAfter = retryAfter
	failure.Cause = cause
	return failure
}
