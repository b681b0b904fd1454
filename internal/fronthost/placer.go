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

// placer asks the owner of an engine for turns there, wherever it runs.
type placer struct {
	self       string
	region     string
	cache      *watch.Cache
	controller *adapter.Controller
	client     *peer.Client
	owners     *ownerLiveness
}

// ownerCheck is how often a waiting request looks whether its owner still answers.
const ownerCheck = 300 * time.Millisecond

// prefetchLimit bounds a load that no request waits for.
const prefetchLimit = 3 * time.Second

// Prefetch asks for a load that no request waits for.
func (p *placer) Prefetch(server *site.Server, request site.PlaceRequest) {
	request.MaxWait = prefetchLimit
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), prefetchLimit)
		defer cancel()
		// Without the copy, requests go on to the engines that hold the adapter.
		_, _ = p.Place(ctx, server, request)
	}()
}

// Place waits for a turn at the engine.
func (p *placer) Place(ctx context.Context, server *site.Server, request site.PlaceRequest) (site.Placement, error) {
	request.Host, request.Region = p.self, p.region
	host := p.cache.View().Owners[server.Zone]
	switch {
	case host == nil:
		return site.Placement{}, verdict.NewNotRun(verdict.CodeNotOwner, "the engines of zone %s have no owner", server.Zone)
	case host.Name == p.self:
		return p.controller.Place(ctx, request)
	}
	// A frozen owner keeps its connections, so that only its silence shows it.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	check := time.AfterFunc(ownerCheck, func() {
		for duty.Sleep(ctx, ownerCheck) {
			if !p.owners.ordered(server.Zone) {
				cancel()
			}
		}
	})
	defer check.Stop()
	return p.client.Place(ctx, host.Address, request)
}
