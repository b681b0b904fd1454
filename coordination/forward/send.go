package forward

import (
	"context"
	"errors"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// send sends the request to a server once and handles the response.
func (f *Forwarder) send(ctx context.Context, a *attempt, server *site.Server, want balance.Requirements) *verdict.Error {
	options := SendOptions{
		Timeout:  time.Until(a.deadline),
		Priority: -1,
	}
	if want.Adapter.Model != "" {
		options.Priority = min(2*a.route.Priority, 9)
		if want.Adapter.Name != "" {
			options.Version = want.MinVersion
		}
	}
	a.sends++
	a.waitingFor, a.server = waitingForResponse, server.ID
	response, err := a.client.Send(ctx, server, options)
	if err != nil {
		return f.recordSendFailure(a, server, verdict.FromError(err), ctx)
	}
	head := response.Head()
	if head.Misdirected || head.NotRun {
		response.Discard()
		return f.recordRejection(a, server, want, head)
	}
	f.Balancer.RecordResponse(server, head.Load)
	a.runs++
	if head.Status >= 500 && a.route.Repeatable() && !a.client.ResponseStarted() && a.runs < a.route.MaxAttempts &&
		time.Until(a.deadline) > minSendDuration && f.RetryBudget.AllowRetry(string(a.service)) {
		response.Discard()
		a.tried = append(a.tried, server.ID)
		f.Log.Info().Str("request", a.request.AttemptID).Str("server", string(server.ID)).Int("status", head.Status).Msg("server responded with an error; retrying at another server")
		return f.resend(ctx, a)
	}
	return f.deliver(ctx, a, server, response)
}

// resend makes another try after a server error. The caller has already taken it
// from the retry budget.
func (f *Forwarder) resend(ctx context.Context, a *attempt) *verdict.Error {
	a.mayHaveRun = true
	return f.tryOnce(ctx, a)
}

// recordSendFailure records a send that got no response.
func (f *Forwarder) recordSendFailure(a *attempt, server *site.Server, failure *verdict.Error, ctx context.Context) *verdict.Error {
	if failure.Verdict != verdict.NotRun {
		a.runs++
	}
	if ctx.Err() == nil {
		f.Balancer.RecordFailure(server)
		a.tried = append(a.tried, server.ID)
		f.Log.Info().Str("request", a.request.AttemptID).Str("server", string(server.ID)).Str("verdict", string(failure.Verdict)).
			Err(failure).Msg("send failed")
	}
	return failure
}

// recordRejection records a response stating that the request did not run, and
// returns the failure of the try.
func (f *Forwarder) recordRejection(a *attempt, server *site.Server, want balance.Requirements, head ResponseHead) *verdict.Error {
	f.Log.Info().Str("request", a.request.AttemptID).Str("server", string(server.ID)).Int("status", head.Status).
		Str("adapter", want.Adapter.Name).Int("version", want.MinVersion).Msg("server refused the request")
	if head.Misdirected && head.FromExpectedServer && want.Adapter.Model != "" {
		f.Balancer.RecordNotLoaded(server, want.Adapter)
		a.adapterMissingAt = server.ID
		return verdict.NewNotRun(verdict.CodeUnknownInstance, "engine %s does not hold adapter %s", server.ID, want.Adapter.Name)
	}
	if head.Misdirected {
		f.Balancer.RecordFailure(server)
	} else {
		f.Balancer.RecordResponse(server, head.Load)
	}
	a.tried = append(a.tried, server.ID)
	return verdict.NewNotRun(verdict.CodeBackendRefused, "server %s refused the request with status %d", server.ID, head.Status)
}

// deliver passes the response on to the client. If the server ends it early, the
// server is avoided, and another one is tried if the route allows it.
func (f *Forwarder) deliver(ctx context.Context, a *attempt, server *site.Server, response Response) *verdict.Error {
	a.waitingFor = waitingForEnd
	err := response.Deliver(ctx)
	if err == nil {
		return nil
	}
	var incomplete *IncompleteError
	if errors.As(err, &incomplete) && !incomplete.ClientGone && ctx.Err() == nil {
		f.Balancer.RecordFailure(server)
		a.tried = append(a.tried, server.ID)
	}
	f.Log.Info().Str("request", a.request.AttemptID).Str("server", string(server.ID)).Err(err).Msg("answer broke off")
	return verdict.NewMayHaveRun(verdict.CodeIncomplete, err, "response of server %s ended early", server.ID)
}
