package entryhost

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/persimmonmux/persimmonmux/coordination/claim"
	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/coordination/membership"
	"github.com/persimmonmux/persimmonmux/coordination/ownership"
	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// An ownerServer answers other hosts for the engines that this host owns.
type ownerServer struct {
	ownership *ownership.Manager
}

// Demand implements peer.OwnershipHandler.
func (o *ownerServer) Demand(ctx context.Context, demand dispatch.GrantRequest) (fleet.Grant, error) {
	return o.ownership.AcquireGrant(ctx, demand)
}

// Release implements peer.OwnershipHandler.
func (o *ownerServer) Release(_ context.Context, engine fleet.EngineName, requests []fleet.RequestID) error {
	if !o.ownership.Release(engine, requests) {
		return verdict.NewNotRun(verdict.CodeNotOwner, "release on engine %s", engine)
	}
	return nil
}

// HandOver implements peer.OwnershipHandler.
func (o *ownerServer) HandOver(ctx context.Context, handOver fleet.HandOver) (bool, error) {
	if err := o.ownership.AcceptHandOver(ctx, handOver); err != nil {
		return false, err
	}
	return true, nil
}

// A holderServer answers other hosts for the grants that this host holds.
type holderServer struct {
	holder *ownership.GrantHolder
	start  fleet.StartNumber
}

// Holdings implements peer.HoldingsHandler.
func (h *holderServer) Holdings(ctx context.Context, engine fleet.EngineName, epoch fleet.Epoch, _ fleet.HostName) ([]fleet.Grant, fleet.StartNumber, error) {
	grants, err := h.holder.Holdings(ctx, engine, epoch)
	return grants, h.start, err
}

// A claimServer answers other hosts for the claims that this process made.
type claimServer struct {
	registry *claim.Registry
	start    fleet.StartNumber
}

// ClaimStatus implements peer.ClaimHandler.
func (c *claimServer) ClaimStatus(_ context.Context, key booking.Key, token booking.ClaimToken, start fleet.StartNumber) (booking.ClaimStatus, error) {
	if start != c.start {
		return booking.StatusUnknown, nil
	}
	return c.registry.Status(key, token), nil
}

// A leaseLeadership permits while the host holds a lease.
type leaseLeadership struct {
	leases *lease.Manager
	name   lease.Name
}

// IsLeader implements claim.Leadership.
func (l *leaseLeadership) IsLeader() bool {
	_, ok := l.leases.Valid(l.name)
	return ok
}

// liveHosts implements dailyreport.LiveHostSource.
type liveHosts struct {
	monitor *membership.Monitor
}

// LiveHosts implements dailyreport.LiveHostSource.
func (l *liveHosts) LiveHosts(domain fleet.FailureDomainName) []fleet.Host {
	return l.monitor.View().LiveHosts(domain)
}

// recorders passes the end of each request to several recorders.
type recorders []dispatch.Recorder

// RecordRequest implements dispatch.Recorder.
func (r recorders) RecordRequest(q *request.Request, answer request.Response, failure *verdict.Error) {
	for _, recorder := range r {
		recorder.RecordRequest(q, answer, failure)
	}
}

// snapshotKey is the object that holds the last snapshot of the configuration.
const snapshotKey = "configuration/snapshot"

// A snapshotStore keeps snapshots of the configuration in the object store. It
// implements revision.SnapshotStore.
type snapshotStore struct {
	objects *platform.Store
}

// Latest implements revision.SnapshotStore.
func (s *snapshotStore) Latest(ctx context.Context) (*configuration.Configuration, error) {
	encoded, found, err := s.objects.Get(ctx, snapshotKey)
	if err != nil || !found {
		return nil, err
	}
	snapshot := new(configuration.Configuration)
	if err := json.Unmarshal(encoded, snapshot); err != nil {
		return nil, err
	}
	return snapshot, nil
}

// Store implements revision.SnapshotStore. An older snapshot that overwrites a newer
// one does no harm, because the changes after it are read from the table.
func (s *snapshotStore) Store(ctx context.Context, snapshot *configuration.Configuration) error {
	encoded, err := json.Marshal(snapshot)
	if err != nil {
		return err
	}
	return s.objects.Put(ctx, snapshotKey, encoded)
}

// isConflict says that the head is another revision.
func isConflict(err error) bool {
	var failure *verdict.Error
	return errors.As(err, &failure) && failure.Code == verdict.CodeConflict
}

// ended says that the address of a process refuses connections, which proves
// that the process has ended.
func ended(err error) bool {
	return errors.Is(err, fleet.ErrConnectionRefused)
}
