// Package dispatch runs the steps of one request in order: admission, claim,
// routing, grant, call, release and outcome. It knows no encoding and no transport.
package dispatch

import (
	"context"
	"slices"
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
	// WriteChunk passes one chunk on. An error means that the caller is gone.
	WriteChunk(chunk request.Chunk) error
}

// An Admitter limits the requests in flight.
type Admitter interface {
	// Admit returns a function that ends the request's share of the limits, or
	// a *verdict.Error with verdict NotRun.
	Admit(r *request.Request) (func(), error)
}

// Claims makes requests that may not be repeated run at most once.
type Claims interface {
	// Claim returns a ticket to run the request, or the recorded outcome of an
	// earlier try. Its error is a *verdict.Error.
	Claim(ctx context.Context, r *request.Request) (booking.ClaimHandle, *booking.Outcome, error)
	// Resolve records the outcome of a claimed request. A NotRun outcome
	// removes the claim, so that a retry may run.
	Resolve(ctx context.Context, ticket booking.ClaimHandle, outcome booking.Outcome) error
}

// A Router chooses engines.
type Router interface {
	// Choose returns an engine that is not in tried and counts the request on
	// it, or returns a *verdict.Error.
	Choose(r *request.Request, tried []fleet.EngineName) (fleet.EngineName, error)
	// Done ends the count of a request on an engine.
	Done(engine fleet.EngineName)
}

// A GrantRequest asks the owner of an engine for a grant.
type GrantRequest struct {
	// Engine is the engine that the request was routed to.
	Engine fleet.EngineName
	// Adapter is the exact version; its Version is at least 1.
	Adapter fleet.AdapterReference
	// Request and Holder identify who is to hold the grant.
	Request fleet.RequestID
	Holder  fleet.HostName
	// MaxWait is how long the request may wait for its adapter.
	MaxWait time.Duration
	// Duration is how long the grant is to last.
	Duration time.Duration
	// Urgency orders the demand against others.
	Urgency string
}

// GrantProvider pins instances.
type GrantProvider interface {
	// AcquireGrant returns a grant, or a *verdict.Error with verdict NotRun.
	AcquireGrant(ctx context.Context, demand GrantRequest) (fleet.Grant, error)
	// Release ends a grant. It does not wait.
	Release(grant fleet.Grant)
}

// An EngineClient runs a request on an engine.
type EngineClient interface {
	// Complete runs the request on the instance of the grant. Chunks go to
	// sink when the request is streamed. resume is the number of chunks that
	// the caller already has; it is more than zero only after an earlier call
	// for the same request on the same engine. The error is a *verdict.Error.
	Complete(ctx context.Context, grant fleet.Grant, r *request.Request, resume int, sink Sink) (request.Response, error)
	// Cancel ends a run. With a nil error the request does not run on the engine.
	Cancel(ctx context.Context, engine fleet.Engine, request fleet.RequestID) error
}

// A ServiceClient runs a request on a plain service.
type ServiceClient interface {
	// Call makes one try on one server of the service. The error is a *verdict.Error.
	Call(ctx context.Context, r *request.Request) (request.Response, error)
}

// A RetryBudget bounds retries.
type RetryBudget interface {
	// NextBackoff returns the pause before the given retry, counted from 1, and
	// whether the budget allows it.
	NextBackoff(r *request.Request, retry int) (time.Duration, bool)
}

// A Recorder counts outcomes.
type Recorder interface {
	// RecordRequest is called once for each request.
	RecordRequest(r *request.Request, answer request.Response, failure *verdict.Error)
}

// A Dispatcher runs requests. Its fields are set before use and not changed
// afterwards; it may be used by many goroutines.
type Dispatcher struct {
	Host       fleet.HostName
	Admission  Admitter
	Claims     Claims
	Router     Router
	Grants     GrantProvider
	Engines    EngineClient
	Services   ServiceClient
	Retries    RetryBudget
	Recorder   Recorder
	GrantLimit time.Duration

	// cancels are the cancel orders in flight.
	cancels sync.WaitGroup
}

// Close waits for the cancel orders in flight. It is called after the last
// Dispatch has returned.
func (d *Dispatcher) Close() error {
	d.cancels.Wait()
	return nil
}

// resolveTimeout bounds the time for recording an outcome after the caller's
// own deadline.
const resolveTimeout = 5 * time.Second

const (
	// resumePause is the pause before a stream goes on over another connection.
	resumePause = 20 * time.Millisecond
	// resumeLimit is how often one stream goes on in its run.
	resumeLimit = 4
)

// maxWaitShare is the part of the time left, as a divisor, that one demand may
// wait. The rest is for the run, or for another engine if this one has no slot.
const maxWaitShare = 4

// Dispatch runs a request to its end. The error is a *verdict.Error; with a
// nil error the whole answer was returned or passed to sink.
func (d *Dispatcher) Dispatch(ctx context.Context, r *request.Request, sink Sink) (request.Response, error) {
	answer, err := d.admitted(ctx, r, sink)
	failure := verdict.FromError(err)
	d.Recorder.RecordRequest(r, answer, failure)
	if failure != nil {
		return answer, failure
	}
	return answer, nil
}

func (d *Dispatcher) admitted(ctx context.Context, r *request.Request, sink Sink) (request.Response, error) {
	leave, err := d.Admission.Admit(r)
	if err != nil {
		return request.Response{}, err
	}
	defer leave()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if r.Repeatable() {
		return d.tries(ctx, r, sink)
	}
	return d.claimed(ctx, r)
}

// claimed runs a request that may not be repeated. Its answer is not streamed,
// because the whole answer is recorded for a second try.
func (d *Dispatcher) claimed(ctx context.Context, r *request.Request) (request.Response, error) {
	ticket, outcome, err := d.Claims.Claim(ctx, r)
	if err != nil {
		return request.Response{}, err
	}
	if outcome != nil {
		return recorded(outcome)
	}
	answer, err := d.tries(ctx, r, nil)
	resolveContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	// A failed Resolve leaves the claim unresolved, so that a second try is
	// told "may have run". It does not change the outcome of this try.
	_ = d.Claims.Resolve(resolveContext, ticket, outcomeOf(answer, err))
	return answer, err
}

func recorded(outcome *booking.Outcome) (request.Response, error) {
	if outcome.Verdict == verdict.Ran && outcome.Response != nil {
		answer := *outcome.Response
		answer.Replayed = true
		return answer, nil
	}
	return request.Response{}, verdict.NewMayHaveRun(verdict.CodeClaimUnresolved, nil, "an earlier try of this request may have run")
}

func outcomeOf(answer request.Response, err error) booking.Outcome {
	failure := verdict.FromError(err)
	if failure == nil {
		return booking.Outcome{Verdict: verdict.Ran, Response: &answer}
	}
	return booking.Outcome{Verdict: failure.Verdict, Code: failure.Code}
}

// cancelTimeout bounds the order that ends an abandoned run. A run that is not
// ended in time keeps its grant, which the owner cancels at its end.
const cancelTimeout = 2 * time.Second

// tries makes tries until one succeeds, may not be followed by another, or the
// retry budget is spent.
func (d *Dispatcher) tries(ctx context.Context, r *request.Request, sink Sink) (request.Response, error) {
	p := &progress{chunks: &countingSink{sink: sink}}
	defer func() { d.abandon(ctx, p) }()
	for retry := 1; ; retry++ {
		answer, err := d.try(ctx, r, p)
		if err == nil {
			answer.LoadStall = p.loadStall
			return answer, nil
		}
		failure := p.note(verdict.FromError(err))
		if !d.mayRetry(r, p, failure) {
			return request.Response{}, failure
		}
		pause, allowed := d.next(r, p, retry)
		if !allowed || !duty.Sleep(ctx, pause) {
			return request.Response{}, failure
		}
	}
}

// next returns the pause before the next try and whether there may be one. A
// stream that goes on in its run gives the engine no more work and takes nothing
// from the retry budget.
func (d *Dispatcher) next(r *request.Request, p *progress, retry int) (time.Duration, bool) {
	if !p.resumes() {
		return d.Retries.NextBackoff(r, retry)
	}
	p.resumed++
	return resumePause, p.resumed <= resumeLimit
}

// mayRetry says whether another try cannot run the request twice against its
// repeat rule and cannot change what the caller already has.
func (d *Dispatcher) mayRetry(r *request.Request, p *progress, failure *verdict.Error) bool {
	if failure.Code == verdict.CodeCanceled || failure.Code == verdict.CodeDeadline {
		return false
	}
	// The router refused for all engines and said when to come back, which is
	// later than a retry here would.
	if p.unrouted && failure.RetryAfter > 0 {
		return false
	}
	if p.chunks.count > 0 && (p.open == nil || !resumable(failure.Code)) {
		return false
	}
	return r.Repeatable() || p.doubt == nil
}

// resumable says whether the engine may still hold the stream.
func resumable(code verdict.Code) bool {
	return code == verdict.CodeBackendLost || code == verdict.CodeIncomplete
}

func (d *Dispatcher) try(ctx context.Context, r *request.Request, p *progress) (request.Response, error) {
	if r.Service != "" {
		return d.Services.Call(ctx, r)
	}
	if p.resumes() {
		return d.resume(ctx, p)
	}
	d.abandon(ctx, p)
	r = p.name(r)
	engine, err := d.Router.Choose(r, p.tried)
	p.unrouted = err != nil
	if err != nil {
		return request.Response{}, err
	}
	defer d.Router.Done(engine)
	sent := time.Now()
	grant, err := d.Grants.AcquireGrant(ctx, d.demandFor(r, engine, sent))
	if err != nil {
		p.tried = append(p.tried, engine)
		return request.Response{}, err
	}
	p.loadStall += grant.LoadStall
	return d.complete(ctx, p, openRun{request: r, grant: grant, end: sent.Add(grant.Duration)})
}

// resume goes on with a stream under a new grant. The owner voids grants when
// the engine restarts, so that the former one may no longer protect the
// instance, which can be loaded again under the same name.
func (d *Dispatcher) resume(ctx context.Context, p *progress) (request.Response, error) {
	r, former := p.open.request, p.open.grant
	sent := time.Now()
	grant, err := d.Grants.AcquireGrant(ctx, d.demandFor(r, former.Engine, sent))
	if err != nil {
		return request.Response{}, err
	}
	if grant.EngineStart != former.EngineStart || grant.Instance != former.Instance {
		d.Grants.Release(grant)
		return request.Response{}, verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil, "engine %s no longer holds the stream", former.Engine)
	}
	p.loadStall += grant.LoadStall
	d.Grants.Release(former)
	return d.complete(ctx, p, openRun{request: r, grant: grant, end: sent.Add(grant.Duration)})
}

// complete calls the engine under a grant and releases the grant, unless the
// run may go on there.
func (d *Dispatcher) complete(ctx context.Context, p *progress, run openRun) (request.Response, error) {
	p.open = nil
	if !time.Now().Before(run.end) {
		d.Grants.Release(run.grant)
		return request.Response{}, verdict.NewNotRun(verdict.CodeNoGrant, "grant on engine %s ended before dispatch", run.grant.Engine)
	}
	callContext, cancel := context.WithDeadline(ctx, run.end)
	defer cancel()
	answer, err := d.Engines.Complete(callContext, run.grant, run.request, p.chunks.count, p.chunks)
	failure := verdict.FromError(err)
	if failure == nil || failure.Verdict != verdict.MayHaveRun {
		d.Grants.Release(run.grant)
	} else {
		p.open = &run
	}
	if failure == nil {
		return answer, nil
	}
	d.exclude(p, run.grant.Engine, failure)
	return answer, failure
}

// abandon ends a run that nobody waits for and then releases its grant. A run
// that cannot be ended keeps its grant until the grant's end. The order goes on
// in the background, because a silent engine would use up the time that the
// next try needs.
func (d *Dispatcher) abandon(ctx context.Context, p *progress) {
	if p.open == nil {
		return
	}
	grant, id := p.open.grant, p.open.request.RunID
	p.open = nil
	d.cancels.Go(func() {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer cancel()
		engine := fleet.Engine{Name: grant.Engine, Address: grant.Address}
		if d.Engines.Cancel(bounded, engine, id) == nil {
			d.Grants.Release(grant)
		}
	})
}

func (d *Dispatcher) demandFor(r *request.Request, engine fleet.EngineName, now time.Time) GrantRequest {
	left := r.Deadline.Sub(now)
	return GrantRequest{
		Engine:   engine,
		Adapter:  r.Adapter,
		Request:  r.RunID,
		Holder:   d.Host,
		MaxWait:  left / maxWaitShare,
		Duration: min(left, d.GrantLimit),
		Urgency:  string(r.Kind.Urgency),
	}
}

// exclude keeps the next try away from an engine that failed. An engine that
// does not know the instance, or whose connection was lost, may serve it.
func (d *Dispatcher) exclude(p *progress, engine fleet.EngineName, failure *verdict.Error) {
	if failure.Code == verdict.CodeUnknownInstance || resumable(failure.Code) {
		return
	}
	if !slices.Contains(p.tried, engine) {
		p.tried = append(p.tried, engine)
	}
}
