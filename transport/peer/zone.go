package peer

import (
	"context"

	"github.com/persimmonmux/persimmonmux/protocol/peer"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// ZoneHandler serves the calls of peers about zones: Follow for any host, Place for the
// zones that this host owns.
type ZoneHandler interface {
	// Follow returns what has changed since the positions in the request.
	Follow(request site.FollowRequest) site.FollowReply
	// Place waits until the request may use the engine, with its adapter loaded and its
	// prompt read next. Its error is a *verdict.Error.
	Place(ctx context.Context, request site.PlaceRequest) (site.Placement, error)
	// UpdateEndedRuns records requests that have ended on engines of this host.
	UpdateEndedRuns(runs []site.EndedRuns)
}

// Follow requests changes from the host at the address since the positions in the request.
func (c *Client) Follow(ctx context.Context, address string, request site.FollowRequest) (site.FollowReply, error) {
	message := peer.FromFollowRequest(request)
	reply, err := invoke(ctx, c, callOptions{name: "follow", address: address, timeout: exchangeTimeout, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.FollowReply, error) {
			return p.Follow(ctx, message)
		})
	if err != nil {
		return site.FollowReply{}, err
	}
	return peer.ToFollowReply(reply)
}

// Place requests admission to an engine from its owner and waits for it. The error is a
// *verdict.Error with verdict NotRun.
func (c *Client) Place(ctx context.Context, address string, request site.PlaceRequest) (site.Placement, error) {
	message := peer.FromPlaceRequest(request)
	timeout := max(request.MaxWait, 0) + demandMargin
	reply, err := invoke(ctx, c, callOptions{name: "place", address: address, timeout: timeout, isDemand: true, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.PlaceReply, error) {
			return p.Place(ctx, message)
		})
	if err != nil {
		return site.Placement{}, lostReplyError(err)
	}
	if refusal := reply.GetRefusal(); refusal != nil {
		return site.Placement{}, peer.ToRefusal(refusal)
	}
	return site.Placement{ReplicaWanted: reply.GetCopy(), Limited: reply.GetLimited()}, nil
}

// ReportEndedRuns tells the owner at the address which requests of this host have ended.
func (c *Client) ReportEndedRuns(ctx context.Context, address string, runs []site.EndedRuns) error {
	message := peer.FromEndedRuns(runs)
	_, err := invoke(ctx, c, callOptions{name: "report ended runs", address: address, timeout: exchangeTimeout},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.EndedRunsReply, error) {
			return p.ReportEndedRuns(ctx, message)
		})
	return err
}

// ReportEndedRuns passes ended requests on to the ZoneHandler.
func (e *endpoint) ReportEndedRuns(_ context.Context, message *peer.EndedRunsReport) (*peer.EndedRunsReply, error) {
	if e.server.ZoneHandler == nil {
		return nil, errNotServed
	}
	e.server.ZoneHandler.UpdateEndedRuns(peer.ToEndedRuns(message))
	return &peer.EndedRunsReply{}, nil
}

// Follow answers with the changes that the ZoneHandler returns.
func (e *endpoint) Follow(_ context.Context, message *peer.FollowRequest) (*peer.FollowReply, error) {
	if e.server.ZoneHandler == nil {
		return nil, errNotServed
	}
	return peer.FromFollowReply(e.server.ZoneHandler.Follow(peer.ToFollowRequest(message))), nil
}

// Place replies when the engine can admit the request, or with a refusal.
func (e *endpoint) Place(ctx context.Context, message *peer.PlaceRequest) (*peer.PlaceReply, error) {
	if e.server.ZoneHandler == nil {
		return nil, errNotServed
	}
	request := peer.ToPlaceRequest(message)
	ctx, cancel := context.WithTimeout(ctx, max(request.MaxWait, 0))
	defer cancel()
	placement, err := e.server.ZoneHandler.Place(ctx, request)
	if err != nil {
		return &peer.PlaceReply{Refusal: peer.FromRefusal(err)}, nil
	}
	return &peer.PlaceReply{Copy: placement.ReplicaWanted, Limited: placement.Limited}, nil
}
