package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
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
func (t *completion) isResumable(failure *verdict.Error) bool {
	return t.isStreaming && t.chunksDelivered > 0 &&
		(failure.Code == verdict.CodeBackendLost || failure.Code == verdict.CodeIncomplete)
}

// cancelRun cancels the request on the engine, even if the context of the caller has
// ended. An error is ignored because the owner cancels the request again before it
// evicts the instance.
func (t *completion) cancelRun(ctx context.Context) {
	timeout := orDefault(t.client.CancelTimeout, defaultCancelTimeout)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	engine := fleet.Engine{Name: t.grant.Engine, Address: t.grant.Address}
	_ = t.client.sendCancel(ctx, engine, t.request.RunID)
}

// run sends the request and delivers the response. parent is the context of the
// request; its end is distinguished from a timeout of the silence timer.
func (t *completion) run(parent context.Context) (request.Response, *verdict.Error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	r, failure := t.newRequest(ctx)
	if failure != nil {
		return request.Response{}, failure
	}
	t.silenceTimeout = orDefault(t.client.ResponseTimeout, defaultResponseTimeout)
	if t.isStreaming {
		t.silenceTimeout = streamProgressTimeout(ctx, orDefault(t.client.ProgressTimeout, defaultProgressTimeout))
	}
	t.silenceTimer = time.AfterFunc(t.silenceTimeout, func() {
		t.silent.Store(true)
		cancel()
	})
	defer t.silenceTimer.Stop()
	response, wrote, err := t.client.httpClient.Send(r)
	if err != nil {
		return request.Response{}, t.lostResponseError(parent, wrote, err)
	}
	defer response.Body.Close() //nolint:errcheck // The body was read to its end or is discarded.
	if ids := response.Header.Values(engineapi.HeaderRequestID); !t.isOwn(ids) {
		return request.Response{}, verdict.NewMayHaveRun(verdict.CodeWrongInstance, nil,
			"engine %s: response has request IDs %q, expected %q", t.grant.Engine, ids, t.request.RunID)
	}
	if response.StatusCode != http.StatusOK {
		body, err := t.readBody(response.Body)
		if err != nil {
			return request.Response{}, t.lostResponseError(parent, true, err)
		}
		return request.Response{}, refusalError(t.grant.Engine, response, body, completionProofs)
	}
	if t.chunksBefore > 0 && response.Header.Get(engineapi.HeaderEngineStart) != strconv.FormatUint(uint64(t.grant.EngineStart), 10) {
		return request.Response{}, verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil,
			"engine %s: stream cannot be resumed: the engine has restarted", t.grant.Engine)
	}
	if t.isStreaming {
		return t.readStream(parent, response)
	}
	return t.readWhole(parent, response)
}

// isOwn reports whether a response with the request ids is that of the request: it has the id of
// the request and no other one.
func (t *completion) isOwn(ids []string) bool {
	return len(ids) > 0 && !slices.ContainsFunc(ids, func(id string) bool { return id != string(t.request.RunID) })
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
func (t *completion) newRequest(ctx context.Context) (*http.Request, *verdict.Error) {
	body, err := engineapi.RewriteRequest(t.request.Body, t.instance, t.isStreaming)
	if err != nil {
		return nil, verdict.NewNotRun(verdict.CodeMalformed, "request body: %v", err)
	}
	r, err := backend.NewRequest(ctx, http.MethodPost, "http://"+t.grant.Address+engineapi.PathCompletions, body)
	if err != nil {
		return nil, verdict.NewNotRun(verdict.CodeInternal, "engine %s: address %q: %v", t.grant.Engine, t.grant.Address, err)
	}
	r.Header.Set("Content-Type", contentTypeJSON)
	r.Header.Set(engineapi.HeaderRequestID, string(t.request.RunID))
	r.Header.Set(engineapi.HeaderEngineStart, strconv.FormatUint(uint64(t.grant.EngineStart), 10))
	if end, ok := ctx.Deadline(); ok {
		left := max(time.Until(end).Milliseconds(), 1)
		r.Header.Set(engineapi.HeaderTimeout, strconv.FormatInt(left, 10))
	}
	if t.chunksBefore > 0 {
		r.Header.Set(engineapi.HeaderLastEventID, strconv.Itoa(t.firstPosition()-1))
	}
	return r, nil
}

// firstPosition returns the position of the first chunk that this attempt reads. A
// resumed stream reads the last chunks of the caller again, because a finish reason in
// them decides whether the closing mark may follow. It starts at chunk 1 at the
// earliest, because a stream that starts at chunk 0 would be a second run.
func (t *completion) firstPosition() int {
	if t.chunksBefore == 0 {
		return 0
	}
	return max(t.chunksBefore-resumeOverlapChunks, 1)
}

// lostResponseError returns the error of an attempt whose connection failed or went
// silent.
func (t *completion) lostResponseError(parent context.Context, wrote bool, cause error) *verdict.Error {
	if t.silent.Load() && parent.Err() == nil {
		t.client.httpClient.CloseIdleConnections()
		failure := verdict.NewMayHaveRun(verdict.CodeBackendLost, cause, "engine %s: no progress for %s", t.grant.Engine, t.silenceTimeout)
		if !wrote {
			failure.Verdict = verdict.NotRun
		}
		return failure
	}
	return lostResponseError(parent, t.grant.Engine, wrote, cause)
}

// resetSilenceTimer restarts the silence timer after progress.
func (t *completion) resetSilenceTimer() {
	t.silenceTimer.Reset(t.silenceTimeout)
}

// readBody reads a body of at most maxBodyBytes. Each read that returns data counts as
// progress.
func (t *completion) readBody(body io.Reader) ([]byte, error) {
	return backend.ReadBody(body, t.client.BufferQuota, maxBodyBytes, t.resetSilenceTimer)
}

// readWhole reads a response that is not streamed and checks that it is complete.
func (t *completion) readWhole(parent context.Context, response *http.Response) (request.Response, *verdict.Error) {
	body, err := t.readBody(response.Body)
	if err != nil {
		return request.Response{}, t.lostResponseError(parent, true, err)
	}
	if failure := t.checkPart(body); failure != nil {
		return request.Response{}, failure
	}
	if !t.isFinished() {
		return request.Response{}, t.incompleteError("response has no finish reason")
	}
	body, err = engineapi.ReplaceModel(body, t.grant.Instance.String(), t.request.Adapter.String())
	if err != nil {
		return request.Response{}, t.incompleteError(err.Error())
	}
	return request.Response{Status: response.StatusCode, ContentType: contentTypeJSON, Body: body}, nil
}

// readStream delivers the chunks of a stream until its closing mark.
func (t *completion) readStream(parent context.Context, response *http.Response) (request.Response, *verdict.Error) {
	next := t.firstPosition()
	events := engineapi.NewEventReader(response.Body, t.reservation(), t.reservation())
	defer events.Close()
	events.Progress = t.resetSilenceTimer
	for {
		event, err := events.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return request.Response{}, t.incompleteError("stream ended without a closing mark")
			}
			return request.Response{}, t.lostResponseError(parent, true, err)
		}
		if string(event.Data) == engineapi.Done {
			if !t.isFinished() {
				return request.Response{}, t.incompleteError("stream closed before every choice had a finish reason")
			}
			return request.Response{Status: response.StatusCode, ContentType: engineapi.EventStreamType, Chunks: t.chunksDelivered}, nil
		}
		if failure := t.checkPart(event.Data); failure != nil {
			return request.Response{}, failure
		}
		if event.Position != next {
			return request.Response{}, verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil,
				"engine %s: chunk has position %d, expected %d", t.grant.Engine, event.Position, next)
		}
		if failure := t.deliver(event); failure != nil {
			return request.Response{}, failure
		}
		next++
	}
}

// reservation returns a reservation for one buffer of the response.
func (t *completion) reservation() *buffering.Reservation {
	return &buffering.Reservation{Quota: t.client.BufferQuota}
}

// deliver writes a chunk to the sink unless the caller already has it.
func (t *completion) deliver(event engineapi.Event) *verdict.Error {
	if event.Position < t.chunksDelivered {
		return nil
	}
	data, err := engineapi.ReplaceModel(event.Data, t.grant.Instance.String(), t.request.Adapter.String())
	if err != nil {
		return t.incompleteError(err.Error())
	}
	// Time that the caller takes to receive the chunk does not count as silence of the
	// engine.
	t.silenceTimer.Stop()
	defer t.resetSilenceTimer()
	if err := t.sink.WriteChunk(request.Chunk{Position: event.Position, Data: data}); err != nil {
		return verdict.NewMayHaveRun(verdict.CodeCanceled, err, "write chunk to caller")
	}
	t.chunksDelivered++
	return nil
}

// checkPart verifies that a response or chunk comes from the instance of the grant, and
// records its finish reasons.
func (t *completion) checkPart(data []byte) *verdict.Error {
	var part engineapi.Completion
	if err := json.Unmarshal(data, &part); err != nil {
		return verdict.NewMayHaveRun(verdict.CodeBackendRefused, err, "engine %s: response is not valid JSON", t.grant.Engine)
	}
	if part.Error != nil {
		return verdict.NewMayHaveRun(unprovenCode(part.Error.Code), nil, "engine %s: run ended with code %q: %s",
			t.grant.Engine, part.Error.Code, part.Error.Message)
	}
	if part.Model != t.instance {
		return verdict.NewMayHaveRun(verdict.CodeWrongInstance, nil, "engine %s: response has instance %q, expected %q",
			t.grant.Engine, part.Model, t.instance)
	}
	for _, choice := range part.Choices {
		if choice.FinishReason != nil {
			t.hasFinishReason = true
			delete(t.unfinished, choice.Index)
			continue
		}
		t.unfinished[choice.Index] = true
	}
	return nil
}

// isFinished reports whether every choice that was seen has its finish reason, and at
// least one was seen.
func (t *completion) isFinished() bool {
	return t.hasFinishReason && len(t.unfinished) == 0
}

// incompleteError returns the error of a response that ended before it was complete.
func (t *completion) incompleteError(reason string) *verdict.Error {
	return verdict.NewMayHaveRun(verdict.CodeIncomplete, nil, "engine %s: %s", t.grant.Engine, reason)
}
