package engine

import (
	"encoding/json"
	"net/http"

	"github.com/persimmonmux/persimmonmux/coordination/execution"
	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// proofs has the codes of refusals that prove that an engine did nothing.
type proofs map[string]verdict.Code

// The proofs depend on what was sent, and not on the response alone: a code that belongs to
// another kind of request proves nothing.
var (
	completionProofs = proofs{
		engineapi.CodeUnknownInstance: verdict.CodeUnknownInstance,
	}
	orderProofs = proofs{
		engineapi.CodeUnknownInstance:    verdict.CodeUnknownInstance,
		engineapi.CodeStaleFencingNumber: verdict.CodeNotOwner,
		engineapi.CodeNoFreeSlot:         verdict.CodeLoadFailed,
		engineapi.CodeLoadFailed:         verdict.CodeLoadFailed,
	}
)

// refusalError returns the error for a response with another status than 200. Its verdict is
// NotRun only if the code is one of the proofs and nothing else in the response contradicts it.
func refusalError(engine fleet.EngineName, response *backend.Response, body []byte, proofs proofs) *verdict.Error {
	var failure errorResponse
	if err := json.Unmarshal(body, &failure); err != nil {
		failure = errorResponse{}
		failure.Error.Message = "error body is not valid JSON"
	}
	code, isStated := proofs[failure.Error.Code]
	doubt := execution.Evidence{
		IsStated: isStated,
		HasOtherStatus: response.StatusCode < http.StatusBadRequest ||
			failure.Error.Code == engineapi.CodeUnknownInstance && response.StatusCode != http.StatusNotFound,
		HasResult:       backend.HasResult(response.Header) || len(failure.Choices) > 0,
		HasFurtherInput: response.HasFurtherInput(),
	}.Doubt()
	if doubt != execution.None {
		return verdict.NewMayHaveRun(unprovenCode(failure.Error.Code), nil, "engine %s: status %d, code %q, no proof: %s: %s",
			engine, response.StatusCode, failure.Error.Code, doubt, failure.Error.Message)
	}
	return verdict.NewNotRun(code, "engine %s: %s", engine, failure.Error.Message)
}

// An errorResponse is the body of a refusal. Choices is what only the response of a run has.
type errorResponse struct {
	engineapi.ErrorBody

	Choices []json.RawMessage `json:"choices"`
}

// unprovenCode returns the code of a failure that does not prove that the request did
// not run. An engine cancels a request early at the time limit sent with it or when the
// owner cancels it at the end of its grant. That may reach the client before its own
// deadline, so a cancellation counts as a passed deadline.
func unprovenCode(code string) verdict.Code {
	if code == engineapi.CodeCanceled {
		return verdict.CodeDeadline
	}
	return verdict.CodeBackendRefused
}
