package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// run makes attempts until one succeeds or no further one is allowed. Only
// attempts that sent the request to a server count against the retry budget.
func (f *Forwarder) run(ctx context.Context, p *progress) error {
	f.RetryBudget.CountRequest(string(p.service))
	for {
		sends := p.sends
		failure := f.attemptOnce(ctx, p)
		if failure == nil {
			return nil
		}
		if failure.Verdict != verdict.NotRun {
			p.mayHaveRun = true
		}
		if ctx.Err() != nil || p.turnDenied || failure.Code == verdict.CodePromptBlocked || !f.mayRetry(p) {
			return f.finalFailure(ctx, p, failure)
		}
		if p.sends > sends && !f.RetryBudget.AllowRetry(string(p.service)) {
			return f.finalFailure(ctx, p, failure)
		}
		if p.sends == sends && failure.Code != verdict.CodeRateLimited && !duty.Sleep(ctx, meanRetryDelay/2+rand.N(meanRetryDelay)) {
			return f.finalFailure(ctx, p, failure)
		}
	}
}

// mayRetry reports whether the route's rules and the remaining time allow another
// attempt.
func (f *Forwarder) mayRetry(p *progress) bool {
	if p.mayHaveRun && !p.route.Repeatable() {
		return false
	}
	if p.hasTooManyEvents || p.hasBodyBegun {
		// Nothing can continue what the client has.
		return false
	}
	if p.sends == 0 && !time.Now().Before(p.unsentDeadline) {
		return false
	}
	return p.runs < p.route.MaxAttempts && p.sends < p.runs+maxRejectedSends && time.Until(p.deadline) > minSendDuration
}

// finalFailure returns the failure that is reported to the client. It never says
// that a request did not run if an earlier send may have run.
func (f *Forwarder) finalFailure(ctx context.Context, p *progress, failure *verdict.Error) error {
	reported := *failure
	if ctx.Err() != nil {
		reported.Code = verdict.CodeDeadline
	}
	if p.mayHaveRun {
		reported.Verdict = verdict.MayHaveRun
	}
	if reported.Verdict == verdict.NotRun && reported.RetryAfter == 0 {
		reported.RetryAfter = overloadRetryDelay
	}
	return &reported
}

// attemptOnce chooses a server, has the adapter loaded there and sends the request
// once.
func (f *Forwarder) attemptOnce(ctx context.Context, p *progress) *verdict.Error {
	if failure := f.checkQuarantine(p); failure != nil {
		return failure
	}
	view := f.Views.View()
	version := view.Versions[p.request.Adapter]
	p.waitingFor, p.server = waitingForServer, ""
	want := balance.ServerRequirements{Service: p.service, Adapter: p.request.Adapter, MinVersion: version, Tried: p.tried, PromptTokens: p.request.PromptTokens}
	if service := view.Service(p.service); service == nil || service.Engines == nil {
		want.Adapter = site.Adapter{}
	}
	pick, err := f.Balancer.Choose(want)
	if err != nil {
		failure := verdict.FromError(err)
		if p.limitedBy != nil {
			p.turnDenied = true
			failure = p.limitedBy
		} else if len(p.tried) == 0 && failure.RetryAfter > maxPauseWait {
			// All servers want a pause, so that waiting here is of no use.
			p.turnDenied = true
		}
		// If every server was tried, the next attempt may use them again.
		if len(p.tried) > 0 {
			p.tried = nil
		}
		return failure
	}
	p.estimate = pick.Estimate
	forwarded := false
	defer func() {
		f.Balancer.Done(pick.Server, want.Adapter, forwarded)
		if forwarded && want.Adapter.Name != "" && f.RunEnds != nil {
			f.RunEnds.RecordEnd(pick.Server, want.Adapter)
		}
	}()
	if want.Adapter.Model != "" || f.Balancer.StatedLimit(pick.Server).Known {
		if failure := f.place(ctx, p, pick, want); failure != nil {
			return failure
		}
		if failure := f.recheckAfterWait(ctx, p, pick.Server, want); failure != nil {
			return failure
		}
		if failure := f.checkQuarantine(p); failure != nil {
			return failure
		}
	}
	if failure := f.chargeSend(ctx, p); failure != nil {
		return failure
	}
	forwarded = true
	f.Balancer.RecordForward(pick.Server, want.Adapter)
	return f.send(ctx, p, pick.Server, want)
}

// checkQuarantine refuses a request with traits that crash servers. The caller is
// told when the block ends, because the request fails at any host until then.
func (f *Forwarder) checkQuarantine(p *progress) *verdict.Error {
	blockedFor := f.Quarantine.BlockedFor(p.service, p.traits)
	if blockedFor <= 0 {
		return nil
	}
	return newRefusal(verdict.CodePromptBlocked, blockedFor, errBlocked.Error())
}
