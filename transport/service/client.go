// Package service is the HTTP client of plain services, whose backend servers do not
// run models.
package service

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/execution"
	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

const (
	// defaultResponseTimeout bounds the time without a byte of a response.
	defaultResponseTimeout = 15 * time.Second
	// maxBodyBytes bounds the body of a response, which is shorter.
	maxBodyBytes = 16 << 20
)

// The headers of requests to a backend server. A response may repeat headerRequestID.
const (
	// headerRequestID is the id of the request.
	headerRequestID = "X-Request-Id"
	// headerTimeout is the time until the deadline of the request, in milliseconds.
	headerTimeout = "Persimmonmux-Timeout-Ms"
)

// A Client sends requests to the backend servers of plain services. Its fields are set
// before use; a zero timeout means the default. It is safe for concurrent use.
type Client struct {
	// Configuration returns the applied configuration, or nil if the host has none yet.
	Configuration func() *configuration.Configuration
	// Leaving reports whether the host list marks the backend server as leaving; such a
	// server gets no requests. A nil function means that no server is leaving.
	Leaving func(server string) bool
	// FailureDomain is the failure domain of this host. Requests go to backend servers of
	// this failure domain first.
	FailureDomain fleet.FailureDomainName
	// DialTimeout bounds a connection attempt.
	DialTimeout time.Duration
	// ResponseTimeout bounds the time without a byte of a response, from the start of the
	// attempt on.
	ResponseTimeout time.Duration
	// BufferQuota bounds what all responses together hold while they are read. Without it
	// only each response by itself is bounded.
	BufferQuota *buffering.Quota

	once       sync.Once
	httpClient backend.Client
	// callCount counts calls, so that successive calls start at successive servers.
	callCount atomic.Uint64
}

// Close refuses new calls, waits until the calls in flight have ended and closes all
// connections.
func (c *Client) Close() error {
	return c.httpClient.Close()
}

// Call sends the request to one backend server of the service, as
// dispatch.ServiceClient describes. If nothing was written to a server, for example
// because it refused the connection, the next server gets the request. The error is a
// *verdict.Error.
func (c *Client) Call(ctx context.Context, r *request.Request) (request.Response, error) {
	c.once.Do(func() { c.httpClient.DialTimeout = c.DialTimeout })
	endCall, err := c.httpClient.BeginCall()
	if err != nil {
		return request.Response{}, verdict.NewNotRun(verdict.CodeStopping, "service client: closed")
	}
	defer endCall()
	current := c.Configuration()
	if current == nil {
		return request.Response{}, verdict.NewNotRun(verdict.CodeNoConfiguration, "service %s: no configuration", r.Service)
	}
	service, ok := current.Services[r.Service]
	if !ok {
		return request.Response{}, verdict.NewNotRun(verdict.CodeUnknownService, "service %s: unknown", r.Service)
	}
	failure := verdict.NewNotRun(verdict.CodeBackendLost, "service %s: no server available", r.Service)
	for _, server := range c.orderServers(service, current.Draining) {
		a := &attempt{client: c, service: service, server: server, request: r}
		response, result := a.run(ctx)
		if result == nil {
			return response, nil
		}
		failure = result
		if a.wrote || ctx.Err() != nil {
			break
		}
	}
	return request.Response{}, failure
}

// orderServers returns the servers that are neither draining nor leaving, those of the
// own failure domain first. Among the servers of the own failure domain, and among the
// others, successive calls start at successive servers.
func (c *Client) orderServers(service configuration.Service, draining map[string]bool) []configuration.Server {
	var near, far []configuration.Server
	for _, server := range service.Servers {
		switch {
		case draining[server.Name] || c.Leaving != nil && c.Leaving(server.Name):
		case server.FailureDomain == c.FailureDomain:
			near = append(near, server)
		default:
			far = append(far, server)
		}
	}
	call := c.callCount.Add(1)
	return append(rotate(near, call), rotate(far, call)...)
}

// rotate returns the servers in the same cyclic order, starting at index by modulo
// their number.
func rotate(servers []configuration.Server, by uint64) []configuration.Server {
	if len(servers) == 0 {
		return nil
	}
	first := int(by % uint64(len(servers)))
	return append(slices.Clone(servers[first:]), servers[:first]...)
}

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
