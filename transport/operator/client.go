package operator

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcmetadata"

	"github.com/persimmonmux/persimmonmux/coordination/operation"
	"github.com/persimmonmux/persimmonmux/protocol/operator"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/rpc"
)

const (
	// dialTimeout bounds a connection attempt.
	dialTimeout = 3 * time.Second
	// callTimeout is longer than handlerTimeout of the server, so that the reply of the
	// host arrives before the call times out.
	callTimeout = handlerTimeout + 2*time.Second
)

// A Client calls an entry host for an operator. Its fields are set before use. Each
// call has its own connection, so that a silent connection does not delay other calls.
// The error of each call is a *verdict.Error.
type Client struct {
	// Address is the operator address of an entry host as HOST:PORT.
	Address string
	// Token is the operator token. It may be empty for a host that has no token set and
	// is called over loopback.
	Token string
}

// A failureReply is a reply that has a failure if the host refused or failed the call.
type failureReply interface {
	GetFailure() *operator.Failure
}

// call makes one call on a new connection. lostVerdict is the verdict of the error if
// the request was sent and no reply arrived.
func call[Reply failureReply](ctx context.Context, c *Client, lostVerdict verdict.Verdict, invoke func(context.Context, operator.DRPCOperatorClient) (Reply, error)) (Reply, error) {
	var none Reply
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return none, &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeHostUnreachable, Message: "entry host at " + c.Address, Cause: err,
		}
	}
	connection := connectionLimits.NewConn(raw)
	defer func() { _ = connection.Close() }()
	if c.Token != "" {
		ctx = drpcmetadata.Add(ctx, tokenMetadataKey, c.Token)
	}
	reply, err := invoke(ctx, operator.NewDRPCOperatorClient(rpc.ReplyConn{Conn: connection}))
	if err != nil {
		return none, &verdict.Error{
			Verdict: lostVerdict, Code: verdict.CodeHostUnreachable, Message: "answer of the entry host at " + c.Address + " was lost",
			Cause: err,
		}
	}
	if failure := reply.GetFailure(); failure != nil {
		return none, operator.ToFailure(failure)
	}
	return reply, nil
}

// Change applies an edit to the configuration. After an error with verdict MayHaveRun,
// the same request can be sent again to learn its outcome.
func (c *Client) Change(ctx context.Context, request operation.EditRequest) (operation.EditResult, error) {
	message, err := operator.FromRequest(request)
	if err != nil {
		return operation.EditResult{}, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeInternal, Message: "change", Cause: err}
	}
	reply, err := call(ctx, c, verdict.MayHaveRun, func(ctx context.Context, o operator.DRPCOperatorClient) (*operator.ChangeReply, error) {
		return o.Change(ctx, message)
	})
	return operation.EditResult{Revision: configuration.Revision(reply.GetRevision()), Repeated: reply.GetRepeated()}, err
}

// ListAdapters returns the adapters whose names begin with prefix, sorted by name, as
// far as the entry host knows them. Freshness says how current they are.
func (c *Client) ListAdapters(ctx context.Context, prefix string) ([]configuration.Adapter, operation.Freshness, error) {
	reply, err := call(ctx, c, verdict.NotRun, func(ctx context.Context, o operator.DRPCOperatorClient) (*operator.ListAdaptersReply, error) {
		return o.ListAdapters(ctx, &operator.ListRequest{Prefix: prefix})
	})
	return operator.ConvertAll(reply.GetAdapters(), operator.ToAdapter), operator.ToFreshness(reply.GetFreshness()), err
}

// ListApplications returns the applications whose names begin with prefix, sorted by
// name, as far as the entry host knows them. Freshness says how current they are.
func (c *Client) ListApplications(ctx context.Context, prefix string) ([]configuration.Application, operation.Freshness, error) {
	reply, err := call(ctx, c, verdict.NotRun, func(ctx context.Context, o operator.DRPCOperatorClient) (*operator.ListApplicationsReply, error) {
		return o.ListApplications(ctx, &operator.ListRequest{Prefix: prefix})
	})
	return operator.ConvertAll(reply.GetApplications(), operator.ToApplication), operator.ToFreshness(reply.GetFreshness()), err
}

// ListKinds returns the kinds whose names begin with prefix, sorted by name, as far as
// the entry host knows them. Freshness says how current they are.
func (c *Client) ListKinds(ctx context.Context, prefix string) ([]configuration.Kind, operation.Freshness, error) {
	reply, err := call(ctx, c, verdict.NotRun, func(ctx context.Context, o operator.DRPCOperatorClient) (*operator.ListKindsReply, error) {
		return o.ListKinds(ctx, &operator.ListRequest{Prefix: prefix})
	})
	return operator.ConvertAll(reply.GetKinds(), operator.ToKind), operator.ToFreshness(reply.GetFreshness()), err
}

// ListServers returns the backend servers whose names begin with prefix, sorted by
// name, as far as the entry host knows them. Freshness says how current they are.
func (c *Client) ListServers(ctx context.Context, prefix string) ([]operation.Server, operation.Freshness, error) {
	reply, err := call(ctx, c, verdict.NotRun, func(ctx context.Context, o operator.DRPCOperatorClient) (*operator.ListServersReply, error) {
		return o.ListServers(ctx, &operator.ListRequest{Prefix: prefix})
	})
	return operator.ConvertAll(reply.GetServers(), operator.ToServer), operator.ToFreshness(reply.GetFreshness()), err
}

// ListHosts returns the entry hosts whose names begin with prefix, sorted by name, as
// far as the entry host knows them. Freshness says how current they are.
func (c *Client) ListHosts(ctx context.Context, prefix string) ([]operation.Host, operation.Freshness, error) {
	reply, err := call(ctx, c, verdict.NotRun, func(ctx context.Context, o operator.DRPCOperatorClient) (*operator.ListHostsReply, error) {
		return o.ListHosts(ctx, &operator.ListRequest{Prefix: prefix})
	})
	return operator.ConvertAll(reply.GetHosts(), operator.ToHost), operator.ToFreshness(reply.GetFreshness()), err
}

// ListEngines returns the engines whose names begin with prefix, sorted by name, as far
// as the entry host knows them. Freshness says how current they are.
func (c *Client) ListEngines(ctx context.Context, prefix string) ([]operation.Engine, operation.Freshness, error) {
	reply, err := call(ctx, c, verdict.NotRun, func(ctx context.Context, o operator.DRPCOperatorClient) (*operator.ListEnginesReply, error) {
		return o.ListEngines(ctx, &operator.ListRequest{Prefix: prefix})
	})
	return operator.ConvertAll(reply.GetEngines(), operator.ToEngine), operator.ToFreshness(reply.GetFreshness()), err
}

// ShowRevision returns on which entry hosts a revision is applied. Revision 0 stands
// for the highest accepted revision that the entry host knows.
func (c *Client) ShowRevision(ctx context.Context, revision configuration.Revision) (operation.RevisionStatus, operation.Freshness, error) {
	reply, err := call(ctx, c, verdict.NotRun, func(ctx context.Context, o operator.DRPCOperatorClient) (*operator.ShowRevisionReply, error) {
		return o.ShowRevision(ctx, &operator.ShowRevisionRequest{Revision: uint64(revision)})
	})
	return operator.ToRevision(reply), operator.ToFreshness(reply.GetFreshness()), err
}
