package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// maxWaitDivisor divides the time until the deadline to give the MaxWait of a
// GrantRequest. The other three quarters of the time are for the run itself, or
// for an attempt on another engine if this one has no free slot.
const maxWaitDivisor = 4

// attempt makes one attempt to run the request: it calls a service, resumes an
// interrupted stream, or runs the request on an engine chosen by the router.
func (d *Dispatcher) attempt(ctx context.Context, r *request.Request, p *progress) (request.Response, error) {
	if r.Service != "" {
		return d.Services.Call(ctx, r)
	}
	if p.isResuming() {
		return d.resume(ctx, p)
	}
	d.cancelOpenRun(ctx, p)
	r = p.withRunID(r)
	engine, err := d.Router.Choose(r, p.tried)
	p.routingFailed = err != nil
	if err != nil {
		return request.Response{}, err
	}
	defer d.Router.Done(engine)
	sentAt := time.Now()
	grant, err := d.Grants.AcquireGrant(ctx, d.newGrantRequest(r, engine, sentAt))
	if err != nil {
		p.tried = append(p.tried, engine)
		return request.Response{}, err
	}
	p.loadStall += grant.LoadStall
	return d.callEngine(ctx, p, openRun{request: r, grant: grant, grantExpiresAt: sentAt.Add(grant.Duration)})
}

// resume continues an interrupted stream on the same engine under a new grant. The
// former grant may no longer protect the instance: when the engine restarts, the
// owner invalidates its grants, and the instance can be loaded again under the
// same name. If the engine has restarted or the instance is another one, resume
// fails with verdict MayHaveRun.
func (d *Dispatcher) resume(ctx context.Context, p *progress) (request.Response, error) {
	r, former := p.open.request, p.open.grant
	sentAt := time.Now()
	grant, err := d.Grants.AcquireGrant(ctx, d.newGrantRequest(r, former.Engine, sentAt))
	if err != nil {
		return request.Response{}, err
	}
	if grant.EngineStart != former.EngineStart || grant.Instance != former.Instance {
		d.Grants.Release(grant)
		return request.Response{}, verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil, "engine %s no longer holds the stream", former.Engine)
	}
	p.loadStall += grant.LoadStall
	d.Grants.Release(former)
	return d.callEngine(ctx, p, openRun{request: r, grant: grant, grantExpiresAt: sentAt.Add(grant.Duration)})
}

// callEngine runs the request on the engine of the grant. It then releases the
// grant, or keeps the run in p.open if the request may still be running. It
// starts nothing if the grant has expired, which happens if this host was paused.
func (d *Dispatcher) callEngine(ctx context.Context, p *progress, run openRun) (request.Response, error) {
	p.open = nil
	if !time.Now().Before(run.grantExpiresAt) {
		d.Grants.Release(run.grant)
		return request.Response{}, verdict.NewNotRun(verdict.CodeNoGrant, "grant on engine %s expired before the request was sent", run.grant.Engine)
	}
	callContext, cancel := context.WithDeadline(ctx, run.grantExpiresAt)
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
	d.excludeFailedEngine(p, run.grant.Engine, failure)
	return answer, failure
}

// cancelOpenRun cancels a run that is not needed any more and then releases its
// grant. If the cancellation fails, the grant is kept until it expires. The
// cancellation runs in the background, because an engine that does not answer
// would use up the time of the next attempt.
func (d *Dispatcher) cancelOpenRun(ctx context.Context, p *progress) {
	if p.open == nil {
		return
	}
	grant, id := p.open.grant, p.open.request.RunID
	p.open = nil
	d.cancels.Go(func() {
		cancelContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer cancel()
		engine := fleet.Engine{Name: grant.Engine, Address: grant.Address}
		if d.Engines.Cancel(cancelContext, engine, id) == nil {
			d.Grants.Release(grant)
		}
	})
}

// cancelTimeout limits the call that cancels a run on an engine. If the call fails,
// the grant is not released, and the owner cancels the run when the grant expires.
const cancelTimeout = 2 * time.Second

// newGrantRequest returns the request for a grant on the engine. now is the time at
// which the request is sent.
func (d *Dispatcher) newGrantRequest(r *request.Request, engine fleet.EngineName, now time.Time) GrantRequest {
	remaining := r.Deadline.Sub(now)
	return GrantRequest{
		Engine:   engine,
		Adapter:  r.Adapter,
		RunID:    r.RunID,
		Holder:   d.Host,
		MaxWait:  remaining / maxWaitDivisor,
		Duration: min(remaining, d.GrantLimit),
		Urgency:  string(r.Kind.Urgency),
	}
}

// excludeFailedEngine adds the engine to p.tried, so that the next attempt uses
// another one. An engine that did not know the instance or whose connection was
// lost is not excluded, because it may serve the next attempt.
func (d *Dispatcher) excludeFailedEngine(p *progress, engine fleet.EngineName, failure *verdict.Error) {
	if failure.Code == verdict.CodeUnknownInstance || isStreamResumable(failure.Code) {
		return
	}
	if !slices.Contains(p.tried, engine) {
		p.tried = append(p.tried, engine)
	}
}
