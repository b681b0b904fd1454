package watch

import (
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// A followResult carries the outcome of a follow request to the goroutine of Run.
type followResult struct {
	host  string
	start int64
	// isOtherHost reports whether the host was asked in place of an owner.
	isOtherHost bool
	// requestedChanges reports whether the request included changes of the tables.
	requestedChanges bool
	sentAt           time.Time
	reply            site.FollowReply
	err              error
}

// handleResult applies the reply to a follow request.
func (f *Follower) handleResult(r followResult, now time.Time) {
	if r.isOtherHost {
		f.handleOtherHost(r, now)
		return
	}
	l := f.owners[r.host]
	if l == nil || l.host.Start != r.start {
		return
	}
	l.requestPending = false
	if r.err != nil {
		return
	}
	if l.isLost {
		f.Log.Info().Str("owner", r.host).Msg("owner regained")
	}
	l.hasReplied = true
	l.lastReply, l.isLeaving, l.isLost, l.orderingZones = now, r.reply.Leaving, false, r.reply.OrderingZones
	f.publishLiveOwners()
	if r.requestedChanges {
		f.applyChanges(l, r, now)
	}
	f.Residencies.UpdateRunningCounts(r.reply.RunningRequests)
	f.Residencies.UpdateLeaving(r.reply.LeavingServers)
	known := true
	for _, residency := range r.reply.Residencies {
		known = f.Residencies.UpdateResidency(residency) && known
	}
	if known {
		l.knownSequence = r.reply.Sequence
	}
}

// applyChanges passes the changes of a reply to the cache and records whether the
// owner is stale.
func (f *Follower) applyChanges(l *ownerState, r followResult, now time.Time) {
	hasLostHistory := slices.ContainsFunc(r.reply.Changes, func(changes site.Changes) bool {
		return changes.CompleteThrough.Era() < f.Cache.Position(changes.Table).Era()
	})
	ages := f.enqueueChanges(r, now)
	l.isStale = hasLostHistory || f.Cache.isStaleOwner(ages)
}

// enqueueChanges passes the changes of a reply to the cache and returns the age of each
// table at the host that sent them.
func (f *Follower) enqueueChanges(r followResult, now time.Time) map[site.Table]time.Duration {
	ages := make(map[site.Table]time.Duration, len(r.reply.Changes))
	for _, changes := range r.reply.Changes {
		ages[changes.Table] = changes.Age
		// The owner wrote the reply after the request was sent.
		changes.Age += now.Sub(r.sentAt)
		f.Cache.Enqueue(changes, r.host)
	}
	return ages
}
