package entryhost

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/transport/peer"
)

const (
	// releaserRing is the room for releases on their way. A release that finds
	// it full is dropped, and its grant ends by its time.
	releaserRing = 8192
	// releaseDelay collects the releases of an engine into one call.
	releaseDelay = 2 * time.Millisecond
	// releaseTimeout bounds one call.
	releaseTimeout = 2 * time.Second
)

// A releaser is the duty that ends grants at owners on other hosts.
type releaser struct {
	client *peer.Client
	book   *addressBook
	log    zerolog.Logger

	duty.Lifecycle
	messages *ring.Ring[release]
}

type release struct {
	target  releaseTarget
	request fleet.RequestID
}

// A releaseTarget is an engine at its owner.
type releaseTarget struct {
	owner  fleet.HostName
	engine fleet.EngineName
}

func newReleaser(client *peer.Client, book *addressBook, log zerolog.Logger) *releaser {
	return &releaser{client: client, book: book, log: log, messages: ring.New[release](releaserRing)}
}

func (r *releaser) release(owner fleet.HostName, engine fleet.EngineName, request fleet.RequestID) {
	r.messages.Offer(release{target: releaseTarget{owner, engine}, request: request})
}

// Run sends releases until ctx ends or Close.
func (r *releaser) Run(ctx context.Context) error {
	return r.Lifecycle.Run(ctx, r.loop)
}

func (r *releaser) loop(ctx context.Context) error {
	collected := make(map[releaseTarget][]fleet.RequestID)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			r.send(context.WithoutCancel(ctx), collected)
			return ctx.Err()
		case message := <-r.messages.Messages():
			if len(collected) == 0 {
				timer.Reset(releaseDelay)
			}
			collected[message.target] = append(collected[message.target], message.request)
		case <-timer.C:
			r.send(ctx, collected)
			collected = make(map[releaseTarget][]fleet.RequestID)
		}
	}
}

func (r *releaser) send(ctx context.Context, collected map[releaseTarget][]fleet.RequestID) {
	for target, requests := range collected {
		r.Go(func() {
			address, err := r.book.address(target.owner)
			if err == nil {
				bounded, cancel := context.WithTimeout(ctx, releaseTimeout)
				defer cancel()
				err = r.client.Release(bounded, address, target.engine, requests)
			}
			if err != nil {
				r.log.Debug().Err(err).Str("engine", string(target.engine)).Str("owner", string(target.owner)).
					Msg("grants were not released; they end by their time")
			}
		})
	}
}
