package ownership

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A takeover is what a new owner knows of the former one. An instance of an
// earlier epoch may serve requests under grants that the new owner did not give.
type takeover struct {
	asking bool
	askAt  time.Time
	// ended says that the former owner grants nothing since endedAt.
	ended   bool
	endedAt time.Time
	// complete says that all holders were asked after the former owner ended.
	complete bool
}

// released takes over that the former owner gave its lease up.
func (t *takeover) released(previous PreviousHolder, now time.Time) {
	if previous.Released || previous.Host == "" {
		t.ended, t.endedAt = true, now
	}
}

// over says whether no grant of an unknown owner can be in force on an instance
// of the epoch.
func (t *takeover) over(epoch fleet.Epoch, o *Owner, now time.Time) bool {
	if !now.Before(o.began.Add(o.settings.IsolatedServiceLimit + o.settings.GrantLimit)) {
		return true
	}
	if epoch+1 != o.Epoch || !t.ended {
		// Nothing is known of the owners before the former one.
		return false
	}
	return t.complete || !now.Before(t.endedAt.Add(o.settings.GrantLimit))
}

// askHolders asks all holders for their grants until all have answered after the
// former owner ended, or until no earlier grant can be in force.
func (o *Owner) askHolders(ctx context.Context, now time.Time) {
	t := &o.takeover
	if o.Epoch <= 1 || o.start == 0 || t.asking || t.complete || now.Before(t.askAt) ||
		!now.Before(o.began.Add(o.settings.IsolatedServiceLimit+o.settings.GrantLimit)) {
		return
	}
	t.asking = true
	r := asked{endedBefore: t.ended, start: o.start}
	o.lifecycle.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, o.settings.OrderTimeout)
		defer cancel()
		r.holdings, r.err = o.Holders.CollectHoldings(bounded, o.Engine.Name, o.Epoch, o.PreviousHolder)
		o.post(ctx, r)
	})
}

// asked is the result of askHolders.
type asked struct {
	holdings    Holdings
	err         error
	endedBefore bool
	start       fleet.StartNumber
}

func (r asked) handle(_ context.Context, o *Owner, now time.Time) {
	t := &o.takeover
	t.asking = false
	t.askAt = now.Add(holdingsInterval)
	if r.start != o.start {
		t.askAt = now
		return
	}
	o.learn(r.holdings.Grants, now)
	if r.err != nil {
		o.Logger.Warn().Err(r.err).Str("engine", string(o.Engine.Name)).Msg("not all holders answered")
	}
	if r.holdings.PreviousHolderEnded && !t.ended {
		t.ended, t.endedAt = true, now
	}
	t.complete = t.complete || r.err == nil && r.holdings.Complete && (r.endedBefore || r.holdings.PreviousHolderEnded)
}

// learn pins instances for grants of earlier owners. Their ends are counted
// from now, which is not earlier than the holders'. A request may have several
// grants on one instance, each with its own release.
func (o *Owner) learn(grants []fleet.Grant, now time.Time) {
	type key struct {
		request  fleet.RequestID
		holder   fleet.HostName
		instance fleet.Instance
	}
	known := make(map[key]int)
	for request, pins := range o.pins {
		for _, p := range pins {
			known[key{request, p.holder, p.entry.instance}]++
		}
	}
	for _, g := range grants {
		if g.EngineStart != o.start || g.Epoch >= o.Epoch || g.Duration <= 0 {
			continue
		}
		k := key{g.Request, g.Holder, g.Instance}
		if known[k] > 0 {
			known[k]--
			continue
		}
		e, ok := o.entries[g.Instance]
		if !ok {
			e = &entry{instance: g.Instance, state: stateUncertain, used: now}
			o.entries[g.Instance] = e
		}
		o.pin(e, g.Request, g.Holder, now.Add(g.Duration))
	}
}

// adoption is the message of AcceptHandOver.
type adoption struct {
	handOver fleet.HandOver
	received time.Time
}

func (a adoption) handle(_ context.Context, o *Owner, now time.Time) {
	h := a.handOver
	if o.start == 0 {
		o.start = h.Start
	}
	if h.Start != o.start {
		// The engine restarted after the hand-over was made.
		return
	}
	for _, instance := range h.Instances {
		e, ok := o.entries[instance]
		if !ok {
			e = &entry{instance: instance, state: stateResident, used: now}
			o.entries[instance] = e
		}
		if e.state == stateResident {
			e.usable, e.adopted = true, true
		}
	}
	o.learn(h.Grants, now)
	// The former owner stopped granting before it gave the lists.
	t := &o.takeover
	t.ended, t.endedAt, t.complete = true, now, true
	o.serveQueues(now)
}
