package ownership

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// evictionsInFlight returns the number of instances that are being unloaded.
func (o *Owner) evictionsInFlight() int {
	n := 0
	for _, e := range o.residencies {
		if e.state == stateUnloading {
			n++
		}
	}
	return n
}

// selectVictim returns the instance that the placement policy evicts for a load,
// or nil.
func (o *Owner) selectVictim(next PendingLoad, now time.Time) *residency {
	var residents []EvictionCandidate
	for _, e := range o.residencies {
		if o.mayUnload(e, now) {
			residents = append(residents, EvictionCandidate{Instance: e.instance, LastUsed: e.lastUsed, Grantable: e.grantable && e.state == stateResident})
		}
	}
	if len(residents) == 0 {
		return nil
	}
	slices.SortFunc(residents, func(a, b EvictionCandidate) int { return strings.Compare(a.Instance.String(), b.Instance.String()) })
	i := o.Placement.SelectVictim(o.Engine, residents, next, now)
	if i < 0 {
		return nil
	}
	return o.residencies[residents[i].Instance]
}

// startEviction starts the unload of an instance to free a slot. It returns false
// if no instance may be unloaded.
func (o *Owner) startEviction(ctx context.Context, next PendingLoad, now time.Time) bool {
	e := o.selectVictim(next, now)
	if e == nil {
		return false
	}
	o.startUnload(ctx, e)
	return true
}

// unloadUngrantable unloads instances that this owner cannot grant, where they may
// be unloaded. Otherwise owners that die one after the other would fill an engine
// that ignores fencing numbers with instances of earlier epochs, which no owner
// may grant.
func (o *Owner) unloadUngrantable(ctx context.Context, now time.Time) {
	if o.Engine.Fencing == fleet.FencingEnforced && !o.fenced {
		return
	}
	for _, e := range o.residencies {
		if o.loadsInFlight >= o.settings.LoadConcurrencyLimit {
			return
		}
		if !e.grantable && o.mayUnload(e, now) {
			o.startUnload(ctx, e)
		}
	}
}

// startUnload starts the unload of an instance.
func (o *Owner) startUnload(ctx context.Context, e *residency) {
	e.state = stateUnloading
	o.countOrder()
	r := unloadResult{residency: e, engineStart: o.engineStart}
	o.lifecycle.Go(func() {
		r.sent, r.err = o.sendUnload(ctx, e.instance)
		o.postResult(ctx, r)
	})
}

// mayUnload reports whether an instance may be unloaded: no grant on it is in
// force or unknown, no order for it is in flight, and no unload has just failed.
func (o *Owner) mayUnload(e *residency, now time.Time) bool {
	if e.pinCount > 0 || e.state == stateLoading || e.state == stateUnloading || now.Before(e.nextUnloadAt) {
		return false
	}
	if e.instance.Epoch == o.Epoch || e.adopted {
		return true
	}
	return o.takeover.grantsEnded(e.instance.Epoch, o, now)
}

// sendUnload runs on a worker goroutine. It reports whether the order was sent, and
// with which error.
func (o *Owner) sendUnload(ctx context.Context, instance fleet.Instance) (bool, error) {
	if !o.mayOrder() {
		return false, o.newIsolatedRefusal()
	}
	bounded, cancel := context.WithTimeout(ctx, o.settings.OrderTimeout)
	defer cancel()
	return true, o.Engines.Unload(bounded, o.Engine, instance, o.Epoch)
}

// An unansweredUnload is an unload order whose outcome is not known.
type unansweredUnload struct {
	// inFlight says that a worker still waits for the answer.
	inFlight bool
	// waitEndedAt is when the worker stopped waiting.
	waitEndedAt time.Time
	// lastEngineStart is the engine's start number in the first report that was
	// requested after waitEndedAt; 0 until then. The order went to this process of
	// the engine or an earlier one, and can have no effect on a later one.
	lastEngineStart fleet.StartNumber
}

// An unloadResult is the result of an unload order.
type unloadResult struct {
	residency   *residency
	engineStart fleet.StartNumber
	sent        bool
	err         error
}

func (r unloadResult) handle(_ context.Context, o *Owner, now time.Time) {
	o.loadsInFlight--
	o.unansweredOrders--
	e := r.residency
	if r.engineStart != o.engineStart {
		o.nextReportAt = now
		if !r.sent || outcomeKnown(r.err) {
			delete(o.unansweredUnloads, e.instance)
		} else {
			o.unansweredUnloads[e.instance] = &unansweredUnload{waitEndedAt: now}
		}
		return
	}
	// A failed order is not repeated at once, because an engine that refuses it
	// would receive orders without pause.
	e.nextUnloadAt = now.Add(o.settings.ReportInterval)
	var verdictErr *verdict.Error
	unknownInstance := errors.As(r.err, &verdictErr) && verdictErr.Code == verdict.CodeUnknownInstance
	switch {
	case !r.sent:
		e.state = stateResident
		o.serveQueues(now)
	case r.err == nil || unknownInstance && verdictErr.Verdict != verdict.MayHaveRun:
		delete(o.residencies, e.instance)
	case outcomeKnown(r.err):
		e.state = stateResident
		e.lastUsed = now
		o.serveQueues(now)
	default:
		e.state, e.grantable = stateUncertain, false
		o.unansweredUnloads[e.instance] = &unansweredUnload{waitEndedAt: now}
		o.nextReportAt = now
		o.Logger.Warn().Err(r.err).Str("engine", string(o.Engine.Name)).Stringer("instance", e.instance).
			Msg("unload order is unanswered; the instance is not used again before the engine restarts or the epoch changes")
	}
}
