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

// An ownershipHandler answers the calls of other hosts about the engines that this host
// owns.
type ownershipHandler struct {
	ownership *ownership.Manager
}

// Demand implements peer.OwnershipHandler.
func (h *ownershipHandler) Demand(ctx context.Context, demand dispatch.GrantRequest) (fleet.Grant, error) {
	return h.ownership.AcquireGrant(ctx, demand)
}

// Release implements peer.OwnershipHandler.
func (h *ownershipHandler) Release(_ context.Context, engine fleet.EngineName, requests []fleet.RequestID) error {
	if !h.ownership.Release(engine, requests) {
		return verdict.NewNotRun(verdict.CodeNotOwner, "release: engine %s is not owned by this host", engine)
	}
	return nil
}

// HandOver implements peer.OwnershipHandler.
func (h *ownershipHandler) HandOver(ctx context.Context, handOver fleet.HandOver) (bool, error) {
	if err := h.ownership.AcceptHandOver(ctx, handOver); err != nil {
		return false, err
	}
	return true, nil
}

// A holdingsHandler answers the calls of other hosts about the grants that this host
// holds.
type holdingsHandler struct {
	holder *ownership.GrantHolder
	start  fleet.StartNumber
}

// Holdings implements peer.HoldingsHandler.
func (h *holdingsHandler) Holdings(ctx context.Context, engine fleet.EngineName, epoch fleet.Epoch, _ fleet.HostName) ([]fleet.Grant, fleet.StartNumber, error) {
	grants, err := h.holder.Holdings(ctx, engine, epoch)
	return grants, h.start, err
}

// A claimHandler answers the calls of other hosts about the claims that this process
// made. The claims of earlier processes of the host are unknown to it.
type claimHandler struct {
	registry *claim.Registry
	start    fleet.StartNumber
}

// ClaimStatus implements peer.ClaimHandler.
func (c *claimHandler) ClaimStatus(_ context.Context, key booking.Key, token booking.ClaimToken, start fleet.StartNumber) (booking.ClaimStatus, error) {
	if start != c.start {
		return booking.StatusUnknown, nil
	}
	return c.registry.Status(key, token), nil
}

// A leaseLeadership makes the host the leader while it holds the named lease.
type leaseLeadership struct {
	leases *lease.Manager
	name   lease.Name
}

// IsLeader implements claim.Leadership.
func (l *leaseLeadership) IsLeader() bool {
	_, ok := l.leases.Valid(l.name)
	return ok
}

// liveHosts provides the live hosts of the membership. It implements
// dailyreport.LiveHostSource.
type liveHosts struct {
	monitor *membership.Monitor
}

// LiveHosts implements dailyreport.LiveHostSource.
func (l *liveHosts) LiveHosts(domain fleet.FailureDomainName) []fleet.Host {
	return l.monitor.View().LiveHosts(domain)
}

// recorders passes each finished request to several recorders.
type recorders []dispatch.Recorder

// RecordRequest implements dispatch.Recorder.
func (r recorders) RecordRequest(q *request.Request, answer request.Response, failure *verdict.Error) {
	for _, recorder := range r {
		recorder.RecordRequest(q, answer, failure)
	}
}

// snapshotKey is the key of the object that holds the last snapshot of the configuration.
const snapshotKey = "configuration/snapshot"

// A snapshotStore keeps snapshots of the configuration in the object store. It
// implements revision.SnapshotStore.
type snapshotStore struct {
	objectStore *platform.Store
}

// Latest implements revision.SnapshotStore.
func (s *snapshotStore) Latest(ctx context.Context) (*configuration.Configuration, error) {
	encoded, found, err := s.objectStore.Get(ctx, snapshotKey)
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
	return s.objectStore.Put(ctx, snapshotKey, encoded)
}

// isConflict reports whether err means that a change was refused because the newest
// revision is not the expected one.
func isConflict(err error) bool {
	var failure *verdict.Error
	return errors.As(err, &failure) && failure.Code == verdict.CodeConflict
}

// provesProcessEnded reports whether err means that the address of a process refuses
// connections, which proves that the process has ended.
func provesProcessEnded(err error) bool {
	return errors.Is(err, fleet.ErrConnectionRefused)
}
