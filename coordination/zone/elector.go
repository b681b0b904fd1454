// Package zone decides which host owns a zone: reads the store for it and gives
// the orders to its engines.
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

// HostTable has the registrations of the entry hosts, by their names.
const HostTable site.Table = "hosts"

const (
	// lookPause is how often the owners are looked at.
	lookPause = 200 * time.Millisecond
	// strangeMaxWait is how long a zone without an owner waits for a host of its
	// own before hosts of other zones take it over.
	strangeMaxWait = 8 * time.Second
	// ranks spreads the candidates of a zone, so that not all write at once.
	ranks = 2
	// ownerLink is the bandwidth in Mbit/s that an owner needs: each host of the
	// zone asks it for turns and news.
	ownerLink = 50
	// registerLimit bounds one write of the registration, and registerPause is
	// the pause after a failed one.
	registerLimit = 2 * time.Second
	registerPause = 700 * time.Millisecond
)

// Leases are the leases of this host.
type Leases interface {
	Acquire(name lease.Name, rank int) bool
	Release(name lease.Name) bool
	Valid(name lease.Name) (fleet.Epoch, bool)
}

// ViewSource has the newest view of the site.
type ViewSource interface {
	View() *site.View
}

// Owners tells which owners answer.
type Owners interface {
	Alive(host string) bool
}

// Table keeps the registrations.
type Table interface {
	Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error)
}

// An Elector is the duty that registers this host and takes zones that have no
// owner. Its exported fields are set before Run.
type Elector struct {
	Host   site.Host
	Leases Leases
	// LeaseEvents tells of gained leases and of who held them before.
	LeaseEvents *ring.Ring[lease.Event]
	Views       ViewSource
	Owners      Owners
	Table       Table
	// FirstOrderDelay is how long a new owner waits before its first order, so that
	// its orders and those of its predecessor do not alternate.
	FirstOrderDelay time.Duration
	// LinkMegabits is the bandwidth of this host's link in Mbit/s.
	LinkMegabits float64
	Log          zerolog.Logger

	lifecycle duty.Lifecycle
	once      sync.Once
	stopping  atomic.Bool
	// held has the zones whose leases were gained and when; it is replaced, not modified.
	held atomic.Pointer[map[string]tenure]
	// gained has the event of each lease that was gained last.
	gained     map[lease.Name]lease.Event
	wanted     map[string]bool
	ownerless  map[string]time.Time
	registered string
	retryAt    time.Time
	writing    bool
	written    *ring.Ring[string]
}

// A tenure is a gained lease.
type tenure struct {
	epoch uint64
	// from is when orders may be given.
	from time.Time
}

// LeaseName returns the name of a zone's lease.
func LeaseName(zone string) lease.Name {
	return lease.Name("zone-" + zone)
}

func (t *Elector) prepare() {
	t.once.Do(func() {
		t.gained = make(map[lease.Name]lease.Event)
		t.wanted = make(map[string]bool)
		t.ownerless = make(map[string]time.Time)
		t.written = ring.New[string](1)
		t.held.Store(&map[string]tenure{})
	})
}

// Run looks after the zones until ctx ends or Close is called.
func (t *Elector) Run(ctx context.Context) error {
	t.prepare()
	return t.lifecycle.Run(ctx, t.loop)
}

// Close ends the duty and waits until it has ended.
func (t *Elector) Close() error {
	return t.lifecycle.Close()
}

// OrderEpoch returns the epoch of the zone's lease and whether orders may be given
// under it at this moment.
func (t *Elector) OrderEpoch(zone string) (uint64, bool) {
	t.prepare()
	held, ok := (*t.held.Load())[zone]
	if !ok || t.stopping.Load() || time.Now().Before(held.from) {
		return 0, false
	}
	epoch, valid := t.Leases.Valid(LeaseName(zone))
	if !valid || uint64(epoch) != held.epoch {
		return 0, false
	}
	return held.epoch, true
}

// OwnsAnyZone says whether this host holds the lease of any zone.
func (t *Elector) OwnsAnyZone() bool {
	t.prepare()
	for zone := range *t.held.Load() {
		if _, valid := t.Leases.Valid(LeaseName(zone)); valid {
			return true
		}
	}
	return false
}

// StepDown gives up all zones. Other hosts take them as soon as they notice.
func (t *Elector) StepDown() {
	t.prepare()
	t.stopping.Store(true)
	for zone := range *t.held.Load() {
		t.Leases.Release(LeaseName(zone))
	}
	t.Leases.Release(LeaseName(t.Host.Zone))
}

// SteppingDown says whether the host gives its zones up.
func (t *Elector) SteppingDown() bool {
	return t.stopping.Load()
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
				t.gained[event.Name] = event
			}
		case value := <-t.written.Messages():
			t.writing = false
			if value != "" {
				t.registered = value
			} else {
				t.retryAt = time.Now().Add(registerPause)
			}
		case <-timer.C:
		}
		now := time.Now()
		if !t.stopping.Load() {
			t.look(now)
		}
		t.register(ctx, now)
		timer.Reset(lookPause)
	}
}

// look wants the leases of zones without an owner and notes the gained ones.
func (t *Elector) look(now time.Time) {
	held := make(map[string]tenure)
	for zone := range t.wanted {
		epoch, valid := t.Leases.Valid(LeaseName(zone))
		event, told := t.gained[LeaseName(zone)]
		if !valid || !told || event.Epoch != epoch {
			continue
		}
		before, ok := (*t.held.Load())[zone]
		if !ok || before.epoch != uint64(epoch) {
			before = tenure{epoch: uint64(epoch), from: now}
			if event.PreviousHolder != "" && string(event.PreviousHolder) != t.Host.Name {
				before.from = now.Add(t.FirstOrderDelay)
			}
			t.Log.Info().Str("zone", zone).Uint64("epoch", uint64(epoch)).Msg("zone taken over")
		}
		held[zone] = before
	}
	for zone, lost := range *t.held.Load() {
		if _, ok := held[zone]; !ok {
			t.Log.Warn().Str("zone", zone).Uint64("epoch", lost.epoch).Msg("zone lost")
		}
	}
	t.held.Store(&held)
	view := t.Views.View()
	t.consider(view, t.Host.Zone, held, 0, now)
	for _, server := range view.Servers {
		if server.Zone != t.Host.Zone && len(server.LoadedModels) > 0 {
			t.consider(view, server.Zone, held, strangeMaxWait, now)
		}
	}
}

// consider wants a zone's lease if its owner does not answer, and gives the wish
// up if another owner does.
func (t *Elector) consider(view *site.View, zone string, held map[string]tenure, patience time.Duration, now time.Time) {
	if _, ok := held[zone]; ok {
		return
	}
	owner := view.Owners[zone]
	if owner != nil && owner.Name != t.Host.Name && t.Owners.Alive(owner.Name) {
		delete(t.ownerless, zone)
		if t.wanted[zone] {
			delete(t.wanted, zone)
			t.Leases.Release(LeaseName(zone))
		}
		return
	}
	since, ok := t.ownerless[zone]
	if !ok {
		since = now
		t.ownerless[zone] = now
	}
	if t.wanted[zone] || now.Sub(since) < patience {
		return
	}
	if t.Leases.Acquire(LeaseName(zone), t.rank(zone)) {
		t.wanted[zone] = true
	}
}

// rank orders the candidates of a zone: those with narrow links come last.
func (t *Elector) rank(zone string) int {
	rank := int(xxhash.Sum64String(t.Host.Name+"/"+zone) % ranks)
	if t.LinkMegabits < ownerLink {
		rank += ranks
	}
	return rank
}

// register writes what this host is and owns, if that has changed.
func (t *Elector) register(ctx context.Context, now time.Time) {
	host := t.Host
	host.OwnedZones = make(map[string]uint64)
	if !t.stopping.Load() {
		for zone, held := range *t.held.Load() {
			host.OwnedZones[zone] = held.epoch
		}
	}
	value, err := json.Marshal(host)
	if err != nil || t.writing || string(value) == t.registered || now.Before(t.retryAt) {
		return
	}
	t.writing = true
	t.lifecycle.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, registerLimit)
		defer cancel()
		write := table.Write{Key: table.Key(string(HostTable) + "/" + host.Name), Unconditional: true, Value: value}
		_, err := t.Table.Commit(ctx, table.Transaction{Writes: []table.Write{write}})
		if err != nil {
			t.Log.Warn().Err(err).Msg("registration failed")
			t.written.Offer("")
			return
		}
		t.written.Offer(string(value))
	})
}

// OrderingZones returns the zones in which this host may give orders now.
func (t *Elector) OrderingZones() []string {
	t.prepare()
	var zones []string
	for zone := range *t.held.Load() {
		if _, ok := t.OrderEpoch(zone); ok {
			zones = append(zones, zone)
		}
	}
	return zones
}
