package forward

import (
	"context"
	"errors"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// send passes the request on to a server once.
func (f *Forwarder) send(ctx context.Context, a *attempt, server *site.Server, want balance.Requirements) *verdict.Error {
	instructions := SendOptions{
		Timeout:  time.Until(a.ends),
		Priority: -1,
	}
	if want.Adapter.Model != "" {
		instructions.Priority = min(2*a.route.Priority, 9)
		if want.Adapter.Name != "" {
			instructions.Version = want.MinVersion
		}
	}
	a.sends++
	a.waits, a.server = waitsForAnswer, server.ID
	answer, err := a.client.Send(ctx, server, instructions)
	if err != nil {
		return f.failed(a, server, verdict.FromError(err), ctx)
	}
	head := answer.Head()
	if head.Misdirected || head.NotRun {
		answer.Discard()
		return f.rejected(a, server, want, head)
	}
	f.Balancer.RecordResponse(server, head.Load)
	a.ran++
	if head.Status >= 500 && a.route.Repeatable() && !a.client.ResponseStarted() && a.ran < a.route.MaxAttempts &&
		time.Until(a.ends) > leastSend && f.RetryBudget.AllowRetry(string(a.service)) {
		answer.Discard()
		a.tried = append(a.tried, server.ID)
		f.Log.Info().Str("request", a.request.AttemptID).Str("server", string(server.ID)).Int("status", head.Status).Msg("server failed; sending again")
		return f.again(ctx, a)
	}
	return f.deliver(ctx, a, server, answer)
}

// again makes the next send after its part of the budget was taken.
func (f *Forwarder) again(ctx context.Context, a *attempt) *verdict.Error {
	a.doubt = true
	return f.try(ctx, a)
}

// failed notes a send without an answer.
func (f *Forwarder) failed(a *attempt, server *site.Server, failure *verdict.Error, ctx context.Context) *verdict.Error {
	if failure.Verdict != verdict.NotRun {
		a.ran++
	}
	if ctx.Err() == nil {
		f.Balancer.RecordFailure(server)
		a.tried = append(a.tried, server.ID)
		f.Log.Info().Str("request", a.request.AttemptID).Str("server", string(server.ID)).Str("verdict", string(failure.Verdict)).
			Err(failure).Msg("send failed")
	}
	return failure
}

// rejected notes an answer that says that the request did not run.
func (f *Forwarder) rejected(a *attempt, server *site.Server, want balance.Requirements, head ResponseHead) *verdict.Error {
	f.Log.Info().Str("request", a.request.AttemptID).Str("server", string(server.ID)).Int("status", head.Status).
		Str("adapter", want.Adapter.Name).Int("version", want.MinVersion).Msg("server refused the request")
	if head.Misdirected && head.FromExpectedServer && want.Adapter.Model != "" {
		f.Balancer.RecordNotLoaded(server, want.Adapter)
		a.missing = server.ID
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

// deliver passes the answer on. A stream that breaks off goes on at another
// server where its route allows it.
func (f *Forwarder) deliver(ctx context.Context, a *attempt, server *site.Server, answer Response) *verdict.Error {
	a.waits = waitsForEnd
	err := answer.Deliver(ctx)
	if err == nil {
		return nil
	}
	var incomplete *IncompleteError
	if errors.As(err, &incomplete) && !incomplete.ClientGone && ctx.Err() == nil {
		f.Balancer.RecordFailure(server)
		a.tried = append(a.tried, server.ID)
	}
	f.Log.Info().Str("request", a.request.AttemptID).Str("server", string(server.ID)).Err(err).Msg("answer broke off")
	return verdict.NewMayHaveRun(verdict.CodeIncomplete, err, "answer of server %s broke off", server.ID)
}
