package forward

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// place waits until the owner of the server admits the request. If the owner does not
// respond, a request for an adapter that is believed to be loaded is sent without
// admission.
func (f *Forwarder) place(ctx context.Context, p *progress, pick balance.Pick, want balance.ServerRequirements) *verdict.Error {
	p.waitingFor, p.server = waitingForLoad, pick.Server.ID
	if pick.Loaded {
		p.waitingFor = waitingForAdmission
	}
	until := p.placementDeadline(pick.Loaded)
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	request := f.placeRequest(p, pick, want, until)
	began := time.Now()
	placement, err := f.Placer.Place(ctx, pick.Server, request)
	p.placementWait += time.Since(began)
	if err != nil {
		return f.recordRefusedPlacement(p, pick, request, began, verdict.FromError(err))
	}
	f.Balancer.RecordTurn(pick.Server, placement.Limited)
	f.Balancer.RecordLoaded(pick.Server, want.Adapter, want.MinVersion)
	if placement.ReplicaWanted {
		if target := f.Balancer.ChooseReplicaTarget(want); target != nil {
			request.Server, request.Prefetch, request.AdapterMissing = target.Incarnation, true, false
			f.Placer.Prefetch(target, request)
		}
	}
	return nil
}

// placementDeadline returns how long the request may wait for its admission.
func (p *progress) placementDeadline(loaded bool) time.Time {
	until := p.deadline
	if p.sends == 0 {
		until = p.unsentDeadline
	}
	if latest := time.Now().Add(admissionTimeout); loaded && latest.Before(until) {
		return latest
	}
	return until
}

// placeRequest returns the request for admission to the picked server.
func (f *Forwarder) placeRequest(p *progress, pick balance.Pick, want balance.ServerRequirements, until time.Time) site.PlaceRequest {
	timeLeft := time.Duration(0)
	if pick.Estimate.IsStated() && p.sends == 0 {
		timeLeft = time.Until(p.unsentDeadline)
	}
	return site.PlaceRequest{
		Server:         pick.Server.Incarnation,
		Adapter:        want.Adapter,
		MinVersion:     want.MinVersion,
		Priority:       p.urgency.Queue,
		PromptTokens:   p.request.PromptTokens,
		SlackTime:      time.Until(p.request.Arrived.Add(p.route.TargetLatency)),
		MaxWait:        time.Until(until),
		TimeLeft:       timeLeft,
		MayQueue:       p.refusedPlacements >= maxRefusedPlacements || pick.Limited,
		AdapterMissing: p.adapterMissingAt == pick.Server.ID,
		StatedLimit:    f.Balancer.StatedLimit(pick.Server),
	}
}

// recordRefusedPlacement records that the request was not admitted and returns the failure
// of the attempt, or nil if the request is sent nevertheless.
func (f *Forwarder) recordRefusedPlacement(p *progress, pick balance.Pick, request site.PlaceRequest, began time.Time, failure *verdict.Error) *verdict.Error {
	server := pick.Server
	switch {
	case failure.Code == verdict.CodeBackendRefused:
		f.Balancer.RecordFailure(server)
	case failure.Code == verdict.CodeRateLimited:
		f.Balancer.RecordTurnRefused(server, failure.RetryAfter)
		p.limitedBy = failure
		p.turnDenied = p.refusedPlacements >= maxRefusedPlacements
	case pick.Loaded && f.maySendWithoutTurn(server, request, failure):
		f.Log.Info().Str("request", p.request.loggedID()).Str("server", string(server.ID)).Err(failure).Msg("request is sent without a turn")
		f.Balancer.RecordTurn(server, false)
		return nil
	case request.StatedLimit.PerSecond > 0, failure.RetryAfter > 0:
		p.turnDenied = p.refusedPlacements >= maxRefusedPlacements
	}
	p.refusedPlacements++
	p.tried = append(p.tried, server.ID)
	f.Log.Info().Str("request", p.request.loggedID()).Str("engine", string(server.ID)).Str("adapter", request.Adapter.Name).
		Int("version", request.MinVersion).Dur("waited", time.Since(began)).Err(failure).Msg("engine gave no turn")
	return failure
}

// maySendWithoutTurn reports whether a request for a loaded adapter may be sent although
// its owner gave no turn. A server that states a limit gets only this host's share of it,
// and nothing if its owner answers.
func (f *Forwarder) maySendWithoutTurn(server *site.Server, request site.PlaceRequest, failure *verdict.Error) bool {
	if failure.Code == verdict.CodeOverloaded {
		return false
	}
	if request.StatedLimit.PerSecond <= 0 {
		return true
	}
	return failure.Code != verdict.CodeDeadline && f.Balancer.TakeShare(server)
}

// recheckAfterWait checks, after a wait, that the caller is still there, that the adapter
// has no newer version and that the engine is the same instance and takes requests.
func (f *Forwarder) recheckAfterWait(ctx context.Context, p *progress, server *site.Server, want balance.ServerRequirements) *verdict.Error {
	if ctx.Err() != nil {
		return verdict.NewNotRun(verdict.CodeCanceled, "the request ended before engine %s admitted it", server.ID)
	}
	view := f.Views.View()
	if newest := view.Versions[want.Adapter]; newest > want.MinVersion {
		return verdict.NewNotRun(verdict.CodeUnknownInstance, "adapter %s has got version %d while the request waited", want.Adapter.Name, newest)
	}
	now := view.Servers[server.ID]
	if now != nil && now.State == site.Ready && now.Incarnation == server.Incarnation && f.Balancer.IsAvailable(server) {
		return nil
	}
	p.tried = append(p.tried, server.ID)
	return verdict.NewNotRun(verdict.CodeBackendRefused, "engine %s drained, became unavailable or restarted while the request waited", server.ID)
}
