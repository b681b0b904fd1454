package ownership

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// TestTakeover guards against a new owner that grants instances that the previous
// owner may still unload, or that evicts instances that the previous owner may
// still grant. It also bounds the time until such instances are evicted.
func TestTakeover(t *testing.T) {
	held := []fleet.Grant{{
		Engine: "e", EngineStart: 1, Instance: fleet.Instance{Adapter: adapterReference("a"), Epoch: 1},
		Epoch: 1, RunID: "old", Holder: "h", Duration: 90 * time.Second,
	}}
	for _, test := range []struct {
		name     string
		mode     fleet.FencingMode
		released bool
		holdings Holdings
		// granted is the instance that a request for adapter a is granted.
		granted string
		// earliest and latest bound the time until an instance of the previous owner
		// is evicted.
		earliest, latest time.Duration
	}{
		{"previous owner ended, all answered", fleet.FencingIgnored, false, Holdings{Complete: true, PreviousHolderEnded: true}, "a@1#2", 0, 10 * time.Second},
		{"previous owner released, all answered", fleet.FencingIgnored, true, Holdings{Complete: true}, "a@1#2", 0, 10 * time.Second},
		{"previous owner ended, not all answered", fleet.FencingIgnored, false, Holdings{PreviousHolderEnded: true}, "a@1#2", 110 * time.Second, 130 * time.Second},
		{"previous owner ended, one grant", fleet.FencingIgnored, false, Holdings{Complete: true, PreviousHolderEnded: true, Grants: held}, "a@1#2", 0, 10 * time.Second},
		{"previous owner may be alive", fleet.FencingIgnored, false, Holdings{Complete: true}, "a@1#2", 16 * time.Minute, 18 * time.Minute},
		{"fenced, previous owner may be alive", fleet.FencingEnforced, false, Holdings{Complete: true}, "a@1#1", 16 * time.Minute, 18 * time.Minute},
	} {
		t.Run(test.name, func(t *testing.T) {
			withOwner(t, 2, func(f *fixture) {
				f.engine.engine.Fencing = test.mode
				f.engine.engine.AdapterSlots = 3
				f.engine.instances = map[string]bool{"a@1#1": true, "b@1#1": true}
				f.holders.holdings = test.holdings
				f.owner.PreviousHolder.Released = test.released
				if test.holdings.Grants != nil {
					f.engine.running["old"] = runningRequest{instance: "a@1#1", grantEnd: time.Now().Add(90 * time.Second)}
				}
			}, func(f *fixture) {
				g := f.grantAndRun("a", "1")
				f.Assert(g.Instance.String(), quicktest.Equals, test.granted)
				if test.mode == fleet.FencingEnforced {
					f.grantAndRun("c", "c")
				}
				began := time.Now()
				for i := 0; ; i++ {
					if _, err := f.requestGrant("d", fleet.RequestID("d")); err == nil {
						break
					}
					// The first grant is kept valid, as a long request would.
					f.release("1")
					f.grantAndRun("a", "1")
					if test.mode == fleet.FencingEnforced {
						f.release("c")
						f.grantAndRun("c", "c")
					}
					f.Assert(time.Since(began) < test.latest, quicktest.IsTrue)
				}
				f.Assert(time.Since(began) >= test.earliest, quicktest.IsTrue, quicktest.Commentf("%v", time.Since(began)))
				f.Assert(f.engine.hasInstance("a@1#1") && f.engine.hasInstance("b@1#1"), quicktest.IsFalse)
				if test.holdings.Grants != nil {
					f.Assert(f.engine.hasInstance("a@1#1"), quicktest.IsTrue)
				}
			})
		})
	}
}

// TestHoldingsBeforePreviousOwnerEndedAreIncomplete guards against the eviction of an
// instance under a grant that the previous owner issued after the holders had been
// queried but before it ended.
func TestHoldingsBeforePreviousOwnerEndedAreIncomplete(t *testing.T) {
	withOwner(t, 2, func(f *fixture) {
		f.engine.engine.AdapterSlots = 1
		f.engine.instances = map[string]bool{"a@1#1": true}
		f.holders.holdings = Holdings{Complete: true}
	}, func(f *fixture) {
		advance(time.Minute)
		f.holders.mutex.Lock()
		f.holders.holdings = Holdings{PreviousHolderEnded: true}
		f.holders.mutex.Unlock()
		known := time.Now()
		for f.refusalCode("b", "1") == verdict.CodeNoGrant && time.Since(known) < DefaultGrantLimit {
			f.Assert(f.engine.hasInstance("a@1#1"), quicktest.IsTrue)
			// The refusal may come at once, so virtual time has to advance here.
			advance(time.Second)
		}
		advance(10 * time.Second)
		f.grantAndRun("b", "2")
	})
}
