package budget

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// deployment is three hosts, each with a share, and the allocator's lease. It
// implements Lenders and AllocatorLease. A disconnected host and the allocator
// cannot reach each other.
type deployment struct {
	mutex        sync.Mutex
	shares       map[fleet.HostName]*Share
	disconnected map[fleet.HostName]bool
	leaseValid   bool
	loads        []time.Time
}

func (d *deployment) Hosts() []fleet.HostName {
	return []fleet.HostName{"a", "b", "c"}
}

func (d *deployment) Borrow(_ context.Context, host fleet.HostName, epoch fleet.Epoch) (Loan, error) {
	if d.isDisconnected(host) {
		return Loan{}, errors.New("no route")
	}
	return d.shares[host].Lend(epoch, time.Now())
}

func (d *deployment) Valid() (fleet.Epoch, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return 1, d.leaseValid
}

func (d *deployment) isDisconnected(host fleet.HostName) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.disconnected[host]
}

func (d *deployment) setDisconnected(host fleet.HostName, disconnected bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.disconnected[host] = disconnected
}

// link is the PermitSource of one host.
type link struct {
	deployment *deployment
	host       fleet.HostName
	allocator  *Allocator
}

func (l link) AcquirePermit(ctx context.Context, request PermitRequest) error {
	if l.deployment.isDisconnected(l.host) {
		return verdict.NewNotRun(verdict.CodeNotOwner, "no route")
	}
	return l.allocator.AcquirePermit(ctx, request)
}

// TestTotalRateHoldsWhileHostIsDisconnected guards against a host that uses its
// own share while the allocator still gives out permits from it. This happens if
// a disconnected host counts its loan as ended before the allocator does, and
// exceeds the store's rate.
func TestTotalRateHoldsWhileHostIsDisconnected(t *testing.T) {
	const totalRate = 3.0 // loads per second
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		d := &deployment{shares: map[fleet.HostName]*Share{}, disconnected: map[fleet.HostName]bool{}, leaseValid: true}
		allocator := NewAllocator(d, d)
		for _, host := range d.Hosts() {
			d.shares[host] = &Share{
				Host:    host,
				Rate:    func() float64 { return totalRate / 3 },
				Permits: link{d, host, allocator},
			}
		}
		go allocator.Run(ctx)
		var demand sync.WaitGroup
		for _, host := range d.Hosts() {
			for range 4 {
				demand.Go(func() {
					for d.shares[host].Acquire(ctx, PermitRequest{Engine: fleet.EngineName(host)}) == nil {
						d.mutex.Lock()
						d.loads = append(d.loads, time.Now())
						d.mutex.Unlock()
					}
				})
			}
		}
		for round := range 10 {
			time.Sleep(7 * time.Second)
			d.setDisconnected("a", round%2 == 0)
			d.mutex.Lock()
			d.leaseValid = round%3 != 2
			d.mutex.Unlock()
		}
		cancel()
		demand.Wait()
		c.Assert(allocator.Close(), quicktest.IsNil)
		// In every window of ten seconds, the loads stay within the rate plus one
		// saved permit for the allocator and for each of the three hosts.
		maxLoads := 0
		for i := range d.loads {
			count := 0
			for _, at := range d.loads[i:] {
				if at.Sub(d.loads[i]) < 10*time.Second {
					count++
				}
			}
			maxLoads = max(maxLoads, count)
		}
		c.Assert(maxLoads <= int(totalRate*10)+4, quicktest.IsTrue, quicktest.Commentf("%d loads in 10 s", maxLoads))
		c.Assert(len(d.loads) >= int(totalRate*70*0.6), quicktest.IsTrue, quicktest.Commentf("%d loads in 70 s", len(d.loads)))
	})
}

// TestCloseRejectsWaitingRequests guards against permit requests of other hosts
// that delay the stop of the allocator's host until their own deadlines.
func TestCloseRejectsWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		d := &deployment{shares: map[fleet.HostName]*Share{}, disconnected: map[fleet.HostName]bool{}, leaseValid: true}
		for _, host := range d.Hosts() {
			d.shares[host] = &Share{Host: host, Rate: func() float64 { return 0.001 }}
		}
		allocator := NewAllocator(d, d)
		go allocator.Run(t.Context())
		refused := make(chan error, 1)
		go func() { refused <- allocator.AcquirePermit(t.Context(), PermitRequest{}) }()
		time.Sleep(time.Second)
		began := time.Now()
		c.Assert(allocator.Close(), quicktest.IsNil)
		c.Assert(verdict.FromError(<-refused).Code, quicktest.Equals, verdict.CodeNotOwner)
		c.Assert(time.Since(began), quicktest.Equals, time.Duration(0))
	})
}

// TestHigherPriorityIsServedFirst guards against permits that are given out in
// order of arrival, regardless of priority.
func TestHigherPriorityIsServedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		d := &deployment{shares: map[fleet.HostName]*Share{}, disconnected: map[fleet.HostName]bool{}, leaseValid: true}
		for _, host := range d.Hosts() {
			d.shares[host] = &Share{Host: host, Rate: func() float64 { return 1 }}
		}
		allocator := NewAllocator(d, d)
		go allocator.Run(t.Context())
		time.Sleep(10 * time.Millisecond)
		var order []float64
		var mutex sync.Mutex
		var demand sync.WaitGroup
		for _, priority := range []float64{1, 2, 3, 4} {
			demand.Go(func() {
				if allocator.AcquirePermit(t.Context(), PermitRequest{Priority: priority}) == nil {
					mutex.Lock()
					order = append(order, priority)
					mutex.Unlock()
				}
			})
		}
		demand.Wait()
		c.Assert(order, quicktest.DeepEquals, []float64{4, 3, 2, 1})
		c.Assert(allocator.Close(), quicktest.IsNil)
	})
}
