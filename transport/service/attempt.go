package service

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/execution"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// The headers of requests to a backend server. A response may repeat headerRequestID.
const (
	// headerRequestID is the id of the request.
	headerRequestID = "X-Request-Id"
	// headerTimeout is the time until the deadline of the request, in milliseconds.
	headerTimeout = "Persimmonmux-Timeout-Ms"
)

// An attempt sends a request once to one server. It belongs to the goroutine of the
// request.
type attempt struct {
	client  *Client
	service configuration.Service
	server  configuration.Server
	request *request.Request
	// wrote says that a byte of the request may have been written.
	wrote           bool
	responseTimeout time.Duration
}

// run sends the request and returns the response. parent is the context of the request;
// its end is distinguished from the response timeout.
func (a *attempt) run(parent context.Context) (request.Response, *verdict.Error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	if !strings.HasPrefix(a.request.Path, "/") {
		// Without the slash, the path would become part of the host and port in the URL.
		return request.Response{}, verdict.NewNotRun(verdict.CodeMalformed, "service %s: path %q does not start with a slash", a.service.Name, a.request.Path)
	}
	r, err := backend.NewRequest(ctx, a.request.Method, "http://"+a.server.Address+a.request.Path, a.request.Body)
	if err != nil {
		return request.Response{}, verdict.NewNotRun(verdict.CodeMalformed, "service %s: %v", a.service.Name, err)
	}
	if len(a.request.Body) > 0 {
		r.Header.Set("Content-Type", cmp.Or(a.request.ContentType, "application/json"))
	}
	r.Header.Set(headerRequestID, string(a.request.ID))
	if end, ok := ctx.Deadline(); ok {
		r.Header.Set(headerTimeout, strconv.FormatInt(max(time.Until(end).Milliseconds(), 1), 10))
	}
	a.responseTimeout = a.client.ResponseTimeout
	if a.responseTimeout == 0 {
		a.responseTimeout = defaultResponseTimeout
	}
	var silent atomic.Bool
	timer := time.AfterFunc(a.responseTimeout, func() {
		silent.Store(true)
		cancel()
	})
	defer timer.Stop()
	response, wrote, err := a.client.httpClient.Send(r)
	a.wrote = wrote
	if err != nil {
		return request.Response{}, a.lostResponseError(parent, silent.Load(), err)
	}
	if a.isRefusal(response) {
		// The server may write its refusal once more, when the request is sent again with the same id.
		response.Retire()
	}
	defer response.Body.Close() //nolint:errcheck // The body was read to its end or is discarded.
	body, err := a.readBody(response, func() { timer.Reset(a.responseTimeout) })
	if err != nil {
		return request.Response{}, a.lostResponseError(parent, silent.Load(), err)
	}
	return a.interpret(response, body)
}

// readBody returns the whole body and calls progress after each read that returns data.
// It refuses a body that ends only with the connection, because such a body may have
// been cut off.
func (a *attempt) readBody(response *backend.Response, progress func()) ([]byte, error) {
	delimited := response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked")
	if !delimited && response.Request.Method != http.MethodHead {
		return nil, errors.New("response has neither a Content-Length nor chunked encoding")
	}
	return backend.ReadBody(response.Body, a.client.BufferQuota, maxBodyBytes, progress)
}

// interpret turns a complete HTTP response into the response to the request, or into an
// error. A redirect, an overload status or a server error is an error; it proves that
// the request did not run only if the configuration lists the status and nothing else in the
// response contradicts it. A part of a body is an error
// too, because no request asks for a range, and so is an encoded body, because the response to the
// request does not name its encoding.
func (a *attempt) interpret(response *backend.Response, body []byte) (request.Response, *verdict.Error) {
	for _, id := range response.Header.Values(headerRequestID) {
		if id != "" && id != string(a.request.ID) {
			return request.Response{}, verdict.NewMayHaveRun(verdict.CodeWrongInstance, nil,
				"server %s: response has request ID %q, expected %q", a.server.Name, id, a.request.ID)
		}
	}
	status := response.StatusCode
	if a.isRefusal(response) {
		failure := verdict.NewNotRun(verdict.CodeBackendRefused, "server %s: status %d", a.server.Name, status)
		if doubt := a.readEvidence(response).Doubt(); doubt != execution.None {
			failure = verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil, "server %s: status %d, which does not prove that the request did not run: %s",
				a.server.Name, status, doubt)
		}
		failure.RetryAfter = parseRetryAfter(response)
		return request.Response{}, failure
	}
	answered := status >= 200 && status < 300 && status != http.StatusPartialContent || status >= 400 && status < 500 &&
		status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
	if !answered {
		failure := verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil, "server %s: status %d", a.server.Name, status)
		failure.RetryAfter = parseRetryAfter(response)
		return request.Response{}, failure
	}
	if encoding := response.Header.Values("Content-Encoding"); len(encoding) > 0 {
		return request.Response{}, verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil, "server %s: response has content encoding %q, asked for none", a.server.Name, encoding)
	}
	return request.Response{Status: status, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

// isRefusal reports whether the status is one with which the servers refuse requests.
func (a *attempt) isRefusal(response *backend.Response) bool {
	return slices.Contains(a.service.NotRunStatuses, response.StatusCode)
}

// readEvidence returns what a refusal, whose body was read whole, says about whether the request ran.
func (a *attempt) readEvidence(response *backend.Response) execution.Evidence {
	ids := response.Header.Values(headerRequestID)
	return execution.Evidence{
		IsStated:           true,
		NamesOtherRequest:  slices.ContainsFunc(ids, func(id string) bool { return id != string(a.request.ID) }),
		NamesNoRequest:     len(ids) == 0,
		OnReusedConnection: response.OnReusedConnection(),
		HasResult:          backend.HasResult(response.Header),
		HasFurtherInput:    response.HasFurtherInput(),
	}
}

// lostResponseError returns the error of an attempt whose response did not arrive
// whole. Its verdict is NotRun only if no byte of the request was written.
func (a *attempt) lostResponseError(parent context.Context, silent bool, cause error) *verdict.Error {
	code := verdict.CodeBackendLost
	switch {
	case errors.Is(parent.Err(), context.Canceled):
		code = verdict.CodeCanceled
	case errors.Is(parent.Err(), context.DeadlineExceeded):
		code = verdict.CodeDeadline
	case silent:
		a.client.httpClient.CloseIdleConnections()
	}
	failure := verdict.NewMayHaveRun(code, cause, "server %s: no complete response", a.server.Name)
	if !a.wrote {
		failure.Verdict = verdict.NotRun
	}
	return failure
}

// parseRetryAfter returns the value of the Retry-After header if it is a number of
// seconds, and zero otherwise; a date is ignored.
func parseRetryAfter(response *backend.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
