// Package zone elects the owner of each zone. The owner is the entry host that
// holds the zone's lease: it reads the store for the other hosts of the zone and
// sends orders to the zone's engines.
package zone

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/table"
)

const (
	// checkInterval is how often the owners of the zones are checked.
	checkInterval = 200 * time.Millisecond
	// foreignZoneDelay is how long a zone has to be without an owner before hosts
	// of other zones try to take it over, so that a host of the zone itself comes
	// first.
	foreignZoneDelay = 8 * time.Second
	// rankCount is the number of ranks over which the candidates of a zone are
	// spread, so that they do not all write at once.
	rankCount = 2
	// minOwnerLinkMegabits is the bandwidth in Mbit/s that an owner needs, because
	// each host of the zone sends it follow requests and placement requests.
	minOwnerLinkMegabits = 50
	// idleOwnerDelay is how much longer than FirstOrderDelay an owner that replies may send
	// no orders in its zone. It then counts as missing, because the store has turned it away
	// until its lease ended.
	idleOwnerDelay = 2 * time.Second
	// maxStoreAge is the time since the last known reply of the store from which owners
	// without a lease are not replaced: nobody can take a lease then.
	maxStoreAge = 4 * time.Second
)

// Leases are the leases of this host. lease.Manager implements them.
type Leases interface {
	Acquire(name lease.Name, rank int) bool
	Release(name lease.Name) bool
	Valid(name lease.Name) (fleet.Epoch, bool)
}

// A ViewSource returns the newest view of the site.
type ViewSource interface {
	View() *site.View
	// Era returns the highest era of the tables that the view is built from.
	Era() table.Era
	// StoreAge returns the time since the last known reply of the platform's store.
	StoreAge() time.Duration
}

// Owners reports which owners of zones reply to this host.
type Owners interface {
	Alive(host string) bool
	// GivesOrders reports whether the host is alive and sends orders in the zone.
	GivesOrders(host, zone string) bool
}

// An Elector is the duty that registers this host and acquires the leases of
// zones without an owner. Its exported fields are set before Run.
type Elector struct {
	Host   site.Host
	Leases Leases
	// LeaseEvents is the ring from which the events of Leases are received. Gained
	// events name the previous holder, on which FirstOrderDelay depends.
	LeaseEvents *ring.Ring[lease.Event]
	Views       ViewSource
	Owners      Owners
	Table       Table
	// FirstOrderDelay is how long a new owner waits before its first order, so that
	// its orders and those of its predecessor do not alternate. A host that gains
	// its own former lease does not wait.
	FirstOrderDelay time.Duration
	// LinkMegabits is the bandwidth of this host's link in Mbit/s.
	LinkMegabits float64
	Log          zerolog.Logger

	lifecycle      duty.Lifecycle
	once           sync.Once
	isSteppingDown atomic.Bool
	// heldZones holds the zones whose leases this host gained. The map is replaced
	// with each change and never modified.
	heldZones atomic.Pointer[map[string]heldZone]
	// The fields below belong to the goroutine of Run. gainedEvents holds the last
	// Gained event of each lease.
	gainedEvents map[lease.Name]lease.Event
	// wantedZones holds the zones whose leases this host requested.
	wantedZones map[string]bool
	// ownerlessSince holds the time since when a zone has had no owner that works.
	ownerlessSince map[string]time.Time
	// idleOwners holds the owners that reply and send no orders in their zone, by zone.
	idleOwners map[string]idleOwner
	// registration is what is known of the row of this host.
	registration registration
	// registrationResults receives the outcome of each write of the row.
	registrationResults *ring.Ring[registrationResult]
}

// A heldZone is a held lease of a zone, under one epoch.
type heldZone struct {
	epoch uint64
	// ordersFrom is the time from which orders may be sent.
	ordersFrom time.Time
}

// An idleOwner is an owner that replies and sends no orders in its zone under an epoch.
type idleOwner struct {
	host  string
	epoch uint64
	since time.Time
}

// LeaseName returns the name of a zone's lease.
func LeaseName(zone string) lease.Name {
	return lease.Name("zone-" + zone)
}

func (e *Elector) prepare() {
	e.once.Do(func() {
		e.gainedEvents = make(map[lease.Name]lease.Event)
		e.wantedZones = make(map[string]bool)
		e.ownerlessSince = make(map[string]time.Time)
		e.idleOwners = make(map[string]idleOwner)
		e.registrationResults = ring.New[registrationResult](1)
		e.heldZones.Store(&map[string]heldZone{})
	})
}

// Run registers this host and acquires zones until ctx ends or Close is called.
func (e *Elector) Run(ctx context.Context) error {
	e.prepare()
	return e.lifecycle.Run(ctx, e.loop)
}

// Close ends the duty and waits until it has ended.
func (e *Elector) Close() error {
	return e.lifecycle.Close()
}

// OrderEpoch returns the epoch of the zone's lease and whether this host may send
// orders under it at the moment of the call. The epoch is 0 if it may not.
func (e *Elector) OrderEpoch(zone string) (uint64, bool) {
	e.prepare()
	held, ok := (*e.heldZones.Load())[zone]
	if !ok || e.isSteppingDown.Load() || time.Now().Before(held.ordersFrom) {
		return 0, false
	}
	epoch, valid := e.Leases.Valid(LeaseName(zone))
	if !valid || uint64(epoch) != held.epoch {
		return 0, false
	}
	return held.epoch, true
}

// OwnsAnyZone reports whether this host holds the valid lease of any zone.
func (e *Elector) OwnsAnyZone() bool {
	e.prepare()
	for zone := range *e.heldZones.Load() {
		if _, valid := e.Leases.Valid(LeaseName(zone)); valid {
			return true
		}
	}
	return false
}

// StepDown releases the leases of all zones and stops acquiring them. Other
// hosts take the zones over as soon as they notice.
func (e *Elector) StepDown() {
	e.prepare()
	e.isSteppingDown.Store(true)
	for zone := range *e.heldZones.Load() {
		e.Leases.Release(LeaseName(zone))
	}
	e.Leases.Release(LeaseName(e.Host.Zone))
}

// SteppingDown reports whether StepDown was called.
func (e *Elector) SteppingDown() bool {
	return e.isSteppingDown.Load()
}

func (e *Elector) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-e.LeaseEvents.Messages():
			if event.Type == lease.Gained {
				e.gainedEvents[event.Name] = event
			}
		case result := <-e.registrationResults.Messages():
			e.registration.apply(result, time.Now())
		case <-timer.C:
		}
		now := time.Now()
		if !e.isSteppingDown.Load() {
			e.updateZones(now)
		}
		e.register(ctx, now)
		timer.Reset(checkInterval)
	}
}

// updateZones updates heldZones from the leases and acquires the leases of zones
// without an owner.
func (e *Elector) updateZones(now time.Time) {
	held := make(map[string]heldZone)
	for zone := range e.wantedZones {
		epoch, valid := e.Leases.Valid(LeaseName(zone))
		event, hasEvent := e.gainedEvents[LeaseName(zone)]
		if !valid || !hasEvent || event.Epoch != epoch {
			continue
		}
		current, ok := (*e.heldZones.Load())[zone]
		if !ok || current.epoch != uint64(epoch) {
			current = heldZone{epoch: uint64(epoch), ordersFrom: now}
			if event.IsPredecessorUnknown || event.PreviousHolder != "" && string(event.PreviousHolder) != e.Host.Name {
				current.ordersFrom = now.Add(e.FirstOrderDelay)
			}
			e.Log.Info().Str("zone", zone).Uint64("epoch", uint64(epoch)).Msg("zone taken over")
		}
		held[zone] = current
	}
	for zone, lost := range *e.heldZones.Load() {
		if _, ok := held[zone]; !ok {
			e.Log.Warn().Str("zone", zone).Uint64("epoch", lost.epoch).Msg("zone lost")
		}
	}
	e.heldZones.Store(&held)
	view := e.Views.View()
	e.updateCandidacy(view, e.Host.Zone, held, 0, now)
	for _, server := range view.Servers {
		if server.Zone != e.Host.Zone && len(server.LoadedModels) > 0 {
			e.updateCandidacy(view, server.Zone, held, foreignZoneDelay, now)
		}
	}
}

// updateCandidacy requests a zone's lease if the zone has had no owner that
// works for the given delay, and withdraws the request if another owner does.
func (e *Elector) updateCandidacy(view *site.View, zone string, held map[string]heldZone, delay time.Duration, now time.Time) {
	if _, ok := held[zone]; ok {
		return
	}
	owner := view.Owners[zone]
	if owner != nil && owner.Name != e.Host.Name && e.isWorking(owner, zone, now) {
		delete(e.ownerlessSince, zone)
		if e.wantedZones[zone] {
			delete(e.wantedZones, zone)
			e.Leases.Release(LeaseName(zone))
		}
		return
	}
	since, ok := e.ownerlessSince[zone]
	if !ok {
		since = now
		e.ownerlessSince[zone] = now
	}
	if e.wantedZones[zone] || now.Sub(since) < delay {
		return
	}
	if e.Leases.Acquire(LeaseName(zone), e.candidateRank(zone)) {
		e.wantedZones[zone] = true
	}
}

// isWorking reports whether an owner replies and has not been idle for too long. It keeps
// idleOwners.
func (e *Elector) isWorking(owner *site.Host, zone string, now time.Time) bool {
	if !e.Owners.Alive(owner.Name) {
		return false
	}
	if e.Owners.GivesOrders(owner.Name, zone) || !e.wantedZones[zone] && e.Views.StoreAge() > maxStoreAge {
		delete(e.idleOwners, zone)
		return true
	}
	idle := e.idleOwners[zone]
	if idle.host != owner.Name || idle.epoch != owner.OwnedZones[zone] {
		idle = idleOwner{host: owner.Name, epoch: owner.OwnedZones[zone], since: now}
		e.idleOwners[zone] = idle
	}
	return now.Sub(idle.since) < e.FirstOrderDelay+idleOwnerDelay
}

// candidateRank returns this host's rank among the candidates of a zone. Hosts
// with narrow links rank after all others.
func (e *Elector) candidateRank(zone string) int {
	rank := int(xxhash.Sum64String(e.Host.Name+"/"+zone) % rankCount)
	if e.LinkMegabits < minOwnerLinkMegabits {
		rank += rankCount
	}
	return rank
}

// OrderingZones returns the zones in which this host may send orders now, in no
// particular order.
func (e *Elector) OrderingZones() []string {
	e.prepare()
	var zones []string
	for zone := range *e.heldZones.Load() {
		if _, ok := e.OrderEpoch(zone); ok {
			zones = append(zones, zone)
		}
	}
	return zones
}
