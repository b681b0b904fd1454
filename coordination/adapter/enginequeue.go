package adapter

import (
	"fmt"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// handleRequest admits the request immediately if its adapter is loaded. It
// refuses it immediately if the engine is unreachable, or if the request may not
// queue and the engine is full or has no adapter slot for it. Otherwise it queues
// the request. capacity is the number of adapters that fit on the engine.
func (e *engine) handleRequest(d *pendingRequest, capacity int, now time.Time) {
	if d.request.AdapterMissing && e.reportCurrent && now.Sub(e.reportedAt) > typicalReportAge {
		// The engine denied an adapter that is recorded as loaded, so its report
		// is read again.
		if _, ok := e.loaded[d.request.Adapter]; ok {
			e.reportCurrent = false
		}
	}
	if e.isUnreachable() {
		d.reply <- placeResult{err: e.unreachableError()}
		return
	}
	e.lastUsed[d.request.Adapter] = now
	e.capacity = capacity
	e.limit.observe(d.request.StatedLimit, now)
	if !d.request.MayQueue && !d.request.Prefetch && e.stateKnown && e.isFull() {
		d.reply <- placeResult{err: verdict.NewNotRun(verdict.CodeOverloaded, "engine %s is full", e.server.ID)}
		return
	}
	if !d.request.MayQueue && !d.request.Prefetch && e.stateKnown && !e.canProvide(d.request, capacity, now) {
		d.reply <- placeResult{err: verdict.NewNotRun(verdict.CodeOverloaded, "all adapter slots of engine %s are in use", e.server.ID)}
		return
	}
	e.pending = append(e.pending, d)
	e.servePending(now)
}

// servePending replies to the pending requests that can be admitted or whose wait is of
// no use, and returns the time until it should be called again.
func (e *engine) servePending(now time.Time) time.Duration {
	e.dropAbandoned(now)
	e.sortPending(now)
	e.promoteLessUrgent(now)
	e.admitPending(now)
	e.refuseHopeless(now)
	e.refuseWithoutSlot(e.capacity, now)
	e.refuseWithoutTurn(now)
	return e.nextAdmissionDelay(now)
}

// sortPending sorts the pending requests by priority and, within a priority, puts
// those that can still meet their latency target before those that cannot. In
// order of arrival alone, every request would be late once more arrive than the
// engine can admit.
func (e *engine) sortPending(now time.Time) {
	slices.SortStableFunc(e.pending, func(a, b *pendingRequest) int {
		if by := a.request.Priority - b.request.Priority; by != 0 {
			return by
		}
		return a.latenessRank(now) - b.latenessRank(now)
	})
}

// latenessRank returns 1 if the request can no longer meet its latency target,
// and 0 otherwise.
func (d *pendingRequest) latenessRank(now time.Time) int {
	if now.After(d.latencyDeadline) {
		return 1
	}
	return 0
}

// hasAdapter reports whether the engine holds the adapter in the required version
// or a newer one and is not loading it.
func (e *engine) hasAdapter(r site.PlaceRequest) bool {
	version, ok := e.loaded[r.Adapter]
	return ok && version >= r.MinVersion && e.loads[r.Adapter] == nil
}

// admitPending admits the pending requests whose adapters are loaded, in order,
// while the engine can read their prompts.
func (e *engine) admitPending(now time.Time) {
	if !e.stateKnown {
		return
	}
	full := false
	e.pending = slices.DeleteFunc(e.pending, func(d *pendingRequest) bool {
		if full || d.isAbandoned(now) || !e.hasAdapter(d.request) {
			return false
		}
		if d.request.Prefetch {
			d.reply <- placeResult{}
			return true
		}
		if e.isFull() || !e.limit.hasTurn(d.request.Priority, now) || !e.admitRequest(d.request, now) {
			full = true
			return false
		}
		e.limit.take(now)
		e.recordLessUrgent(d.request, now)
		e.lastUsed[d.request.Adapter] = now
		if !isForPlainServer(d.request) {
			e.running.recordAdmission(d.request.Host, d.request.Adapter, now)
		}
		d.reply <- placeResult{placement: site.Placement{ReplicaWanted: e.recordUse(d.request, now), Limited: e.limit.isActive()}}
		return true
	})
}

// dropAbandoned removes the pending requests that nobody waits for, so that no
// load is spent on them.
func (e *engine) dropAbandoned(now time.Time) {
	e.pending = slices.DeleteFunc(e.pending, func(d *pendingRequest) bool {
		if !d.isAbandoned(now) {
			return false
		}
		code := verdict.CodeDeadline
		if e.stateKnown && e.hasAdapter(d.request) && !e.isFull() {
			// The request must not be sent nevertheless: the engine reads all the time.
			code = verdict.CodeOverloaded
		}
		d.reply <- placeResult{err: verdict.NewNotRun(code, "engine %s did not admit the request for adapter %s in time: %s", e.server.ID, d.request.Adapter.Name, e.waitReason(d.request, now))}
		return true
	})
}

// waitReason describes what a request waits for. The text becomes part of its
// error message.
func (e *engine) waitReason(r site.PlaceRequest, now time.Time) string {
	_, idle := e.evictionCandidate(now)
	l := e.loads[r.Adapter]
	switch {
	case !e.stateKnown:
		return "the engine's state is unknown"
	case e.hasAdapter(r) && e.isFull():
		return "the engine is full"
	case e.hasAdapter(r) && !e.limit.hasTurn(r.Priority, now):
		return "the server takes no more requests a second"
	case e.hasAdapter(r):
		return "the engine reads the prompts of other requests"
	case l != nil:
		return fmt.Sprintf("the load of the adapter began %d ms ago", now.Sub(l.startedAt).Milliseconds())
	case !e.reportCurrent:
		return "the engine's report has to be read before the next order"
	case !idle:
		return "all adapter slots are in use"
	case e.orderToRepeat != nil:
		return "an earlier order to the engine has no answer"
	default:
		return "the load of the adapter was not ordered yet"
	}
}

// isUnreachable reports whether the last maxFailedReports reports of the engine
// failed.
func (e *engine) isUnreachable() bool {
	return e.failedReports >= maxFailedReports
}

func (e *engine) unreachableError() error {
	return verdict.NewNotRun(verdict.CodeBackendRefused, "engine %s does not answer", e.server.ID)
}

// recordAcceptedOrder counts an accepted order. Earlier orders without an answer
// are void from then on, because they expect a lower count.
func (e *engine) recordAcceptedOrder() {
	e.acceptedOrders++
	e.orderToRepeat = nil
	clear(e.unconfirmedLoads)
}

func (e *engine) refuseAll(err error) {
	for _, d := range e.pending {
		d.reply <- placeResult{err: err}
	}
	e.pending = nil
}
