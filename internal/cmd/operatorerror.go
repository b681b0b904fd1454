package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/persimmonmux/persimmonmux/coordination/revision"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// An operatorError is a failed call with what to do about it. Its fields are
// those of the JSON form.
type operatorError struct {
	Code     verdict.Code            `json:"code"`
	Verdict  verdict.Verdict         `json:"verdict"`
	Message  string                  `json:"message"`
	Path     string                  `json:"path,omitempty"`
	Expected *configuration.Revision `json:"expected-revision,omitempty"`
	Actual   *configuration.Revision `json:"actual-revision,omitempty"`
	// Operation is the operation id of a change.
	Operation configuration.OperationID `json:"operation,omitempty"`
	Hint      string                    `json:"hint"`

	// encoded says that the error is printed as JSON.
	encoded bool
	cause   error
}

// newOperatorError returns the error of a call. The operation is empty for reads.
func newOperatorError(err error, operation configuration.OperationID, encoded bool) error {
	failure := verdict.FromError(err)
	e := &operatorError{
		Code: failure.Code, Verdict: failure.Verdict, Message: failure.Error(), Operation: operation, encoded: encoded, cause: err,
	}
	var field *configuration.FieldError
	if errors.As(err, &field) {
		e.Path = field.Path
	}
	var conflict *revision.ConflictError
	if errors.As(err, &conflict) {
		e.Expected, e.Actual = &conflict.Expected, &conflict.Actual
	}
	e.Hint = e.hint()
	return e
}

// hint says what to do.
func (e *operatorError) hint() string {
	if e.Verdict == verdict.MayHaveRun && e.Operation != "" {
		return fmt.Sprintf("repeat the same command with --operation-id %s to learn whether the change was accepted", e.Operation)
	}
	switch e.Code {
	case verdict.CodeConflict:
		if e.Actual != nil {
			return fmt.Sprintf("another change came first; look at the present state, then repeat with --expected-revision %d", *e.Actual)
		}
	case verdict.CodeMalformed:
		if e.Path == "operation" {
			return "use another --operation-id for another change"
		}
		return "correct " + e.Path
	case verdict.CodeUnauthorized:
		return "give the operators' token of this deployment with PERSIMMONMUX_TOKEN or --token"
	case verdict.CodeUnknownAdapter:
		return "see persimmonmux adapter list for the adapters and their versions"
	case verdict.CodeUnknownKind:
		return "see persimmonmux kind list for the kinds"
	case verdict.CodeUnknownName:
		return "see the list or show command for what exists"
	case verdict.CodeTableUnavailable:
		return "the platform is unreachable and nothing was changed by this call; repeat it later"
	case verdict.CodeHostUnreachable:
		return "check --address, or call another entry host"
	case verdict.CodeDeadline:
		return "see persimmonmux host list for the state of the hosts, then wait again"
	case verdict.CodeStopping, verdict.CodeOverloaded:
		return "call another entry host, or repeat later"
	}
	return "see docs/reference/error-codes.md"
}

// Error returns the message, the code and verdict, and the hint.
func (e *operatorError) Error() string {
	if e.encoded {
		data, err := json.Marshal(map[string]*operatorError{"error": e})
		if err == nil {
			return string(data)
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n  code: %s\n  verdict: %s\n", e.Message, e.Code, e.Verdict)
	if e.Operation != "" {
		fmt.Fprintf(&b, "  operation: %s\n", e.Operation)
	}
	fmt.Fprintf(&b, "  hint: %s", e.Hint)
	return b.String()
}

// Unwrap returns the error of the call.
func (e *operatorError) Unwrap() error {
	return e.cause
}
