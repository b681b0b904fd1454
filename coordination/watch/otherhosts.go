package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// maxOtherHosts is the number of hosts that are asked for changes in place of owners.
	maxOtherHosts = 2
	// maxOtherHostTableAge is the age of a table at another host from which a further host
	// is tried in its place. A host that follows no owner reads a table again when it is
	// maxTableAge old, and the store may hold that read for watchWait.
	maxOtherHostTableAge = maxTableAge + watchWait + 250*time.Millisecond
)

// otherHosts are the hosts that are asked for changes while the store does not reply and
// no owner does. They belong to the goroutine of Run.
type otherHosts struct {
	// isActive says that no owner and no store reply. It stays true while the answers of
	// other hosts keep the tables young.
	isActive bool
	// selected holds the hosts that are asked.
	selected [maxOtherHosts]otherHost
	// triedAt has, for each host that did not help, when that was found.
	triedAt map[string]time.Time
}

// An otherHost is a host that is asked for changes and is no owner that replies. Its
// successor is asked no earlier than it would have been.
type otherHost struct {
	// host is nil while none is selected.
	host           *site.Host
	nextPoll       time.Time
	requestPending bool
}

// pollOtherHosts asks other registered hosts for changes while this host has no other
// source. The owners of zones change without this host learning of it, since it knows them
// from the store and from owners only.
func (f *Follower) pollOtherHosts(ctx context.Context, now time.Time) {
	o := &f.others
	wasActive := o.isActive
	o.isActive = f.needsOtherHosts()
	if !o.isActive {
		if wasActive {
			f.Log.Info().Msg("tables come from the store or an owner again")
		}
		*o = otherHosts{}
		return
	}
	if !wasActive {
		f.Log.Warn().Dur("store-age", f.Cache.StoreAge()).Msg("store and owners do not reply; other hosts are asked")
		*o = otherHosts{isActive: true, triedAt: make(map[string]time.Time)}
	}
	f.selectOtherHosts()
	for i := range o.selected {
		s := &o.selected[i]
		if s.host != nil && !s.requestPending && !now.Before(s.nextPoll) {
			f.pollOtherHost(ctx, s, now)
		}
	}
}

// needsOtherHosts reports whether the store turns this host away, no owner of a zone
// replies, and a table is outdated or was so before other hosts were asked.
func (f *Follower) needsOtherHosts() bool {
	for _, l := range f.owners {
		if l.hasReplied && !l.isLost {
			return false
		}
	}
	if !f.Cache.isStoreLost() {
		return false
	}
	return f.others.isActive || slices.ContainsFunc(f.Cache.Tables, func(table site.Table) bool { return f.Cache.timeUntilOutdated(table) <= 0 })
}

// selectOtherHosts drops selected hosts that have left or were restarted, and selects
// others in their place: first those that were not tried yet, of this host's own region
// before others, then those whose last try is longest ago.
func (f *Follower) selectOtherHosts() {
	hosts := f.Cache.View().Hosts
	var free []*otherHost
	for i := range f.others.selected {
		s := &f.others.selected[i]
		if s.host != nil && !s.requestPending && (hosts[s.host.Name] == nil || hosts[s.host.Name].Start != s.host.Start) {
			s.host = nil
		}
		if s.host == nil {
			free = append(free, s)
		}
	}
	if len(free) == 0 {
		return
	}
	var candidates []*site.Host
	for name, host := range hosts {
		if name != f.Self && f.selectedHost(name) == nil {
			candidates = append(candidates, host)
		}
	}
	// The hosts that follow others spread over them.
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, f.compareOtherHosts)
	for i, host := range candidates[:min(len(candidates), len(free))] {
		free[i].host = host
	}
}

// selectedHost returns the selected host with the name, or nil.
func (f *Follower) selectedHost(name string) *otherHost {
	for i := range f.others.selected {
		if s := &f.others.selected[i]; s.host != nil && s.host.Name == name {
			return s
		}
	}
	return nil
}

// compareOtherHosts orders the candidates of selectOtherHosts.
func (f *Follower) compareOtherHosts(a, b *site.Host) int {
	if order := f.others.triedAt[a.Name].Compare(f.others.triedAt[b.Name]); order != 0 {
		return order
	}
	switch {
	case a.Region == f.Region && b.Region != f.Region:
		return -1
	case a.Region != f.Region && b.Region == f.Region:
		return 1
	default:
		return 0
	}
}

// pollOtherHost asks the host for changes on a worker goroutine.
func (f *Follower) pollOtherHost(ctx context.Context, s *otherHost, now time.Time) {
	s.requestPending, s.nextPoll = true, now.Add(ownZonePollInterval*9/10+rand.N(ownZonePollInterval/5))
	request := site.FollowRequest{Host: f.Self, OmitResidencies: true, Positions: f.Cache.Positions()}
	f.sendFollow(ctx, s.host, request, followResult{isOtherHost: true, requestedChanges: true, sentAt: now})
}

// handleOtherHost applies the changes of another host. A host that did not reply or whose
// tables are too old is replaced by the next one.
func (f *Follower) handleOtherHost(r followResult, now time.Time) {
	isCurrent := false
	if r.err == nil {
		isCurrent = f.isCurrentOtherHost(f.enqueueChanges(r, now))
	}
	s := f.selectedHost(r.host)
	if s == nil || s.host.Start != r.start {
		return
	}
	s.requestPending = false
	if !isCurrent {
		s.host = nil
		f.others.triedAt[r.host] = now
	}
}

// isCurrentOtherHost reports whether a host whose tables have the given ages is worth
// asking again. SlowTable does not count, because the other tables show as well whether
// the host has a source.
func (f *Follower) isCurrentOtherHost(ages map[site.Table]time.Duration) bool {
	for _, table := range f.Cache.Tables {
		if age, ok := ages[table]; table != f.Cache.SlowTable && (!ok || age > maxOtherHostTableAge) {
			return false
		}
	}
	return true
}
