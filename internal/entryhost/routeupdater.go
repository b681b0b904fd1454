package entryhost

import (
	"context"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/membership"
	"github.com/persimmonmux/persimmonmux/coordination/ownership"
	"github.com/persimmonmux/persimmonmux/coordination/revision"
	"github.com/persimmonmux/persimmonmux/coordination/routing"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// publishEvery is the time between two snapshots for the router and between
// two updates of the own engines in heartbeats.
const publishEvery = 100 * time.Millisecond

// A routeUpdater is the duty that brings what is known of engines to the router
// and the own engines' summaries to the membership.
type routeUpdater struct {
	router      *routing.Router
	monitor     *membership.Monitor
	distributor *revision.Distributor
	ownership   *ownership.Manager
	domain      fleet.FailureDomainName
	region      fleet.RegionName

	duty.Lifecycle
	// own are the summaries of the own engines as published last.
	own map[fleet.EngineName]fleet.EngineSummary
}

// Run publishes until ctx ends or Close.
func (k *routeUpdater) Run(ctx context.Context) error {
	return k.Lifecycle.Run(ctx, func(ctx context.Context) error {
		ticker := time.NewTicker(publishEvery)
		defer ticker.Stop()
		for {
			k.publish(time.Now())
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}
		}
	})
}

func (k *routeUpdater) publish(now time.Time) {
	own := k.ownership.Summaries()
	k.monitor.SetEngines(own)
	current := k.distributor.Current()
	if current == nil {
		return
	}
	view := k.monitor.View()
	summaries := make(map[fleet.EngineName]fleet.EngineSummary, len(view.Engines))
	for name, summary := range view.Engines {
		summaries[name] = summary
	}
	for _, summary := range k.received(own, now) {
		if summaries[summary.Engine].Epoch <= summary.Epoch {
			summaries[summary.Engine] = summary
		}
	}
	var candidates []routing.Candidate
	for name, engine := range current.Engines {
		summary, known := summaries[name]
		if !known || current.Draining[string(name)] || view.ServerLeaving(string(name), summary.Start) || !k.reachable(view, summary.Owner) {
			continue
		}
		candidates = append(candidates, routing.Candidate{
			Engine:   engine,
			Summary:  summary,
			Distance: k.distance(view, engine, summary.Owner),
		})
	}
	k.router.UpdateCandidates(candidates, now)
}

// received marks each own summary with the time at which it changed last, so
// that the router can tell which requests its load figures contain. It returns
// a copy, because the membership duty reads the list that it was given.
func (k *routeUpdater) received(given []fleet.EngineSummary, now time.Time) []fleet.EngineSummary {
	own := slices.Clone(given)
	last := k.own
	k.own = make(map[fleet.EngineName]fleet.EngineSummary, len(own))
	for i := range own {
		own[i].ReceivedAt = now
		before, known := last[own[i].Engine]
		if known && before.Epoch == own[i].Epoch && before.Version == own[i].Version &&
			before.Running == own[i].Running && before.Waiting == own[i].Waiting {
			own[i].ReceivedAt = before.ReceivedAt
		}
		k.own[own[i].Engine] = own[i]
	}
	return own
}

// reachable says whether the owner of an engine answers demands.
func (k *routeUpdater) reachable(view *membership.View, owner fleet.HostName) bool {
	if owner == k.monitor.Self.Name {
		return true
	}
	return view.Hosts[owner].Reachable
}

func (k *routeUpdater) distance(view *membership.View, engine fleet.Engine, owner fleet.HostName) routing.Distance {
	if engine.FailureDomain == k.domain {
		return routing.SameFailureDomain
	}
	if view.Hosts[owner].Host.Region == k.region {
		return routing.SameRegion
	}
	return routing.OtherRegion
}
