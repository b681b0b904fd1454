package ownership

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// Release ends one grant of each request, the oldest first. It is called at
// most once for each grant that AcquireGrant returned, and before the holder requests
// a further grant for the same request. It returns false when the message
// ring is full; the grants then last until their durations have passed.
func (o *Owner) Release(requests []fleet.RequestID) bool {
	o.setup()
	return o.messages.Offer(releaseMessage{requests: requests})
}

// releaseMessage is the message of Release.
type releaseMessage struct {
	requests []fleet.RequestID
}

func (r releaseMessage) handle(_ context.Context, o *Owner, _ time.Time) {
	for _, request := range r.requests {
		if late := o.lateReleases[request]; late != nil && late.count > 0 {
			late.count--
			continue
		}
		o.unpin(request, false)
	}
}

// A lateReleases counts the releases of revoked pins that may still arrive.
type lateReleases struct {
	count int
	// expectedUntil is when the count is dropped.
	expectedUntil time.Time
}
