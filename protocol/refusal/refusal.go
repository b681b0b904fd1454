// Package refusal encodes errors for callers: the JSON error body, its HTTP status and
// the time after which a retry may succeed.
package refusal

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// statusCallerClosed is the status of a request whose caller closed the connection.
// There is no registered status for it; access logs commonly use 499.
const statusCallerClosed = 499

// The values of ErrorDetail.Type, which are those of the OpenAI API.
const (
	typeRequest        = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// minRetryAfter is the shortest Retry-After of an error for overload. It is one second
// because the header counts whole seconds.
const minRetryAfter = time.Second

// An httpError is the HTTP status and the error type of a code.
type httpError struct {
	status    int
	errorType string
}

// httpErrors has an entry for each code of package verdict. A test checks that none is
// missing.
var httpErrors = map[verdict.Code]httpError{
	verdict.CodeMalformed:         {http.StatusBadRequest, typeRequest},
	verdict.CodeTooLarge:          {http.StatusRequestEntityTooLarge, typeRequest},
	verdict.CodeUnauthorized:      {http.StatusUnauthorized, typeAuthentication},
	verdict.CodeUnknownAdapter:    {http.StatusNotFound, typeRequest},
	verdict.CodeUnknownKind:       {http.StatusBadRequest, typeRequest},
	verdict.CodeUnknownService:    {http.StatusNotFound, typeRequest},
	verdict.CodeRequestID:         {http.StatusBadRequest, typeRequest},
	verdict.CodeNoConfiguration:   {http.StatusServiceUnavailable, typeServer},
	verdict.CodeStopping:          {http.StatusServiceUnavailable, typeServer},
	verdict.CodeOverloaded:        {http.StatusServiceUnavailable, typeServer},
	verdict.CodeDeadline:          {http.StatusGatewayTimeout, typeServer},
	verdict.CodeClaimUnresolved:   {http.StatusConflict, typeServer},
	verdict.CodeAnswerNotKept:     {http.StatusConflict, typeServer},
	verdict.CodeTableUnavailable:  {http.StatusServiceUnavailable, typeServer},
	verdict.CodeConflict:          {http.StatusConflict, typeRequest},
	verdict.CodeNotOwner:          {http.StatusServiceUnavailable, typeServer},
	verdict.CodeNoGrant:           {http.StatusServiceUnavailable, typeServer},
	verdict.CodeLoadFailed:        {http.StatusServiceUnavailable, typeServer},
	verdict.CodeUnknownInstance:   {http.StatusServiceUnavailable, typeServer},
	verdict.CodeBackendRefused:    {http.StatusBadGateway, typeServer},
	verdict.CodeBackendLost:       {http.StatusBadGateway, typeServer},
	verdict.CodeIncomplete:        {http.StatusBadGateway, typeServer},
	verdict.CodeWrongInstance:     {http.StatusBadGateway, typeServer},
	verdict.CodeCanceled:          {statusCallerClosed, typeRequest},
	verdict.CodeInternal:          {http.StatusInternalServerError, typeServer},
	verdict.CodeStoreUnavailable:  {http.StatusServiceUnavailable, typeServer},
	verdict.CodeIsolated:          {http.StatusServiceUnavailable, typeServer},
	verdict.CodeApplicationLimits: {http.StatusTooManyRequests, typeRateLimit},
	verdict.CodeUnknownName:       {http.StatusNotFound, typeRequest},
	verdict.CodeHostUnreachable:   {http.StatusServiceUnavailable, typeServer},
	verdict.CodePromptBlocked:     {http.StatusServiceUnavailable, typeServer},
	verdict.CodeRateLimited:       {http.StatusServiceUnavailable, typeServer},
	verdict.CodeQuotaExceeded:     {http.StatusTooManyRequests, typeRateLimit},
}

// An ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	// Error is never nil in a body that Encode returned.
	Error *ErrorDetail `json:"error"`
}

// An ErrorDetail describes an error to a caller.
type ErrorDetail struct {
	// Message is a text for people. It names what failed, then the cause.
	Message string `json:"message"`
	// Type is one of the error types of the OpenAI API.
	Type string `json:"type"`
	// Code is the stable name of the cause, for programs.
	Code verdict.Code `json:"code"`
	// Verdict says whether the request ran, did not run or may have run.
	Verdict verdict.Verdict `json:"verdict"`
	// RequestID is empty if the request failed before it had an id.
	RequestID fleet.RequestID `json:"request-id"`
}

// Status returns the HTTP status of a code; it is 500 for an unknown code.
func Status(code verdict.Code) int {
	if e, ok := httpErrors[code]; ok {
		return e.status
	}
	return http.StatusInternalServerError
}

// Encode returns the JSON body of an error for the request with the given id. The
// underlying cause is left out, because it may name addresses of backend servers.
func Encode(failure *verdict.Error, id fleet.RequestID) []byte {
	e, ok := httpErrors[failure.Code]
	if !ok {
		e.errorType = typeServer
	}
	body, err := json.Marshal(ErrorBody{Error: &ErrorDetail{
		Message:   failure.Message,
		Type:      e.errorType,
		Code:      failure.Code,
		Verdict:   failure.Verdict,
		RequestID: id,
	}})
	if err != nil {
		// The body has only string fields, whose encoding cannot fail.
		panic(err)
	}
	return body
}

// Decode returns the ErrorDetail of a body that Encode returned. It returns false if the
// body is not valid JSON or has no error with a verdict.
func Decode(body []byte) (ErrorDetail, bool) {
	var decoded ErrorBody
	if err := json.Unmarshal(body, &decoded); err != nil || decoded.Error == nil || decoded.Error.Verdict == "" {
		return ErrorDetail{}, false
	}
	return *decoded.Error, true
}

// RetryAfter returns the value of the Retry-After header in whole seconds, rounded up;
// 0 means no header. For overload and for the limits of an application it is at least
// one second, so that callers do not retry at once.
func RetryAfter(failure *verdict.Error) int {
	delay := failure.RetryAfter
	if failure.Code == verdict.CodeOverloaded || failure.Code == verdict.CodeApplicationLimits {
		delay = max(delay, minRetryAfter)
	}
	return int((delay + time.Second - 1) / time.Second)
}
