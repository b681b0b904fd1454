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

// publishInterval is the time between two updates of the router's candidates, and of the
// summaries of this host's engines that heartbeats carry.
const publishInterval = 100 * time.Millisecond

// A routeUpdater is the duty that gives the router its candidates, made from the
// configuration and the engine summaries of all hosts, and gives the membership the
// summaries of the engines that this host owns.
type routeUpdater struct {
	router      *routing.Router
	monitor     *membership.Monitor
	distributor *revision.Distributor
	ownership   *ownership.Manager
	domain      fleet.FailureDomainName
	region      fleet.RegionName

	duty.Lifecycle
	// publishedSummaries are the summaries of this host's engines as last published.
	// Only publish uses them.
	publishedSummaries map[fleet.EngineName]fleet.EngineSummary
}

// Run publishes candidates and summaries until ctx ends or Close is called.
func (u *routeUpdater) Run(ctx context.Context) error {
	return u.Lifecycle.Run(ctx, func(ctx context.Context) error {
		ticker := time.NewTicker(publishInterval)
		defer ticker.Stop()
		for {
			u.publish(time.Now())
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}
		}
	})
}

// publish updates the membership and the router once. Engines that are draining, that
// leave, or whose owner is unknown or unreachable are no candidates.
func (u *routeUpdater) publish(now time.Time) {
	own := u.ownership.Summaries()
	u.monitor.SetEngines(own)
	current := u.distributor.Current()
	if current == nil {
		return
	}
	view := u.monitor.View()
	summaries := make(map[fleet.EngineName]fleet.EngineSummary, len(view.Engines))
	for name, summary := range view.Engines {
		summaries[name] = summary
	}
	for _, summary := range u.withReceiveTimes(own, now) {
		if summaries[summary.Engine].Epoch <= summary.Epoch {
			summaries[summary.Engine] = summary
		}
	}
	var candidates []routing.Candidate
	for name, engine := range current.Engines {
		summary, known := summaries[name]
		if !known || current.Draining[string(name)] || view.ServerLeaving(string(name), summary.Start) || !u.ownerReachable(view, summary.Owner) {
			continue
		}
		candidates = append(candidates, routing.Candidate{
			Engine:   engine,
			Summary:  summary,
			Distance: u.distance(view, engine, summary.Owner),
		})
	}
	u.router.UpdateCandidates(candidates, now)
}

// withReceiveTimes sets ReceivedAt of each summary of this host's engines to the time of
// its last change, so that the router can tell which requests its load figures contain.
// It returns a copy, because the membership duty reads the list that publish passed to it.
func (u *routeUpdater) withReceiveTimes(given []fleet.EngineSummary, now time.Time) []fleet.EngineSummary {
	own := slices.Clone(given)
	last := u.publishedSummaries
	u.publishedSummaries = make(map[fleet.EngineName]fleet.EngineSummary, len(own))
	for i := range own {
		own[i].ReceivedAt = now
		before, known := last[own[i].Engine]
		if known && before.Epoch == own[i].Epoch && before.Version == own[i].Version &&
			before.Running == own[i].Running && before.Waiting == own[i].Waiting {
			own[i].ReceivedAt = before.ReceivedAt
		}
		u.publishedSummaries[own[i].Engine] = own[i]
	}
	return own
}

// ownerReachable reports whether grants can be requested from the owner of an engine.
func (u *routeUpdater) ownerReachable(view *membership.View, owner fleet.HostName) bool {
	if owner == u.monitor.Self.Name {
		return true
	}
	return view.Hosts[owner].Reachable
}

// distance returns how far the engine is from this host, for the router. The region of
// the engine is taken to be that of its owner.
func (u *routeUpdater) distance(view *membership.View, engine fleet.Engine, owner fleet.HostName) routing.Distance {
	if engine.FailureDomain == u.domain {
		return routing.SameFailureDomain
	}
	if view.Hosts[owner].Host.Region == u.region {
		return routing.SameRegion
	}
	return routing.OtherRegion
}
