// Package zone elects the owner of each zone. The owner is the entry host that
// holds the zone's lease: it reads the store for the other hosts of the zone and
// sends orders to the zone's engines.
package zone

import (
	"context"
	"encoding/json"
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

// HostTable holds the registrations of the entry hosts, with the host names as
// keys.
const HostTable site.Table = "hosts"

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
	// registrationTimeout bounds one write of the registration.
	// registrationRetryDelay is the delay after a failed write.
	registrationTimeout    = 2 * time.Second
	registrationRetryDelay = 700 * time.Millisecond
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
}

// Owners reports which owners of zones reply to this host.
type Owners interface {
	Alive(host string) bool
}

// A Table is the platform's transactional table, to which the registration is
// written.
type Table interface {
	Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error)
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
	heldZones atomic.Pointer[map[string]tenure]
	// The fields below belong to the goroutine of Run. gainedEvents holds the last
	// Gained event of each lease.
	gainedEvents map[lease.Name]lease.Event
	// wantedZones holds the zones whose leases this host requested.
	wantedZones map[string]bool
	// ownerlessSince holds the time since when a zone has had no owner that
	// replies.
	ownerlessSince map[string]time.Time
	// registeredValue is the last registration that was written, as JSON.
	registeredValue     string
	registrationRetryAt time.Time
	// registrationPending means that a registration is being written.
	registrationPending bool
	// registrationResults receives the value of a registration that was written, or
	// an empty string after a failed write.
	registrationResults *ring.Ring[string]
}

// A tenure is a held lease of a zone, under one epoch.
type tenure struct {
	epoch uint64
	// ordersFrom is the time from which orders may be sent.
	ordersFrom time.Time
}

// LeaseName returns the name of a zone's lease.
func LeaseName(zone string) lease.Name {
	return lease.Name("zone-" + zone)
}

func (t *Elector) prepare() {
	t.once.Do(func() {
		t.gainedEvents = make(map[lease.Name]lease.Event)
		t.wantedZones = make(map[string]bool)
		t.ownerlessSince = make(map[string]time.Time)
		t.registrationResults = ring.New[string](1)
		t.heldZones.Store(&map[string]tenure{})
	})
}

// Run registers this host and acquires zones until ctx ends or Close is called.
func (t *Elector) Run(ctx context.Context) error {
	t.prepare()
	return t.lifecycle.Run(ctx, t.loop)
}

// Close ends the duty and waits until it has ended.
func (t *Elector) Close() error {
	return t.lifecycle.Close()
}

// OrderEpoch returns the epoch of the zone's lease and whether this host may send
// orders under it at the moment of the call. The epoch is 0 if it may not.
func (t *Elector) OrderEpoch(zone string) (uint64, bool) {
	t.prepare()
	held, ok := (*t.heldZones.Load())[zone]
	if !ok || t.isSteppingDown.Load() || time.Now().Before(held.ordersFrom) {
		return 0, false
	}
	epoch, valid := t.Leases.Valid(LeaseName(zone))
	if !valid || uint64(epoch) != held.epoch {
		return 0, false
	}
	return held.epoch, true
}

// OwnsAnyZone reports whether this host holds the valid lease of any zone.
func (t *Elector) OwnsAnyZone() bool {
	t.prepare()
	for zone := range *t.heldZones.Load() {
		if _, valid := t.Leases.Valid(LeaseName(zone)); valid {
			return true
		}
	}
	return false
}

// StepDown releases the leases of all zones and stops acquiring them. Other
// hosts take the zones over as soon as they notice.
func (t *Elector) StepDown() {
	t.prepare()
	t.isSteppingDown.Store(true)
	for zone := range *t.heldZones.Load() {
		t.Leases.Release(LeaseName(zone))
	}
	t.Leases.Release(LeaseName(t.Host.Zone))
}

// SteppingDown reports whether StepDown was called.
func (t *Elector) SteppingDown() bool {
	return t.isSteppingDown.Load()
}

func (t *Elector) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-t.LeaseEvents.Messages():
			if event.Type == lease.Gained {
				t.gainedEvents[event.Name] = event
			}
		case value := <-t.registrationResults.Messages():
			t.registrationPending = false
			if value != "" {
				t.registeredValue = value
			} else {
				t.registrationRetryAt = time.Now().Add(registrationRetryDelay)
			}
		case <-timer.C:
		}
		now := time.Now()
		if !t.isSteppingDown.Load() {
			t.updateZones(now)
		}
		t.register(ctx, now)
		timer.Reset(checkInterval)
	}
}

// updateZones updates heldZones from the leases and acquires the leases of zones
// without an owner.
func (t *Elector) updateZones(now time.Time) {
	held := make(map[string]tenure)
	for zone := range t.wantedZones {
		epoch, valid := t.Leases.Valid(LeaseName(zone))
		event, hasEvent := t.gainedEvents[LeaseName(zone)]
		if !valid || !hasEvent || event.Epoch != epoch {
			continue
		}
		current, ok := (*t.heldZones.Load())[zone]
		if !ok || current.epoch != uint64(epoch) {
			current = tenure{epoch: uint64(epoch), ordersFrom: now}
			if event.PreviousHolder != "" && string(event.PreviousHolder) != t.Host.Name {
				current.ordersFrom = now.Add(t.FirstOrderDelay)
			}
			t.Log.Info().Str("zone", zone).Uint64("epoch", uint64(epoch)).Msg("zone taken over")
		}
		held[zone] = current
	}
	for zone, lost := range *t.heldZones.Load() {
		if _, ok := held[zone]; !ok {
			t.Log.Warn().Str("zone", zone).Uint64("epoch", lost.epoch).Msg("zone lost")
		}
	}
	t.heldZones.Store(&held)
	view := t.Views.View()
	t.updateCandidacy(view, t.Host.Zone, held, 0, now)
	for _, server := range view.Servers {
		if server.Zone != t.Host.Zone && len(server.LoadedModels) > 0 {
			t.updateCandidacy(view, server.Zone, held, foreignZoneDelay, now)
		}
	}
}

// updateCandidacy requests a zone's lease if the zone has had no owner that
// replies for the given delay, and withdraws the request if another owner
// replies.
func (t *Elector) updateCandidacy(view *site.View, zone string, held map[string]tenure, delay time.Duration, now time.Time) {
	if _, ok := held[zone]; ok {
		return
	}
	owner := view.Owners[zone]
	if owner != nil && owner.Name != t.Host.Name && t.Owners.Alive(owner.Name) {
		delete(t.ownerlessSince, zone)
		if t.wantedZones[zone] {
			delete(t.wantedZones, zone)
			t.Leases.Release(LeaseName(zone))
		}
		return
	}
	since, ok := t.ownerlessSince[zone]
	if !ok {
		since = now
		t.ownerlessSince[zone] = now
	}
	if t.wantedZones[zone] || now.Sub(since) < delay {
		return
	}
	if t.Leases.Acquire(LeaseName(zone), t.candidateRank(zone)) {
		t.wantedZones[zone] = true
	}
}

// candidateRank returns this host's rank among the candidates of a zone. Hosts
// with narrow links rank after all others.
func (t *Elector) candidateRank(zone string) int {
	rank := int(xxhash.Sum64String(t.Host.Name+"/"+zone) % rankCount)
	if t.LinkMegabits < minOwnerLinkMegabits {
		rank += rankCount
	}
	return rank
}

// register writes this host's registration, with the zones that it owns, if it
// has changed and no write is pending.
func (t *Elector) register(ctx context.Context, now time.Time) {
	host := t.Host
	host.OwnedZones = make(map[string]uint64)
	if !t.isSteppingDown.Load() {
		for zone, held := range *t.heldZones.Load() {
			host.OwnedZones[zone] = held.epoch
		}
	}
	value, err := json.Marshal(host)
	if err != nil || t.registrationPending || string(value) == t.registeredValue || now.Before(t.registrationRetryAt) {
		return
	}
	t.registrationPending = true
	t.lifecycle.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
		defer cancel()
		write := table.Write{Key: table.Key(string(HostTable) + "/" + host.Name), Unconditional: true, Value: value}
		_, err := t.Table.Commit(ctx, table.Transaction{Writes: []table.Write{write}})
		if err != nil {
			t.Log.Warn().Err(err).Msg("registration of this host could not be written")
			t.registrationResults.Offer("")
			return
		}
		t.registrationResults.Offer(string(value))
	})
}

// OrderingZones returns the zones in which this host may send orders now, in no
// particular order.
func (t *Elector) OrderingZones() []string {
	t.prepare()
	var zones []string
	for zone := range *t.heldZones.Load() {
		if _, ok := t.OrderEpoch(zone); ok {
			zones = append(zones, zone)
		}
	}
	return zones
}
