package watch

import (
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// A liveOwner is an owner's last reply as seen by Alive and GivesOrders.
type liveOwner struct {
	lastReply      time.Time
	silenceTimeout time.Duration
	// orderingZones lists the zones in which the owner sends orders.
	orderingZones []string
}

// An ownerState is the state of one owner. It belongs to the goroutine of Run.
type ownerState struct {
	host           *site.Host
	zones          map[string]bool
	nextPoll       time.Time
	requestPending bool
	// lastReply is when this host learned of the owner until hasReplied is true.
	lastReply  time.Time
	hasReplied bool
	isLeaving  bool
	isLost     bool
	// isStale means that the last reply to a request for changes came from an owner
	// whose own tables are too old, or of a history that the store has lost.
	isStale bool
	// orderingZones lists the zones in which the owner sends orders.
	orderingZones []string
	// isFallbackOnly means that the owner's engines are used only when those of
	// this host's own region are full or lost. Such an owner is polled less often
	// and without residencies.
	isFallbackOnly bool
	// knownSequence is the sequence number up to which the owner's residencies are
	// known.
	knownSequence uint64
}

// Alive reports whether the host is an owner that replied within its silence
// timeout and is not about to stop.
func (f *Follower) Alive(host string) bool {
	f.prepare()
	a, ok := (*f.liveOwners.Load())[host]
	return ok && time.Since(a.lastReply) < a.silenceTimeout
}

// GivesOrders reports whether Alive is true for the host and its last reply
// listed the zone among those in which it sends orders.
func (f *Follower) GivesOrders(host, zone string) bool {
	f.prepare()
	a, ok := (*f.liveOwners.Load())[host]
	return ok && time.Since(a.lastReply) < a.silenceTimeout && slices.Contains(a.orderingZones, zone)
}

// silenceTimeout returns the time without a reply after which the owner counts as
// lost.
func (l *ownerState) silenceTimeout() time.Duration {
	if l.isFallbackOnly {
		return ownerSilenceTimeout + fallbackPollInterval
	}
	return ownerSilenceTimeout
}

// replacesOwnZoneOwner reports whether this host requests changes from the
// given owner in place of the owner of its own zone. It does so while that one does
// not reply or is stale; before this host has synced, from owners of its own region
// only, unless the store does not reply either.
func (f *Follower) replacesOwnZoneOwner(l *ownerState, now time.Time) bool {
	if f.isOwnZoneOwnerCurrent(now) {
		return false
	}
	return f.Cache.HasSynced() || l.host.Region == f.Region || f.Cache.StoreAge() > freshReplyAge
}

// isOwnZoneOwnerCurrent reports whether the owner of this host's zone, which may be
// this host, replies and is not stale.
func (f *Follower) isOwnZoneOwnerCurrent(now time.Time) bool {
	if host := f.Cache.View().Owners[f.Zone]; host != nil && host.Name == f.Self {
		return !f.Cache.isStaleOwner(f.Cache.tableAges())
	}
	for _, l := range f.owners {
		if l.zones[f.Zone] && !l.isStale && now.Sub(l.lastReply) <= freshReplyAge {
			return true
		}
	}
	return false
}

// publishLiveOwners replaces the map that Alive and GivesOrders read.
func (f *Follower) publishLiveOwners() {
	alive := make(map[string]liveOwner, len(f.owners))
	for name, l := range f.owners {
		if !l.isLeaving && !l.isLost {
			alive[name] = liveOwner{lastReply: l.lastReply, silenceTimeout: l.silenceTimeout(), orderingZones: l.orderingZones}
		}
	}
	f.liveOwners.Store(&alive)
}
