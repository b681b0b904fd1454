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

// An operatorError is the error of a failed operator call together with a hint on
// what to do about it. The exported fields are its JSON form.
type operatorError struct {
	Code     verdict.Code            `json:"code"`
	Verdict  verdict.Verdict         `json:"verdict"`
	Message  string                  `json:"message"`
	Path     string                  `json:"path,omitempty"`
	Expected *configuration.Revision `json:"expected-revision,omitempty"`
	Actual   *configuration.Revision `json:"actual-revision,omitempty"`
	// Operation is the operation ID of a change; it is empty for reads.
	Operation configuration.OperationID `json:"operation,omitempty"`
	Hint      string                    `json:"hint"`

	// asJSON selects the JSON form in Error.
	asJSON bool
	cause  error
}

// newOperatorError wraps the error of a call and adds the hint. Operation is empty
// for reads; asJSON selects the JSON form of the message.
func newOperatorError(err error, operation configuration.OperationID, asJSON bool) error {
	failure := verdict.FromError(err)
	e := &operatorError{
		Code: failure.Code, Verdict: failure.Verdict, Message: failure.Error(), Operation: operation, asJSON: asJSON, cause: err,
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

// hint returns what the operator can do about the error.
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

// Error returns message, code, verdict, operation and hint, on one line each or as
// one JSON object.
func (e *operatorError) Error() string {
	if e.asJSON {
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

// Unwrap returns the error of the call that the operatorError was made from.
func (e *operatorError) Unwrap() error {
	return e.cause
}
