package quota

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// messageCapacity is the number of requests and returns that may wait for the duty.
	messageCapacity = 4096
	// callTimeout bounds a call to an owner.
	callTimeout = 120 * time.Millisecond
	// silenceDuration is how long an owner that did not answer is not asked.
	silenceDuration = 500 * time.Millisecond
	// maxCallsInFlight is the number of calls to one owner that are made at once. Further
	// requests wait for the next call.
	maxCallsInFlight = 2
	// maxAsksPerCall bounds the size of a call.
	maxAsksPerCall = 256
	// maxOwnersAsked is the number of owners that are asked for one request.
	maxOwnersAsked = 3
	// returnDelay is how long returned units are collected if no call takes them along.
	returnDelay = 100 * time.Millisecond
	// checkInterval is the time between two looks at the organisations of the view.
	checkInterval = 500 * time.Millisecond
	// reportInterval is the time between two log lines on the refusals of an organisation.
	reportInterval = 10 * time.Second
)

// Peers calls the owners of zones on other hosts.
type Peers interface {
	// GrantQuota sends the asks and returns to the owner at the address. An owner may have
	// granted units whose reply is lost.
	GrantQuota(ctx context.Context, address string, request site.QuotaRequest) (site.QuotaReply, error)
}

// A Limiter is the duty that asks the owners of zones for the units of this host's requests.
// Its exported fields are set before Run.
type Limiter struct {
	// Self is the name of this host, and Zone its zone.
	Self, Zone string
	// Regions maps each zone of the site to its region.
	Regions   map[string]string
	Tolerance Tolerance
	Views     ViewSource
	// Granter grants the units of the zones that this host owns.
	Granter *Granter
	Peers   Peers
	Log     zerolog.Logger

	lifecycle duty.Lifecycle
	once      sync.Once
	messages  *ring.Ring[message]
	results   chan message
	// ended is closed when the duty has ended.
	ended chan struct{}
	// countsMutex guards counts, which the duty writes and metrics read.
	countsMutex sync.Mutex
	counts      map[site.OrganisationName]*Counts
	// The fields below belong to the goroutine of Run.
	granters      map[string]*granterState
	shares        shares
	organisations organisationIndex
	zones         map[site.OrganisationName]rankedZones
	reported      map[site.OrganisationName]Counts
	nextReport    time.Time
}

// A message is an input of the duty.
type message interface {
	handle(ctx context.Context, l *Limiter, now time.Time)
}

// rankedZones are the zones that share a quota.
type rankedZones struct {
	quota site.Quota
	zones []string
}

// Counts are what became of the units that this host asked for, since its start.
type Counts struct {
	// GrantedUnits are all units that were granted, ShareUnits those of them that came from
	// the host's own share, and ReturnedUnits those that were given back.
	GrantedUnits, ShareUnits, ReturnedUnits float64
	// RefusedUnits are the units of RefusedRequests.
	RefusedUnits    float64
	RefusedRequests int64
}

func (l *Limiter) prepare() {
	l.once.Do(func() {
		l.messages = ring.New[message](messageCapacity)
		l.results = make(chan message, 2*maxCallsInFlight*(len(l.Regions)+1))
		l.ended = make(chan struct{})
		l.counts = make(map[site.OrganisationName]*Counts)
		l.granters = make(map[string]*granterState)
		l.zones = make(map[site.OrganisationName]rankedZones)
		l.reported = make(map[site.OrganisationName]Counts)
		l.shares = shares{self: l.Self, tolerance: l.Tolerance, byOrganisation: make(map[site.OrganisationName]*share)}
	})
}

// Run asks for units until ctx ends or Close is called.
func (l *Limiter) Run(ctx context.Context) error {
	l.prepare()
	return l.lifecycle.Run(ctx, l.loop)
}

// Close ends the duty and waits until it has ended.
func (l *Limiter) Close() error {
	return l.lifecycle.Close()
}

// Counts returns what became of the units that this host asked for, by organisation.
func (l *Limiter) Counts() map[site.OrganisationName]Counts {
	l.prepare()
	l.countsMutex.Lock()
	defer l.countsMutex.Unlock()
	all := make(map[site.OrganisationName]Counts, len(l.counts))
	for name, counts := range l.counts {
		all[name] = *counts
	}
	return all
}

func (l *Limiter) loop(ctx context.Context) error {
	defer close(l.ended)
	check := time.NewTimer(0)
	defer check.Stop()
	flush := time.NewTimer(time.Hour)
	defer flush.Stop()
	isFlushSet := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-l.messages.Messages():
			l.handle(ctx, m)
		case m := <-l.results:
			l.handle(ctx, m)
		case <-flush.C:
			isFlushSet = false
			l.flushReturns(ctx, time.Now())
		case <-check.C:
			l.check(time.Now())
			check.Reset(checkInterval)
		}
		if !isFlushSet && l.hasReturns() {
			flush.Reset(returnDelay)
			isFlushSet = true
		}
	}
}

func (l *Limiter) handle(ctx context.Context, m message) {
	l.countsMutex.Lock()
	defer l.countsMutex.Unlock()
	m.handle(ctx, l, time.Now())
}

// granterOf returns what is known of the owner of a zone.
func (l *Limiter) granterOf(zone string) *granterState {
	state := l.granters[zone]
	if state == nil {
		state = &granterState{
			zone:  zone,
			rooms: make(map[site.OrganisationName]room),
		}
		l.granters[zone] = state
	}
	return state
}

// preferredZones returns the zones that share the quota of an ask, in the order in which
// this host asks their owners: its own zone, the zones of its region and the others, of
// these each first those that have the most room.
func (l *Limiter) preferredZones(a *ask, now time.Time) []string {
	ranked, ok := l.zones[a.organisation]
	if !ok || ranked.quota != a.quota {
		ranked = rankedZones{quota: a.quota, zones: l.Tolerance.grantingZones(a.organisation, a.quota, l.Regions)}
		l.zones[a.organisation] = ranked
	}
	p := l.Tolerance.partOf(a.quota, len(ranked.zones))
	return slices.SortedStableFunc(slices.Values(ranked.zones), func(x, y string) int {
		return cmp.Or(
			cmp.Compare(l.distance(x), l.distance(y)),
			cmp.Compare(l.granterOf(y).roomAt(a.organisation, p, now), l.granterOf(x).roomAt(a.organisation, p, now)),
			cmp.Compare(weight(l.Self, y), weight(l.Self, x)),
		)
	})
}

// distance ranks a zone by its distance from this host.
func (l *Limiter) distance(zone string) int {
	switch {
	case zone == l.Zone:
		return 0
	case l.Regions[zone] == l.Regions[l.Zone]:
		return 1
	default:
		return 2
	}
}

// recordReturn collects the units of a request that did not run for its granter.
func (l *Limiter) recordReturn(charge site.QuotaCharge, now time.Time) {
	l.countsOf(charge.Organisation).ReturnedUnits += charge.Units
	if charge.Granter == "" {
		l.shares.giveBack(charge.Organisation, charge.Units, now)
		return
	}
	l.granterOf(charge.Granter).addReturn(charge)
}

func (l *Limiter) hasReturns() bool {
	for _, state := range l.granters {
		if len(state.returns) > 0 {
			return true
		}
	}
	return false
}

// flushReturns sends the returns that no call has taken along.
func (l *Limiter) flushReturns(ctx context.Context, now time.Time) {
	l.countsMutex.Lock()
	defer l.countsMutex.Unlock()
	for zone, state := range l.granters {
		if len(state.returns) > 0 {
			l.call(ctx, zone, now)
		}
	}
}

// check follows the view: it has the granter's parts and this host's shares fill, and
// forgets organisations that are gone.
func (l *Limiter) check(now time.Time) {
	l.countsMutex.Lock()
	defer l.countsMutex.Unlock()
	view := l.Views.View()
	l.Granter.Observe(now)
	l.shares.prepare(view, &l.organisations, now)
	isGone := func(name site.OrganisationName) bool { return l.organisations.find(view, name) == nil }
	maps.DeleteFunc(l.counts, func(name site.OrganisationName, _ *Counts) bool { return isGone(name) })
	maps.DeleteFunc(l.zones, func(name site.OrganisationName, _ rankedZones) bool { return isGone(name) })
	maps.DeleteFunc(l.reported, func(name site.OrganisationName, _ Counts) bool { return isGone(name) })
	for _, state := range l.granters {
		maps.DeleteFunc(state.rooms, func(name site.OrganisationName, _ room) bool { return isGone(name) })
	}
	if now.Before(l.nextReport) {
		return
	}
	l.nextReport = now.Add(reportInterval)
	l.report()
}

// report logs the organisations that had requests refused, or granted without an owner,
// since the last report.
func (l *Limiter) report() {
	for name, counts := range l.counts {
		last := l.reported[name]
		if counts.RefusedRequests == last.RefusedRequests && counts.ShareUnits == last.ShareUnits {
			continue
		}
		l.reported[name] = *counts
		l.Log.Info().Str("organisation", string(name)).Int64("refused-requests", counts.RefusedRequests-last.RefusedRequests).
			Float64("refused-units", counts.RefusedUnits-last.RefusedUnits).Float64("granted-units", counts.GrantedUnits-last.GrantedUnits).
			Float64("share-units", counts.ShareUnits-last.ShareUnits).Msg("requests beyond the quota were refused, or no granter answered")
	}
}

// countsOf returns the counts of an organisation. countsMutex is held.
func (l *Limiter) countsOf(name site.OrganisationName) *Counts {
	counts := l.counts[name]
	if counts == nil {
		counts = &Counts{}
		l.counts[name] = counts
	}
	return counts
}
