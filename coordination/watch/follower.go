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

// Neighbors reaches other entry hosts.
type Neighbors interface {
	// Follow asks the host at the address for news.
	Follow(ctx context.Context, address string, request site.FollowRequest) (site.FollowReply, error)
}

// Residences takes over what owners tell of their engines.
type Residences interface {
	// Known has the sequences of the residencies known of the zones' engines.
	Known(zones map[string]bool) map[site.ServerID]uint64
	// Learn takes a residency over.
	Learn(residency site.Residency)
	// InFlight has the requests of this host on the zones' engines, as far as
	// their number changed since the last call.
	InFlight(zones map[string]bool) []site.InFlight
	// Busy takes over how many requests run on each engine.
	Busy(running map[site.ServerID]int)
}

const (
	// nearPause and farPause are the times between two questions to the owner of
	// the own zone and of another one.
	nearPause = 350 * time.Millisecond
	farPause  = 600 * time.Millisecond
	// followLimit bounds a question. A host that does not answer for this long
	// is taken for silent.
	followLimit = 800 * time.Millisecond
	// silenceLimit is the time without an answer after which an owner counts as lost.
	silenceLimit = 1500 * time.Millisecond
	// planPause is how often the owners are looked up in the view.
	planPause = 100 * time.Millisecond
)

// A Follower is the duty that follows the owners of zones. Its exported fields
// are set before Run.
type Follower struct {
	Self       string
	Zone       string
	Watcher    *Watcher
	Neighbors  Neighbors
	Residences Residences
	Log        zerolog.Logger

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
	heard time.Time
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
}

type result struct {
	host  string
	start int64
	reply site.FollowReply
	err   error
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
	return ok && time.Since(a.heard) < silenceLimit
}

// Orders says whether the host said lately that it gives orders in the zone.
func (f *Follower) Orders(host, zone string) bool {
	f.prepare()
	a, ok := (*f.alive.Load())[host]
	return ok && time.Since(a.heard) < silenceLimit && slices.Contains(a.ordering, zone)
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
	for zone, host := range f.Watcher.View().Owners {
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
		if !l.busy && !now.Before(l.due) {
			f.ask(ctx, l, now)
		}
		if now.Sub(l.heard) > silenceLimit && !l.lost {
			l.lost = true
			f.Log.Warn().Str("owner", name).Dur("silent", now.Sub(l.heard)).Msg("owner lost")
			f.publish()
		}
	}
}

func (f *Follower) ask(ctx context.Context, l *link, now time.Time) {
	pause := farPause
	if l.zones[f.Zone] {
		pause = nearPause
	}
	l.busy, l.due = true, now.Add(pause*9/10+rand.N(pause/5))
	request := site.FollowRequest{
		Host:      f.Self,
		Positions: f.Watcher.Positions(),
		Known:     f.Residences.Known(l.zones),
		InFlight:  f.Residences.InFlight(l.zones),
	}
	host := l.host
	f.lifecycle.Work(func() {
		limited, cancel := context.WithTimeout(ctx, followLimit)
		defer cancel()
		reply, err := f.Neighbors.Follow(limited, host.Address, request)
		select {
		case f.results <- result{host: host.Name, start: host.Start, reply: reply, err: err}:
		case <-ctx.Done():
		}
	})
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
	l.heard, l.leaving, l.lost, l.ordering = now, r.reply.Leaving, false, r.reply.Ordering
	f.publish()
	f.Watcher.Contact(r.reply.Age)
	for _, changes := range r.reply.Changes {
		f.Watcher.Learn(changes)
	}
	f.Residences.Busy(r.reply.Running)
	for _, residency := range r.reply.Residencies {
		f.Residences.Learn(residency)
	}
}

func (f *Follower) publish() {
	alive := make(map[string]answered, len(f.links))
	for name, l := range f.links {
		if !l.leaving && !l.lost {
			alive[name] = answered{heard: l.heard, ordering: l.ordering}
		}
	}
	f.alive.Store(&alive)
}
