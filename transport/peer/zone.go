package peer

import (
	"context"

	"github.com/persimmonmux/persimmonmux/protocol/peer"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// A ZoneHandler answers for the zones that this host owns.
type ZoneHandler interface {
	// Follow tells what changed since the positions of the request.
	Follow(request site.FollowRequest) site.FollowReply
	// Place waits for a turn at an engine. Its error is a *verdict.Error.
	Place(ctx context.Context, request site.PlaceRequest) (site.Placement, error)
}

// Follow asks the host at the address for news.
func (c *Client) Follow(ctx context.Context, address string, request site.FollowRequest) (site.FollowReply, error) {
	message := peer.FromFollowRequest(request)
	reply, err := invoke(ctx, c, options{name: "follow", address: address, limit: exchangeLimit, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.FollowReply, error) {
			return p.Follow(ctx, message)
		})
	if err != nil {
		return site.FollowReply{}, err
	}
	return peer.ToFollowReply(reply)
}

// Place asks the owner of an engine for a turn there. The error is a
// *verdict.Error with verdict NotRun.
func (c *Client) Place(ctx context.Context, address string, request site.PlaceRequest) (site.Placement, error) {
	message := peer.FromPlaceRequest(request)
	limit := max(request.MaxWait, 0) + demandMargin
	reply, err := invoke(ctx, c, options{name: "place", address: address, limit: limit, demand: true, idempotent: true},
		func(ctx context.Context, p peer.DRPCPeerClient) (*peer.PlaceReply, error) {
			return p.Place(ctx, message)
		})
	if err != nil {
		return site.Placement{}, refusalOf(err)
	}
	if refusal := reply.GetRefusal(); refusal != nil {
		return site.Placement{}, peer.ToRefusal(refusal)
	}
	return site.Placement{ReplicaWanted: reply.GetCopy()}, nil
}

// Follow answers with news.
func (e *endpoint) Follow(_ context.Context, message *peer.FollowRequest) (*peer.FollowReply, error) {
	if e.server.ZoneHandler == nil {
		return nil, errNotServed
	}
	return peer.FromFollowReply(e.server.ZoneHandler.Follow(peer.ToFollowRequest(message))), nil
}

// Place answers when the request has its turn.
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
	return &peer.PlaceReply{Copy: placement.ReplicaWanted}, nil
}
