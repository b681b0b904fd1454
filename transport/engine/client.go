// Package engine has the HTTP client of engines.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

const (
	// defaultProgressLimit is well above the time between tokens (44 ms for 95
	// in 100) and the 1 s between keep-alive comments of a queued stream.
	defaultProgressLimit = 5 * time.Second
	// leastProgressLimit is the shortest limit that a stream near its deadline
	// has: two of the keep-alive comments of a queued stream.
	leastProgressLimit = 2 * time.Second
	// defaultResponseTimeout bounds the wait for an answer that is not streamed,
	// which shows no progress while it runs.
	defaultResponseTimeout = time.Minute
	// defaultLoadLimit allows for a queue of loads at the weight store.
	defaultLoadLimit = time.Minute
	// defaultOrderLimit bounds the orders that an engine carries out at once.
	defaultOrderLimit = 5 * time.Second
	// defaultCancelLimit bounds how long a caller's departure is held up by the
	// cancel order for its request.
	defaultCancelLimit = 2 * time.Second
	// maximumBody bounds an answer that is not streamed, in bytes.
	maximumBody = 16 << 20
)

// A Client calls engines. Its fields are set before use; zero limits mean the
// defaults. It may be used by many goroutines.
type Client struct {
	// DialTimeout bounds a connection attempt.
	DialTimeout time.Duration
	// ProgressTimeout bounds the time without a line of a streamed answer. A try
	// with less than twice that time left has a shorter limit, so that a further
	// try follows it.
	ProgressTimeout time.Duration
	// ResponseTimeout bounds the time without a byte of an answer that is not streamed.
	ResponseTimeout time.Duration
	// LoadTimeout bounds a load order.
	LoadTimeout time.Duration
	// OrderTimeout bounds unload orders, reports and cancel orders.
	OrderTimeout time.Duration
	// CancelTimeout bounds the cancel order at the end of a failed completion.
	CancelTimeout time.Duration

	once       sync.Once
	httpClient backend.Client
}

// Close refuses new calls, waits for the calls in flight and closes all
// connections.
func (c *Client) Close() error {
	return c.httpClient.Close()
}

// enter counts a call. Its error is a *verdict.Error.
func (c *Client) enter() (func(), error) {
	c.once.Do(func() { c.httpClient.DialTimeout = c.DialTimeout })
	leave, err := c.httpClient.BeginCall()
	if err != nil {
		return nil, verdict.NewNotRun(verdict.CodeStopping, "engine client: closed")
	}
	return leave, nil
}

// Load loads the adapter of the instance. The error is a *verdict.Error; with
// verdict NotRun the instance was not loaded by this order.
func (c *Client) Load(ctx context.Context, engine fleet.Engine, instance fleet.Instance, epoch fleet.Epoch) error {
	leave, err := c.enter()
	if err != nil {
		return err
	}
	defer leave()
	order := engineapi.LoadRequest{LoraName: instance.String(), LoraPath: instance.Adapter.String()}
	return c.order(ctx, engine, engineapi.PathLoad, order, &epoch, positive(c.LoadTimeout, defaultLoadLimit))
}

// Unload frees the slot of the instance. The error is a *verdict.Error; code
// unknown-instance means that the instance was not loaded.
func (c *Client) Unload(ctx context.Context, engine fleet.Engine, instance fleet.Instance, epoch fleet.Epoch) error {
	leave, err := c.enter()
	if err != nil {
		return err
	}
	defer leave()
	order := engineapi.UnloadRequest{LoraName: instance.String()}
	return c.order(ctx, engine, engineapi.PathUnload, order, &epoch, positive(c.OrderTimeout, defaultOrderLimit))
}

// Cancel ends the run of a request. With a nil error the request does not run
// on the engine. The error is a *verdict.Error.
func (c *Client) Cancel(ctx context.Context, engine fleet.Engine, request fleet.RequestID) error {
	leave, err := c.enter()
	if err != nil {
		return err
	}
	defer leave()
	return c.cancel(ctx, engine, request)
}

// cancel is Cancel within a call that Close already waits for.
func (c *Client) cancel(ctx context.Context, engine fleet.Engine, request fleet.RequestID) error {
	order := engineapi.CancelRequest{RequestID: string(request)}
	return c.order(ctx, engine, engineapi.PathCancel, order, nil, positive(c.OrderTimeout, defaultOrderLimit))
}

// ReadReport returns what the engine says of itself. The error is a *verdict.Error.
func (c *Client) ReadReport(ctx context.Context, engine fleet.Engine) (fleet.EngineReport, error) {
	leave, err := c.enter()
	if err != nil {
		return fleet.EngineReport{}, err
	}
	defer leave()
	ctx, cancel := context.WithTimeout(ctx, positive(c.OrderTimeout, defaultOrderLimit))
	defer cancel()
	body, err := c.exchange(ctx, engine, http.MethodGet, engineapi.PathReport, nil, nil)
	if err != nil {
		return fleet.EngineReport{}, err
	}
	var report engineapi.EngineReport
	if err := json.Unmarshal(body, &report); err != nil {
		return fleet.EngineReport{}, verdict.NewMayHaveRun(verdict.CodeIncomplete, err, "engine %s: report", engine.Name)
	}
	return fleet.EngineReport{
		Start:     fleet.StartNumber(report.Start),
		Instances: report.Instances,
		Running:   report.Running,
		Waiting:   report.Waiting,
	}, nil
}

func (c *Client) order(ctx context.Context, engine fleet.Engine, path string, order any, epoch *fleet.Epoch, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	content, err := json.Marshal(order)
	if err != nil {
		return verdict.NewNotRun(verdict.CodeInternal, "engine %s: encode order: %v", engine.Name, err)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if epoch != nil {
		header.Set(engineapi.HeaderFencingNumber, strconv.FormatUint(uint64(*epoch), 10))
	}
	_, err = c.exchange(ctx, engine, http.MethodPost, path, header, content)
	return err
}

// exchange makes one try within a counted call and returns the whole body of a
// success. Its error is a *verdict.Error.
func (c *Client) exchange(ctx context.Context, engine fleet.Engine, method, path string, header http.Header, content []byte) ([]byte, error) {
	r, err := backend.NewRequest(ctx, method, "http://"+engine.Address+path, content)
	if err != nil {
		return nil, verdict.NewNotRun(verdict.CodeInternal, "engine %s: address %q: %v", engine.Name, engine.Address, err)
	}
	for name, values := range header {
		r.Header[name] = values
	}
	answer, wrote, err := c.httpClient.Send(r)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.httpClient.CloseIdleConnections()
		}
		return nil, lost(ctx, engine.Name, wrote, err)
	}
	defer answer.Body.Close() //nolint:errcheck // The body is read or given up.
	body, err := io.ReadAll(io.LimitReader(answer.Body, maximumBody))
	if err != nil {
		return nil, lost(ctx, engine.Name, true, err)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, refusal(engine.Name, answer, body)
	}
	return body, nil
}

// lost returns the failure of a try that got no whole answer. Without a written
// byte there is proof that it did not run.
func lost(ctx context.Context, engine fleet.EngineName, wrote bool, cause error) *verdict.Error {
	code := verdict.CodeBackendLost
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		code = verdict.CodeCanceled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = verdict.CodeDeadline
	}
	failure := verdict.NewMayHaveRun(code, cause, "engine %s: no whole answer", engine)
	if !wrote {
		failure.Verdict = verdict.NotRun
	}
	return failure
}

// refusal returns the failure that an engine answered with. Only the codes whose
// protocol meaning is that nothing was done prove that the order or the request
// did not run.
func refusal(engine fleet.EngineName, answer *http.Response, body []byte) *verdict.Error {
	var failure engineapi.ErrorBody
	if err := json.Unmarshal(body, &failure); err != nil {
		failure.Error.Message = "no readable reason"
	}
	proofs := map[string]verdict.Code{
		engineapi.CodeUnknownInstance:    verdict.CodeUnknownInstance,
		engineapi.CodeStaleFencingNumber: verdict.CodeNotOwner,
		engineapi.CodeNoFreeSlot:         verdict.CodeLoadFailed,
		engineapi.CodeLoadFailed:         verdict.CodeLoadFailed,
	}
	code, proved := proofs[failure.Error.Code]
	if failure.Error.Code == engineapi.CodeUnknownInstance && answer.StatusCode != http.StatusNotFound {
		proved = false
	}
	if !proved {
		return verdict.NewMayHaveRun(doubtful(failure.Error.Code), nil, "engine %s: status %d, code %q: %s",
			engine, answer.StatusCode, failure.Error.Code, failure.Error.Message)
	}
	return verdict.NewNotRun(code, "engine %s: %s", engine, failure.Error.Message)
}

// doubtful returns the code of a failure that proves nothing. An engine ends a run
// early at the time limit of the request or when the owner cancels it at the end
// of its grant, which may reach the client before its own deadline does.
func doubtful(code string) verdict.Code {
	if code == engineapi.CodeCanceled {
		return verdict.CodeDeadline
	}
	return verdict.CodeBackendRefused
}

// positive returns limit, or the fallback when limit is zero.
func positive(limit, fallback time.Duration) time.Duration {
	if limit == 0 {
		return fallback
	}
	return limit
}
