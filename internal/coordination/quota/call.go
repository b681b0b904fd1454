package quota

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// A callResult is the outcome of a call to the owner of a zone.
type callResult struct {
	zone  string
	owner *site.Host
	asks  []*ask
	reply site.QuotaReply
	err   error
	// sentAt is when the call was made.
	sentAt time.Time
}

// call sends what waits for the owner of a zone, unless enough calls to it are in flight.
func (l *Limiter) call(ctx context.Context, zone string, now time.Time) {
	state := l.granterOf(zone)
	if state.inFlight >= maxCallsInFlight {
		return
	}
	view := l.Views.View()
	owner := view.Owners[zone]
	request, asks := state.takeBatch(versionOf(view), now)
	if owner == nil {
		l.passOn(ctx, asks, now)
		return
	}
	if len(request.Asks)+len(request.Returns) == 0 {
		return
	}
	state.inFlight++
	result := callResult{zone: zone, owner: owner, asks: asks, sentAt: now}
	if owner.Name == l.Self {
		result.reply = l.Granter.Grant(request)
		result.handle(ctx, l, now)
		return
	}
	l.lifecycle.Go(func() {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		result.reply, result.err = l.Peers.GrantQuota(limited, owner.Address, request)
		select {
		case l.results <- result:
		case <-ctx.Done():
		}
	})
}

// handle applies the answers of an owner, or notes that it did not answer.
func (r callResult) handle(ctx context.Context, l *Limiter, now time.Time) {
	state := l.granterOf(r.zone)
	state.inFlight--
	if r.err != nil || r.reply.Epoch < r.owner.OwnedZones[r.zone] || len(r.reply.Answers) != len(r.asks) {
		state.recordSilence(r.owner, now)
		r.asks = append(r.asks, state.pending...)
		state.pending = nil
		l.passOn(ctx, r.asks, now)
		return
	}
	state.recordAnswer()
	grantedAt := now
	if now.Sub(r.sentAt) > callTimeout {
		// This process was suspended after the reply had arrived.
		grantedAt = r.sentAt
	}
	for i, answer := range r.reply.Answers {
		l.applyAnswer(ctx, r.zone, r.asks[i], answer, grantedAt, now)
	}
	if len(state.pending) > 0 {
		l.call(ctx, r.zone, now)
	}
}

// passOn has asks that an owner did not answer go to the next owner.
func (l *Limiter) passOn(ctx context.Context, asks []*ask, now time.Time) {
	for _, a := range asks {
		a.isUnanswered = true
		l.forwardAsk(ctx, a, now)
	}
}

// applyAnswer ends an ask that was granted and has the next owner asked otherwise.
func (l *Limiter) applyAnswer(ctx context.Context, zone string, a *ask, answer site.QuotaAnswer, grantedAt, now time.Time) {
	state := l.granterOf(zone)
	if answer.Verdict != site.QuotaUnknown {
		state.rooms[a.organisation] = room{
			part: l.Tolerance.partOf(a.quota, len(a.zones)), units: answer.Room, at: grantedAt,
			retryAfter: answer.RetryAfter, isRefused: answer.Verdict == site.QuotaRefused,
		}
	}
	switch answer.Verdict {
	case site.QuotaGranted:
		l.grant(a, zone, grantedAt, now)
		return
	case site.QuotaRefused:
		a.recordRefusal(answer.RetryAfter)
	default:
		a.isUnanswered = true
	}
	l.forwardAsk(ctx, a, now)
}

// forwardAsk puts the ask into the next call to the next owner that may have the units, or
// settles it if there is none.
func (l *Limiter) forwardAsk(ctx context.Context, a *ask, now time.Time) {
	if a.isEnded.Load() {
		return
	}
	view := l.Views.View()
	for _, zone := range a.zones {
		owner := view.Owners[zone]
		state := l.granterOf(zone)
		if owner == nil || state.isSilent(owner, now) {
			a.isUnanswered = true
			continue
		}
		if a.hasTried(zone) || len(a.tried) >= maxOwnersAsked {
			continue
		}
		if wait := state.knownWait(a, now); wait > 0 {
			a.recordRefusal(max(wait, state.rooms[a.organisation].retryAfter))
			continue
		}
		a.tried = append(a.tried, zone)
		state.pending = append(state.pending, a)
		l.call(ctx, zone, now)
		return
	}
	l.settle(view, a, now)
}

// settle ends an ask that no owner grants.
func (l *Limiter) settle(view *site.View, a *ask, now time.Time) {
	counts := l.countsOf(a.organisation)
	if a.isUnanswered && l.shares.take(view, a.organisation, a.quota, a.units, now) {
		counts.ShareUnits += a.units
		l.grant(a, "", now, now)
		return
	}
	if !a.end() || a.isRepeat {
		return
	}
	counts.RefusedRequests++
	counts.RefusedUnits += a.units
	a.reply <- takeResult{err: a.refusal()}
}

// grant ends an ask whose units were taken.
func (l *Limiter) grant(a *ask, zone string, grantedAt, now time.Time) {
	charge := site.QuotaCharge{Organisation: a.organisation, Units: a.units, Granter: zone, TakenAt: grantedAt}
	l.countsOf(a.organisation).GrantedUnits += a.units
	if !a.end() {
		l.recordReturn(charge, now)
		return
	}
	a.reply <- takeResult{charge: charge}
}
