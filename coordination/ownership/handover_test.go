package ownership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// TestPlannedHandOver guards against a planned hand-over in which the next owner does
// not learn of instances or grants, the old owner grants after the transfer, or
// orders are still in flight.
func TestPlannedHandOver(t *testing.T) {
	withOwner(t, 1, nil, func(f *fixture) {
		f.grantAndRun("a", "1")
		f.engine.withLock(func() { f.engine.faults.delay = 3 * time.Second })
		loading := make(chan error, 1)
		go func() {
			_, err := f.requestGrant("b", "2")
			loading <- err
		}()
		synctest.Wait()
		transferred := make(chan struct{})
		done := make(chan fleet.HandOver, 1)
		go func() {
			h, err := f.owner.HandOver(context.Background(), "next", func(context.Context) (fleet.Epoch, error) {
				<-transferred
				return 2, nil
			})
			f.Check(err, quicktest.IsNil)
			done <- h
		}()
		synctest.Wait()
		f.grantAndRun("a", "3")
		f.Assert(<-loading, quicktest.IsNil)
		advance(time.Second)
		late := make(chan error, 1)
		go func() {
			_, err := f.requestGrant("a", "4")
			late <- err
		}()
		synctest.Wait()
		close(transferred)
		h := <-done
		f.engine.withLock(func() { f.engine.faults.delay = 0 })
		f.Assert(h.Instances, quicktest.HasLen, 2)
		f.Assert(h.Grants, quicktest.HasLen, 3)
		owner, refused := NotOwnerRefusal(<-late)
		f.Assert(refused, quicktest.IsTrue)
		f.Assert(owner, quicktest.Equals, fleet.HostName("next"))

		next := &Owner{
			Engine: f.owner.Engine, Host: "next", Epoch: 2, PreviousHolder: PreviousHolder{Host: "o"}, Engines: f.engine,
			Leases: &fakeLease{epoch: 2, valid: true}, Budget: unlimitedBudget{}, Placement: UrgencyLRUPolicy{}, HoldingsCollector: f.holders,
		}
		go next.Run(context.Background())
		defer next.Close()
		f.Assert(next.AcceptHandOver(h), quicktest.IsNil)
		began := time.Now()
		g, err := next.AcquireGrant(context.Background(), newGrantRequest("a", "5"))
		f.Assert(err, quicktest.IsNil)
		f.Assert(time.Since(began), quicktest.Equals, time.Duration(0))
		f.Assert(g.Instance.Epoch, quicktest.Equals, fleet.Epoch(1))
		_, err = next.AcquireGrant(context.Background(), newGrantRequest("c", "6"))
		f.Assert(err, quicktest.IsNotNil)
		next.Release([]fleet.RequestID{"2"})
		_, err = next.AcquireGrant(context.Background(), newGrantRequest("c", "7"))
		f.Assert(err, quicktest.IsNil)
		f.Assert(f.engine.hasInstance("b@1#1"), quicktest.IsFalse)
	})
}

// TestFailedTransferKeepsTheOwner guards against an engine without an owner after the
// transfer of the lease in a hand-over failed.
func TestFailedTransferKeepsTheOwner(t *testing.T) {
	withOwner(t, 1, nil, func(f *fixture) {
		_, err := f.owner.HandOver(context.Background(), "next", func(context.Context) (fleet.Epoch, error) {
			return 0, errOutcomeUnknown
		})
		f.Assert(err, quicktest.ErrorIs, errOutcomeUnknown)
		f.grantAndRun("a", "1")
	})
}
