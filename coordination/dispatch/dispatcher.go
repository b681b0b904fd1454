// Package dispatch runs the steps of one request in order: admission, claim,
// routing, grant, call of the engine, release of the grant and record of the
// outcome. It is independent of encodings and transports.
//
// A request is served in one or more attempts. Each run of the request on an
// engine takes place under a grant, which prevents the owner of the engine from
// evicting the adapter instance in the meantime.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A Sink receives the chunks of a streamed answer.
type Sink interface {
	// WriteChunk sends one chunk to the caller. An error means that the caller
	// has disconnected.
	WriteChunk(chunk request.Chunk) error
}

// An Admitter limits the requests in flight.
type Admitter interface {
	// Admit counts the request towards the limits and returns the function that
	// ends the count, or a *verdict.Error with verdict NotRun.
	Admit(r *request.Request) (func(), error)
}

// Claims ensures that a request that may not be repeated runs at most once, also
// if the caller sends it several times under one id.
type Claims interface {
	// Claim returns a handle that allows the request to run, or the recorded
	// outcome of an earlier request with the same id. Its error is a
	// *verdict.Error.
	Claim(ctx context.Context, r *request.Request) (booking.ClaimHandle, *booking.Outcome, error)
	// Resolve records the outcome of a claimed request. A NotRun outcome
	// removes the claim, so that a retry may run.
	Resolve(ctx context.Context, handle booking.ClaimHandle, outcome booking.Outcome) error
}

// A Router chooses engines.
type Router interface {
	// Choose returns an engine that is not in tried and counts the request on
	// it, or returns a *verdict.Error.
	Choose(r *request.Request, tried []fleet.EngineName) (fleet.EngineName, error)
	// Done removes a request from the count of an engine that Choose returned.
	Done(engine fleet.EngineName)
}

// A GrantRequest is a request to the owner of an engine for a grant, which keeps an
// adapter instance resident while a request runs on it.
type GrantRequest struct {
	// Engine is the engine that the request was routed to.
	Engine fleet.EngineName
	// Adapter is the adapter with its exact version; Version is at least 1.
	Adapter fleet.AdapterReference
	// RunID is the id of the run and Holder is this host; together they
	// identify the holder of the grant.
	RunID  fleet.RequestID
	Holder fleet.HostName
	// MaxWait is how long the owner may let the request wait for a slot and for
	// the load of the adapter.
	MaxWait time.Duration
	// Duration is how long the grant lasts unless it is released earlier.
	Duration time.Duration
	// Urgency is the urgency of the request's kind, in its text form.
	Urgency string
}

// GrantProvider gets grants from the owners of engines and releases them.
type GrantProvider interface {
	// AcquireGrant returns a grant, or a *verdict.Error with verdict NotRun.
	AcquireGrant(ctx context.Context, request GrantRequest) (fleet.Grant, error)
	// Release ends a grant. It does not wait for the owner's answer.
	Release(grant fleet.Grant)
}

// An EngineClient runs requests on engines.
type EngineClient interface {
	// Complete runs the request on the instance of the grant. If the request is
	// streamed, it writes the chunks to sink. resume is the number of chunks
	// that the caller already has; it is more than zero only if an earlier call
	// started the same run on the same engine. The error is a *verdict.Error.
	Complete(ctx context.Context, grant fleet.Grant, r *request.Request, resume int, sink Sink) (request.Response, error)
	// Cancel ends a run. After a nil error the engine does not run the request
	// any more.
	Cancel(ctx context.Context, engine fleet.Engine, request fleet.RequestID) error
}

// A ServiceClient runs requests on services. A service is a group of backend
// servers without adapters, so that its requests need no grant.
type ServiceClient interface {
	// Call sends the request to one server of the service, once. The error is a
	// *verdict.Error.
	Call(ctx context.Context, r *request.Request) (request.Response, error)
}

// A RetryBudget limits how many requests are retried.
type RetryBudget interface {
	// NextBackoff returns the delay before the given retry of the request,
	// counted from 1, and whether the budget allows the retry.
	NextBackoff(r *request.Request, retry int) (time.Duration, bool)
}

// A Recorder records the outcomes of requests, for example in metrics.
type Recorder interface {
	// RecordRequest is called once for each request, when it has ended. failure
	// is nil if the request succeeded.
	RecordRequest(r *request.Request, answer request.Response, failure *verdict.Error)
}

// A Dispatcher runs the requests of one entry host. Its exported fields are set
// before first use and not changed afterwards; many goroutines may use it.
type Dispatcher struct {
	// Host is this entry host, the holder of all grants.
	Host      fleet.HostName
	Admission Admitter
	Claims    Claims
	Router    Router
	Grants    GrantProvider
	Engines   EngineClient
	Services  ServiceClient
	Retries   RetryBudget
	Recorder  Recorder
	// GrantLimit is the longest duration of a grant.
	GrantLimit time.Duration

	// cancels counts the goroutines that cancel runs in the background.
	cancels sync.WaitGroup
}

// Close waits until all cancellations in the background have ended. It is called
// after the last Dispatch has returned; its error is always nil.
func (d *Dispatcher) Close() error {
	d.cancels.Wait()
	return nil
}

// resolveTimeout limits the recording of an outcome, which may go on after the
// deadline of the request.
const resolveTimeout = 5 * time.Second

const (
	// resumeDelay is the delay before a stream is resumed over another connection.
	resumeDelay = 20 * time.Millisecond
	// maxResumes is how often the stream of one request may be resumed.
	maxResumes = 4
)

// Dispatch runs a request until it has succeeded or failed for good. If the error
// is nil, the whole answer was returned or written to sink; otherwise the error
// is a *verdict.Error.
func (d *Dispatcher) Dispatch(ctx context.Context, r *request.Request, sink Sink) (request.Response, error) {
	answer, err := d.dispatchAdmitted(ctx, r, sink)
	failure := verdict.FromError(err)
	d.Recorder.RecordRequest(r, answer, failure)
	if failure != nil {
		return answer, failure
	}
	return answer, nil
}

// dispatchAdmitted runs the request if the admission limits allow it.
func (d *Dispatcher) dispatchAdmitted(ctx context.Context, r *request.Request, sink Sink) (request.Response, error) {
	release, err := d.Admission.Admit(r)
	if err != nil {
		return request.Response{}, err
	}
	defer release()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if r.Repeatable() {
		return d.runAttempts(ctx, r, sink)
	}
	return d.runClaimed(ctx, r)
}

// runClaimed runs a request that may not be repeated, under a claim. The answer is
// not streamed, because the whole answer is recorded for the case that the caller
// sends the request again.
func (d *Dispatcher) runClaimed(ctx context.Context, r *request.Request) (request.Response, error) {
	handle, outcome, err := d.Claims.Claim(ctx, r)
	if err != nil {
		return request.Response{}, err
	}
	if outcome != nil {
		return recordedResponse(outcome)
	}
	answer, err := d.runAttempts(ctx, r, nil)
	resolveContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	// If Resolve fails, the claim stays unresolved, and a later request with the
	// same id gets the verdict MayHaveRun. The outcome of this request does not
	// change.
	_ = d.Claims.Resolve(resolveContext, handle, outcomeOf(answer, err))
	return answer, err
}

// recordedResponse returns the answer that an earlier request with the same id got,
// or an error with verdict MayHaveRun if no answer is recorded.
func recordedResponse(outcome *booking.Outcome) (request.Response, error) {
	if outcome.Verdict == verdict.Ran && outcome.Response != nil {
		answer := *outcome.Response
		answer.Replayed = true
		return answer, nil
	}
	return request.Response{}, verdict.NewMayHaveRun(verdict.CodeClaimUnresolved, nil, "an earlier request with the same request id may have run")
}

// outcomeOf returns the outcome to record for an answer or an error.
func outcomeOf(answer request.Response, err error) booking.Outcome {
	failure := verdict.FromError(err)
	if failure == nil {
		return booking.Outcome{Verdict: verdict.Ran, Response: &answer}
	}
	return booking.Outcome{Verdict: failure.Verdict, Code: failure.Code}
}

// runAttempts makes attempts until one succeeds, no further attempt is allowed, or
// the retry budget is used up.
func (d *Dispatcher) runAttempts(ctx context.Context, r *request.Request, sink Sink) (request.Response, error) {
	p := &progress{chunks: &countingSink{sink: sink}}
	defer func() { d.cancelOpenRun(ctx, p) }()
	for retry := 1; ; retry++ {
		answer, err := d.attempt(ctx, r, p)
		if err == nil {
			answer.LoadStall = p.loadStall
			return answer, nil
		}
		failure := p.recordFailure(verdict.FromError(err))
		if !d.canRetry(r, p, failure) {
			return request.Response{}, failure
		}
		delay, allowed := d.nextDelay(r, p, retry)
		if !allowed || !duty.Sleep(ctx, delay) {
			return request.Response{}, failure
		}
	}
}

// nextDelay returns the delay before the next attempt and whether that attempt is
// allowed. Resuming a stream takes nothing from the retry budget, because it
// causes the engine no additional work.
func (d *Dispatcher) nextDelay(r *request.Request, p *progress, retry int) (time.Duration, bool) {
	if !p.isResuming() {
		return d.Retries.NextBackoff(r, retry)
	}
	p.resumeCount++
	return resumeDelay, p.resumeCount <= maxResumes
}

// canRetry reports whether another attempt is useful and safe: the request is not
// canceled or past its deadline, the attempt cannot run it twice against its
// repeat rule, and it cannot contradict chunks that the caller already has.
func (d *Dispatcher) canRetry(r *request.Request, p *progress, failure *verdict.Error) bool {
	if failure.Code == verdict.CodeCanceled || failure.Code == verdict.CodeDeadline {
		return false
	}
	// The router refused the request for all engines, and its RetryAfter is
	// longer than the delay before a retry here.
	if p.routingFailed && failure.RetryAfter > 0 {
		return false
	}
	if p.chunks.count > 0 && (p.open == nil || !isStreamResumable(failure.Code)) {
		return false
	}
	return r.Repeatable() || p.uncertainFailure == nil
}

// isStreamResumable reports whether the engine may still have the stream after a
// failure with the code: only the connection was lost or ended too early.
func isStreamResumable(code verdict.Code) bool {
	return code == verdict.CodeBackendLost || code == verdict.CodeIncomplete
}
