package ownership

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A takeover is what a new owner knows of the previous one. An instance of an
// earlier epoch may serve requests under grants that the new owner did not issue,
// and must not be unloaded before those grants have ended.
type takeover struct {
	// collecting says that a collection of holdings is in flight. collectAt is the
	// earliest time for the next one.
	collecting bool
	collectAt  time.Time
	// previousEnded says that the previous owner has granted nothing since
	// previousEndedAt.
	previousEnded   bool
	previousEndedAt time.Time
	// holdingsComplete says that all holders answered after the previous owner
	// had ended, so that all of its grants are known.
	holdingsComplete bool
}

// recordRelease marks the previous owner as ended if it released its lease or if
// there was none.
func (t *takeover) recordRelease(previous PreviousHolder, now time.Time) {
	if previous.Released || previous.Host == "" {
		t.previousEnded, t.previousEndedAt = true, now
	}
}

// grantsEnded reports whether no unknown grant of an earlier owner can still be in
// force on an instance of the epoch.
func (t *takeover) grantsEnded(epoch fleet.Epoch, o *Owner, now time.Time) bool {
	if !now.Before(o.startedAt.Add(o.settings.IsolatedServiceLimit + o.settings.GrantLimit)) {
		return true
	}
	if epoch+1 != o.Epoch || !t.previousEnded {
		// Only the end of the owner directly before this one is ever known.
		return false
	}
	return t.holdingsComplete || !now.Before(t.previousEndedAt.Add(o.settings.GrantLimit))
}

// collectHoldings queries all holders for their grants. It is repeated until all
// have answered after the previous owner ended, or until no grant of an earlier
// epoch can be valid any more.
func (o *Owner) collectHoldings(ctx context.Context, now time.Time) {
	t := &o.takeover
	if o.Epoch <= 1 || o.engineStart == 0 || t.collecting || t.holdingsComplete || now.Before(t.collectAt) ||
		!now.Before(o.startedAt.Add(o.settings.IsolatedServiceLimit+o.settings.GrantLimit)) {
		return
	}
	t.collecting = true
	r := holdingsResult{previousEndedBefore: t.previousEnded, engineStart: o.engineStart}
	o.lifecycle.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, o.settings.OrderTimeout)
		defer cancel()
		r.holdings, r.err = o.HoldingsCollector.CollectHoldings(bounded, o.Engine.Name, o.Epoch, o.PreviousHolder)
		o.postResult(ctx, r)
	})
}

// A holdingsResult is the result of collectHoldings.
type holdingsResult struct {
	holdings Holdings
	err      error
	// previousEndedBefore says that the previous owner was known to have ended
	// before the holders were queried.
	previousEndedBefore bool
	engineStart         fleet.StartNumber
}

func (r holdingsResult) handle(_ context.Context, o *Owner, now time.Time) {
	t := &o.takeover
	t.collecting = false
	t.collectAt = now.Add(holdingsInterval)
	if r.engineStart != o.engineStart {
		t.collectAt = now
		return
	}
	o.pinGrants(r.holdings.Grants, now)
	if r.err != nil {
		o.Logger.Warn().Err(r.err).Str("engine", string(o.Engine.Name)).Msg("not all hosts reported their grants to the new owner; they are queried again")
	}
	if r.holdings.PreviousHolderEnded && !t.previousEnded {
		t.previousEnded, t.previousEndedAt = true, now
	}
	t.holdingsComplete = t.holdingsComplete || r.err == nil && r.holdings.Complete && (r.previousEndedBefore || r.holdings.PreviousHolderEnded)
}

// pinGrants pins instances for grants of earlier owners. Their durations are
// counted from now, so a pin does not end before the holder ends the grant. A
// request may have several grants on one instance, each with its own release.
func (o *Owner) pinGrants(grants []fleet.Grant, now time.Time) {
	type key struct {
		request  fleet.RequestID
		holder   fleet.HostName
		instance fleet.Instance
	}
	known := make(map[key]int)
	for request, pins := range o.pins {
		for _, p := range pins {
			known[key{request, p.holder, p.residency.instance}]++
		}
	}
	for _, g := range grants {
		if g.EngineStart != o.engineStart || g.Epoch >= o.Epoch || g.Duration <= 0 {
			continue
		}
		k := key{g.RunID, g.Holder, g.Instance}
		if known[k] > 0 {
			known[k]--
			continue
		}
		e, ok := o.residencies[g.Instance]
		if !ok {
			e = &residency{instance: g.Instance, state: stateUncertain, lastUsed: now}
			o.residencies[g.Instance] = e
		}
		o.pin(e, g.RunID, g.Holder, now.Add(g.Duration))
	}
}

// adoptMessage is the message of AcceptHandOver.
type adoptMessage struct {
	handOver fleet.HandOver
	received time.Time
}

func (a adoptMessage) handle(_ context.Context, o *Owner, now time.Time) {
	h := a.handOver
	if o.engineStart == 0 {
		o.engineStart = h.Start
	}
	if h.Start != o.engineStart {
		// The engine restarted after the hand-over, so none of the instances exists.
		return
	}
	for _, instance := range h.Instances {
		e, ok := o.residencies[instance]
		if !ok {
			e = &residency{instance: instance, state: stateResident, lastUsed: now}
			o.residencies[instance] = e
		}
		if e.state == stateResident {
			e.grantable, e.adopted = true, true
		}
	}
	o.pinGrants(h.Grants, now)
	// The previous owner stopped granting before it listed its instances and grants.
	t := &o.takeover
	t.previousEnded, t.previousEndedAt, t.holdingsComplete = true, now, true
	o.serveQueues(now)
}
