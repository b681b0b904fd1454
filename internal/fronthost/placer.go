package fronthost

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/adapter"
	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/watch"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/peer"
)

// placer requests admission to an engine from the owner of the engine's zone: from the
// controller of this host if it is the owner, otherwise over the network.
type placer struct {
	self       string
	region     string
	cache      *watch.Cache
	controller *adapter.Controller
	client     *peer.Client
	owners     *ownerLiveness
}

// ownerCheckInterval is the time between two checks whether the owner that a request
// waits for still sends orders.
const ownerCheckInterval = 300 * time.Millisecond

// prefetchTimeout bounds the wait for a load that no request waits for.
const prefetchTimeout = 3 * time.Second

// Prefetch requests, in the background, that an engine of the server load the adapter
// of the request. It ignores the result.
func (p *placer) Prefetch(server *site.Server, request site.PlaceRequest) {
	request.MaxWait = prefetchTimeout
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), prefetchTimeout)
		defer cancel()
		// If the load fails, requests continue to use the engines that already hold
		// the adapter.
		_, _ = p.Place(ctx, server, request)
	}()
}

// Place waits for admission to the server's engine. It fails without waiting when the
// engine's zone has no owner.
func (p *placer) Place(ctx context.Context, server *site.Server, request site.PlaceRequest) (site.Placement, error) {
	request.Host, request.Region = p.self, p.region
	host := p.cache.View().Owners[server.Zone]
	switch {
	case host == nil:
		return site.Placement{}, verdict.NewNotRun(verdict.CodeNotOwner, "the engines of zone %s have no owner", server.Zone)
	case host.Name == p.self:
		return p.controller.Place(ctx, request)
	}
	// The connections of a frozen owner stay open, so that only missing answers
	// reveal it. The check ends the call when the owner no longer sends orders.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	check := time.AfterFunc(ownerCheckInterval, func() {
		for duty.Sleep(ctx, ownerCheckInterval) {
			if !p.owners.hasOrderingOwner(server.Zone) {
				cancel()
			}
		}
	})
	defer check.Stop()
	return p.client.Place(ctx, host.Address, request)
}
