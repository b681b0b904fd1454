package ownership

import (
	"context"
	"fmt"
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

// AcceptHandOver adopts the instances and grants of a planned hand-over. An error
// means that the hand-over is for another engine or epoch, or that the message
// ring is full.
func (o *Owner) AcceptHandOver(handOver fleet.HandOver) error {
	o.setup()
	if handOver.Engine != o.Engine.Name || handOver.Epoch != o.Epoch {
		return fmt.Errorf("hand-over of engine %s with epoch %d: this owner has engine %s with epoch %d",
			handOver.Engine, handOver.Epoch, o.Engine.Name, o.Epoch)
	}
	if !o.messages.Offer(adoptMessage{handOver: handOver, received: time.Now()}) {
		return fmt.Errorf("hand-over of engine %s: the owner's message ring is full", handOver.Engine)
	}
	return nil
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
