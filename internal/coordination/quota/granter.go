package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/allowance"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// maxRetryAfter bounds the time after which callers of refused requests come back.
const maxRetryAfter = 4 * time.Second

// ZoneLeases reports which zones this host owns.
type ZoneLeases interface {
	// OrderEpoch returns the epoch of the lease on the zone, and whether this host may
	// currently act under it.
	OrderEpoch(zone string) (uint64, bool)
	// OrderingZones returns the zones for which OrderEpoch reports true.
	OrderingZones() []string
}

// ViewSource returns the newest view of the site.
type ViewSource interface {
	View() *site.View
	// Era returns the highest era of the tables that the view is built from.
	Era() table.Era
}

// A Granter grants units of quotas from the parts of the zones that this host owns. Its
// exported fields are set before use; it may be used by many goroutines.
type Granter struct {
	Leases ZoneLeases
	Views  ViewSource
	// Regions maps each zone of the site to its region.
	Regions   map[string]string
	Tolerance Tolerance

	mutex         sync.Mutex
	organisations organisationIndex
	terms         map[string]term
	accounts      map[accountKey]*account
	observed      map[string]observation
}

// An observation is the desired state whose quotas a zone's accounts have in a term.
type observation struct {
	term    term
	desired *site.DesiredState
}

// A term is the time for which this host owns a zone under one lease and one history of the
// store. Whatever was granted before it is not known, so its buckets are empty at its begin.
type term struct {
	epoch uint64
	era   table.Era
	since time.Time
}

// An accountKey names the part of a quota that one zone holds.
type accountKey struct {
	zone         string
	organisation site.OrganisationName
}

// An account is what a zone's owner knows of its part of a quota.
type account struct {
	term  term
	quota site.Quota
	part  part
	// isGranter says that the zone holds a part of the quota.
	isGranter bool
	bucket    *allowance.Bucket
	// usage has what the bucket granted in the last window. It is nil if the zone holds no
	// part or the quota has no limit.
	usage *usage
	// refused holds the units refused lately, less what has become available since. Those
	// who asked for them come back one after the other.
	refused   float64
	refusedAt time.Time
}

// Observe notes which zones this host owns, so that the parts of a zone fill from the time
// at which it was taken over and not from the first request. It also applies changed quotas:
// a part that a zone did not hold before begins empty, because others granted from it.
func (g *Granter) Observe(now time.Time) {
	zones := g.Leases.OrderingZones()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	view, era := g.Views.View(), g.Views.Era()
	for _, zone := range zones {
		if epoch, held := g.Leases.OrderEpoch(zone); held {
			g.applyQuotas(view, g.termOf(zone, epoch, era, now), zone, now)
		}
	}
	g.dropUnknown(view)
}

// applyQuotas applies the quotas of a desired state to the accounts of a zone, once. An
// organisation without a limit gets no account, so that its first limit begins with a burst.
func (g *Granter) applyQuotas(view *site.View, t term, zone string, now time.Time) {
	seen := observation{term: t, desired: view.Desired}
	if view.Desired == nil || g.observed[zone] == seen {
		return
	}
	if g.observed == nil {
		g.observed = make(map[string]observation)
	}
	g.observed[zone] = seen
	for i := range view.Desired.Organisations {
		if o := &view.Desired.Organisations[i]; o.Quota.IsLimited() {
			g.accountOf(view, t, zone, o.Name, now)
		}
	}
}

// Grant answers the asks of a host and applies its returns.
func (g *Granter) Grant(r site.QuotaRequest) site.QuotaReply {
	now := time.Now()
	epoch, held := g.Leases.OrderEpoch(r.Zone)
	if !held {
		return site.QuotaReply{}
	}
	view, era := g.Views.View(), g.Views.Era()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	t := g.termOf(r.Zone, epoch, era, now)
	reply := site.QuotaReply{Epoch: epoch, DesiredVersion: versionOf(view)}
	for _, given := range r.Returns {
		if a := g.accountOf(view, t, r.Zone, given.Organisation, now); a != nil {
			a.giveBack(given, now)
		}
	}
	for _, ask := range r.Asks {
		a := g.accountOf(view, t, r.Zone, ask.Organisation, now)
		reply.Answers = append(reply.Answers, a.answer(ask, now))
	}
	return reply
}

// Levels returns the units that are left in the parts of the zones that this host owns, by
// organisation.
func (g *Granter) Levels() map[site.OrganisationName]float64 {
	now := time.Now()
	levels := make(map[site.OrganisationName]float64)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for key, a := range g.accounts {
		if epoch, held := g.Leases.OrderEpoch(key.zone); held && epoch == a.term.epoch && a.isGranter {
			levels[key.organisation] += a.room(now)
		}
	}
	return levels
}

// termOf returns the current term of an owned zone.
func (g *Granter) termOf(zone string, epoch uint64, era table.Era, now time.Time) term {
	known, ok := g.terms[zone]
	if ok && known.epoch == epoch && known.era == era {
		return known
	}
	if g.terms == nil {
		g.terms = make(map[string]term)
	}
	begun := term{epoch: epoch, era: era, since: now}
	g.terms[zone] = begun
	return begun
}

// accountOf returns the account of an organisation, with the newest known quota applied, or
// nil if the organisation is not known.
func (g *Granter) accountOf(view *site.View, t term, zone string, name site.OrganisationName, now time.Time) *account {
	organisation := g.organisations.find(view, name)
	if organisation == nil {
		return nil
	}
	key := accountKey{zone: zone, organisation: name}
	a := g.accounts[key]
	if a == nil || a.term != t {
		a = &account{term: t}
		if g.accounts == nil {
			g.accounts = make(map[accountKey]*account)
		}
		g.accounts[key] = a
	}
	if a.bucket == nil || a.quota != organisation.Quota {
		a.apply(organisation.Quota, g.holdsPart(zone, organisation), g.Tolerance.granterCount(organisation.Quota, len(g.Regions)), g.Tolerance, now)
	}
	return a
}

// holdsPart reports whether the zone is one of those that share the organisation's quota.
func (g *Granter) holdsPart(zone string, organisation *site.Organisation) bool {
	for _, granting := range g.Tolerance.grantingZones(organisation.Name, organisation.Quota, g.Regions) {
		if granting == zone {
			return true
		}
	}
	return false
}

// dropUnknown drops the accounts of organisations that are gone.
func (g *Granter) dropUnknown(view *site.View) {
	for key := range g.accounts {
		if g.organisations.find(view, key.organisation) == nil {
			delete(g.accounts, key)
		}
	}
}

// apply applies a quota at once. The bucket of a new account has what has become available
// since the begin of the term.
func (a *account) apply(quota site.Quota, isGranter bool, count int, tolerance Tolerance, now time.Time) {
	a.quota, a.part = quota, tolerance.partOf(quota, count)
	wasGranter := a.isGranter
	a.isGranter = isGranter
	p := a.part
	switch {
	case a.bucket == nil:
		a.bucket = allowance.NewEmpty(p.perSecond, p.capacity, a.term.since)
	case !wasGranter:
		// Other zones have held this part until now.
		a.bucket = allowance.NewEmpty(p.perSecond, p.capacity, now)
	}
	a.bucket.SetLimit(p.perSecond, p.capacity, now)
	a.usage = nil
	if isGranter && quota.IsLimited() {
		// What was granted under another limit does not count against the new one.
		a.usage = newUsage(tolerance.Window, now)
	}
}

// room returns the units that may be granted now.
func (a *account) room(now time.Time) float64 {
	if a.usage == nil {
		return a.bucket.Level(now)
	}
	return min(a.bucket.Level(now), a.part.perWindow-a.usage.sum(now))
}

// answer decides on an ask. The account is nil if the organisation is not known.
func (a *account) answer(ask site.QuotaAsk, now time.Time) site.QuotaAnswer {
	units := ask.Units
	switch {
	case a == nil:
		return site.QuotaAnswer{Verdict: site.QuotaUnknown}
	case !a.quota.IsLimited():
		return site.QuotaAnswer{Verdict: site.QuotaGranted, Room: maxQuota}
	case !a.isGranter:
		return site.QuotaAnswer{Verdict: site.QuotaUnknown}
	case ask.IsRepeat && !math.IsInf(units, 0):
		a.bucket.Debit(units, now)
		a.usage.add(units, now)
		return site.QuotaAnswer{Verdict: site.QuotaGranted, Room: a.room(now)}
	case units <= a.room(now) && a.bucket.Take(units, now):
		a.usage.add(units, now)
		return site.QuotaAnswer{Verdict: site.QuotaGranted, Room: a.room(now)}
	}
	return site.QuotaAnswer{Verdict: site.QuotaRefused, Room: a.room(now), RetryAfter: a.retryAfter(units, now)}
}

// retryAfter returns when the refused units are available after those refused before. If
// that is too far away, it is a time at random before the longest one.
func (a *account) retryAfter(units float64, now time.Time) time.Duration {
	if units > a.part.capacity {
		return maxRetryAfter
	}
	room := allowance.WaitFor(units-a.room(now), a.part.perSecond)
	a.refused = max(a.refused-a.part.perSecond*now.Sub(a.refusedAt).Seconds(), 0)
	a.refusedAt = now
	queued := allowance.WaitFor(a.refused, a.part.perSecond)
	if room >= maxRetryAfter-queued {
		return maxRetryAfter/2 + rand.N(maxRetryAfter/2)
	}
	a.refused += units
	return room + queued
}

// giveBack returns units to the bucket. Units that were granted under another limit, in an
// earlier term or before the window are lost.
func (a *account) giveBack(given site.QuotaReturn, now time.Time) {
	if !(given.Units >= 0) || math.IsInf(given.Units, 0) || given.Age < 0 || a.usage == nil {
		return
	}
	a.bucket.Return(a.usage.remove(given.Units, given.Age, now), now)
}

// An organisationIndex finds the organisations of a desired state by name.
type organisationIndex struct {
	desired *site.DesiredState
	byName  map[site.OrganisationName]*site.Organisation
}

// find returns the organisation, or nil if the view has none of the name.
func (x *organisationIndex) find(view *site.View, name site.OrganisationName) *site.Organisation {
	if view.Desired == nil {
		return nil
	}
	if x.desired != view.Desired {
		x.desired = view.Desired
		x.byName = make(map[site.OrganisationName]*site.Organisation, len(view.Desired.Organisations))
		for i := range view.Desired.Organisations {
			o := &view.Desired.Organisations[i]
			x.byName[o.Name] = o
		}
	}
	return x.byName[name]
}

func versionOf(view *site.View) int64 {
	if view.Desired == nil {
		return 0
	}
	return view.Desired.Version
}
