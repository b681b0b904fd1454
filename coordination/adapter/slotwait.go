package adapter

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	// initialSlotInterval is the assumed time between two adapter slots that become free on
	// an engine, until it is known.
	initialSlotInterval = 500 * time.Millisecond
	// maxSlotInterval bounds one observation, so that a quiet time in which no slot was
	// needed is not taken for a long wait.
	maxSlotInterval = 2 * time.Second
	// slotIntervalWeight is the weight of one observation.
	slotIntervalWeight = 0.25
)

// A slotTurnover measures how often an adapter slot of an engine becomes free while requests
// wait for one. The goroutine of the Controller's Run owns it.
type slotTurnover struct {
	interval time.Duration
	freedAt  time.Time
}

// recordFreed records that a slot became free.
func (s *slotTurnover) recordFreed(now time.Time) {
	if !s.freedAt.IsZero() {
		observed := min(now.Sub(s.freedAt), maxSlotInterval)
		s.interval += time.Duration(slotIntervalWeight * float64(observed-s.interval))
	}
	s.freedAt = now
}

// refuseWithoutSlot refuses the pending requests that would get an adapter slot too late, at
// once rather than at their deadlines. The requests are sorted, so that less urgent ones and
// those that are late already are refused first. capacity is the number of adapters that fit on
// the engine.
func (e *engine) refuseWithoutSlot(capacity int, now time.Time) {
	if !e.stateKnown || len(e.pending) == 0 || capacity <= 0 {
		return
	}
	free := max(capacity-e.occupiedSlots(), 0) + e.idleAdapters(now)
	position := make(map[site.Adapter]int)
	e.refusePending(func(d *pendingRequest, _ int) *verdict.Error {
		wait := e.slotWait(d.request, free, position)
		if !now.Add(wait).After(d.deadline) {
			return nil
		}
		return &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeOverloaded, RetryAfter: wait,
			Message: "engine " + string(e.server.ID) + " has no adapter slot in time",
		}
	})
}

// refusePending refuses those pending requests for which failure returns an error. failure is
// called in the order of the queue, with the number of requests that were kept before. Loads for
// later requests are always kept.
func (e *engine) refusePending(failure func(d *pendingRequest, kept int) *verdict.Error) {
	kept := e.pending[:0]
	for _, d := range e.pending {
		refusal := failure(d, len(kept))
		if refusal == nil || d.request.Prefetch {
			kept = append(kept, d)
			continue
		}
		d.reply <- placeResult{err: refusal}
	}
	clear(e.pending[len(kept):])
	e.pending = kept
}

// slotWait returns how long a pending request waits for an adapter slot. position has the place
// in the queue of each adapter that needs one.
func (e *engine) slotWait(r site.PlaceRequest, free int, position map[site.Adapter]int) time.Duration {
	if _, held := e.loaded[r.Adapter]; held || e.loads[r.Adapter] != nil || r.Adapter.Name == "" {
		return 0
	}
	if _, ok := position[r.Adapter]; !ok {
		position[r.Adapter] = len(position)
	}
	return time.Duration(max(position[r.Adapter]+1-free, 0)) * e.slots.interval
}

// idleAdapters returns the number of loaded adapters that no request uses.
func (e *engine) idleAdapters(now time.Time) int {
	count := 0
	for adapter := range e.loaded {
		if adapter.Name != "" && e.loads[adapter] == nil && !e.running.inUse(adapter, now) {
			count++
		}
	}
	return count
}
