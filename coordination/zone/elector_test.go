package zone

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// A fakePlatform implements Leases, ViewSource, Owners and Table. Its leases are
// gained and lost by setEpoch, and its table refuses every write.
type fakePlatform struct {
	view  *site.View
	alive bool
	// isIdle says that the owner of the view sends no orders.
	isIdle   atomic.Bool
	storeAge time.Duration

	events *ring.Ring[lease.Event]

	mutex sync.Mutex
	// ranks holds the rank of each requested lease.
	ranks  map[lease.Name]int
	epochs map[lease.Name]fleet.Epoch
}

func (f *fakePlatform) Acquire(name lease.Name, rank int) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.ranks[name] = rank
	return true
}

func (f *fakePlatform) Release(name lease.Name) bool {
	f.setEpoch(name, 0, "")
	return true
}

func (f *fakePlatform) Valid(name lease.Name) (fleet.Epoch, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	epoch, ok := f.epochs[name]
	return epoch, ok
}

// setEpoch makes the lease valid with the epoch and sends the event with its
// previous holder. Epoch 0 ends the lease.
func (f *fakePlatform) setEpoch(name lease.Name, epoch fleet.Epoch, previous fleet.HostName) {
	if epoch > 0 {
		f.events.Offer(lease.Event{Name: name, Type: lease.Gained, Epoch: epoch, PreviousHolder: previous})
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if epoch == 0 {
		delete(f.epochs, name)
		return
	}
	f.epochs[name] = epoch
}

func (f *fakePlatform) View() *site.View                { return f.view }
func (f *fakePlatform) Era() table.Era                  { return 0 }
func (f *fakePlatform) Alive(string) bool               { return f.alive }
func (f *fakePlatform) StoreAge() time.Duration         { return f.storeAge }
func (f *fakePlatform) GivesOrders(string, string) bool { return f.alive && !f.isIdle.Load() }
func (f *fakePlatform) Commit(context.Context, table.Transaction) ([]table.WriteResult, error) {
	return nil, errors.New("no store")
}

func newFakePlatform() *fakePlatform {
	view := &site.View{}
	view.BuildIndex()
	return &fakePlatform{view: view, ranks: map[lease.Name]int{}, epochs: map[lease.Name]fleet.Epoch{}}
}

// withElector runs test in virtual time while an Elector of host "host" in zone
// "east" runs.
func withElector(t *testing.T, f *fakePlatform, link float64, test func(c *quicktest.C, elector *Elector)) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		f.events = ring.New[lease.Event](4)
		elector := &Elector{
			Host: site.Host{Name: "host", Zone: "east"}, Leases: f, LeaseEvents: f.events, Views: f, Owners: f, Table: f,
			FirstOrderDelay: 3 * time.Second, LinkMegabits: link, Log: zerolog.Nop(),
		}
		done := make(chan error, 1)
		go func() { done <- elector.Run(context.Background()) }()
		time.Sleep(2 * checkInterval)
		test(c, elector)
		c.Assert(elector.Close(), quicktest.IsNil)
		c.Assert(<-done, quicktest.IsNil)
	})
}

// TestNarrowLinkHostRanksLast guards against an owner whose link is too narrow
// for the follow requests of all hosts of its zone, while another host could own
// the zone.
func TestNarrowLinkHostRanksLast(t *testing.T) {
	wide, narrow := newFakePlatform(), newFakePlatform()
	withElector(t, wide, 200, func(*quicktest.C, *Elector) {})
	withElector(t, narrow, 10, func(*quicktest.C, *Elector) {})
	c := quicktest.New(t)
	c.Assert(wide.ranks[LeaseName("east")] < rankCount, quicktest.IsTrue)
	c.Assert(narrow.ranks[LeaseName("east")] >= rankCount, quicktest.IsTrue)
}

// TestNewOwnerWaitsBeforeItsFirstOrder guards against orders of a new owner that
// alternate with those of the previous one, and against orders after the lease
// has ended.
func TestNewOwnerWaitsBeforeItsFirstOrder(t *testing.T) {
	f := newFakePlatform()
	f.view = &site.View{Hosts: map[string]*site.Host{"former": {Name: "former", OwnedZones: map[string]uint64{"east": 1}}}}
	f.view.BuildIndex()
	withElector(t, f, 200, func(c *quicktest.C, elector *Elector) {
		f.setEpoch(LeaseName("east"), 2, "former")
		time.Sleep(2 * checkInterval)
		_, ordering := elector.OrderEpoch("east")
		c.Assert(ordering, quicktest.IsFalse)
		time.Sleep(elector.FirstOrderDelay)
		epoch, ordering := elector.OrderEpoch("east")
		c.Assert(ordering, quicktest.IsTrue)
		c.Assert(epoch, quicktest.Equals, uint64(2))
		f.setEpoch(LeaseName("east"), 0, "")
		_, ordering = elector.OrderEpoch("east")
		c.Assert(ordering, quicktest.IsFalse)
	})
}

// TestRestartedOwnerGivesOrdersAtOnce guards against a restarted owner that waits
// before its first order, for its next check or because the previous holder, its
// own earlier process, might still give orders. While the previous holder is not
// known it gives none.
func TestRestartedOwnerGivesOrdersAtOnce(t *testing.T) {
	f := newFakePlatform()
	withElector(t, f, 200, func(c *quicktest.C, elector *Elector) {
		time.Sleep(checkInterval / 4)
		f.mutex.Lock()
		f.epochs[LeaseName("east")] = 2
		f.mutex.Unlock()
		time.Sleep(time.Millisecond)
		_, ordering := elector.OrderEpoch("east")
		c.Check(ordering, quicktest.IsFalse, quicktest.Commentf("the previous holder is not known yet"))
		f.setEpoch(LeaseName("east"), 2, "host")
		time.Sleep(time.Millisecond)
		_, ordering = elector.OrderEpoch("east")
		c.Check(ordering, quicktest.IsTrue)
	})
}

// TestZoneOfAliveOwnerIsNotTaken guards against hosts that ask for the lease of a
// zone whose owner replies.
func TestZoneOfAliveOwnerIsNotTaken(t *testing.T) {
	f := newFakePlatform()
	f.alive = true
	f.view = &site.View{Hosts: map[string]*site.Host{"other": {Name: "other", OwnedZones: map[string]uint64{"east": 1}}}}
	f.view.BuildIndex()
	withElector(t, f, 200, func(c *quicktest.C, _ *Elector) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		c.Check(f.ranks, quicktest.HasLen, 0)
	})
}

// isWanted reports whether the lease was requested since the last call.
func (f *fakePlatform) isWanted(name lease.Name) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_, ok := f.ranks[name]
	delete(f.ranks, name)
	return ok
}

// TestZoneOfIdleOwnerIsTaken guards against a zone that nobody takes over, because its owner
// replies although the store has turned it away until its lease ended. It guards also
// against reads of the lease of a new owner that waits before its first order, and of all
// leases while the store is away.
func TestZoneOfIdleOwnerIsTaken(t *testing.T) {
	for _, test := range []struct {
		name     string
		storeAge time.Duration
		isTaken  bool
	}{{"store replies", time.Second, true}, {"store is away", maxStoreAge + time.Second, false}} {
		t.Run(test.name, func(t *testing.T) {
			f := newFakePlatform()
			f.alive, f.storeAge = true, test.storeAge
			f.view = &site.View{Hosts: map[string]*site.Host{"other": {Name: "other", OwnedZones: map[string]uint64{"east": 1}}}}
			f.view.BuildIndex()
			withElector(t, f, 200, func(c *quicktest.C, elector *Elector) {
				f.isIdle.Store(true)
				time.Sleep(elector.FirstOrderDelay)
				c.Check(f.isWanted(LeaseName("east")), quicktest.IsFalse)
				time.Sleep(idleOwnerDelay + 2*checkInterval)
				c.Check(f.isWanted(LeaseName("east")), quicktest.Equals, test.isTaken)
				f.isIdle.Store(false)
				time.Sleep(10 * time.Second)
				f.isIdle.Store(true)
				time.Sleep(elector.FirstOrderDelay)
				c.Check(f.isWanted(LeaseName("east")), quicktest.IsFalse)
			})
		})
	}
}
