package peer

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/protocol/peer"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// grantTimeout bounds a call for units of quotas. Callers give up earlier.
const grantTimeout = 500 * time.Millisecond

// QuotaHandler grants units of organisations' quotas for the zones that this host owns.
type QuotaHandler interface {
	// Grant answers all asks at once. The epoch of its reply is 0 if this host does not own
	// the zone.
	Grant(request site.QuotaRequest) site.QuotaReply
}

// GrantQuota sends the asks and returns to the owner of a zone at the address. If its
// connection turns out to be closed the asks are sent again: units that were granted twice are
// lost, so that the quota holds.
func (c *Client) GrantQuota(ctx context.Context, address string, request site.QuotaRequest) (site.QuotaReply, error) {
	call := quotaCall{message: peer.FromQuotaRequest(request)}
	reply, err := invoke(ctx, c, callOptions{name: "grant quota", address: address, timeout: grantTimeout, idempotent: true}, call.send)
	if err != nil {
		return site.QuotaReply{}, err
	}
	return peer.ToQuotaReply(reply), nil
}

// A quotaCall is a call for units that may be sent again.
type quotaCall struct {
	message *peer.QuotaRequest
	isSent  bool
}

// send sends the message. Returns are sent only once, as the granter may have applied them:
// units that come back twice would be granted beyond the quota.
func (q *quotaCall) send(ctx context.Context, p peer.DRPCPeerClient) (*peer.QuotaReply, error) {
	if q.isSent {
		q.message.Returns = nil
	}
	q.isSent = true
	return p.GrantQuota(ctx, q.message)
}

// GrantQuota answers with the decisions of the QuotaHandler.
func (e *endpoint) GrantQuota(_ context.Context, message *peer.QuotaRequest) (*peer.QuotaReply, error) {
	if e.server.QuotaHandler == nil {
		return nil, errNotServed
	}
	return peer.FromQuotaReply(e.server.QuotaHandler.Grant(peer.ToQuotaRequest(message))), nil
}
