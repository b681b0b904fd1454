package fronthost

import (
	"context"

	"github.com/persimmonmux/persimmonmux/coordination/adapter"
	"github.com/persimmonmux/persimmonmux/coordination/watch"
	"github.com/persimmonmux/persimmonmux/coordination/zone"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// ownedSite answers other hosts for the zones of this one.
type ownedSite struct {
	watcher *watch.Watcher
	owner   *adapter.Owner
	tenant  *zone.Tenant
}

// Follow tells what changed since the positions of the request.
func (s *ownedSite) Follow(request site.FollowRequest) site.FollowReply {
	s.owner.InFlight(request.Host, request.InFlight)
	var residencies []site.Residency
	sequence := request.Known
	if !request.Brief {
		residencies, sequence = s.owner.Residencies(request.Known)
	}
	return site.FollowReply{
		Changes:     s.watcher.Since(request.Positions),
		Age:         s.watcher.Age(),
		Leaving:     s.tenant.Leaving(),
		Ordering:    s.tenant.Ordering(),
		Running:     s.owner.Running(),
		Residencies: residencies,
		Sequence:    sequence,
	}
}

// Place waits for a turn at one of this host's engines.
func (s *ownedSite) Place(ctx context.Context, request site.PlaceRequest) (site.Placement, error) {
	return s.owner.Place(ctx, request)
}
