package ownership

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A pin is the owner's record of a grant. It keeps the instance from being
// unloaded until the grant is released or its request is canceled.
type pin struct {
	residency *residency
	request   fleet.RequestID
	holder    fleet.HostName
	end       time.Time
}

// pin records a grant on an instance until end.
func (o *Owner) pin(e *residency, request fleet.RequestID, holder fleet.HostName, end time.Time) {
	e.pinCount++
	o.pins[request] = append(o.pins[request], &pin{residency: e, request: request, holder: holder, end: end})
}

// unpin removes the oldest pin of a request, or all of them.
func (o *Owner) unpin(request fleet.RequestID, all bool) {
	pins := o.pins[request]
	for len(pins) > 0 {
		pins[0].residency.pinCount--
		pins = pins[1:]
		if !all {
			break
		}
	}
	o.pins[request] = pins
	if len(pins) == 0 {
		delete(o.pins, request)
		delete(o.cancelRetryAt, request)
	}
}

// revokePins removes all pins of a request that were not released. Their releases
// may still arrive; they are counted, so that they do not end later grants of the
// same request.
func (o *Owner) revokePins(request fleet.RequestID, now time.Time) {
	late := o.lateReleases[request]
	if late == nil {
		late = &lateReleases{}
		o.lateReleases[request] = late
	}
	late.count += len(o.pins[request])
	late.expectedUntil = now.Add(o.settings.GrantLimit)
	o.unpin(request, true)
}
