package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
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

// overlap is the number of chunks that a resumed stream repeats: the last one
// may be a usage report, which follows the chunk with the finish reason.
const overlap = 2

// A completion is one try of a request on an engine. It belongs to the goroutine
// of the request.
type completion struct {
	client *Client
	grant  fleet.Grant
	// instance is the name that the answer must carry.
	instance string
	request  *request.Request
	// stream is false for requests that may not be repeated, because their
	// answer is recorded whole.
	stream bool
	// resume is the number of chunks that the caller had before the try.
	resume int
	// chunks is the number of chunks that the caller has.
	chunks int
	// unfinished are the choices without a finish reason.
	unfinished map[int]bool
	finished   bool
	sink       dispatch.Sink

	limit time.Duration
	timer *time.Timer
	// silent says that the time without progress passed its limit.
	silent atomic.Bool
}

// Complete runs the request on the instance of the grant. See
// dispatch.EngineClient. Unless the caller can resume the stream, a failed
// request is canceled on the engine before Complete returns, so that the grant
// is not released while the request runs.
func (c *Client) Complete(ctx context.Context, grant fleet.Grant, r *request.Request, resume int, sink dispatch.Sink) (request.Response, error) {
	leave, err := c.enter()
	if err != nil {
		return request.Response{}, err
	}
	defer leave()
	t := &completion{
		client:     c,
		grant:      grant,
		instance:   grant.Instance.String(),
		request:    r,
		stream:     r.Stream && r.Repeatable(),
		resume:     resume,
		chunks:     resume,
		unfinished: make(map[int]bool),
		sink:       sink,
	}
	if grant.Instance.Adapter != r.Adapter {
		return request.Response{}, verdict.NewNotRun(verdict.CodeWrongInstance,
			"engine %s: grant is for %s, request for %s", grant.Engine, grant.Instance, r.Adapter)
	}
	answer, failure := t.run(ctx)
	if failure == nil {
		return answer, nil
	}
	if t.resume > 0 {
		// The earlier try ran at least in part.
		failure.Verdict = verdict.MayHaveRun
	}
	if failure.Verdict == verdict.MayHaveRun && !t.resumable(failure) {
		t.cancel(ctx)
	}
	return request.Response{}, failure
}

// resumable says whether a later try may read on in the same run.
func (t *completion) resumable(failure *verdict.Error) bool {
	return t.stream && t.chunks > 0 &&
		(failure.Code == verdict.CodeBackendLost || failure.Code == verdict.CodeIncomplete)
}

// cancel ends the run even when the caller is gone. A failure is not reported:
// the owner cancels again before it evicts the instance.
func (t *completion) cancel(ctx context.Context) {
	limit := positive(t.client.CancelTimeout, defaultCancelLimit)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	engine := fleet.Engine{Name: t.grant.Engine, Address: t.grant.Address}
	_ = t.client.cancel(ctx, engine, t.request.RunID)
}

func (t *completion) run(parent context.Context) (request.Response, *verdict.Error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	r, failure := t.prepare(ctx)
	if failure != nil {
		return request.Response{}, failure
	}
	t.limit = positive(t.client.ResponseTimeout, defaultResponseTimeout)
	if t.stream {
		t.limit = progressLimit(ctx, positive(t.client.ProgressTimeout, defaultProgressLimit))
	}
	t.timer = time.AfterFunc(t.limit, func() {
		t.silent.Store(true)
		cancel()
	})
	defer t.timer.Stop()
	answer, wrote, err := t.client.httpClient.Send(r)
	if err != nil {
		return request.Response{}, t.lost(parent, wrote, err)
	}
	defer answer.Body.Close() //nolint:errcheck // The body is read or given up.
	if id := answer.Header.Get(engineapi.HeaderRequestID); id != string(t.request.RunID) {
		return request.Response{}, verdict.NewMayHaveRun(verdict.CodeWrongInstance, nil,
			"engine %s: answer names request %q, not %q", t.grant.Engine, id, t.request.RunID)
	}
	if answer.StatusCode != http.StatusOK {
		body, err := t.readAll(answer.Body)
		if err != nil {
			return request.Response{}, t.lost(parent, true, err)
		}
		return request.Response{}, refusal(t.grant.Engine, answer, body)
	}
	if t.resume > 0 && answer.Header.Get(engineapi.HeaderEngineStart) != strconv.FormatUint(uint64(t.grant.EngineStart), 10) {
		return request.Response{}, verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil,
			"engine %s: stream to resume was lost in a restart", t.grant.Engine)
	}
	if t.stream {
		return t.readStream(parent, answer)
	}
	return t.readWhole(parent, answer)
}

// progressLimit returns how long a stream may be silent: the configured limit, or
// half of the time left where that is less.
func progressLimit(ctx context.Context, configured time.Duration) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return configured
	}
	return min(configured, max(time.Until(end)/2, leastProgressLimit))
}

func (t *completion) prepare(ctx context.Context) (*http.Request, *verdict.Error) {
	body, err := engineapi.RewriteRequest(t.request.Body, t.instance, t.stream)
	if err != nil {
		return nil, verdict.NewNotRun(verdict.CodeMalformed, "request body: %v", err)
	}
	r, err := backend.NewRequest(ctx, http.MethodPost, "http://"+t.grant.Address+engineapi.PathCompletions, body)
	if err != nil {
		return nil, verdict.NewNotRun(verdict.CodeInternal, "engine %s: address %q: %v", t.grant.Engine, t.grant.Address, err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(engineapi.HeaderRequestID, string(t.request.RunID))
	r.Header.Set(engineapi.HeaderEngineStart, strconv.FormatUint(uint64(t.grant.EngineStart), 10))
	if end, ok := ctx.Deadline(); ok {
		left := max(time.Until(end).Milliseconds(), 1)
		r.Header.Set(engineapi.HeaderTimeout, strconv.FormatInt(left, 10))
	}
	if t.resume > 0 {
		r.Header.Set(engineapi.HeaderLastEventID, strconv.Itoa(t.first()-1))
	}
	return r, nil
}

// first returns the position at which the stream of this try starts. The last
// chunks that the caller has are read again, because the finish reason in them
// decides whether the closing mark may follow. Chunk 0 cannot be asked for again
// without a second run.
func (t *completion) first() int {
	if t.resume == 0 {
		return 0
	}
	return max(t.resume-overlap, 1)
}

// lost returns the failure of a try whose connection failed or went silent.
func (t *completion) lost(parent context.Context, wrote bool, cause error) *verdict.Error {
	if t.silent.Load() && parent.Err() == nil {
		t.client.httpClient.CloseIdleConnections()
		failure := verdict.NewMayHaveRun(verdict.CodeBackendLost, cause, "engine %s: no progress for %s", t.grant.Engine, t.limit)
		if !wrote {
			failure.Verdict = verdict.NotRun
		}
		return failure
	}
	return lost(parent, t.grant.Engine, wrote, cause)
}

// progress starts the limit on the time without progress anew.
func (t *completion) progress() {
	t.timer.Reset(t.limit)
}

// readAll reads a body of bounded size. Each piece counts as progress.
func (t *completion) readAll(body io.Reader) ([]byte, error) {
	whole, err := io.ReadAll(io.LimitReader(progressReader{reader: body, progress: t.progress}, maximumBody+1))
	if err == nil && len(whole) > maximumBody {
		return nil, errors.New("answer is too large")
	}
	return whole, err
}

func (t *completion) readWhole(parent context.Context, answer *http.Response) (request.Response, *verdict.Error) {
	body, err := t.readAll(answer.Body)
	if err != nil {
		return request.Response{}, t.lost(parent, true, err)
	}
	if failure := t.check(body); failure != nil {
		return request.Response{}, failure
	}
	if !t.whole() {
		return request.Response{}, t.incomplete("answer without a finish reason")
	}
	body, err = engineapi.ReplaceModel(body, t.grant.Instance.String(), t.request.Adapter.String())
	if err != nil {
		return request.Response{}, t.incomplete(err.Error())
	}
	return request.Response{Status: answer.StatusCode, ContentType: answer.Header.Get("Content-Type"), Body: body}, nil
}

func (t *completion) readStream(parent context.Context, answer *http.Response) (request.Response, *verdict.Error) {
	next := t.first()
	events := engineapi.NewEventReader(answer.Body)
	events.Progress = t.progress
	for {
		event, err := events.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return request.Response{}, t.incomplete("stream ended without its closing mark")
			}
			return request.Response{}, t.lost(parent, true, err)
		}
		if string(event.Data) == engineapi.Done {
			if !t.whole() {
				return request.Response{}, t.incomplete("closing mark came before a finish reason")
			}
			return request.Response{Status: answer.StatusCode, ContentType: engineapi.EventStreamType, Chunks: t.chunks}, nil
		}
		if failure := t.check(event.Data); failure != nil {
			return request.Response{}, failure
		}
		if event.Position != next {
			return request.Response{}, verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil,
				"engine %s: stream went on at position %d, not %d", t.grant.Engine, event.Position, next)
		}
		if failure := t.pass(event); failure != nil {
			return request.Response{}, failure
		}
		next++
	}
}

// pass gives a chunk to the sink unless the caller has it.
func (t *completion) pass(event engineapi.Event) *verdict.Error {
	if event.Position < t.chunks {
		return nil
	}
	data, err := engineapi.ReplaceModel(event.Data, t.grant.Instance.String(), t.request.Adapter.String())
	if err != nil {
		return t.incomplete(err.Error())
	}
	// The caller's own pace is not the engine's silence.
	t.timer.Stop()
	defer t.progress()
	if err := t.sink.WriteChunk(request.Chunk{Position: event.Position, Data: data}); err != nil {
		return verdict.NewMayHaveRun(verdict.CodeCanceled, err, "caller left")
	}
	t.chunks++
	return nil
}

// check verifies that an answer or chunk comes from the instance of the grant
// and notes its finish reasons.
func (t *completion) check(data []byte) *verdict.Error {
	var part engineapi.Completion
	if err := json.Unmarshal(data, &part); err != nil {
		return verdict.NewMayHaveRun(verdict.CodeBackendRefused, err, "engine %s: unreadable answer", t.grant.Engine)
	}
	if part.Error != nil {
		return verdict.NewMayHaveRun(doubtful(part.Error.Code), nil, "engine %s: run ended with code %q: %s",
			t.grant.Engine, part.Error.Code, part.Error.Message)
	}
	if part.Model != t.instance {
		return verdict.NewMayHaveRun(verdict.CodeWrongInstance, nil, "engine %s: answer names instance %q, not %q",
			t.grant.Engine, part.Model, t.instance)
	}
	for _, choice := range part.Choices {
		if choice.FinishReason != nil {
			t.finished = true
			delete(t.unfinished, choice.Index)
			continue
		}
		t.unfinished[choice.Index] = true
	}
	return nil
}

// whole says whether every choice has its finish reason.
func (t *completion) whole() bool {
	return t.finished && len(t.unfinished) == 0
}

func (t *completion) incomplete(reason string) *verdict.Error {
	return verdict.NewMayHaveRun(verdict.CodeIncomplete, nil, "engine %s: %s", t.grant.Engine, reason)
}

// A progressReader reports each piece that was read.
type progressReader struct {
	reader   io.Reader
	progress func()
}

// Read reads a piece and reports it.
func (r progressReader) Read(buffer []byte) (int, error) {
	n, err := r.reader.Read(buffer)
	if n > 0 {
		r.progress()
	}
	return n, err
}
