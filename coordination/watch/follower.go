package watch

import (
	"context"
	"math/rand/v2"
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
// replies to Cache and Residencies. While neither the store nor an owner replies, it asks
// other hosts for changes. Its exported fields are set before Run.
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
	others otherHosts
	// liveOwners holds the owners that are neither lost nor leaving, by host name.
	// The map is replaced with each change and never modified.
	liveOwners atomic.Pointer[map[string]liveOwner]
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
			f.pollOtherHosts(ctx, time.Now())
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
	f.sendFollow(ctx, l.host, request, followResult{requestedChanges: len(request.Positions) > 0, sentAt: now})
}

// sendFollow sends a follow request on a worker goroutine, which adds the host and its
// reply to the result and passes it to the goroutine of Run.
func (f *Follower) sendFollow(ctx context.Context, host *site.Host, request site.FollowRequest, result followResult) {
	f.lifecycle.Go(func() {
		limited, cancel := context.WithTimeout(ctx, followTimeout)
		defer cancel()
		result.host, result.start = host.Name, host.Start
		result.reply, result.err = f.Peers.Follow(limited, host.Address, request)
		select {
		case f.results <- result:
		case <-ctx.Done():
		}
	})
}
