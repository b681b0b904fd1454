package fronthost

import (
	"context"

	"github.com/persimmonmux/persimmonmux/coordination/adapter"
	"github.com/persimmonmux/persimmonmux/coordination/watch"
	"github.com/persimmonmux/persimmonmux/coordination/zone"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// zoneHandler answers other hosts for the zones of this one.
type zoneHandler struct {
	cache      *watch.Cache
	controller *adapter.Controller
	elector    *zone.Elector
}

// Follow tells what changed since the positions of the request.
func (s *zoneHandler) Follow(request site.FollowRequest) site.FollowReply {
	s.controller.UpdateInFlight(request.Host, request.InFlight)
	var residencies []site.Residency
	sequence := request.KnownSequence
	if !request.OmitResidencies {
		residencies, sequence = s.controller.ResidenciesSince(request.KnownSequence)
	}
	return site.FollowReply{
		Changes:         s.cache.ChangesSince(request.Positions),
		StoreAge:        s.cache.StoreAge(),
		Leaving:         s.elector.SteppingDown(),
		OrderingZones:   s.elector.OrderingZones(),
		RunningRequests: s.controller.RunningCounts(),
		Residencies:     residencies,
		Sequence:        sequence,
	}
}

// Place waits for a turn at one of this host's engines.
func (s *zoneHandler) Place(ctx context.Context, request site.PlaceRequest) (site.Placement, error) {
	return s.controller.Place(ctx, request)
}
