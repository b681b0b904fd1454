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

// deployment is hosts with shares and one allocator, joined by links that can be cut.
type deployment struct {
	mutex  sync.Mutex
	shares map[fleet.HostName]*Share
	cut    map[fleet.HostName]bool
	valid  bool
	loads  []time.Time
}

func (d *deployment) Hosts() []fleet.HostName {
	return []fleet.HostName{"a", "b", "c"}
}

func (d *deployment) Borrow(_ context.Context, host fleet.HostName, epoch fleet.Epoch) (Loan, error) {
	if d.isCut(host) {
		return Loan{}, errors.New("no route")
	}
	return d.shares[host].Lend(epoch, time.Now())
}

func (d *deployment) Valid() (fleet.Epoch, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return 1, d.valid
}

func (d *deployment) isCut(host fleet.HostName) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.cut[host]
}

func (d *deployment) setCut(host fleet.HostName, cut bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.cut[host] = cut
}

type link struct {
	deployment *deployment
	host       fleet.HostName
	allocator  *Allocator
}

func (l link) AcquirePermit(ctx context.Context, want PermitRequest) error {
	if l.deployment.isCut(l.host) {
		return verdict.NewNotRun(verdict.CodeNotOwner, "no route")
	}
	return l.allocator.AcquirePermit(ctx, want)
}

// TestRateHoldsThroughCut guards against a host that uses its own share while
// the allocator still gives it out, which would exceed the store's rate.
func TestRateHoldsThroughCut(t *testing.T) {
	const total = 3.0
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		d := &deployment{shares: map[fleet.HostName]*Share{}, cut: map[fleet.HostName]bool{}, valid: true}
		allocator := NewAllocator(d, d)
		for _, host := range d.Hosts() {
			d.shares[host] = &Share{
				Host:    host,
				Rate:    func() float64 { return total / 3 },
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
			d.setCut("a", round%2 == 0)
			d.mutex.Lock()
			d.valid = round%3 != 2
			d.mutex.Unlock()
		}
		cancel()
		demand.Wait()
		c.Assert(allocator.Close(), quicktest.IsNil)
		// Every window of ten seconds holds the rate, plus one saved permit
		// for the allocator and for each host.
		most := 0
		for i := range d.loads {
			count := 0
			for _, at := range d.loads[i:] {
				if at.Sub(d.loads[i]) < 10*time.Second {
					count++
				}
			}
			most = max(most, count)
		}
		c.Assert(most <= int(total*10)+4, quicktest.IsTrue, quicktest.Commentf("%d loads in 10 s", most))
		c.Assert(len(d.loads) >= int(total*70*0.6), quicktest.IsTrue, quicktest.Commentf("%d loads in 70 s", len(d.loads)))
	})
}

// TestStopEndsWaitingWants guards against wants of other hosts that hold up the
// stop of the allocator's host.
func TestStopEndsWaitingWants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		d := &deployment{shares: map[fleet.HostName]*Share{}, cut: map[fleet.HostName]bool{}, valid: true}
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

// TestPriorityGoesFirst guards against wants that are served in order of arrival.
func TestPriorityGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		d := &deployment{shares: map[fleet.HostName]*Share{}, cut: map[fleet.HostName]bool{}, valid: true}
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
