package ownership

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// TestUnansweredUnloadNameIsNotUsedAgain guards against an unload order without an
// answer that takes effect late and removes the same instance after it was loaded
// again.
func TestUnansweredUnloadNameIsNotUsedAgain(t *testing.T) {
	withOwner(t, 1, func(f *fixture) { f.engine.engine.AdapterSlots = 1 }, func(f *fixture) {
		f.grantAndRun("a", "1")
		f.release("1")
		f.engine.withLock(func() { f.engine.faults = engineFaults{late: 1, lateDelay: 20 * time.Second} })
		f.refusalCode("b", "2")
		f.engine.withLock(func() { f.engine.faults = engineFaults{} })
		advance(2 * time.Second)
		f.Assert(f.refusalCode("a", "3"), quicktest.Equals, verdict.CodeLoadFailed)
		advance(30 * time.Second)
		f.grantAndRun("b", "4")
		f.Assert(f.refusalCode("a", "5"), quicktest.Equals, verdict.CodeLoadFailed)
	})
}

// TestUnloadInFlightAcrossRestart guards against an unload order that was in flight
// when the engine restarted and that removes the instance from the new process
// after it was loaded there again.
func TestUnloadInFlightAcrossRestart(t *testing.T) {
	for _, test := range []struct {
		name string
		// answer is when the order reaches the engine and is answered; the owner
		// stops waiting after 10 s.
		answer time.Duration
	}{
		{"answered", 8 * time.Second},
		{"unanswered", time.Minute},
	} {
		t.Run(test.name, func(t *testing.T) {
			withOwner(t, 1, func(f *fixture) { f.engine.engine.AdapterSlots = 1 }, func(f *fixture) {
				f.grantAndRun("a", "1")
				f.release("1")
				held := &delayedUnload{fakeEngine: f.engine, wait: test.answer}
				f.owner.Engines.(*switchableUnloads).set(held)
				f.refusalCode("b", "2")
				f.engine.restart()
				advance(2 * time.Second)
				f.Assert(f.refusalCode("a", "3"), quicktest.Equals, verdict.CodeLoadFailed)
				advance(20 * time.Second)
				if test.answer < DefaultOrderTimeout {
					f.grantAndRun("a", "4")
				} else {
					f.Assert(f.refusalCode("a", "4"), quicktest.Equals, verdict.CodeLoadFailed)
					// The engine reported after the owner stopped waiting, so a restart
					// ends the order for certain.
					f.engine.restart()
					advance(2 * time.Second)
					f.grantAndRun("a", "5")
				}
				f.owner.Engines.(*switchableUnloads).set(f.engine)
			})
		})
	}
}

// A switchableUnloads is an EngineClient whose Unload a test can replace while the
// Owner runs.
type switchableUnloads struct {
	EngineClient
	mutex   sync.Mutex
	unloads EngineClient
}

func (s *switchableUnloads) set(orders EngineClient) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unloads = orders
}

func (s *switchableUnloads) Unload(ctx context.Context, engine fleet.Engine, instance fleet.Instance, epoch fleet.Epoch) error {
	s.mutex.Lock()
	orders := s.unloads
	s.mutex.Unlock()
	return orders.Unload(ctx, engine, instance, epoch)
}

// A delayedUnload delays unload orders before they reach the engine.
type delayedUnload struct {
	*fakeEngine
	wait time.Duration
}

func (h *delayedUnload) Unload(ctx context.Context, engine fleet.Engine, instance fleet.Instance, epoch fleet.Epoch) error {
	select {
	case <-time.After(h.wait):
		return h.fakeEngine.Unload(ctx, engine, instance, epoch)
	case <-ctx.Done():
		return ctx.Err()
	}
}
