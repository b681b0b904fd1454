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
	// releaseQueueCapacity is the number of releases that can wait to be sent. A
	// release that finds the queue full is dropped, and its grant ends when its time
	// limit expires.
	releaseQueueCapacity = 8192
	// releaseBatchDelay is how long releases are collected, so that all releases of
	// an engine go out in one call.
	releaseBatchDelay = 2 * time.Millisecond
	// releaseTimeout bounds one call to an owner.
	releaseTimeout = 2 * time.Second
)

// A releaser is the duty that releases grants at owners on other hosts, in batches.
type releaser struct {
	client    *peer.Client
	addresses *addressBook
	log       zerolog.Logger

	duty.Lifecycle
	queue *ring.Ring[release]
}

// A release is a grant to be released, named by its request.
type release struct {
	target  releaseTarget
	request fleet.RequestID
}

// A releaseTarget is the engine whose grants are released and the host that owns it.
type releaseTarget struct {
	owner  fleet.HostName
	engine fleet.EngineName
}

func newReleaser(client *peer.Client, addresses *addressBook, log zerolog.Logger) *releaser {
	return &releaser{client: client, addresses: addresses, log: log, queue: ring.New[release](releaseQueueCapacity)}
}

// enqueue queues the release of a grant without waiting.
func (r *releaser) enqueue(owner fleet.HostName, engine fleet.EngineName, request fleet.RequestID) {
	r.queue.Offer(release{target: releaseTarget{owner, engine}, request: request})
}

// Run sends releases until ctx ends or Close is called. It sends those already collected
// before it returns.
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
		case message := <-r.queue.Messages():
			if len(collected) == 0 {
				timer.Reset(releaseBatchDelay)
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
			address, err := r.addresses.peerAddress(target.owner)
			if err == nil {
				bounded, cancel := context.WithTimeout(ctx, releaseTimeout)
				defer cancel()
				err = r.client.Release(bounded, address, target.engine, requests)
			}
			if err != nil {
				r.log.Debug().Err(err).Str("engine", string(target.engine)).Str("owner", string(target.owner)).
					Msg("grants were not released; they end when their time limit expires")
			}
		})
	}
}
