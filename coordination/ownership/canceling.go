package ownership

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

const (
	// maxCancelsInFlight bounds the cancel orders in flight on one engine.
	maxCancelsInFlight = 8
	// cancelDelay is the time between the end of a grant and the cancel of its
	// request. A release that the holder sent at the end can arrive meanwhile.
	cancelDelay = time.Second
)

// startCancels cancels the requests whose grants ended without release. Their
// instances stay pinned until the engine confirms the cancel.
func (o *Owner) startCancels(ctx context.Context, now time.Time) {
	if o.pendingHandOver != nil {
		return
	}
	for request, pins := range o.pins {
		if len(o.canceling) >= maxCancelsInFlight {
			return
		}
		if o.canceling[request] || now.Before(o.cancelRetryAt[request]) || !allEnded(pins, now.Add(-cancelDelay)) {
			continue
		}
		o.canceling[request] = true
		o.unansweredOrders++
		start := o.engineStart
		o.lifecycle.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, o.settings.OrderTimeout)
			defer cancel()
			err := o.Engines.Cancel(bounded, o.Engine, request)
			o.postResult(ctx, cancelResult{request: request, engineStart: start, err: err})
		})
	}
}

// allEnded reports whether all pins have ended at now.
func allEnded(pins []*pin, now time.Time) bool {
	for _, p := range pins {
		if now.Before(p.end) {
			return false
		}
	}
	return true
}

// A cancelResult is the result of a cancel order.
type cancelResult struct {
	request     fleet.RequestID
	engineStart fleet.StartNumber
	err         error
}

func (r cancelResult) handle(_ context.Context, o *Owner, now time.Time) {
	o.unansweredOrders--
	delete(o.canceling, r.request)
	if r.engineStart != o.engineStart {
		return
	}
	if r.err != nil {
		o.Logger.Warn().Err(r.err).Str("engine", string(o.Engine.Name)).Str("request", string(r.request)).Msg("cancel of a request whose grant ended failed; it is sent again")
		o.cancelRetryAt[r.request] = now.Add(o.settings.ReportInterval)
		return
	}
	o.revokePins(r.request, now)
}
