package forward

import (
	"context"
	"errors"
	"fmt"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

var (
	// errNoEventStream means that a server responded to a request for a stream with something
	// else.
	errNoEventStream = errors.New("response is no event stream")
	// errNotContinuable means that a response cannot follow the part that the client has.
	errNotContinuable = errors.New("response cannot continue the one that has begun")
	// errNotSigned means that a success has no signature, or several.
	errNotSigned = errors.New("successful response has not one signature")
	// errEncoded means that the body of a success is encoded, which clients do not ask for.
	errEncoded = errors.New("successful response has a content encoding")
	// errPart means that a success has a part of a body although the request asked for the whole.
	errPart = errors.New("successful response has a part of the body that was not asked for")
	// errContradiction means that a server calls a request not executed that it answers with a
	// success.
	errContradiction = errors.New("successful response to a request that was not executed")
)

// The statuses that decide how a response is handled.
const (
	// statusOK is the status of a stream. Other successes have no body, or not the whole one.
	statusOK = 200
	// lowestRedirectStatus is the status above those of successes.
	lowestRedirectStatus  = 300
	statusRequestTimeout  = 408
	statusMisdirected     = 421
	statusTooManyRequests = 429
	statusUnavailable     = 503
)

// maxLoggedBytes bounds what an error or a log line has of a text that a server chose.
const maxLoggedBytes = 64

// shortened returns the text, or its begin if it is longer than maxLoggedBytes.
func shortened(text string) string {
	if len(text) <= maxLoggedBytes {
		return text
	}
	return text[:maxLoggedBytes] + "..."
}

// deliver passes the response on to the client. If the server ends the response
// early, the server is avoided, and run tries another one if the route allows
// another attempt.
func (f *Forwarder) deliver(ctx context.Context, p *progress, server *site.Server, response Response, head ResponseHead) *verdict.Error {
	p.waitingFor = waitingForEnd
	err := p.passOn(ctx, response, head)
	if err == nil {
		if head.IsSuccess() {
			p.recordBegun()
		}
		return nil
	}
	var incomplete *IncompleteError
	delivered := int64(0)
	if errors.As(err, &incomplete) {
		delivered = incomplete.DeliveredBytes
		if !incomplete.ClientGone && ctx.Err() == nil {
			f.Balancer.RecordFailure(server)
			p.tried = append(p.tried, server.ID)
			f.recordInterruption(ctx, p, server)
		}
	}
	f.Log.Info().Str("request", p.request.loggedID()).Str("route", p.route.Name).Str("server", string(server.ID)).Strs("prompt-parts", p.request.PromptParts).
		Int("sends", p.sends).Int("events", p.events).Str("content-type", shortened(head.ContentType)).Int64("delivered-bytes", delivered).Err(err).Msg("answer broke off")
	return blockedFailure(ctx, server, verdict.NewMayHaveRun(verdict.CodeIncomplete, err, "response of server %s ended early", server.ID))
}

// passOn delivers the response in the form that the route asks for. What the server calls its
// response does not decide how it is checked, because a faulty server may call it anything.
func (p *progress) passOn(ctx context.Context, response Response, head ResponseHead) error {
	if err := p.checkHead(head); err != nil {
		response.Abort()
		return &IncompleteError{Cause: err}
	}
	if p.isStream(head) {
		return response.DeliverStream(ctx, p)
	}
	err := response.DeliverBody(ctx)
	p.hasBodyBegun = p.client.ResponseStarted()
	return err
}

// isStream reports whether the response has to be a stream.
func (p *progress) isStream(head ResponseHead) bool {
	return p.route.Kind == site.Streaming && head.IsSuccess()
}

// checkHead returns an error if the response is none that a server has for the request, or none
// that may follow what the client has.
func (p *progress) checkHead(head ResponseHead) error {
	isSuccess := head.IsSuccess()
	switch {
	case isSuccess && head.Evidence.IsStated:
		return errContradiction
	case isSuccess && !head.IsSigned:
		return errNotSigned
	case isSuccess && head.IsEncoded:
		return errEncoded
	case isSuccess && head.IsPart:
		return errPart
	case p.isStream(head) && (head.Status != statusOK || !head.IsEventStream):
		return fmt.Errorf("%w: status is %d, content type is %q", errNoEventStream, head.Status, shortened(head.ContentType))
	case !p.isStream(head) && p.client.ResponseStarted():
		return fmt.Errorf("%w: status is %d", errNotContinuable, head.Status)
	}
	return nil
}
