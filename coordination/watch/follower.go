package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// A PeerClient sends follow requests to other entry hosts.
type PeerClient interface {
	// Follow returns the changes, residencies and request counts that the host at
	// the address knows.
	Follow(ctx context.Context, address string, request site.FollowRequest) (site.FollowReply, error)
}

// Residencies are this host's records of the adapters loaded on engines and of
// the requests in flight there. The Follower updates them from the owners'
// replies.
type Residencies interface {
	// IsFallbackOnly reports whether the zones' engines are used only when those of
	// this host's own region are full or lost, so that their residencies are not
	// needed.
	IsFallbackOnly(zones map[string]bool) bool
	// UpdateResidency applies a residency and reports whether its engine is known.
	UpdateResidency(residency site.Residency) bool
	// InFlight returns the numbers of this host's requests that run on the zones'
	// engines. An engine on which none runs any more is listed once more.
	InFlight(zones map[string]bool) []site.InFlight
	// UpdateRunningCounts applies the number of requests that run on each engine.
	UpdateRunningCounts(running map[site.ServerID]int)
	// LeavingServers returns the servers that are known to leave, and UpdateLeaving
	// applies those that another host knows.
	LeavingServers() []site.Incarnation
	UpdateLeaving(list []site.Incarnation)
}

const (
	// ownZonePollInterval and otherZonePollInterval are the mean intervals between
	// follow requests to the owner of this host's zone and to owners of other
	// zones.
	ownZonePollInterval   = 350 * time.Millisecond
	otherZonePollInterval = 600 * time.Millisecond
	// fallbackPollInterval is the mean interval for an owner whose engines are used
	// only when those of this host's own region are full or lost.
	fallbackPollInterval = 1200 * time.Millisecond
	// freshReplyAge is the time since the last reply of the owner of this host's
	// zone up to which this host requests changes only from that owner. A desired
	// state may be large, and an owner's link narrow. A host that has not synced
	// requests changes from owners of other regions when the last known reply of the
	// store is older.
	freshReplyAge = time.Second
	// followTimeout bounds one follow request. An owner that takes longer counts as
	// silent for this request.
	followTimeout = 1200 * time.Millisecond
	// ownerSilenceTimeout is the time without a reply after which an owner counts
	// as lost.
	ownerSilenceTimeout = 1500 * time.Millisecond
	// ownerCheckInterval is the interval at which the owners are read from the view
	// and due follow requests are sent.
	ownerCheckInterval = 100 * time.Millisecond
)

// A Follower is the duty that polls the owners of all zones and applies their
// replies to Cache and Residencies. Its exported fields are set before Run.
type Follower struct {
	// Self is the name of this host.
	Self string
	// Zone and Region are the zone and the region of this host.
	Zone, Region string
	Cache        *Cache
	Peers        PeerClient
	Residencies  Residencies
	Log          zerolog.Logger

	lifecycle duty.Lifecycle
	once      sync.Once
	started   time.Time
	results   chan followResult
	// owners holds the state of each polled owner by host name. It belongs to the
	// goroutine of Run.
	owners map[string]*ownerState
	// liveOwners holds the owners that are neither lost nor leaving, by host name.
	// The map is replaced with each change and never modified.
	liveOwners atomic.Pointer[map[string]liveOwner]
}

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
	lastReply      time.Time
	isLeaving      bool
	isLost         bool
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

// A followResult carries the outcome of a follow request to the goroutine of Run.
type followResult struct {
	host  string
	start int64
	// requestedChanges reports whether the request included changes of the tables.
	requestedChanges bool
	sentAt           time.Time
	reply            site.FollowReply
	err              error
}

func (f *Follower) prepare() {
	f.once.Do(func() {
		f.started = time.Now()
		f.results = make(chan followResult, 64)
		f.owners = make(map[string]*ownerState)
		f.liveOwners.Store(&map[string]liveOwner{})
	})
}

// Run polls the owners until ctx ends or Close is called.
func (f *Follower) Run(ctx context.Context) error {
	f.prepare()
	return f.lifecycle.Run(ctx, f.loop)
}

// Close ends the duty and waits until it has ended.
func (f *Follower) Close() error {
	return f.lifecycle.Close()
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

func (f *Follower) loop(ctx context.Context) error {
	timer := time.NewTimer(ownerCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-f.results:
			f.handleResult(r, time.Now())
		case <-timer.C:
			f.pollOwners(ctx, time.Now())
			timer.Reset(ownerCheckInterval)
		}
	}
}

// pollOwners updates the owners from the view, polls each one that is due and
// marks the ones that do not reply as lost.
func (f *Follower) pollOwners(ctx context.Context, now time.Time) {
	zonesByHost := make(map[string]map[string]bool)
	hosts := make(map[string]*site.Host)
	for zone, host := range f.Cache.View().Owners {
		if host.Name == f.Self {
			continue
		}
		if zonesByHost[host.Name] == nil {
			zonesByHost[host.Name] = make(map[string]bool)
		}
		zonesByHost[host.Name][zone] = true
		hosts[host.Name] = host
	}
	for name, l := range f.owners {
		if hosts[name] == nil && !l.requestPending {
			delete(f.owners, name)
		}
	}
	for name, host := range hosts {
		l := f.owners[name]
		if l == nil || l.host.Start != host.Start {
			l = &ownerState{lastReply: now}
			f.owners[name] = l
		}
		l.host, l.zones = host, zonesByHost[name]
	}
	// All owners are updated before the first poll, because poll looks at the other
	// owners too.
	for name := range hosts {
		l := f.owners[name]
		if !l.requestPending && !now.Before(l.nextPoll) {
			f.poll(ctx, l, now)
		}
		if now.Sub(l.lastReply) > l.silenceTimeout() && !l.isLost {
			l.isLost = true
			f.Log.Warn().Str("owner", name).Dur("silent", now.Sub(l.lastReply)).Msg("owner lost")
			f.publishLiveOwners()
		}
	}
}

// silenceTimeout returns the time without a reply after which the owner counts as
// lost.
func (l *ownerState) silenceTimeout() time.Duration {
	if l.isFallbackOnly {
		return ownerSilenceTimeout + fallbackPollInterval
	}
	return ownerSilenceTimeout
}

// poll sends a follow request to the owner on a worker goroutine.
func (f *Follower) poll(ctx context.Context, l *ownerState, now time.Time) {
	l.isFallbackOnly = f.Residencies.IsFallbackOnly(l.zones)
	pause := otherZonePollInterval
	switch {
	case l.zones[f.Zone]:
		pause = ownZonePollInterval
	case l.isFallbackOnly:
		pause = fallbackPollInterval
	}
	l.requestPending, l.nextPoll = true, now.Add(pause*9/10+rand.N(pause/5))
	request := site.FollowRequest{
		Host:            f.Self,
		KnownSequence:   l.knownSequence,
		OmitResidencies: l.isFallbackOnly,
		InFlight:        f.Residencies.InFlight(l.zones),
		LeavingServers:  f.Residencies.LeavingServers(),
	}
	if l.zones[f.Zone] || f.replacesOwnZoneOwner(l, now) {
		request.Positions = f.Cache.Positions()
	}
	host := l.host
	f.lifecycle.Go(func() {
		limited, cancel := context.WithTimeout(ctx, followTimeout)
		defer cancel()
		reply, err := f.Peers.Follow(limited, host.Address, request)
		select {
		case f.results <- followResult{host: host.Name, start: host.Start, requestedChanges: len(request.Positions) > 0, sentAt: now, reply: reply, err: err}:
		case <-ctx.Done():
		}
	})
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

// handleResult applies the reply to a follow request.
func (f *Follower) handleResult(r followResult, now time.Time) {
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
	ages := make(map[site.Table]time.Duration, len(r.reply.Changes))
	hasLostHistory := false
	for _, changes := range r.reply.Changes {
		ages[changes.Table] = changes.Age
		hasLostHistory = hasLostHistory || changes.CompleteThrough.Era() < f.Cache.Position(changes.Table).Era()
		// The owner wrote the reply after the request was sent.
		changes.Age += now.Sub(r.sentAt)
		f.Cache.Enqueue(changes, r.host)
	}
	l.isStale = hasLostHistory || f.Cache.isStaleOwner(ages)
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
