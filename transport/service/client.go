// Package service has the HTTP client of plain services.
package service

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

const (
	// defaultResponseTimeout bounds the time without a byte of an answer.
	defaultResponseTimeout = 15 * time.Second
	// maximumBody bounds an answer, in bytes.
	maximumBody = 16 << 20
)

const (
	headerRequestID = "X-Request-Id"
	headerTimeout   = "Persimmonmux-Timeout-Ms"
)

// A Client calls plain services. Its fields are set before use; zero limits mean
// the defaults. It may be used by many goroutines.
type Client struct {
	// Configuration returns the configuration in force, or nil.
	Configuration func() *configuration.Configuration
	// Leaving says whether a server leaves according to the host list; nil means
	// that none does.
	Leaving func(server string) bool
	// FailureDomain is the failure domain of this host. Its servers are tried first.
	FailureDomain fleet.FailureDomainName
	// DialTimeout bounds a connection attempt.
	DialTimeout time.Duration
	// ResponseTimeout bounds the time without a byte of an answer.
	ResponseTimeout time.Duration

	once       sync.Once
	httpClient backend.Client
	// calls spreads calls over the servers of a failure domain.
	calls atomic.Uint64
}

// Close refuses new calls, waits for the calls in flight and closes all
// connections.
func (c *Client) Close() error {
	return c.httpClient.Close()
}

// Call makes one try on one server of the service; see dispatch.ServiceClient.
// A server to which nothing was written does not count as tried, so the next one
// takes the request.
func (c *Client) Call(ctx context.Context, r *request.Request) (request.Response, error) {
	c.once.Do(func() { c.httpClient.DialTimeout = c.DialTimeout })
	leave, err := c.httpClient.BeginCall()
	if err != nil {
		return request.Response{}, verdict.NewNotRun(verdict.CodeStopping, "service client: closed")
	}
	defer leave()
	current := c.Configuration()
	if current == nil {
		return request.Response{}, verdict.NewNotRun(verdict.CodeNoConfiguration, "service %s: no configuration", r.Service)
	}
	service, ok := current.Services[r.Service]
	if !ok {
		return request.Response{}, verdict.NewNotRun(verdict.CodeUnknownService, "service %s: unknown", r.Service)
	}
	failure := verdict.NewNotRun(verdict.CodeBackendLost, "service %s: no server takes work", r.Service)
	for _, server := range c.order(service, current.Draining) {
		t := &try{client: c, service: service, server: server, request: r}
		answer, result := t.run(ctx)
		if result == nil {
			return answer, nil
		}
		failure = result
		if t.wrote || ctx.Err() != nil {
			break
		}
	}
	return request.Response{}, failure
}

// order returns the servers that take work, those of the own failure domain
// first. Within each part successive calls start at successive servers.
func (c *Client) order(service configuration.Service, draining map[string]bool) []configuration.Server {
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
	call := c.calls.Add(1)
	return append(rotate(near, call), rotate(far, call)...)
}

func rotate(servers []configuration.Server, by uint64) []configuration.Server {
	if len(servers) == 0 {
		return nil
	}
	first := int(by % uint64(len(servers)))
	return append(slices.Clone(servers[first:]), servers[:first]...)
}

// A try is one write of a request to one server. It belongs to the goroutine of
// the request.
type try struct {
	client  *Client
	service configuration.Service
	server  configuration.Server
	request *request.Request
	// wrote says that a byte of the request may have been written.
	wrote bool
	limit time.Duration
}

func (t *try) run(parent context.Context) (request.Response, *verdict.Error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	if !strings.HasPrefix(t.request.Path, "/") {
		// Without the slash the path would change the address of the server.
		return request.Response{}, verdict.NewNotRun(verdict.CodeMalformed, "service %s: path %q does not start with a slash", t.service.Name, t.request.Path)
	}
	r, err := backend.NewRequest(ctx, t.request.Method, "http://"+t.server.Address+t.request.Path, t.request.Body)
	if err != nil {
		return request.Response{}, verdict.NewNotRun(verdict.CodeMalformed, "service %s: %v", t.service.Name, err)
	}
	if len(t.request.Body) > 0 {
		r.Header.Set("Content-Type", cmp.Or(t.request.ContentType, "application/json"))
	}
	r.Header.Set(headerRequestID, string(t.request.ID))
	if end, ok := ctx.Deadline(); ok {
		r.Header.Set(headerTimeout, strconv.FormatInt(max(time.Until(end).Milliseconds(), 1), 10))
	}
	t.limit = t.client.ResponseTimeout
	if t.limit == 0 {
		t.limit = defaultResponseTimeout
	}
	var silent atomic.Bool
	timer := time.AfterFunc(t.limit, func() {
		silent.Store(true)
		cancel()
	})
	defer timer.Stop()
	answer, wrote, err := t.client.httpClient.Send(r)
	t.wrote = wrote
	if err != nil {
		return request.Response{}, t.lost(parent, silent.Load(), err)
	}
	defer answer.Body.Close() //nolint:errcheck // The body is read or given up.
	body, err := t.read(answer, func() { timer.Reset(t.limit) })
	if err != nil {
		return request.Response{}, t.lost(parent, silent.Load(), err)
	}
	return t.judge(answer, body)
}

// read returns the whole body. A body that only the end of the connection
// delimits is never known to be whole.
func (t *try) read(answer *http.Response, progress func()) ([]byte, error) {
	delimited := answer.ContentLength >= 0 || slices.Contains(answer.TransferEncoding, "chunked")
	if !delimited && answer.Request.Method != http.MethodHead {
		return nil, errors.New("answer without a length")
	}
	var body []byte
	buffer := make([]byte, 32<<10)
	for {
		n, err := answer.Body.Read(buffer)
		body = append(body, buffer[:n]...)
		if len(body) > maximumBody {
			return nil, errors.New("answer is too large")
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if n > 0 {
			progress()
		}
	}
}

// judge turns a whole HTTP answer into the answer of the request. A redirect, an
// overload or a server failure is not an answer, and proves that the request did
// not run only if the configuration says so.
func (t *try) judge(answer *http.Response, body []byte) (request.Response, *verdict.Error) {
	if id := answer.Header.Get(headerRequestID); id != "" && id != string(t.request.ID) {
		return request.Response{}, verdict.NewMayHaveRun(verdict.CodeWrongInstance, nil,
			"server %s: answer names request %q, not %q", t.server.Name, id, t.request.ID)
	}
	status := answer.StatusCode
	if slices.Contains(t.service.NotRunStatuses, status) {
		failure := verdict.NewNotRun(verdict.CodeBackendRefused, "server %s: status %d", t.server.Name, status)
		failure.RetryAfter = retryAfter(answer)
		return request.Response{}, failure
	}
	answered := status >= 200 && status < 300 || status >= 400 && status < 500 &&
		status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
	if !answered {
		failure := verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil, "server %s: status %d", t.server.Name, status)
		failure.RetryAfter = retryAfter(answer)
		return request.Response{}, failure
	}
	return request.Response{Status: status, ContentType: answer.Header.Get("Content-Type"), Body: body}, nil
}

// lost returns the failure of a try that got no whole answer.
func (t *try) lost(parent context.Context, silent bool, cause error) *verdict.Error {
	code := verdict.CodeBackendLost
	switch {
	case errors.Is(parent.Err(), context.Canceled):
		code = verdict.CodeCanceled
	case errors.Is(parent.Err(), context.DeadlineExceeded):
		code = verdict.CodeDeadline
	case silent:
		t.client.httpClient.CloseIdleConnections()
	}
	failure := verdict.NewMayHaveRun(code, cause, "server %s: no whole answer", t.server.Name)
	if !t.wrote {
		failure.Verdict = verdict.NotRun
	}
	return failure
}

// retryAfter reads the header in seconds; a date is ignored.
func retryAfter(answer *http.Response) time.Duration {
	seconds, err := strconv.Atoi(answer.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
