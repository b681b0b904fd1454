// Package engine is the HTTP client of engines: it runs completions on them, loads and
// unloads adapters, cancels requests and reads reports.
package engine

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

const (
	// defaultProgressTimeout bounds the time between two lines of a streamed response. It
	// is well above the time between tokens (44 ms at the 95th percentile) and the 1 s
	// between the keep-alive comments of a queued stream.
	defaultProgressTimeout = 5 * time.Second
	// minProgressTimeout is the shortest progress timeout of a stream near its deadline.
	// It is as long as two intervals between the keep-alive comments of a queued stream.
	minProgressTimeout = 2 * time.Second
	// defaultResponseTimeout bounds the time without a byte of a response that is not
	// streamed. Such a response shows no progress while the request runs.
	defaultResponseTimeout = time.Minute
	// defaultLoadTimeout bounds an order to load an adapter. It leaves time for a load
	// that waits in a queue at the weight store.
	defaultLoadTimeout = time.Minute
	// defaultOrderTimeout bounds the orders that an engine carries out immediately, and
	// reading a report.
	defaultOrderTimeout = 5 * time.Second
	// defaultCancelTimeout bounds how long Complete waits for the engine to cancel a
	// failed request, for example after the caller has disconnected.
	defaultCancelTimeout = 2 * time.Second
	// maxBodyBytes bounds the body of a response that is not streamed, which is shorter.
	maxBodyBytes = 16 << 20
)

// contentTypeJSON is the media type of requests, and of responses that are not streamed.
const contentTypeJSON = "application/json"

// A Client sends completions and orders to engines. Its fields are set before use; a
// zero timeout means the default. It is safe for concurrent use.
type Client struct {
	// DialTimeout bounds a connection attempt.
	DialTimeout time.Duration
	// ProgressTimeout bounds the time between two lines of a streamed response. An
	// attempt with less than twice that time until its deadline has a shorter timeout, so
	// that time is left for another attempt.
	ProgressTimeout time.Duration
	// ResponseTimeout bounds the time without a byte of a response that is not streamed.
	ResponseTimeout time.Duration
	// LoadTimeout bounds an order to load an adapter.
	LoadTimeout time.Duration
	// OrderTimeout bounds orders to unload an adapter or cancel a request, and reading a
	// report.
	OrderTimeout time.Duration
	// CancelTimeout bounds the cancel order that Complete sends after a failed
	// completion.
	CancelTimeout time.Duration
	// BufferQuota bounds what all responses together hold while they are read. Without it
	// only each response by itself is bounded.
	BufferQuota *buffering.Quota

	once sync.Once
	// httpClient sends completions and reads reports. orderClient sends orders, whose responses name
	// no request.
	httpClient, orderClient backend.Client
}

// Close refuses new calls, waits until the calls in flight have ended and closes all
// connections.
func (c *Client) Close() error {
	return errors.Join(c.httpClient.Close(), c.orderClient.Close())
}

// beginCall registers a call that Close waits for, and returns the function that ends
// it. Its error is a *verdict.Error.
func (c *Client) beginCall() (func(), error) {
	c.once.Do(func() {
		c.httpClient.DialTimeout, c.orderClient.DialTimeout = c.DialTimeout, c.DialTimeout
		c.orderClient.SingleUse = true
	})
	endCall, err := c.httpClient.BeginCall()
	if err != nil {
		return nil, errClosed()
	}
	return endCall, nil
}

// errClosed returns the error of a call after Close.
func errClosed() *verdict.Error {
	return verdict.NewNotRun(verdict.CodeStopping, "engine client: closed")
}

// roundTrip sends one request and returns the whole body of a response with status 200.
// It must run between beginCall and the end of that call. Its error is a
// *verdict.Error.
func (c *Client) roundTrip(ctx context.Context, client *backend.Client, engine fleet.Engine, method, path string, header http.Header, content []byte) ([]byte, error) {
	r, err := backend.NewRequest(ctx, method, "http://"+engine.Address+path, content)
	if err != nil {
		return nil, verdict.NewNotRun(verdict.CodeInternal, "engine %s: address %q: %v", engine.Name, engine.Address, err)
	}
	for name, values := range header {
		r.Header[name] = values
	}
	response, wrote, err := client.Send(r)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.httpClient.CloseIdleConnections()
		}
		return nil, lostResponseError(ctx, engine.Name, wrote, err)
	}
	defer response.Body.Close() //nolint:errcheck // The body was read to its end or is discarded.
	body, err := backend.ReadBody(response.Body, c.BufferQuota, maxBodyBytes, nil)
	if err != nil {
		return nil, lostResponseError(ctx, engine.Name, true, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusalError(engine.Name, response, body, orderProofs)
	}
	return body, nil
}

// lostResponseError returns the error of an attempt whose response did not arrive
// whole. Its verdict is NotRun only if no byte of the request was written.
func lostResponseError(ctx context.Context, engine fleet.EngineName, wrote bool, cause error) *verdict.Error {
	code := verdict.CodeBackendLost
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		code = verdict.CodeCanceled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = verdict.CodeDeadline
	}
	failure := verdict.NewMayHaveRun(code, cause, "engine %s: no complete response", engine)
	if !wrote {
		failure.Verdict = verdict.NotRun
	}
	return failure
}

// orDefault returns the configured timeout, or the default if it is zero.
func orDefault(configured, defaultTimeout time.Duration) time.Duration {
	if configured == 0 {
		return defaultTimeout
	}
	return configured
}
