// Package peer is the drpc server and client for the calls between entry hosts.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/persimmonmux/persimmonmux/coordination/budget"
	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/protocol/peer"
	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/transport/rpc"
)

const (
	// maxMessageBytes bounds one message. A snapshot with 32,000 adapters has about 3 MB.
	maxMessageBytes = 64 << 20
	// inactivityTimeout ends connections that carry no call. It is longer than
	// defaultIdleTimeout of the client, so that the client closes first and never sends a
	// call on a connection that the server is closing.
	inactivityTimeout = 60 * time.Second
	// writeTimeout bounds one write, so that a peer that has stopped reading does not
	// block a goroutine.
	writeTimeout = 10 * time.Second
	// permitTimeout is how long a request for a permit waits at the allocator. Its host
	// then sends another one, and so notices when another host has become the allocator.
	permitTimeout = 5 * time.Second
	// handlerTimeout bounds the calls at the server that have no timeout of their own.
	handlerTimeout = 15 * time.Second
	// demandMargin is added to the MaxWait of a grant request, so that a refusal by the owner
	// arrives before the call times out.
	demandMargin = time.Second
	// drainTimeout is how long Close waits for calls in flight before it cancels them.
	drainTimeout = 5 * time.Second
)

// connectionLimits bounds the connections of servers and clients.
var connectionLimits = rpc.Limits{MaxMessageBytes: maxMessageBytes, InactivityTimeout: inactivityTimeout, WriteTimeout: writeTimeout}

// HeartbeatHandler receives the heartbeats of peers.
type HeartbeatHandler interface {
	// ReceiveHeartbeat records the heartbeat of a peer and returns the heartbeat of this
	// host.
	ReceiveHeartbeat(heartbeat fleet.Heartbeat) fleet.Heartbeat
}

// OwnershipHandler serves the calls about engines that this host owns or is to take
// over.
type OwnershipHandler interface {
	// Demand returns a grant, or an error that proves that the request did not run.
	Demand(ctx context.Context, demand dispatch.GrantRequest) (fleet.Grant, error)
	// Release ends grants. Unknown requests are ignored.
	Release(ctx context.Context, engine fleet.EngineName, requests []fleet.RequestID) error
	// HandOver takes over the ownership of an engine and reports whether it did.
	HandOver(ctx context.Context, handOver fleet.HandOver) (bool, error)
}

// HoldingsHandler lists the grants that this host holds.
type HoldingsHandler interface {
	// Holdings returns the grants held on an engine and the start number of this host.
	// epoch and owner are those of the new owner of the engine.
	Holdings(ctx context.Context, engine fleet.EngineName, epoch fleet.Epoch, owner fleet.HostName) ([]fleet.Grant, fleet.StartNumber, error)
}

// ConfigurationHandler receives configuration changes from peers and returns them to
// peers.
type ConfigurationHandler interface {
	// PushChanges receives changes, sorted by rising revision, from a host of the failure
	// domain from. It returns the revision applied at this host afterwards.
	PushChanges(ctx context.Context, from fleet.FailureDomainName, changes []configuration.Change) (configuration.Revision, error)
	// PullChanges returns the changes after a revision, or a snapshot if this host no
	// longer keeps these changes. It also returns the revision applied at this host.
	PullChanges(ctx context.Context, after configuration.Revision) ([]configuration.Change, *configuration.Configuration, configuration.Revision, error)
}

// LoadRateHandler lends this host's share of the load rate to the allocator, and
// permits loads if this host is the allocator.
type LoadRateHandler interface {
	// Lend returns a loan, for whose duration this host does not use its own share.
	Lend(ctx context.Context, allocator fleet.HostName, epoch fleet.Epoch) (budget.Loan, error)
	// AcquirePermit waits until one load may start.
	AcquirePermit(ctx context.Context, want budget.PermitRequest) error
}

// ClaimHandler reports the status of claims that this host made.
type ClaimHandler interface {
	// ClaimStatus returns the status of the claim with the token if the process with the
	// start number made it.
	ClaimStatus(ctx context.Context, key booking.Key, token booking.ClaimToken, start fleet.StartNumber) (booking.ClaimStatus, error)
}

// A Server answers the calls of other entry hosts. Its fields are set before Run. A
// call whose handler is nil fails.
type Server struct {
	// Listener accepts the connections of peers. Run closes it.
	Listener             net.Listener
	HeartbeatHandler     HeartbeatHandler
	OwnershipHandler     OwnershipHandler
	HoldingsHandler      HoldingsHandler
	ConfigurationHandler ConfigurationHandler
	ClaimHandler         ClaimHandler
	LoadRateHandler      LoadRateHandler
	ZoneHandler          ZoneHandler
	QuarantineHandler    QuarantineHandler
	QuotaHandler         QuotaHandler
	// Log is called with errors of single connections; it may be nil.
	Log func(error)
	// Traffic counts the calls of other hosts.
	Traffic rpc.Traffic

	lifecycle   duty.Lifecycle
	activeCalls inFlightCounter
}

// errNotServed is returned for calls without a handler.
var errNotServed = errors.New("call is not served by this host")

// Run serves calls until ctx ends or Close is called.
func (s *Server) Run(ctx context.Context) error {
	return s.lifecycle.Run(ctx, func(ctx context.Context) error {
		mux := drpcmux.New()
		if err := peer.DRPCRegisterPeer(mux, &endpoint{server: s}); err != nil {
			return fmt.Errorf("peer server: %w", err)
		}
		handler := &countingHandler{handler: &rpc.CountingHandler{Handler: mux, Traffic: &s.Traffic}, calls: &s.activeCalls}
		if err := connectionLimits.Serve(ctx, s.Listener, handler, s.Log); err != nil {
			return fmt.Errorf("peer server: %w", err)
		}
		return nil
	})
}

// Close refuses new calls, waits at most drainTimeout for the calls in flight, cancels
// those that are left and waits until Run has returned.
func (s *Server) Close() error {
	s.activeCalls.stop(drainTimeout)
	return s.lifecycle.Close()
}

// A countingHandler counts the calls in flight, so that Close can wait for them.
type countingHandler struct {
	handler drpc.Handler
	calls   *inFlightCounter
}

// HandleRPC serves the call unless the server is stopping.
func (h *countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if !h.calls.begin() {
		return errors.New("entry host is stopping")
	}
	defer h.calls.end()
	return h.handler.HandleRPC(stream, rpc)
}

// An endpoint implements the peer service: it converts messages to structs and calls
// the handlers of the server.
type endpoint struct {
	server *Server
}

// Exchange records the heartbeat of the peer and answers with the heartbeat of this
// host.
func (e *endpoint) Exchange(_ context.Context, message *peer.Heartbeat) (*peer.Heartbeat, error) {
	if e.server.HeartbeatHandler == nil {
		return nil, errNotServed
	}
	heartbeat, err := peer.ToHeartbeat(message)
	if err != nil {
		return nil, err
	}
	return peer.FromHeartbeat(e.server.HeartbeatHandler.ReceiveHeartbeat(heartbeat)), nil
}

// Demand replies with a grant or a refusal.
func (e *endpoint) Demand(ctx context.Context, message *peer.DemandRequest) (*peer.DemandReply, error) {
	if e.server.OwnershipHandler == nil {
		return nil, errNotServed
	}
	demand, err := peer.ToDemand(message)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, max(demand.MaxWait, 0)+demandMargin)
	defer cancel()
	grant, err := e.server.OwnershipHandler.Demand(ctx, demand)
	if err != nil {
		return &peer.DemandReply{Refusal: peer.FromRefusal(err)}, nil
	}
	return &peer.DemandReply{Grant: peer.FromGrant(grant)}, nil
}

// Release ends the grants of the requests.
func (e *endpoint) Release(ctx context.Context, message *peer.ReleaseRequest) (*peer.ReleaseReply, error) {
	if e.server.OwnershipHandler == nil {
		return nil, errNotServed
	}
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	defer cancel()
	requests := make([]fleet.RequestID, len(message.GetRequests()))
	for i, request := range message.GetRequests() {
		requests[i] = fleet.RequestID(request)
	}
	if err := e.server.OwnershipHandler.Release(ctx, fleet.EngineName(message.GetEngine()), requests); err != nil {
		return nil, err
	}
	return &peer.ReleaseReply{}, nil
}

// Holdings answers with the grants that this host holds on an engine.
func (e *endpoint) Holdings(ctx context.Context, message *peer.HoldingsRequest) (*peer.HoldingsReply, error) {
	if e.server.HoldingsHandler == nil {
		return nil, errNotServed
	}
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	defer cancel()
	grants, start, err := e.server.HoldingsHandler.Holdings(ctx, fleet.EngineName(message.GetEngine()),
		fleet.Epoch(message.GetEpoch()), fleet.HostName(message.GetOwner()))
	if err != nil {
		return nil, err
	}
	return &peer.HoldingsReply{Grants: peer.FromGrants(grants), Start: uint64(start)}, nil
}

// HandOver answers whether this host has taken over the engine.
func (e *endpoint) HandOver(ctx context.Context, message *peer.HandOverRequest) (*peer.HandOverReply, error) {
	if e.server.OwnershipHandler == nil {
		return nil, errNotServed
	}
	handOver, err := peer.ToHandOver(message)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	defer cancel()
	accepted, err := e.server.OwnershipHandler.HandOver(ctx, handOver)
	if err != nil {
		return nil, err
	}
	return &peer.HandOverReply{Accepted: accepted, Epoch: message.GetEpoch()}, nil
}

// PushChanges answers with the applied revision after the changes.
func (e *endpoint) PushChanges(ctx context.Context, message *peer.PushChangesRequest) (*peer.PushChangesReply, error) {
	if e.server.ConfigurationHandler == nil {
		return nil, errNotServed
	}
	changes, err := peer.ToChanges(message.GetChanges())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	defer cancel()
	revision, err := e.server.ConfigurationHandler.PushChanges(ctx, fleet.FailureDomainName(message.GetFromFailureDomain()), changes)
	if err != nil {
		return nil, err
	}
	return &peer.PushChangesReply{Revision: uint64(revision)}, nil
}

// PullChanges answers with the changes after a revision, or with a snapshot.
func (e *endpoint) PullChanges(ctx context.Context, message *peer.PullChangesRequest) (*peer.PullChangesReply, error) {
	if e.server.ConfigurationHandler == nil {
		return nil, errNotServed
	}
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	defer cancel()
	changes, snapshot, revision, err := e.server.ConfigurationHandler.PullChanges(ctx, configuration.Revision(message.GetAfterRevision()))
	if err != nil {
		return nil, err
	}
	encodedChanges, err := peer.FromChanges(changes)
	if err != nil {
		return nil, err
	}
	encodedSnapshot, err := peer.FromConfiguration(snapshot)
	if err != nil {
		return nil, err
	}
	return &peer.PullChangesReply{Revision: uint64(revision), Changes: encodedChanges, Snapshot: encodedSnapshot}, nil
}

// ClaimStatus answers with the status of a claim that this host made.
func (e *endpoint) ClaimStatus(ctx context.Context, message *peer.ClaimStatusRequest) (*peer.ClaimStatusReply, error) {
	if e.server.ClaimHandler == nil {
		return nil, errNotServed
	}
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	defer cancel()
	key := booking.Key{
		Application: configuration.ApplicationName(message.GetApplication()),
		Caller:      message.GetCaller(),
		Request:     fleet.RequestID(message.GetRequest()),
	}
	status, err := e.server.ClaimHandler.ClaimStatus(ctx, key, booking.ClaimToken(message.GetToken()), fleet.StartNumber(message.GetStart()))
	if err != nil {
		return nil, err
	}
	return &peer.ClaimStatusReply{Status: string(status)}, nil
}

// Lend answers with a loan of this host's share of the load rate.
func (e *endpoint) Lend(ctx context.Context, message *peer.LendRequest) (*peer.LendReply, error) {
	if e.server.LoadRateHandler == nil {
		return nil, errNotServed
	}
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	defer cancel()
	loan, err := e.server.LoadRateHandler.Lend(ctx, fleet.HostName(message.GetAllocator()), fleet.Epoch(message.GetEpoch()))
	if err != nil {
		return nil, err
	}
	return &peer.LendReply{LoadsPerSecond: loan.Rate, DurationNanoseconds: int64(loan.Duration)}, nil
}

// Permit answers when one load may start, or with a refusal.
func (e *endpoint) Permit(ctx context.Context, message *peer.PermitRequest) (*peer.PermitReply, error) {
	if e.server.LoadRateHandler == nil {
		return nil, errNotServed
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	want := budget.PermitRequest{Engine: fleet.EngineName(message.GetEngine()), Priority: message.GetPriority()}
	if err := e.server.LoadRateHandler.AcquirePermit(ctx, want); err != nil {
		return &peer.PermitReply{Refusal: peer.FromRefusal(err)}, nil
	}
	return &peer.PermitReply{}, nil
}
