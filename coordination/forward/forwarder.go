package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// ViewSource has the newest view of the site.
type ViewSource interface {
	View() *site.View
	// Synced is closed when the view may be used.
	Synced() <-chan struct{}
}

// Balancer chooses servers and learns how they answered.
type Balancer interface {
	Choose(w balance.Requirements) (balance.Pick, error)
	RecordForward(server *site.Server, adapter site.Adapter)
	Done(server *site.Server, adapter site.Adapter, passed bool)
	ChooseReplicaTarget(w balance.Requirements) *site.Server
	RecordResponse(server *site.Server, load *balance.LoadReport)
	RecordFailure(server *site.Server)
	RecordLoaded(server *site.Server, adapter site.Adapter, version int)
	RecordNotLoaded(server *site.Server, adapter site.Adapter)
}

// Placer has adapters loaded.
type Placer interface {
	// Place waits for a turn at the engine. The error is a *verdict.Error with
	// verdict NotRun.
	Place(ctx context.Context, server *site.Server, request site.PlaceRequest) (site.Placement, error)
	// Prefetch asks for a load that no request waits for. It does not wait.
	Prefetch(server *site.Server, request site.PlaceRequest)
}

// A Recorder counts how requests end.
type Recorder interface {
	// RecordRequest is called once for each request with a route. sends is how often
	// it was passed on, and stalled how long it waited for its turns. failure is
	// nil for an answer that was passed on.
	RecordRequest(route *site.Route, service site.ServiceName, arrived time.Time, sends int, stalled time.Duration, failure *verdict.Error)
}

// RetryBudget bounds the sends of a service beyond the first of each request.
type RetryBudget interface {
	CountRequest(service string)
	AllowRetry(service string) bool
}

const (
	// unavailablePause is the time after which a client should come back to a
	// host that knows no desired state yet.
	unavailablePause = 300 * time.Millisecond
	// startLimit is how long a request waits at a host that has just started.
	startLimit = 1500 * time.Millisecond
	// overloadPause is the same when no server takes the request.
	overloadPause = 250 * time.Millisecond
	// rejectedSends bounds the sends of one request that servers refused.
	rejectedSends = 4
	// againPause is the mean pause before a server of a full service is asked again.
	againPause = 40 * time.Millisecond
	// endMargin is how long before its time is up a request is given its final answer.
	endMargin = 30 * time.Millisecond
	// turnLimit is how long a request for a loaded adapter waits for its turn.
	turnLimit = 400 * time.Millisecond
	// A caller leaves a stream that has not begun after the longest of leastStay,
	// stayTargets times the target and stayGaps times the accepted pause. A
	// request that no server has got is refused a little earlier, so that the
	// caller comes back.
	leastStay   = 2 * time.Second
	stayTargets = 4
	stayGaps    = 8
	// refusedTurnsLimit is the number of engines that may refuse a turn at once
	// before the request waits at the next one.
	refusedTurnsLimit = 2
	// leastSend is the least time left with which a send is worth while.
	leastSend = 40 * time.Millisecond
)

// A Forwarder runs requests. Its fields are set before use; it may be used by
// many goroutines.
type Forwarder struct {
	Views       ViewSource
	Balancer    Balancer
	Placer      Placer
	RetryBudget RetryBudget
	Recorder    Recorder
	Log         zerolog.Logger
}

// ErrClientGone means that the client left; there is nobody to answer.
var ErrClientGone = errors.New("client left")

// Forward runs a request until the client has the whole answer. Its error is
// ErrClientGone or a *verdict.Error, after which the client has got no part of an
// answer unless ResponseStarted reports true.
func (f *Forwarder) Forward(ctx context.Context, request *Request, client Exchange) error {
	if !f.await(ctx, request) {
		return refusal(verdict.CodeNoConfiguration, unavailablePause, "no desired state is known yet")
	}
	view := f.Views.View()
	route := view.Route(request.Host, request.Path)
	if route == nil || len(route.WeightedServices) == 0 {
		return verdict.NewNotRun(verdict.CodeUnknownName, "no route for %s%s", request.Host, request.Path)
	}
	a := &attempt{request: request, client: client, route: route, service: pickShare(route)}
	limit := route.Timeout
	if request.MaxWait > 0 && request.MaxWait < limit {
		limit = request.MaxWait
	}
	a.ends = request.Arrived.Add(limit)
	a.unsent = a.ends
	if route.Kind == site.Streaming {
		leaves := max(leastStay, stayTargets*route.TargetLatency, stayGaps*route.TargetEventGap)
		a.unsent = request.Arrived.Add(min(limit, leaves*3/4))
	}
	limited, cancel := context.WithDeadline(ctx, a.ends.Add(-endMargin))
	defer cancel()
	err := f.run(limited, a)
	f.Recorder.RecordRequest(route, a.service, request.Arrived, a.sends, a.loadStall, verdict.FromError(err))
	if err != nil && ctx.Err() != nil {
		f.Log.Info().Str("request", request.AttemptID).Str("route", route.Name).Str("service", string(a.service)).
			Int("sends", a.sends).Bool("started", client.ResponseStarted()).Str("waits", string(a.waits)).Str("server", string(a.server)).
			Dur("after", time.Since(request.Arrived)).Msg("client left")
		return ErrClientGone
	}
	if failure := verdict.FromError(err); failure != nil {
		f.Log.Info().Str("request", request.AttemptID).Str("route", route.Name).Int64("desired", view.Desired.Version).
			Str("service", string(a.service)).Int("sends", a.sends).Str("verdict", string(failure.Verdict)).Str("code", string(failure.Code)).
			Dur("after", time.Since(request.Arrived)).Err(failure).Msg("request failed")
		return failure
	}
	return nil
}

// await waits until the view may be used, for a part of the client's time: most
// clients come back only once, and a host knows its site soon after its start.
func (f *Forwarder) await(ctx context.Context, request *Request) bool {
	select {
	case <-f.Views.Synced():
		return true
	default:
	}
	limit := startLimit
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

func refusal(code verdict.Code, pause time.Duration, message string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: code, Message: message, RetryAfter: pause}
}

func pickShare(route *site.Route) site.ServiceName {
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

// run makes sends until one succeeds or no further one is allowed.
func (f *Forwarder) run(ctx context.Context, a *attempt) error {
	f.RetryBudget.CountRequest(string(a.service))
	for {
		sends := a.sends
		failure := f.try(ctx, a)
		if failure == nil {
			return nil
		}
		if failure.Verdict != verdict.NotRun {
			a.doubt = true
		}
		if ctx.Err() != nil || !f.mayRepeat(a) {
			return f.final(ctx, a, failure)
		}
		if a.sends > sends && !f.RetryBudget.AllowRetry(string(a.service)) {
			return f.final(ctx, a, failure)
		}
		if a.sends == sends && !duty.Sleep(ctx, againPause/2+rand.N(againPause)) {
			return f.final(ctx, a, failure)
		}
	}
}

// mayRepeat says whether another send keeps to the route's rules.
func (f *Forwarder) mayRepeat(a *attempt) bool {
	if a.doubt && !a.route.Repeatable() {
		return false
	}
	if a.sends == 0 && !time.Now().Before(a.unsent) {
		return false
	}
	return a.ran < a.route.MaxAttempts && a.sends < a.ran+rejectedSends && time.Until(a.ends) > leastSend
}

// final returns the failure that the client is told. A request that may have
// run in an earlier send is never called not run.
func (f *Forwarder) final(ctx context.Context, a *attempt, failure *verdict.Error) error {
	told := *failure
	if ctx.Err() != nil {
		told.Code = verdict.CodeDeadline
	}
	if a.doubt {
		told.Verdict = verdict.MayHaveRun
	}
	if told.Verdict == verdict.NotRun && told.RetryAfter == 0 {
		told.RetryAfter = overloadPause
	}
	return &told
}

// try chooses a server, has the adapter loaded and sends the request once.
func (f *Forwarder) try(ctx context.Context, a *attempt) *verdict.Error {
	view := f.Views.View()
	version := view.Versions[a.request.Adapter]
	a.waits, a.server = waitsForServer, ""
	want := balance.Requirements{Service: a.service, Adapter: a.request.Adapter, MinVersion: version, Tried: a.tried}
	if service := view.Service(a.service); service == nil || service.Engines == nil {
		want.Adapter = site.Adapter{}
	}
	pick, err := f.Balancer.Choose(want)
	if err != nil {
		failure := verdict.FromError(err)
		if len(a.tried) > 0 {
			// Every server was tried; the next round may try them again.
			a.tried = nil
		}
		return failure
	}
	passed := false
	defer func() { f.Balancer.Done(pick.Server, want.Adapter, passed) }()
	if want.Adapter.Model != "" {
		if failure := f.place(ctx, a, pick, want); failure != nil {
			return failure
		}
		if failure := f.stale(ctx, a, pick.Server); failure != nil {
			return failure
		}
	}
	passed = true
	f.Balancer.RecordForward(pick.Server, want.Adapter)
	return f.send(ctx, a, pick.Server, want)
}

// stale looks again, after a wait, whether the caller is there and the engine
// still takes requests.
func (f *Forwarder) stale(ctx context.Context, a *attempt, server *site.Server) *verdict.Error {
	if ctx.Err() != nil {
		return verdict.NewNotRun(verdict.CodeCanceled, "the request ended before its turn at engine %s", server.ID)
	}
	now := f.Views.View().Servers[server.ID]
	if now != nil && now.State == site.Ready && now.Incarnation == server.Incarnation {
		return nil
	}
	a.tried = append(a.tried, server.ID)
	return verdict.NewNotRun(verdict.CodeBackendRefused, "engine %s left or restarted while the request waited", server.ID)
}

// place waits for the request's turn at an engine. Without a word of the engine's
// owner, a request for an adapter that is loaded is sent all the same.
func (f *Forwarder) place(ctx context.Context, a *attempt, pick balance.Pick, want balance.Requirements) *verdict.Error {
	server := pick.Server
	a.waits, a.server = waitsForLoad, server.ID
	until := a.ends
	if a.sends == 0 {
		until = a.unsent
	}
	if pick.Loaded {
		a.waits = waitsForTurn
		if turn := time.Now().Add(turnLimit); turn.Before(until) {
			until = turn
		}
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	request := site.PlaceRequest{
		Server:         server.Incarnation,
		Adapter:        want.Adapter,
		MinVersion:     want.MinVersion,
		Priority:       a.route.Priority,
		PromptTokens:   a.request.PromptTokens,
		SlackTime:      time.Until(a.request.Arrived.Add(a.route.TargetLatency)),
		MaxWait:        time.Until(until),
		MayQueue:       a.refusedTurns >= refusedTurnsLimit,
		AdapterMissing: a.missing == server.ID,
	}
	began := time.Now()
	placement, err := f.Placer.Place(ctx, server, request)
	a.loadStall += time.Since(began)
	if err != nil {
		failure := verdict.FromError(err)
		if failure.Code == verdict.CodeBackendRefused {
			f.Balancer.RecordFailure(server)
		} else if pick.Loaded && failure.Code != verdict.CodeOverloaded {
			return nil
		}
		a.refusedTurns++
		a.tried = append(a.tried, server.ID)
		f.Log.Info().Str("request", a.request.AttemptID).Str("engine", string(server.ID)).Str("adapter", want.Adapter.Name).
			Int("version", want.MinVersion).Dur("waited", time.Since(began)).Err(err).Msg("engine gave no turn")
		return failure
	}
	f.Balancer.RecordLoaded(server, want.Adapter, want.MinVersion)
	if placement.ReplicaWanted {
		if near := f.Balancer.ChooseReplicaTarget(want); near != nil {
			request.Server, request.Prefetch, request.AdapterMissing = near.Incarnation, true, false
			f.Placer.Prefetch(near, request)
		}
	}
	return nil
}
