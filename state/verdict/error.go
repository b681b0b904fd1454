package verdict

import (
	"errors"
	"fmt"
	"time"
)

// A Code is the stable, documented name of a cause of failure. Callers and operators
// may match it.
type Code string

// The codes of failures. protocol/refusal maps each to an HTTP status.
const (
	CodeMalformed         Code = "malformed"
	CodeTooLarge          Code = "too-large"
	CodeUnauthorized      Code = "unauthorized"
	CodeUnknownAdapter    Code = "unknown-adapter"
	CodeUnknownKind       Code = "unknown-kind"
	CodeUnknownService    Code = "unknown-service"
	CodeRequestID         Code = "request-id"
	CodeNoConfiguration   Code = "no-configuration"
	CodeStopping          Code = "stopping"
	CodeOverloaded        Code = "overloaded"
	CodeDeadline          Code = "deadline"
	CodeClaimUnresolved   Code = "claim-unresolved"
	CodeAnswerNotKept     Code = "answer-not-kept"
	CodeTableUnavailable  Code = "table-unavailable"
	CodeConflict          Code = "conflict"
	CodeNotOwner          Code = "not-owner"
	CodeNoGrant           Code = "no-grant"
	CodeLoadFailed        Code = "load-failed"
	CodeUnknownInstance   Code = "unknown-instance"
	CodeBackendRefused    Code = "backend-refused"
	CodeBackendLost       Code = "backend-lost"
	CodeIncomplete        Code = "incomplete"
	CodeWrongInstance     Code = "wrong-instance"
	CodeCanceled          Code = "canceled"
	CodeInternal          Code = "internal"
	CodeStoreUnavailable  Code = "store-unavailable"
	CodeIsolated          Code = "isolated"
	CodeApplicationLimits Code = "application-limits"
	CodeUnknownName       Code = "unknown-name"
	CodeHostUnreachable   Code = "host-unreachable"
	CodePromptBlocked     Code = "prompt-blocked"
	CodeRateLimited       Code = "rate-limited"
	CodeQuotaExceeded     Code = "quota-exceeded"
)

// An Error is the failure of a request, with the verdict on whether the request ran.
// The code that detects the failure creates it.
type Error struct {
	// Verdict says whether the request may have run. It is never empty.
	Verdict Verdict
	// Code names the cause. It is never empty.
	Code Code
	// Message names the thing that failed first, then the cause.
	Message string
	// RetryAfter is the time after which another attempt may succeed; zero means
	// that this time is not known.
	RetryAfter time.Duration
	// Cause is the underlying error; nil if there is none.
	Cause error
}

// Error returns the message, followed by a colon and the cause if there is one.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Message
	}
	return e.Message + ": " + e.Cause.Error()
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error {
	return e.Cause
}

// NewNotRun returns an Error with verdict NotRun. The calling code must have proof
// that the request did not run: no byte of it reached a backend server, or a server
// answered that it did not run it.
func NewNotRun(code Code, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Code: code, Message: fmt.Sprintf(format, args...)}
}

// NewMayHaveRun returns an Error with verdict MayHaveRun. The cause may be nil.
func NewMayHaveRun(code Code, cause error, format string, args ...any) *Error {
	return &Error{Verdict: MayHaveRun, Code: code, Message: fmt.Sprintf(format, args...), Cause: cause}
}

// FromError returns the Error that err is or wraps. An error without a verdict gets
// MayHaveRun and CodeInternal, because nothing proves that the request did not run.
// FromError(nil) is nil.
func FromError(err error) *Error {
	if err == nil {
		return nil
	}
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return NewMayHaveRun(CodeInternal, err, "request failed")
}
