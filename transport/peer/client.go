package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/persimmonmux/persimmonmux/coordination/budget"
	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/protocol/peer"
	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/rpc"
)

const (
	// exchangeTimeout is a third of the 3 s without a heartbeat after which a host counts
	// as silent, so that a silent connection is replaced before that.
	exchangeTimeout = time.Second
	// callTimeout bounds the control calls that have no timeout of their own.
	callTimeout = 2 * time.Second
	// handOverTimeout bounds a hand-over call, which carries all grants of an engine.
	handOverTimeout = 5 * time.Second
	// transferTimeout bounds pushing and pulling changes. A snapshot of 3 MB takes about
	// 1 s on a link of 30 Mbit/s.
	transferTimeout = 10 * time.Second
)

// ErrClosed is returned by calls after Close has been called.
var ErrClosed = errors.New("peer client: closed")

// ErrBusy means that too many calls to the peer are in flight. The call was not sent.
var ErrBusy = errors.New("too many calls in flight")

// A Client calls other entry hosts and keeps unused connections to them. Its fields are
// set before use; it is safe for concurrent use. An error that wraps
// fleet.ErrConnectionRefused proves that no process listens at the address.
type Client struct {
	// FailureDomain is the failure domain of this host; PushChanges sends it to the peer.
	FailureDomain fleet.FailureDomainName
	// Traffic counts the calls to other hosts.
	Traffic rpc.Traffic

	// idleTimeout replaces defaultIdleTimeout unless it is zero; tests set it.
	idleTimeout time.Duration
	initOnce    sync.Once
	pool        *drpcpool.Pool[string, *drpcconn.Conn]
	// ctx is canceled by Close and ends calls in flight and connections.
	ctx    context.Context
	cancel context.CancelFunc
	// mutex guards closed and inFlight.
	mutex    sync.Mutex
	closed   bool
	inFlight map[callClass]int
	// work counts the calls in flight and the goroutines that close connections.
	work sync.WaitGroup
}

// Exchange sends a heartbeat to the peer and returns the heartbeat of the peer.
func (c *Client) Exchange(ctx context.Context, address string, heartbeat fleet.Heartbeat) (fleet.Heartbeat, error) {
	request := peer.FromHeartbeat(heartbeat)
	reply, err := invoke(ctx, c, callOptions{name: "exchange", address: address, timeout: exchangeTimeout, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.Heartbeat, error) {
			return p.Exchange(ctx, request)
		})
	if err != nil {
		return fleet.Heartbeat{}, err
	}
	return peer.ToHeartbeat(reply)
}

// Demand requests a grant from the owner of an engine. The error is a *verdict.Error with
// verdict NotRun, even if the reply was lost: a grant does not run the request, and an
// unused grant expires.
func (c *Client) Demand(ctx context.Context, address string, demand dispatch.GrantRequest) (fleet.Grant, error) {
	request := peer.FromDemand(demand)
	timeout := max(demand.MaxWait, 0) + 2*demandMargin
	reply, err := invoke(ctx, c, callOptions{name: "demand", address: address, timeout: timeout, isDemand: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.DemandReply, error) {
			return p.Demand(ctx, request)
		})
	if err != nil {
		return fleet.Grant{}, lostReplyError(err)
	}
	if refusal := reply.GetRefusal(); refusal != nil {
		return fleet.Grant{}, peer.ToRefusal(refusal)
	}
	grant, err := peer.ToGrant(reply.GetGrant())
	if err != nil {
		return fleet.Grant{}, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeNoGrant, Message: "demand at " + address, Cause: err}
	}
	return grant, nil
}

// lostReplyError returns the error of a call for a grant or admission whose reply did not
// arrive.
func lostReplyError(err error) *verdict.Error {
	code := verdict.CodeNoGrant
	switch {
	case errors.Is(err, ErrBusy):
		code = verdict.CodeOverloaded
	case errors.Is(err, context.Canceled):
		code = verdict.CodeCanceled
	}
	return &verdict.Error{Verdict: verdict.NotRun, Code: code, Message: "no grant", Cause: err}
}

// Release ends the grants of the requests on an engine. It is idempotent.
func (c *Client) Release(ctx context.Context, address string, engine fleet.EngineName, requests []fleet.RequestID) error {
	request := &peer.ReleaseRequest{Engine: string(engine)}
	for _, id := range requests {
		request.Requests = append(request.Requests, string(id))
	}
	_, err := invoke(ctx, c, callOptions{name: "release", address: address, timeout: callTimeout, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.ReleaseReply, error) {
			return p.Release(ctx, request)
		})
	return err
}

// Holdings returns the grants that the peer holds on an engine, with their remaining
// durations, and the start number of the peer. epoch and owner inform the peer of
// the new owner of the engine.
func (c *Client) Holdings(ctx context.Context, address string, engine fleet.EngineName, epoch fleet.Epoch, owner fleet.HostName) ([]fleet.Grant, fleet.StartNumber, error) {
	request := &peer.HoldingsRequest{Engine: string(engine), Epoch: uint64(epoch), Owner: string(owner)}
	reply, err := invoke(ctx, c, callOptions{name: "holdings", address: address, timeout: callTimeout, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.HoldingsReply, error) {
			return p.Holdings(ctx, request)
		})
	if err != nil {
		return nil, 0, err
	}
	grants, err := peer.ToGrants(reply.GetGrants())
	if err != nil {
		return nil, 0, fmt.Errorf("holdings at %s: %w", address, err)
	}
	return grants, fleet.StartNumber(reply.GetStart()), nil
}

// HandOver passes the ownership of an engine to the peer and reports whether the peer
// accepted it.
func (c *Client) HandOver(ctx context.Context, address string, handOver fleet.HandOver) (bool, error) {
	request := peer.FromHandOver(handOver)
	reply, err := invoke(ctx, c, callOptions{name: "hand-over", address: address, timeout: handOverTimeout},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.HandOverReply, error) {
			return p.HandOver(ctx, request)
		})
	if err != nil {
		return false, err
	}
	return reply.GetAccepted(), nil
}

// PushChanges sends configuration changes, sorted by rising revision, and returns the
// revision that is applied at the peer afterwards.
func (c *Client) PushChanges(ctx context.Context, address string, changes []configuration.Change) (configuration.Revision, error) {
	encoded, err := peer.FromChanges(changes)
	if err != nil {
		return 0, err
	}
	request := &peer.PushChangesRequest{Changes: encoded, FromFailureDomain: string(c.FailureDomain)}
	if len(changes) > 0 {
		request.FirstRevision = uint64(changes[0].Revision)
	}
	reply, err := invoke(ctx, c, callOptions{name: "push changes", address: address, timeout: transferTimeout, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.PushChangesReply, error) {
			return p.PushChanges(ctx, request)
		})
	if err != nil {
		return 0, err
	}
	return configuration.Revision(reply.GetRevision()), nil
}

// PullChanges returns the changes after a revision, or a snapshot if the peer no longer
// keeps these changes. It also returns the revision applied at the peer.
func (c *Client) PullChanges(ctx context.Context, address string, after configuration.Revision) ([]configuration.Change, *configuration.Configuration, configuration.Revision, error) {
	request := &peer.PullChangesRequest{AfterRevision: uint64(after)}
	reply, err := invoke(ctx, c, callOptions{name: "pull changes", address: address, timeout: transferTimeout, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.PullChangesReply, error) {
			return p.PullChanges(ctx, request)
		})
	if err != nil {
		return nil, nil, 0, err
	}
	changes, err := peer.ToChanges(reply.GetChanges())
	if err != nil {
		return nil, nil, 0, fmt.Errorf("pull changes at %s: %w", address, err)
	}
	snapshot, err := peer.ToConfiguration(reply.GetSnapshot())
	if err != nil {
		return nil, nil, 0, fmt.Errorf("pull changes at %s: %w", address, err)
	}
	return changes, snapshot, configuration.Revision(reply.GetRevision()), nil
}

// ClaimStatus queries the status of a claim from the host that made it. A status
// that this host does not know is returned as booking.StatusUnknown.
func (c *Client) ClaimStatus(ctx context.Context, address string, key booking.Key, token booking.ClaimToken, start fleet.StartNumber) (booking.ClaimStatus, error) {
	request := &peer.ClaimStatusRequest{
		Application: string(key.Application),
		Caller:      key.Caller,
		Request:     string(key.Request),
		Token:       string(token),
		Start:       uint64(start),
	}
	reply, err := invoke(ctx, c, callOptions{name: "claim status", address: address, timeout: callTimeout, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.ClaimStatusReply, error) {
			return p.ClaimStatus(ctx, request)
		})
	if err != nil {
		return "", err
	}
	switch status := booking.ClaimStatus(reply.GetStatus()); status {
	case booking.StatusAbandoned, booking.StatusRunning:
		return status, nil
	default:
		return booking.StatusUnknown, nil
	}
}

// Lend requests that a host lends its share of the load rate to the allocator for a time.
func (c *Client) Lend(ctx context.Context, address string, allocator fleet.HostName, epoch fleet.Epoch) (budget.Loan, error) {
	request := &peer.LendRequest{Allocator: string(allocator), Epoch: uint64(epoch)}
	reply, err := invoke(ctx, c, callOptions{name: "lend", address: address, timeout: callTimeout, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.LendReply, error) {
			return p.Lend(ctx, request)
		})
	if err != nil {
		return budget.Loan{}, err
	}
	return budget.Loan{Rate: reply.GetLoadsPerSecond(), Duration: time.Duration(reply.GetDurationNanoseconds())}, nil
}

// Permit waits until the allocator permits one load. If the reply is lost, the permit
// stays unused.
func (c *Client) Permit(ctx context.Context, address string, want budget.PermitRequest) error {
	request := &peer.PermitRequest{Engine: string(want.Engine), Priority: want.Priority}
	reply, err := invoke(ctx, c, callOptions{name: "permit", address: address, timeout: permitTimeout},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.PermitReply, error) {
			return p.Permit(ctx, request)
		})
	if err != nil {
		return err
	}
	if refusal := reply.GetRefusal(); refusal != nil {
		return peer.ToRefusal(refusal)
	}
	return nil
}

// Close cancels the calls in flight, closes all connections and waits until they have
// ended.
func (c *Client) Close() error {
	c.initOnce.Do(c.initialize)
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.cancel()
	err := c.pool.Close()
	c.work.Wait()
	return err
}
