package fronthost

import (
	"context"

	"github.com/persimmonmux/persimmonmux/coordination/adapter"
	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/watch"
	"github.com/persimmonmux/persimmonmux/coordination/zone"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// zoneHandler answers the calls of other hosts about the zones that this host owns. It
// implements the zone handler interface of the peer server.
type zoneHandler struct {
	cache      *watch.Cache
	controller *adapter.Controller
	elector    *zone.Elector
	balancer   *balance.Balancer
}

// Follow records the requests in flight that the calling host reports and returns what
// has changed since the positions and the sequence that it already knows.
func (z *zoneHandler) Follow(request site.FollowRequest) site.FollowReply {
	z.controller.UpdateInFlight(request.Host, request.InFlight)
	z.balancer.UpdateLeaving(request.LeavingServers)
	var residencies []site.Residency
	sequence := request.KnownSequence
	if !request.OmitResidencies {
		residencies, sequence = z.controller.ResidenciesSince(request.KnownSequence)
	}
	return site.FollowReply{
		Changes:         z.cache.ChangesSince(request.Positions),
		Leaving:         z.elector.SteppingDown(),
		OrderingZones:   z.elector.OrderingZones(),
		RunningRequests: z.controller.RunningCounts(),
		Residencies:     residencies,
		Sequence:        sequence,
		LeavingServers:  z.balancer.LeavingServers(),
	}
}

// UpdateEndedRuns records requests of another host that have ended on engines of this host.
func (z *zoneHandler) UpdateEndedRuns(runs []site.EndedRuns) {
	z.controller.UpdateEndedRuns(runs)
}

// Place waits for admission to an engine in one of this host's zones.
func (z *zoneHandler) Place(ctx context.Context, request site.PlaceRequest) (site.Placement, error) {
	return z.controller.Place(ctx, request)
}
