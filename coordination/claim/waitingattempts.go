package claim

import (
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/verdict"
)

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

// setOtherMayHaveRun sets otherMayHaveRun on all attempts that wait at the moment.
func (e *entry) setOtherMayHaveRun(mayHaveRun bool) {
	for _, a := range e.attempts {
		a.otherMayHaveRun.Store(mayHaveRun)
	}
}
