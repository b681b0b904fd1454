package engine

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// resumeOverlapChunks is the number of chunks that the caller already has and a resumed
// stream reads again. It is two because the last chunk may be a usage report, which
// follows the chunk with the finish reason.
const resumeOverlapChunks = 2

// A completion is one attempt to run a request on an engine. It belongs to the
// goroutine of the request; only silent is also set by the goroutine of the timer.
type completion struct {
	client *Client
	grant  fleet.Grant
	// instance is the instance name that the response must carry.
	instance string
	request  *request.Request
	// isStreaming says that the response is read as a stream. It is false for a request
	// that may not be repeated even if the caller wants a stream, because the response of
	// such a request is recorded as a whole.
	isStreaming bool
	// chunksBefore is the number of chunks that the caller received from earlier
	// attempts.
	chunksBefore int
	// chunksDelivered is the number of chunks that the caller has received so far, those
	// of earlier attempts included.
	chunksDelivered int
	// unfinished has the indexes of the choices seen without a finish reason.
	unfinished map[int]bool
	// hasFinishReason says that at least one choice has a finish reason.
	hasFinishReason bool
	sink            dispatch.Sink

	// silenceTimeout is the longest time without progress. Each progress restarts
	// silenceTimer, which cancels the attempt when it expires.
	silenceTimeout time.Duration
	silenceTimer   *time.Timer
	// silent is set when silenceTimer expires.
	silent atomic.Bool
}

// Complete runs the request on the instance of the grant, as dispatch.EngineClient
// describes. Its error is a *verdict.Error. Unless a later attempt can resume the
// stream, Complete cancels a failed request on the engine before it returns, so that
// the grant is not released while the request runs.
func (c *Client) Complete(ctx context.Context, grant fleet.Grant, r *request.Request, resume int, sink dispatch.Sink) (request.Response, error) {
	endCall, err := c.beginCall()
	if err != nil {
		return request.Response{}, err
	}
	defer endCall()
	t := &completion{
		client:          c,
		grant:           grant,
		instance:        grant.Instance.String(),
		request:         r,
		isStreaming:     r.Stream && r.Repeatable(),
		chunksBefore:    resume,
		chunksDelivered: resume,
		unfinished:      make(map[int]bool),
		sink:            sink,
	}
	if grant.Instance.Adapter != r.Adapter {
		return request.Response{}, verdict.NewNotRun(verdict.CodeWrongInstance,
			"engine %s: grant is for %s, request for %s", grant.Engine, grant.Instance, r.Adapter)
	}
	response, failure := t.run(ctx)
	if failure == nil {
		return response, nil
	}
	if t.chunksBefore > 0 {
		// An earlier attempt delivered chunks, so the request has run at least in part.
		failure.Verdict = verdict.MayHaveRun
	}
	if failure.Verdict == verdict.MayHaveRun && !t.isResumable(failure) {
		t.cancelRun(ctx)
	}
	return request.Response{}, failure
}

// isResumable reports whether a later attempt may continue the stream of this run.
func (c *completion) isResumable(failure *verdict.Error) bool {
	return c.isStreaming && c.chunksDelivered > 0 &&
		(failure.Code == verdict.CodeBackendLost || failure.Code == verdict.CodeIncomplete)
}

// cancelRun cancels the request on the engine, even if the context of the caller has
// ended. An error is ignored because the owner cancels the request again before it
// evicts the instance.
func (c *completion) cancelRun(ctx context.Context) {
	timeout := orDefault(c.client.CancelTimeout, defaultCancelTimeout)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	engine := fleet.Engine{Name: c.grant.Engine, Address: c.grant.Address}
	_ = c.client.sendCancel(ctx, engine, c.request.RunID)
}

// run sends the request and delivers the response. parent is the context of the
// request; its end is distinguished from a timeout of the silence timer.
func (c *completion) run(parent context.Context) (request.Response, *verdict.Error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	r, failure := c.newRequest(ctx)
	if failure != nil {
		return request.Response{}, failure
	}
	c.silenceTimeout = orDefault(c.client.ResponseTimeout, defaultResponseTimeout)
	if c.isStreaming {
		c.silenceTimeout = streamProgressTimeout(ctx, orDefault(c.client.ProgressTimeout, defaultProgressTimeout))
	}
	c.silenceTimer = time.AfterFunc(c.silenceTimeout, func() {
		c.silent.Store(true)
		cancel()
	})
	defer c.silenceTimer.Stop()
	response, wrote, err := c.client.httpClient.Send(r)
	if err != nil {
		return request.Response{}, c.lostResponseError(parent, wrote, err)
	}
	if response.StatusCode != http.StatusOK {
		// The engine may write its refusal once more, when the request is sent again with the same id.
		response.Retire()
	}
	defer response.Body.Close() //nolint:errcheck // The body was read to its end or is discarded.
	if ids := response.Header.Values(engineapi.HeaderRequestID); !c.isOwn(ids) {
		return request.Response{}, verdict.NewMayHaveRun(verdict.CodeWrongInstance, nil,
			"engine %s: response has request IDs %q, expected %q", c.grant.Engine, ids, c.request.RunID)
	}
	if response.StatusCode != http.StatusOK {
		body, err := c.readBody(response.Body)
		if err != nil {
			return request.Response{}, c.lostResponseError(parent, true, err)
		}
		return request.Response{}, refusalError(c.grant.Engine, response, body, completionProofs)
	}
	if c.chunksBefore > 0 && response.Header.Get(engineapi.HeaderEngineStart) != strconv.FormatUint(uint64(c.grant.EngineStart), 10) {
		return request.Response{}, verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil,
			"engine %s: stream cannot be resumed: the engine has restarted", c.grant.Engine)
	}
	if c.isStreaming {
		return c.readStream(parent, response)
	}
	return c.readWhole(parent, response)
}

// isOwn reports whether a response with the request ids is that of the request: it has the id of
// the request and no other one.
func (c *completion) isOwn(ids []string) bool {
	return len(ids) > 0 && !slices.ContainsFunc(ids, func(id string) bool { return id != string(c.request.RunID) })
}

// streamProgressTimeout returns the longest time without progress of a stream: the
// configured timeout, or half of the time until the deadline if that is less, but at
// least minProgressTimeout unless the configured timeout is shorter.
func streamProgressTimeout(ctx context.Context, configured time.Duration) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return configured
	}
	return min(configured, max(time.Until(end)/2, minProgressTimeout))
}

// newRequest returns the HTTP request with the instance name as its model.
func (c *completion) newRequest(ctx context.Context) (*http.Request, *verdict.Error) {
	body, err := engineapi.RewriteRequest(c.request.Body, c.instance, c.isStreaming)
	if err != nil {
		return nil, verdict.NewNotRun(verdict.CodeMalformed, "request body: %v", err)
	}
	r, err := backend.NewRequest(ctx, http.MethodPost, "http://"+c.grant.Address+engineapi.PathCompletions, body)
	if err != nil {
		return nil, verdict.NewNotRun(verdict.CodeInternal, "engine %s: address %q: %v", c.grant.Engine, c.grant.Address, err)
	}
	r.Header.Set("Content-Type", contentTypeJSON)
	r.Header.Set(engineapi.HeaderRequestID, string(c.request.RunID))
	r.Header.Set(engineapi.HeaderEngineStart, strconv.FormatUint(uint64(c.grant.EngineStart), 10))
	if end, ok := ctx.Deadline(); ok {
		left := max(time.Until(end).Milliseconds(), 1)
		r.Header.Set(engineapi.HeaderTimeout, strconv.FormatInt(left, 10))
	}
	if c.chunksBefore > 0 {
		r.Header.Set(engineapi.HeaderLastEventID, strconv.Itoa(c.firstPosition()-1))
	}
	return r, nil
}

// firstPosition returns the position of the first chunk that this attempt reads. A
// resumed stream reads the last chunks of the caller again, because a finish reason in
// them decides whether the closing mark may follow. It starts at chunk 1 at the
// earliest, because a stream that starts at chunk 0 would be a second run.
func (c *completion) firstPosition() int {
	if c.chunksBefore == 0 {
		return 0
	}
	return max(c.chunksBefore-resumeOverlapChunks, 1)
}

// lostResponseError returns the error of an attempt whose connection failed or went
// silent.
func (c *completion) lostResponseError(parent context.Context, wrote bool, cause error) *verdict.Error {
	if c.silent.Load() && parent.Err() == nil {
		c.client.httpClient.CloseIdleConnections()
		failure := verdict.NewMayHaveRun(verdict.CodeBackendLost, cause, "engine %s: no progress for %s", c.grant.Engine, c.silenceTimeout)
		if !wrote {
			failure.Verdict = verdict.NotRun
		}
		return failure
	}
	return lostResponseError(parent, c.grant.Engine, wrote, cause)
}

// resetSilenceTimer restarts the silence timer after progress.
func (c *completion) resetSilenceTimer() {
	c.silenceTimer.Reset(c.silenceTimeout)
}
