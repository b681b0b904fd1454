package ownership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A delayedBudget gives each permit after a wait.
type delayedBudget struct {
	wait time.Duration
}

func (b delayedBudget) Acquire(ctx context.Context, _ fleet.EngineName, _ fleet.AdapterReference, _ configuration.Urgency) error {
	select {
	case <-time.After(b.wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestPermitComesBeforeEviction guards against a slot that stays empty because its
// instance was evicted for a load that still waits for the budget.
func TestPermitComesBeforeEviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		engine := newFakeEngine("e", fleet.FencingIgnored, 1)
		o := &Owner{
			Engine: engine.engine, Host: "o", Epoch: 1, Engines: engine, Leases: &fakeLease{epoch: 1, valid: true},
			Budget: delayedBudget{wait: 3 * time.Second}, Placement: UrgencyLRUPolicy{}, HoldingsCollector: &fakeHolders{}, Logger: zerolog.Nop(),
		}
		go func() { _ = o.Run(t.Context()) }()
		first, err := o.AcquireGrant(t.Context(), newGrantRequest("a", "1"))
		c.Assert(err, quicktest.IsNil)
		o.Release([]fleet.RequestID{"1"})
		done := make(chan error, 1)
		go func() {
			_, err := o.AcquireGrant(t.Context(), newGrantRequest("b", "2"))
			done <- err
		}()
		time.Sleep(2 * time.Second)
		c.Assert(engine.hasInstance(first.Instance.String()), quicktest.IsTrue)
		c.Assert(<-done, quicktest.IsNil)
		c.Assert(engine.hasInstance(first.Instance.String()), quicktest.IsFalse)
		c.Assert(o.Close(), quicktest.IsNil)
	})
}
