// Package refusal encodes failures for callers: the JSON error body, its HTTP
// status and the time after which a retry may succeed.
package refusal

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// statusCallerClosed is the status for a request whose caller left. It has no
// registered number; 499 is the one that access logs commonly use.
const statusCallerClosed = 499

// The types of errors, as OpenAI clients know them.
const (
	typeRequest        = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// minRetryAfter is the pause that a refusal for overload asks for when the
// failure names none. The header counts whole seconds.
const minRetryAfter = time.Second

// A form is how a code appears in HTTP.
type form struct {
	status int
	kind   string
}

// forms has every code. A test compares it with the codes of package verdict.
var forms = map[verdict.Code]form{
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
}

// An ErrorBody is the JSON body of a refusal.
type ErrorBody struct {
	// Error is never nil in a refusal.
	Error *ErrorDetail `json:"error"`
}

// An ErrorDetail is the content of an ErrorBody.
type ErrorDetail struct {
	// Message names the thing that failed first, then the cause.
	Message string `json:"message"`
	// Type is a type of error that OpenAI clients know.
	Type string `json:"type"`
	// Code is the stable name of the cause.
	Code verdict.Code `json:"code"`
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict `json:"verdict"`
	// RequestID is empty when the request failed before it had one.
	RequestID fleet.RequestID `json:"request-id"`
}

// Status returns the HTTP status of a code.
func Status(code verdict.Code) int {
	if f, ok := forms[code]; ok {
		return f.status
	}
	return http.StatusInternalServerError
}

// Encode returns the JSON body of a failure. The underlying cause is left out,
// because it may name addresses of backend servers.
func Encode(failure *verdict.Error, id fleet.RequestID) []byte {
	f, ok := forms[failure.Code]
	if !ok {
		f.kind = typeServer
	}
	body, err := json.Marshal(ErrorBody{Error: &ErrorDetail{
		Message:   failure.Message,
		Type:      f.kind,
		Code:      failure.Code,
		Verdict:   failure.Verdict,
		RequestID: id,
	}})
	if err != nil {
		// Strings always encode.
		panic(err)
	}
	return body
}

// Decode returns the ErrorDetail of a refusal's body, or false when the body is none.
func Decode(body []byte) (ErrorDetail, bool) {
	var decoded ErrorBody
	if err := json.Unmarshal(body, &decoded); err != nil || decoded.Error == nil || decoded.Error.Verdict == "" {
		return ErrorDetail{}, false
	}
	return *decoded.Error, true
}

// RetryAfter returns the whole seconds for the Retry-After header, or zero for
// no header. A refusal for overload always has at least one second.
func RetryAfter(failure *verdict.Error) int {
	pause := failure.RetryAfter
	if failure.Code == verdict.CodeOverloaded || failure.Code == verdict.CodeApplicationLimits {
		pause = max(pause, minRetryAfter)
	}
	return int((pause + time.Second - 1) / time.Second)
}
