package fronthost

import (
	"context"

	"github.com/persimmonmux/persimmonmux/coordination/watch"
	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// followClient sends the follow requests of this host. It hides keys in the replies, since
// hosts of earlier versions spread the desired state as the store has it.
type followClient struct {
	client watch.PeerClient
}

// Follow returns the changes that the host at the address knows, without keys.
func (f followClient) Follow(ctx context.Context, address string, request site.FollowRequest) (site.FollowReply, error) {
	reply, err := f.client.Follow(ctx, address, request)
	for _, changes := range reply.Changes {
		platform.HideKeys(changes)
	}
	return reply, err
}
