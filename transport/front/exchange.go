package front

import (
	"context"
	"net/http"
	"slices"

	"github.com/persimmonmux/persimmonmux/coordination/execution"
	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// An exchange is one request of a caller and the connection for its response. It
// implements forward.Exchange and is used by the request's goroutine only.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	body    []byte
	// responseStarted reports whether the status and headers of a response were
	// sent to the caller.
	responseStarted bool
	// lastEventID is the id of the last event that was sent to the caller. A server
	// that resumes the stream continues after it.
	lastEventID string
	// refusedBy lists the servers that have refused the request.
	refusedBy []site.ServerID
}

// ResponseStarted reports whether the caller has got a part of a response.
func (e *exchange) ResponseStarted() bool { return e.responseStarted }

// Send forwards the request to a server once and reads the status and headers of
// the response. The error is a *verdict.Error; its verdict is NotRun if certainly no
// byte of the request was written. A response with another attempt id belongs to another
// request and is an error, also if it states that the request did not run.
func (e *exchange) Send(ctx context.Context, server *site.Server, options forward.SendOptions) (forward.Response, error) {
	out := &backend.RawRequest{
		Address: server.Address,
		Method:  e.request.Method,
		Target:  e.request.RequestURI,
		Host:    e.request.Host,
		Header:  e.requestHeader(server, options),
		Body:    e.body,
		// A server that repeats its refusal on a kept connection cannot be told from one
		// that refuses the request again.
		NewConnection: options.NewConnection || slices.Contains(e.refusedBy, server.ID),
	}
	in, wrote, err := e.server.ConnectionPool.Do(ctx, out)
	if err != nil {
		failure := verdict.NewMayHaveRun(verdict.CodeBackendLost, err, "server %s", server.ID)
		if !wrote {
			failure.Verdict = verdict.NotRun
		}
		return nil, failure
	}
	r := &response{exchange: e, incoming: in, expectedServer: string(server.ID)}
	r.evidence = r.readEvidence()
	if !r.isOwn() {
		in.Finish(false)
		return nil, verdict.NewMayHaveRun(verdict.CodeWrongInstance, nil, "server %s: response with status %d has attempt ids %q, not that of the request",
			server.ID, in.StatusCode, in.Header.Values(platform.HeaderAttemptID))
	}
	if r.evidence.Doubt() == execution.None {
		e.refusedBy = append(e.refusedBy, server.ID)
	}
	return r, nil
}
