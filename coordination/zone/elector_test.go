package zone

import (
	"context"
	"errors"
	"sync"
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

// A fakeStore has leases that are gained at will and a table that keeps nothing.
type fakeStore struct {
	view  *site.View
	alive bool

	changes *ring.Ring[lease.Event]

	mutex  sync.Mutex
	ranks  map[lease.Name]int
	epochs map[lease.Name]fleet.Epoch
}

func (f *fakeStore) Acquire(name lease.Name, rank int) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.ranks[name] = rank
	return true
}

func (f *fakeStore) Release(name lease.Name) bool {
	f.grant(name, 0, "")
	return true
}

func (f *fakeStore) Valid(name lease.Name) (fleet.Epoch, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	epoch, ok := f.epochs[name]
	return epoch, ok
}

// grant gives the lease an epoch after a former holder, or ends it with epoch 0.
func (f *fakeStore) grant(name lease.Name, epoch fleet.Epoch, former fleet.HostName) {
	if epoch > 0 {
		f.changes.Offer(lease.Event{Name: name, Type: lease.Gained, Epoch: epoch, PreviousHolder: former})
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if epoch == 0 {
		delete(f.epochs, name)
		return
	}
	f.epochs[name] = epoch
}

func (f *fakeStore) View() *site.View  { return f.view }
func (f *fakeStore) Alive(string) bool { return f.alive }
func (f *fakeStore) Commit(context.Context, table.Transaction) ([]table.WriteResult, error) {
	return nil, errors.New("no store")
}

func newFakeStore() *fakeStore {
	view := &site.View{}
	view.BuildIndex()
	return &fakeStore{view: view, ranks: map[lease.Name]int{}, epochs: map[lease.Name]fleet.Epoch{}}
}

// with runs a test beside an Elector of zone "east" in virtual time.
func with(t *testing.T, f *fakeStore, link float64, test func(c *quicktest.C, elector *Elector)) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		f.changes = ring.New[lease.Event](4)
		tenant := &Elector{
			Host: site.Host{Name: "host", Zone: "east"}, Leases: f, LeaseEvents: f.changes, Views: f, Owners: f, Table: f,
			FirstOrderDelay: 3 * time.Second, LinkMegabits: link, Log: zerolog.Nop(),
		}
		done := make(chan error, 1)
		go func() { done <- tenant.Run(context.Background()) }()
		time.Sleep(2 * lookPause)
		test(c, tenant)
		c.Assert(tenant.Close(), quicktest.IsNil)
		c.Assert(<-done, quicktest.IsNil)
	})
}

// TestNarrowLinkOwnsLast guards against an owner whose link is too narrow for the
// questions of all hosts of its zone, while another host could own the zone.
func TestNarrowLinkOwnsLast(t *testing.T) {
	wide, narrow := newFakeStore(), newFakeStore()
	with(t, wide, 200, func(*quicktest.C, *Elector) {})
	with(t, narrow, 10, func(*quicktest.C, *Elector) {})
	c := quicktest.New(t)
	c.Assert(wide.ranks[LeaseName("east")] < ranks, quicktest.IsTrue)
	c.Assert(narrow.ranks[LeaseName("east")] >= ranks, quicktest.IsTrue)
}

// TestNewOwnerWaitsBeforeItsFirstOrder guards against orders of a new owner that
// alternate with those of the former one.
func TestNewOwnerWaitsBeforeItsFirstOrder(t *testing.T) {
	f := newFakeStore()
	f.view = &site.View{Hosts: map[string]*site.Host{"former": {Name: "former", OwnedZones: map[string]uint64{"east": 1}}}}
	f.view.BuildIndex()
	with(t, f, 200, func(c *quicktest.C, elector *Elector) {
		f.grant(LeaseName("east"), 2, "former")
		time.Sleep(2 * lookPause)
		_, ordering := elector.OrderEpoch("east")
		c.Assert(ordering, quicktest.IsFalse)
		time.Sleep(elector.FirstOrderDelay)
		epoch, ordering := elector.OrderEpoch("east")
		c.Assert(ordering, quicktest.IsTrue)
		c.Assert(epoch, quicktest.Equals, uint64(2))
		f.grant(LeaseName("east"), 0, "")
		_, ordering = elector.OrderEpoch("east")
		c.Assert(ordering, quicktest.IsFalse)
	})
}

// TestRestartedOwnerOrdersAtOnce guards against a restarted owner that waits for
// its next look, or for a former owner that it was itself, before its first order.
func TestRestartedOwnerOrdersAtOnce(t *testing.T) {
	f := newFakeStore()
	with(t, f, 200, func(c *quicktest.C, elector *Elector) {
		time.Sleep(lookPause / 4)
		f.mutex.Lock()
		f.epochs[LeaseName("east")] = 2
		f.mutex.Unlock()
		time.Sleep(time.Millisecond)
		_, ordering := elector.OrderEpoch("east")
		c.Check(ordering, quicktest.IsFalse, quicktest.Commentf("the former holder is not known yet"))
		f.grant(LeaseName("east"), 2, "host")
		time.Sleep(time.Millisecond)
		_, ordering = elector.OrderEpoch("east")
		c.Check(ordering, quicktest.IsTrue)
	})
}

// TestLivingOwnerIsLeftAlone guards against hosts that want a zone whose owner
// answers.
func TestLivingOwnerIsLeftAlone(t *testing.T) {
	f := newFakeStore()
	f.alive = true
	f.view = &site.View{Hosts: map[string]*site.Host{"other": {Name: "other", OwnedZones: map[string]uint64{"east": 1}}}}
	f.view.BuildIndex()
	with(t, f, 200, func(c *quicktest.C, _ *Elector) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		c.Check(f.ranks, quicktest.HasLen, 0)
	})
}
