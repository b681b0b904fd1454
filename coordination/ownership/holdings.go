package ownership

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// holdingsInterval is the time between two collections of holdings.
const holdingsInterval = 5 * time.Second

// HoldingsCollector queries entry hosts for the grants that they hold.
type HoldingsCollector interface {
	// CollectHoldings queries all known hosts for their grants on the engine that
	// were issued in earlier epochs. Before that it checks whether the process of
	// the previous owner has ended. Together with an error it returns the grants
	// of the hosts that did answer.
	CollectHoldings(ctx context.Context, engine fleet.EngineName, epoch fleet.Epoch, previous PreviousHolder) (Holdings, error)
}

// A PreviousHolder is the process that held the lease of an engine in the
// epoch before.
type PreviousHolder struct {
	// Host is empty when there was no previous owner.
	Host  fleet.HostName
	Start fleet.StartNumber
	// Released says that the previous owner stopped granting and then released
	// its lease.
	Released bool
}

// Holdings are the grants that entry hosts hold on an engine.
type Holdings struct {
	// Grants carry their remaining durations, counted from each host's answer.
	Grants []fleet.Grant
	// Complete says that every known host answered. A host that has answered
	// rejects grants of earlier epochs that reach it afterwards.
	Complete bool
	// PreviousHolderEnded says that the previous owner's process had ended before
	// the hosts were queried.
	PreviousHolderEnded bool
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
