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

// PeerClient reaches other entry hosts.
type PeerClient interface {
	// Follow asks the host at the address for news.
	Follow(ctx context.Context, address string, request site.FollowRequest) (site.FollowReply, error)
}

// Residencies takes over what owners tell of their engines.
type Residencies interface {
	// IsFallbackOnly says that nothing has to be known of what is loaded in the zones.
	IsFallbackOnly(zones map[string]bool) bool
	// UpdateResidency takes a residency over and reports whether its engine is known.
	UpdateResidency(residency site.Residency) bool
	// InFlight has the requests of this host on the zones' engines, as far as
	// their number changed since the last call.
	InFlight(zones map[string]bool) []site.InFlight
	// UpdateRunningCounts takes over how many requests run on each engine.
	UpdateRunningCounts(running map[site.ServerID]int)
}

const (
	// nearPause and farPause are the times between two questions to the owner of
	// the own zone and of another one.
	nearPause = 350 * time.Millisecond
	farPause  = 600 * time.Millisecond
	// distantPause is the same for an owner whose engines are used only when
	// those of the own region are full or lost.
	distantPause = 1200 * time.Millisecond
	// freshLimit is the age of the last word of the store up to which changes are
	// asked of the owner of the own zone only. A desired state may be large, and
	// an owner's link narrow.
	freshLimit = time.Second
	// followLimit bounds a question. A host that does not answer for this long
	// is taken for silent.
	followLimit = 1200 * time.Millisecond
	// silenceLimit is the time without an answer after which an owner counts as lost.
	silenceLimit = 1500 * time.Millisecond
	// planPause is how often the owners are looked up in the view.
	planPause = 100 * time.Millisecond
)

// A Follower is the duty that follows the owners of zones. Its exported fields
// are set before Run.
type Follower struct {
	Self string
	// Zone and Region are where this host stands.
	Zone, Region string
	Cache        *Cache
	Peers        PeerClient
	Residencies  Residencies
	Log          zerolog.Logger

	lifecycle duty.Lifecycle
	once      sync.Once
	started   time.Time
	results   chan result
	links     map[string]*link
	// alive has the owners that answered, by host; it is replaced, not modified.
	alive atomic.Pointer[map[string]answered]
}

// answered is the last answer of an owner.
type answered struct {
	heard   time.Time
	maxWait time.Duration
	// ordering has the zones in which the owner gives orders.
	ordering []string
}

// A link is what the duty knows of one owner.
type link struct {
	host    *site.Host
	zones   map[string]bool
	due     time.Time
	busy    bool
	heard   time.Time
	leaving bool
	lost    bool
	// ordering has the zones in which the owner gives orders.
	ordering []string
	// distant says that the owner is asked seldom and in brief.
	distant bool
	// known is the sequence up to which the owner's residencies are known.
	known uint64
}

type result struct {
	host  string
	start int64
	// changes says that the question asked for changes.
	changes bool
	reply   site.FollowReply
	err     error
}

func (f *Follower) prepare() {
	f.once.Do(func() {
		f.started = time.Now()
		f.results = make(chan result, 64)
		f.links = make(map[string]*link)
		f.alive.Store(&map[string]answered{})
	})
}

// Run follows until ctx ends or Close is called.
func (f *Follower) Run(ctx context.Context) error {
	f.prepare()
	return f.lifecycle.Run(ctx, f.loop)
}

// Close ends the duty and waits until it has ended.
func (f *Follower) Close() error {
	return f.lifecycle.Close()
}

// Alive says whether the host answered lately and does not stop.
func (f *Follower) Alive(host string) bool {
	f.prepare()
	a, ok := (*f.alive.Load())[host]
	return ok && time.Since(a.heard) < a.maxWait
}

// GivesOrders says whether the host said lately that it gives orders in the zone.
func (f *Follower) GivesOrders(host, zone string) bool {
	f.prepare()
	a, ok := (*f.alive.Load())[host]
	return ok && time.Since(a.heard) < a.maxWait && slices.Contains(a.ordering, zone)
}

func (f *Follower) loop(ctx context.Context) error {
	timer := time.NewTimer(planPause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-f.results:
			f.finish(r, time.Now())
		case <-timer.C:
			f.plan(ctx, time.Now())
			timer.Reset(planPause)
		}
	}
}

// plan asks every owner whose turn it is.
func (f *Follower) plan(ctx context.Context, now time.Time) {
	owners := make(map[string]map[string]bool)
	hosts := make(map[string]*site.Host)
	for zone, host := range f.Cache.View().Owners {
		if host.Name == f.Self {
			continue
		}
		if owners[host.Name] == nil {
			owners[host.Name] = make(map[string]bool)
		}
		owners[host.Name][zone] = true
		hosts[host.Name] = host
	}
	for name, l := range f.links {
		if hosts[name] == nil && !l.busy {
			delete(f.links, name)
		}
	}
	for name, host := range hosts {
		l := f.links[name]
		if l == nil || l.host.Start != host.Start {
			l = &link{heard: now}
			f.links[name] = l
		}
		l.host, l.zones = host, owners[name]
	}
	// All links are known before the first question, which depends on them.
	for name := range hosts {
		l := f.links[name]
		if !l.busy && !now.Before(l.due) {
			f.ask(ctx, l, now)
		}
		if now.Sub(l.heard) > l.maxWait() && !l.lost {
			l.lost = true
			f.Log.Warn().Str("owner", name).Dur("silent", now.Sub(l.heard)).Msg("owner lost")
			f.publish()
		}
	}
}

// maxWait is the time without an answer after which the owner counts as lost.
func (l *link) maxWait() time.Duration {
	if l.distant {
		return silenceLimit + distantPause
	}
	return silenceLimit
}

func (f *Follower) ask(ctx context.Context, l *link, now time.Time) {
	l.distant = f.Residencies.IsFallbackOnly(l.zones)
	pause := farPause
	switch {
	case l.zones[f.Zone]:
		pause = nearPause
	case l.distant:
		pause = distantPause
	}
	l.busy, l.due = true, now.Add(pause*9/10+rand.N(pause/5))
	request := site.FollowRequest{
		Host:            f.Self,
		KnownSequence:   l.known,
		OmitResidencies: l.distant,
		InFlight:        f.Residencies.InFlight(l.zones),
	}
	if l.zones[f.Zone] || f.Cache.StoreAge() > freshLimit || f.substitute(l) {
		request.Positions = f.Cache.Positions()
	}
	host := l.host
	f.lifecycle.Go(func() {
		limited, cancel := context.WithTimeout(ctx, followLimit)
		defer cancel()
		reply, err := f.Peers.Follow(limited, host.Address, request)
		select {
		case f.results <- result{host: host.Name, start: host.Start, changes: len(request.Positions) > 0, reply: reply, err: err}:
		case <-ctx.Done():
		}
	})
}

// substitute says whether the owner tells this host of changes in place of the
// owner of its own zone: this host has just started, and that owner is not there.
func (f *Follower) substitute(l *link) bool {
	if f.Cache.HasSynced() || l.host.Region != f.Region {
		return false
	}
	for _, other := range f.links {
		if other.zones[f.Zone] && !other.lost {
			return false
		}
	}
	return true
}

func (f *Follower) finish(r result, now time.Time) {
	l := f.links[r.host]
	if l == nil || l.host.Start != r.start {
		return
	}
	l.busy = false
	if r.err != nil {
		return
	}
	if l.lost {
		f.Log.Info().Str("owner", r.host).Msg("owner regained")
	}
	l.heard, l.leaving, l.lost, l.ordering = now, r.reply.Leaving, false, r.reply.OrderingZones
	f.publish()
	if r.changes {
		// Only an answer with all changes shows that this host is up to date.
		f.Cache.RecordContact(r.reply.StoreAge)
	}
	for _, changes := range r.reply.Changes {
		f.Cache.Enqueue(changes)
	}
	f.Residencies.UpdateRunningCounts(r.reply.RunningRequests)
	known := true
	for _, residency := range r.reply.Residencies {
		known = f.Residencies.UpdateResidency(residency) && known
	}
	if known {
		l.known = r.reply.Sequence
	}
}

func (f *Follower) publish() {
	alive := make(map[string]answered, len(f.links))
	for name, l := range f.links {
		if !l.leaving && !l.lost {
			alive[name] = answered{heard: l.heard, maxWait: l.maxWait(), ordering: l.ordering}
		}
	}
	f.alive.Store(&alive)
}
