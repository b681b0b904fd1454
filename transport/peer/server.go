// Package peer has the server and the client of the calls between entry hosts.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

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
	// maximumMessageBytes bounds one message. A snapshot with 32,000 adapters
	// has about 3 MB.
	maximumMessageBytes = 64 << 20
	// inactivityLimit ends connections that carry no call. It is longer than
	// idleLimit of the client, so that the client closes first and never sends
	// a call on a connection that the server is closing.
	inactivityLimit = 60 * time.Second
	// writeLimit bounds one write, so that a peer that stopped reading does
	// not hold a goroutine.
	writeLimit = 10 * time.Second
	// permitLimit is how long a want waits at the allocator before its host asks
	// again, which lets the host notice that the allocator is another one.
	permitLimit = 5 * time.Second
	// handlerLimit bounds every call but Demand at the server.
	handlerLimit = 15 * time.Second
	// demandMargin is added to the MaxWait of a demand, so that the owner's
	// own refusal arrives before the link's limit.
	demandMargin = time.Second
	// stopLimit is how long Close lets calls in flight end by themselves.
	stopLimit = 5 * time.Second
)

// HeartbeatHandler answers heartbeats.
type HeartbeatHandler interface {
	// ReceiveHeartbeat takes a heartbeat of a peer and returns the own one.
	ReceiveHeartbeat(heartbeat fleet.Heartbeat) fleet.Heartbeat
}

// OwnershipHandler serves the engines that this host owns or is to own.
type OwnershipHandler interface {
	// Demand returns a grant, or an error after which the request did not run.
	Demand(ctx context.Context, demand dispatch.GrantRequest) (fleet.Grant, error)
	// Release ends grants. Unknown requests are ignored.
	Release(ctx context.Context, engine fleet.EngineName, requests []fleet.RequestID) error
	// HandOver adopts an engine and reports whether it did.
	HandOver(ctx context.Context, handOver fleet.HandOver) (bool, error)
}

// HoldingsHandler lists the grants that this host holds.
type HoldingsHandler interface {
	// Holdings returns the grants held on an engine and the start number of
	// this host. epoch and owner tell of the engine's new owner.
	Holdings(ctx context.Context, engine fleet.EngineName, epoch fleet.Epoch, owner fleet.HostName) ([]fleet.Grant, fleet.StartNumber, error)
}

// ConfigurationHandler takes and gives changes of the configuration.
type ConfigurationHandler interface {
	// PushChanges takes changes in rising order from a host of the failure
	// domain from, and returns the revision in force at this host afterwards.
	PushChanges(ctx context.Context, from fleet.FailureDomainName, changes []configuration.Change) (configuration.Revision, error)
	// PullChanges returns the changes after a revision, or a snapshot where
	// they are not kept, and the revision in force at this host.
	PullChanges(ctx context.Context, after configuration.Revision) ([]configuration.Change, *configuration.Configuration, configuration.Revision, error)
}

// LoadRateHandler lends this host's share of the load rate, and permits loads if this
// host is the allocator.
type LoadRateHandler interface {
	// Lend promises not to use the own share for the duration of the loan.
	Lend(ctx context.Context, allocator fleet.HostName, epoch fleet.Epoch) (budget.Loan, error)
	// AcquirePermit waits until one load may start.
	AcquirePermit(ctx context.Context, want budget.PermitRequest) error
}

// ClaimHandler tells of the claims that this host made.
type ClaimHandler interface {
	// ClaimStatus returns what became of the claim with the token, if the
	// process with the start number made it.
	ClaimStatus(ctx context.Context, key booking.Key, token booking.ClaimToken, start fleet.StartNumber) (booking.ClaimStatus, error)
}

// A Server answers the calls of other entry hosts. Its fields are set before
// Run. A call whose handler is nil fails.
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
	// Log is called with errors of single connections; it may be nil.
	Log func(error)

	lifecycle duty.Lifecycle
	calls     inFlightCounter
}

// errNotServed is returned for calls without a handler.
var errNotServed = errors.New("call is not served by this host")

// Run serves until ctx ends or Close.
func (s *Server) Run(ctx context.Context) error {
	return s.lifecycle.Run(ctx, func(ctx context.Context) error {
		mux := drpcmux.New()
		if err := peer.DRPCRegisterPeer(mux, &endpoint{server: s}); err != nil {
			return fmt.Errorf("peer server: %w", err)
		}
		server := drpcserver.NewWithOptions(&countingHandler{handler: mux, calls: &s.calls}, drpcserver.Options{
			Log: s.Log,
			Manager: drpcmanager.Options{
				Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maximumMessageBytes},
				InactivityTimeout: inactivityLimit,
			},
		})
		if err := server.Serve(ctx, &rpc.WriteTimeoutListener{Listener: s.Listener, WriteTimeout: writeLimit}); err != nil && ctx.Err() == nil {
			return fmt.Errorf("peer server: %w", err)
		}
		return nil
	})
}

// Close refuses new calls, lets calls in flight end within a limit, and waits
// until Run has returned.
func (s *Server) Close() error {
	s.calls.stop(stopLimit)
	return s.lifecycle.Close()
}

// A countingHandler counts the calls in flight, so that Close can wait for them.
type countingHandler struct {
	handler drpc.Handler
	calls   *inFlightCounter
}

// HandleRPC passes the call on unless the server is stopping.
func (h *countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if !h.calls.enter() {
		return errors.New("entry host is stopping")
	}
	defer h.calls.leave()
	return h.handler.HandleRPC(stream, rpc)
}

// An endpoint converts messages and calls the handlers.
type endpoint struct {
	server *Server
}

// Exchange answers a heartbeat.
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

// Demand answers with a grant or a refusal.
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

// Release ends grants.
func (e *endpoint) Release(ctx context.Context, message *peer.ReleaseRequest) (*peer.ReleaseReply, error) {
	if e.server.OwnershipHandler == nil {
		return nil, errNotServed
	}
	ctx, cancel := context.WithTimeout(ctx, handlerLimit)
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

// Holdings lists grants.
func (e *endpoint) Holdings(ctx context.Context, message *peer.HoldingsRequest) (*peer.HoldingsReply, error) {
	if e.server.HoldingsHandler == nil {
		return nil, errNotServed
	}
	ctx, cancel := context.WithTimeout(ctx, handlerLimit)
	defer cancel()
	grants, start, err := e.server.HoldingsHandler.Holdings(ctx, fleet.EngineName(message.GetEngine()),
		fleet.Epoch(message.GetEpoch()), fleet.HostName(message.GetOwner()))
	if err != nil {
		return nil, err
	}
	return &peer.HoldingsReply{Grants: peer.FromGrants(grants), Start: uint64(start)}, nil
}

// HandOver adopts an engine.
func (e *endpoint) HandOver(ctx context.Context, message *peer.HandOverRequest) (*peer.HandOverReply, error) {
	if e.server.OwnershipHandler == nil {
		return nil, errNotServed
	}
	handOver, err := peer.ToHandOver(message)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handlerLimit)
	defer cancel()
	accepted, err := e.server.OwnershipHandler.HandOver(ctx, handOver)
	if err != nil {
		return nil, err
	}
	return &peer.HandOverReply{Accepted: accepted, Epoch: message.GetEpoch()}, nil
}

// PushChanges takes changes.
func (e *endpoint) PushChanges(ctx context.Context, message *peer.PushChangesRequest) (*peer.PushChangesReply, error) {
	if e.server.ConfigurationHandler == nil {
		return nil, errNotServed
	}
	changes, err := peer.ToChanges(message.GetChanges())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handlerLimit)
	defer cancel()
	revision, err := e.server.ConfigurationHandler.PushChanges(ctx, fleet.FailureDomainName(message.GetFromFailureDomain()), changes)
	if err != nil {
		return nil, err
	}
	return &peer.PushChangesReply{Revision: uint64(revision)}, nil
}

// PullChanges gives changes or a snapshot.
func (e *endpoint) PullChanges(ctx context.Context, message *peer.PullChangesRequest) (*peer.PullChangesReply, error) {
	if e.server.ConfigurationHandler == nil {
		return nil, errNotServed
	}
	ctx, cancel := context.WithTimeout(ctx, handlerLimit)
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

// ClaimStatus tells what became of a claim.
func (e *endpoint) ClaimStatus(ctx context.Context, message *peer.ClaimStatusRequest) (*peer.ClaimStatusReply, error) {
	if e.server.ClaimHandler == nil {
		return nil, errNotServed
	}
	ctx, cancel := context.WithTimeout(ctx, handlerLimit)
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

// Lend answers with a loan.
func (e *endpoint) Lend(ctx context.Context, message *peer.LendRequest) (*peer.LendReply, error) {
	if e.server.LoadRateHandler == nil {
		return nil, errNotServed
	}
	ctx, cancel := context.WithTimeout(ctx, handlerLimit)
	defer cancel()
	loan, err := e.server.LoadRateHandler.Lend(ctx, fleet.HostName(message.GetAllocator()), fleet.Epoch(message.GetEpoch()))
	if err != nil {
		return nil, err
	}
	return &peer.LendReply{LoadsPerSecond: loan.Rate, DurationNanoseconds: int64(loan.Duration)}, nil
}

// Permit answers when one load may start.
func (e *endpoint) Permit(ctx context.Context, message *peer.PermitRequest) (*peer.PermitReply, error) {
	if e.server.LoadRateHandler == nil {
		return nil, errNotServed
	}
	ctx, cancel := context.WithTimeout(ctx, permitLimit)
	defer cancel()
	want := budget.PermitRequest{Engine: fleet.EngineName(message.GetEngine()), Priority: message.GetPriority()}
	if err := e.server.LoadRateHandler.AcquirePermit(ctx, want); err != nil {
		return &peer.PermitReply{Refusal: peer.FromRefusal(err)}, nil
	}
	return &peer.PermitReply{}, nil
}
