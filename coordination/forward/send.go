package forward

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// send sends the request to a server once and handles the response.
func (f *Forwarder) send(ctx context.Context, p *progress, server *site.Server, want balance.ServerRequirements) *verdict.Error {
	options := SendOptions{
		Timeout:       time.Until(p.deadline),
		Organisation:  p.organisationName(),
		Priority:      -1,
		NewConnection: !p.route.Repeatable() && f.namelessRefusals.has(server.ID, time.Now()),
	}
	if want.Adapter.Model != "" {
		options.Priority = p.urgency.Engine
		if want.Adapter.Name != "" {
			options.Version = want.MinVersion
		}
	}
	p.sends++
	p.waitingFor, p.server = waitingForResponse, server.ID
	p.onFirstEvent = nil
	sentAt := time.Now()
	if p.request.PromptTokens > 0 {
		p.onFirstEvent = func() { f.Balancer.RecordBegun(server, p.request.PromptTokens, time.Since(sentAt)) }
	}
	sendContext, endSend := f.watchBlocks(ctx, p)
	defer endSend()
	response, err := p.client.Send(sendContext, server, options)
	if err != nil {
		return f.recordSendFailure(sendContext, p, server, verdict.FromError(err))
	}
	head := response.Head()
	if !head.Misdirected || head.FromExpectedServer {
		f.recordStatements(server, head)
	}
	if head.Evidence.IsStated {
		f.recordRefusal(p, server, head)
	}
	if head.ProvesNotRun() {
		response.Discard()
		return f.recordRejection(p, server, want, head)
	}
	if head.Load != nil && head.IsSuccess() && !p.isStream(head) {
		head.Load.Answer = balance.AnswerTime{Estimate: p.estimate, Delay: time.Since(sentAt)}
	}
	f.Balancer.RecordResponse(server, head.Load)
	p.runs++
	if head.Status >= 500 && p.route.Repeatable() && !p.client.ResponseStarted() && p.runs < p.route.MaxAttempts &&
		time.Until(p.deadline) > minSendDuration && f.RetryBudget.AllowRetry(string(p.service)) {
		response.Discard()
		p.tried = append(p.tried, server.ID)
		f.Log.Info().Str("request", p.request.loggedID()).Str("server", string(server.ID)).Int("status", head.Status).Msg("server responded with an error; retrying at another server")
		return f.resend(ctx, p)
	}
	if head.PromisesNotRun() && (!p.route.Repeatable() || head.Evidence.IsStated) {
		response.Abort()
		p.tried = append(p.tried, server.ID)
		return verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil, "server %s responded with status %d, which does not prove that the request did not run: %s",
			server.ID, head.Status, head.Evidence.Doubt())
	}
	return f.deliver(sendContext, p, server, response, head)
}

// recordStatements records what a response of the server states about the requests that it
// takes.
func (f *Forwarder) recordStatements(server *site.Server, head ResponseHead) {
	if f.Balancer.RecordRateLimit(server, head.RateLimit) {
		f.Log.Info().Str("server", string(server.ID)).Float64("requests-per-second", head.RateLimit).Msg("server states another request limit")
	}
	if head.Leaving && f.Balancer.RecordLeaving(server) {
		f.Log.Info().Str("server", string(server.ID)).Msg("server states that it leaves")
	}
	if head.Pause > 0 {
		f.Balancer.RecordPause(server, head.Pause)
		f.Log.Info().Str("server", string(server.ID)).Dur("pause", head.Pause).Msg("server wants no requests")
	}
}

// resend makes another attempt after a server error. send has already taken the
// attempt from the retry budget.
func (f *Forwarder) resend(ctx context.Context, p *progress) *verdict.Error {
	p.mayHaveRun = true
	return f.attemptOnce(ctx, p)
}

// recordSendFailure records a send that got no response.
func (f *Forwarder) recordSendFailure(ctx context.Context, p *progress, server *site.Server, failure *verdict.Error) *verdict.Error {
	if failure.Verdict != verdict.NotRun {
		p.runs++
		f.recordInterruption(ctx, p, server)
	}
	if ctx.Err() == nil {
		f.Balancer.RecordFailure(server)
		p.tried = append(p.tried, server.ID)
		f.Log.Info().Str("request", p.request.loggedID()).Str("server", string(server.ID)).Str("verdict", string(failure.Verdict)).
			Strs("prompt-parts", p.request.PromptParts).Int("sends", p.sends).Int("events", p.events).Err(failure).Msg("send failed")
	}
	return blockedFailure(ctx, server, failure)
}

// recordInterruption tells the quarantine of a request whose connection ended, unless
// its answer had begun: then the request has shown that it does not crash servers.
func (f *Forwarder) recordInterruption(ctx context.Context, p *progress, server *site.Server) {
	if ctx.Err() == nil && !p.answerBegun {
		f.Quarantine.RecordInterruption(ctx, server, p.traits)
	}
}

// recordRefusal logs and counts a response stating that the request did not run, and remembers its
// server if it does not name the request.
func (f *Forwarder) recordRefusal(p *progress, server *site.Server, head ResponseHead) {
	if head.Evidence.NamesNoRequest {
		f.namelessRefusals.record(server.ID, time.Now())
	}
	doubt := head.Evidence.Doubt()
	f.Recorder.RecordRefusal(p.service, doubt)
	f.Log.Info().Str("request", p.request.loggedID()).Str("route", p.route.Name).Str("server", string(server.ID)).Int("status", head.Status).
		Str("doubt", string(doubt)).Bool("believed", head.ProvesNotRun()).Bool("reused", head.Evidence.OnReusedConnection).Bool("named", !head.Evidence.NamesNoRequest).
		Int("sends", p.sends).Str("adapter", p.request.Adapter.Name).Msg("server refused the request")
}

// recordRejection records a response stating that the request did not run, and
// returns the failure of the attempt.
func (f *Forwarder) recordRejection(p *progress, server *site.Server, want balance.ServerRequirements, head ResponseHead) *verdict.Error {
	if head.Misdirected && head.FromExpectedServer && want.Adapter.Model != "" {
		f.Balancer.RecordNotLoaded(server, want.Adapter)
		p.adapterMissingAt = server.ID
		return verdict.NewNotRun(verdict.CodeUnknownInstance, "engine %s does not hold adapter %s", server.ID, want.Adapter.Name)
	}
	if head.Misdirected {
		f.Balancer.RecordFailure(server)
	} else {
		f.Balancer.RecordResponse(server, head.Load)
	}
	p.tried = append(p.tried, server.ID)
	return verdict.NewNotRun(verdict.CodeBackendRefused, "server %s refused the request with status %d", server.ID, head.Status)
}
