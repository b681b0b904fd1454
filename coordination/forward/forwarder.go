package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/execution"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// ViewSource returns the newest view of the site.
type ViewSource interface {
	View() *site.View
	// Synced is closed once the view is complete enough to route requests.
	Synced() <-chan struct{}
}

// Balancer chooses servers and records how they responded. Its methods are
// described at balance.Balancer.
type Balancer interface {
	Choose(w balance.ServerRequirements) (balance.Pick, error)
	RecordForward(server *site.Server, adapter site.Adapter)
	RecordBegun(server *site.Server, promptTokens int, delay time.Duration)
	Done(server *site.Server, adapter site.Adapter, forwarded bool)
	ChooseReplicaTarget(w balance.ServerRequirements) *site.Server
	RecordResponse(server *site.Server, load *balance.LoadReport)
	RecordFailure(server *site.Server)
	RecordLoaded(server *site.Server, adapter site.Adapter, version int)
	RecordNotLoaded(server *site.Server, adapter site.Adapter)
	RecordRateLimit(server *site.Server, perSecond float64) bool
	RecordTurn(server *site.Server, limited bool)
	RecordTurnRefused(server *site.Server, wait time.Duration)
	StatedLimit(server *site.Server) site.StatedLimit
	RecordLeaving(server *site.Server) bool
	RecordPause(server *site.Server, pause time.Duration)
	IsAvailable(server *site.Server) bool
	TakeShare(server *site.Server) bool
}

// Placer has adapters loaded on engines and requests admitted there.
type Placer interface {
	// Place waits until the adapter is loaded and the engine admits the request.
	// Its error is a *verdict.Error with verdict NotRun.
	Place(ctx context.Context, server *site.Server, request site.PlaceRequest) (site.Placement, error)
	// Prefetch requests the load of an adapter for later requests. It does not
	// wait.
	Prefetch(server *site.Server, request site.PlaceRequest)
}

// Recorder records how requests end.
type Recorder interface {
	// RecordRequest is called once for each request that has a route. sends is
	// the number of times that it was sent to a server, and placementWait how
	// long it waited for loads and admissions. failure is nil if the response was
	// delivered.
	RecordRequest(route *site.Route, service site.ServiceName, arrived time.Time, sends int, placementWait time.Duration, failure *verdict.Error)
	// RecordRefusal is called for each response of a server that states that its request did not
	// run. doubt is why that is not proved, or execution.None.
	RecordRefusal(service site.ServiceName, doubt execution.Doubt)
	// RecordKeyRefusal is called for each request that is refused for its key.
	RecordKeyRefusal(reason KeyRefusal)
}

// RunEnds learns which requests for adapters have ended on engines.
type RunEnds interface {
	RecordEnd(server *site.Server, adapter site.Adapter)
}

// RetryBudget limits the sends of a service beyond the first one of each request.
type RetryBudget interface {
	CountRequest(service string)
	AllowRetry(service string) bool
}

// Quarantine knows the requests that crash servers by their traits. Its methods are
// described at quarantine.Quarantine.
type Quarantine interface {
	AwaitEvidence(ctx context.Context)
	BlockedFor(service site.ServiceName, traits []string) time.Duration
	Watch(service site.ServiceName, traits []string, onBlock func()) (stop func())
	RecordInterruption(ctx context.Context, server *site.Server, traits []string)
	RecordSound(service site.ServiceName, traits []string)
}

const (
	// unavailableRetryDelay is the time after which a client should retry at a
	// host that has not received a desired state yet.
	unavailableRetryDelay = 300 * time.Millisecond
	// startupTimeout is how long a request waits for the view at a host that has
	// just started.
	startupTimeout = 1500 * time.Millisecond
	// overloadRetryDelay is the time after which a client should retry if no
	// server accepts its request.
	overloadRetryDelay = 250 * time.Millisecond
	// maxPauseWait is how long a request waits for the end of a pause of all servers.
	maxPauseWait = 250 * time.Millisecond
	// maxRejectedSends is the number of sends of one request that servers may
	// reject without running it.
	maxRejectedSends = 4
	// meanRetryDelay is the mean delay before the servers of a service that
	// refused the request are tried again.
	meanRetryDelay = 40 * time.Millisecond
	// finalResponseMargin is how long before its deadline a request is given its
	// final response.
	finalResponseMargin = 30 * time.Millisecond
	// admissionTimeout is how long a request for a loaded adapter waits for its
	// admission.
	admissionTimeout = 400 * time.Millisecond
	// A caller gives up a stream that has not begun after the longest of
	// minPatienceDuration, patienceTargetLatencies times the route's target
	// latency and patienceEventGaps times its target gap between events. A
	// request that has not been sent to a server is refused at three quarters of
	// that time, so that the caller retries.
	minPatienceDuration     = 2 * time.Second
	patienceTargetLatencies = 4
	patienceEventGaps       = 8
	// maxRefusedPlacements is the number of engines that may refuse a request
	// immediately before it queues at the next one.
	maxRefusedPlacements = 2
	// minSendDuration is the least remaining time with which a send is still
	// useful.
	minSendDuration = 40 * time.Millisecond
)

// A Forwarder forwards requests to servers. Its fields are set before use; its
// methods may be called by many goroutines.
type Forwarder struct {
	Views       ViewSource
	Balancer    Balancer
	Placer      Placer
	RetryBudget RetryBudget
	Quarantine  Quarantine
	// Identifier is used for desired states that have organisations, and Quotas for
	// organisations that have a quota. Quotas may be nil: nothing is limited then.
	Identifier Identifier
	Quotas     Quotas
	// RunEnds may be nil.
	RunEnds  RunEnds
	Recorder Recorder
	Log      zerolog.Logger

	namelessRefusals namelessRefusals
	// refusalLines limits the log lines about requests that are refused for their keys.
	refusalLines lineLimit
}

// ErrHostStopping is the cause of the end of a request's context that is not due to its client:
// the host stops, and the request gets its final answer.
var ErrHostStopping = errors.New("host is stopping")

// ErrClientGone means that the client left before its response was complete, so
// that there is nobody to answer.
var ErrClientGone = errors.New("client left")

// Forward runs a request until its response is delivered or it has failed. The
// error is ErrClientGone or a *verdict.Error. In the second case the client has
// received no part of a response unless ResponseStarted reports true.
func (f *Forwarder) Forward(ctx context.Context, request *Request, client Exchange) error {
	if !f.awaitView(ctx, request) {
		return newRefusal(verdict.CodeNoConfiguration, unavailableRetryDelay, "no desired state is known yet")
	}
	view := f.Views.View()
	route := view.Route(request.Host, request.Path)
	if route == nil || len(route.WeightedServices) == 0 {
		return verdict.NewNotRun(verdict.CodeUnknownName, "no route for %s%s", request.Host, request.Path)
	}
	p := &progress{
		request: request, client: client, route: route, service: pickWeightedService(route),
		quarantine: f.Quarantine, traits: request.traits(), order: newEventOrder(request.LastEventID),
	}
	organisation, failure := f.identify(ctx, view, route, request)
	if failure != nil {
		return failure
	}
	p.organisation, p.urgency = organisation, newUrgency(f.Views.View(), organisation, route)
	limit := route.Timeout
	if request.MaxWait > 0 && request.MaxWait < limit {
		limit = request.MaxWait
	}
	p.deadline = request.Arrived.Add(limit)
	p.unsentDeadline = p.deadline
	if route.Kind == site.Streaming {
		patience := max(minPatienceDuration, patienceTargetLatencies*route.TargetLatency, patienceEventGaps*route.TargetEventGap)
		p.unsentDeadline = request.Arrived.Add(min(limit, patience*3/4))
	}
	limited, cancel := context.WithDeadline(ctx, p.deadline.Add(-finalResponseMargin))
	defer cancel()
	if len(p.traits) > 0 {
		f.Quarantine.AwaitEvidence(limited)
	}
	err := f.runWithinQuota(limited, p)
	f.Recorder.RecordRequest(route, p.service, request.Arrived, p.sends, p.placementWait, verdict.FromError(err))
	if err != nil && ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrHostStopping) {
		f.Log.Info().Str("request", request.loggedID()).Str("route", route.Name).Str("service", string(p.service)).
			Int("sends", p.sends).Bool("started", client.ResponseStarted()).Str("waits", string(p.waitingFor)).Str("server", string(p.server)).
			Dur("after", time.Since(request.Arrived)).Msg("client left")
		return ErrClientGone
	}
	if failure = verdict.FromError(err); failure != nil {
		f.Log.Info().Str("request", request.loggedID()).Str("route", route.Name).Int64("desired", view.Desired.Version).
			Str("service", string(p.service)).Int("sends", p.sends).Str("verdict", string(failure.Verdict)).Str("code", string(failure.Code)).
			Dur("after", time.Since(request.Arrived)).Err(failure).Msg("request failed")
		return failure
	}
	return nil
}

// awaitView waits until the view is synced and reports whether it is. It waits at
// most startupTimeout and at most half of the client's time. Refusing at once
// would lose requests, because most clients retry only once and a host receives
// its view soon after its start.
func (f *Forwarder) awaitView(ctx context.Context, request *Request) bool {
	select {
	case <-f.Views.Synced():
		return true
	default:
	}
	limit := startupTimeout
	if request.MaxWait > 0 {
		limit = min(limit, request.MaxWait/2)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-f.Views.Synced():
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// newRefusal returns an error for a request that did not run and that the client
// should retry after the delay.
func newRefusal(code verdict.Code, retryAfter time.Duration, message string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: code, Message: message, RetryAfter: retryAfter}
}

// pickWeightedService chooses one of the route's services at random by weight.
func pickWeightedService(route *site.Route) site.ServiceName {
	total := 0
	for _, share := range route.WeightedServices {
		total += share.Weight
	}
	at := rand.IntN(max(total, 1))
	for _, share := range route.WeightedServices {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return route.WeightedServices[0].Service
}
