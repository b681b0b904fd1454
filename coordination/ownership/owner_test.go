package ownership

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A fixture is an Owner with a fake engine, lease and holders.
type fixture struct {
	*quicktest.C
	engine  *fakeEngine
	lease   *fakeLease
	holders *fakeHolders
	owner   *Owner
}

// withOwner runs a test in virtual time with an Owner that has seen its first
// report. prepare may change the engine and the Owner before Run.
func withOwner(t *testing.T, epoch fleet.Epoch, prepare func(f *fixture), test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{
			C: quicktest.New(t), engine: newFakeEngine("e", fleet.FencingIgnored, 2),
			lease: &fakeLease{epoch: epoch, valid: true}, holders: &fakeHolders{},
		}
		f.owner = &Owner{
			Host: "o", Epoch: epoch, Engines: &switchableUnloads{EngineClient: f.engine, unloads: f.engine}, Leases: f.lease, Budget: unlimitedBudget{},
			Placement: UrgencyLRUPolicy{}, HoldingsCollector: f.holders,
		}
		if epoch > 1 {
			f.owner.PreviousHolder = PreviousHolder{Host: "previous", Start: 1}
		}
		if prepare != nil {
			prepare(f)
		}
		f.owner.Engine = f.engine.engine
		go f.owner.Run(context.Background())
		defer f.owner.Close()
		advance(2 * time.Second)
		test(f)
		f.engine.withLock(func() { f.Check(f.engine.violations, quicktest.HasLen, 0) })
	})
}

// advance lets virtual time pass and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// requestGrant requests a grant from the Owner.
func (f *fixture) requestGrant(name fleet.AdapterName, request fleet.RequestID) (fleet.Grant, error) {
	return f.owner.AcquireGrant(context.Background(), newGrantRequest(name, request))
}

// grantAndRun acquires a grant and runs its request on the engine.
func (f *fixture) grantAndRun(name fleet.AdapterName, request fleet.RequestID) fleet.Grant {
	sent := time.Now()
	g, err := f.requestGrant(name, request)
	f.Assert(err, quicktest.IsNil)
	f.Assert(f.engine.run(g, sent), quicktest.IsTrue)
	return g
}

// refusalCode requests a grant, checks that it is refused with verdict NotRun, and
// returns the code.
func (f *fixture) refusalCode(name fleet.AdapterName, request fleet.RequestID) verdict.Code {
	_, err := f.requestGrant(name, request)
	var refusal *verdict.Error
	f.Assert(errors.As(err, &refusal), quicktest.IsTrue, quicktest.Commentf("%v", err))
	f.Assert(refusal.Verdict, quicktest.Equals, verdict.NotRun)
	return refusal.Code
}

// release ends a request on the engine and releases its grant.
func (f *fixture) release(request fleet.RequestID) {
	f.engine.finish(request)
	f.owner.Release([]fleet.RequestID{request})
}

// TestGrantedInstanceIsNotEvicted guards against the eviction of an instance under a
// valid grant, when all slots are taken and another adapter is requested.
func TestGrantedInstanceIsNotEvicted(t *testing.T) {
	withOwner(t, 1, nil, func(f *fixture) {
		f.grantAndRun("a", "1")
		f.grantAndRun("b", "2")
		f.Assert(f.refusalCode("c", "3"), quicktest.Equals, verdict.CodeNoGrant)
		f.release("1")
		g := f.grantAndRun("c", "4")
		f.Assert(g.Instance.String(), quicktest.Equals, "c@1#1")
		f.Assert(f.engine.hasInstance("a@1#1"), quicktest.IsFalse)
		f.Assert(f.engine.hasInstance("b@1#1"), quicktest.IsTrue)
	})
}

// TestEndedGrantIsCanceledFirst guards against the eviction of an instance whose grant
// ended without release while its request still runs on the engine.
func TestEndedGrantIsCanceledFirst(t *testing.T) {
	withOwner(t, 1, func(f *fixture) { f.engine.engine.AdapterSlots = 1 }, func(f *fixture) {
		f.grantAndRun("a", "1")
		advance(32 * time.Second)
		f.grantAndRun("b", "2")
		f.Assert(f.engine.cancels, quicktest.Equals, 1)
		f.Assert(f.engine.overrunCount, quicktest.Equals, 0)
	})
}

// TestLateReleaseDoesNotEndALaterGrant guards against an instance that loses the
// protection of a grant, because the late release of an earlier grant of the same
// request ended the later one.
func TestLateReleaseDoesNotEndALaterGrant(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(f *fixture)
	}{
		{"second grant while the first is in force", func(*fixture) {}},
		{"first grant canceled at its end", func(*fixture) { advance(32 * time.Second) }},
		{"engine restarted", func(f *fixture) {
			f.engine.restart()
			advance(2 * time.Second)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			withOwner(t, 1, func(f *fixture) { f.engine.engine.AdapterSlots = 1 }, func(f *fixture) {
				f.grantAndRun("a", "1")
				test.end(f)
				f.grantAndRun("a", "1")
				f.owner.Release([]fleet.RequestID{"1"})
				f.Assert(f.refusalCode("b", "2"), quicktest.Equals, verdict.CodeNoGrant)
				f.release("1")
				f.grantAndRun("b", "3")
			})
		})
	}
}

// TestRequestsShareALoad guards against a load for each request that waits for the
// same adapter.
func TestRequestsShareALoad(t *testing.T) {
	withOwner(t, 1, func(f *fixture) { f.engine.faults.delay = time.Second }, func(f *fixture) {
		results := make(chan error, 20)
		for i := range 20 {
			go func() {
				g, err := f.requestGrant("a", fleet.RequestID(rune('a'+i)))
				f.Check(g.LoadStall >= time.Second, quicktest.IsTrue)
				results <- err
			}()
		}
		for range 20 {
			f.Assert(<-results, quicktest.IsNil)
		}
		f.Assert(f.engine.loads, quicktest.Equals, 1)
	})
}

// TestFailedLoadDoesNotBlockOthers guards against an adapter whose loads fail or hang
// and that thereby stops the loads of other adapters, and against loads of the
// failing adapter without delay between them.
func TestFailedLoadDoesNotBlockOthers(t *testing.T) {
	for _, test := range []struct {
		name       string
		makeFaulty func(f *fixture)
		code       verdict.Code
	}{
		{"fails", func(f *fixture) { f.engine.failing["bad"] = true }, verdict.CodeLoadFailed},
		{"hangs", func(f *fixture) { f.engine.hanging["bad"] = true }, verdict.CodeNoGrant},
	} {
		t.Run(test.name, func(t *testing.T) {
			withOwner(t, 1, test.makeFaulty, func(f *fixture) {
				f.Assert(f.refusalCode("bad", "1"), quicktest.Equals, test.code)
				f.grantAndRun("good", "2")
				advance(10 * time.Second)
				for i := range 100 {
					f.refusalCode("bad", fleet.RequestID(rune('a'+i)))
					advance(10 * time.Millisecond)
				}
				f.Assert(f.engine.loads < 10, quicktest.IsTrue)
			})
		})
	}
}

// TestGrantRequestEnds guards against grant requests that wait without limit, and
// against a grant for a request whose caller has stopped waiting. It covers a
// canceled context, a full queue, MaxWait and the end of the Owner.
func TestGrantRequestEnds(t *testing.T) {
	withOwner(t, 1, func(f *fixture) {
		f.engine.faults.delay = 8 * time.Second
		f.owner.Settings.QueueLimit = 1
	}, func(f *fixture) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := f.owner.AcquireGrant(ctx, newGrantRequest("a", "1"))
		f.Assert(err, quicktest.ErrorIs, context.DeadlineExceeded)
		waiting := make(chan verdict.Code, 1)
		began := time.Now()
		go func() { waiting <- f.refusalCode("a", "2") }()
		synctest.Wait()
		f.Assert(f.refusalCode("b", "3"), quicktest.Equals, verdict.CodeOverloaded)
		f.Assert(<-waiting, quicktest.Equals, verdict.CodeNoGrant)
		f.Assert(time.Since(began), quicktest.Equals, 5*time.Second)
		advance(10 * time.Second)
		f.Assert(f.owner.pins, quicktest.HasLen, 0)
		closed := make(chan verdict.Code, 1)
		go func() { closed <- f.refusalCode("c", "4") }()
		synctest.Wait()
		f.owner.Close()
		f.Assert(<-closed, quicktest.Equals, verdict.CodeStopping)
	})
}

// TestIsolatedOwner guards against loads after the lease expired, and against grants
// for longer than IsolatedServiceLimit, after which the next owner may evict.
func TestIsolatedOwner(t *testing.T) {
	withOwner(t, 1, nil, func(f *fixture) {
		f.grantAndRun("a", "1")
		f.release("1")
		f.lease.setValid(false)
		expired := time.Now()
		for time.Since(expired) < DefaultIsolatedServiceLimit-time.Minute {
			f.grantAndRun("a", "2")
			f.release("2")
			f.Assert(f.refusalCode("b", "3"), quicktest.Equals, verdict.CodeIsolated)
			advance(30 * time.Second)
		}
		advance(time.Minute)
		f.Assert(f.refusalCode("a", "4"), quicktest.Equals, verdict.CodeIsolated)
		f.Assert(f.engine.loads, quicktest.Equals, 1)
		f.lease.setValid(true)
		f.grantAndRun("b", "5")
	})
}

// TestEngineRestartVoidsGrants guards against grants on instances that were lost when
// the engine restarted.
func TestEngineRestartVoidsGrants(t *testing.T) {
	withOwner(t, 1, nil, func(f *fixture) {
		f.grantAndRun("a", "1")
		f.engine.restart()
		advance(2 * time.Second)
		f.Assert(f.owner.Summary().Instances, quicktest.HasLen, 0)
		g := f.grantAndRun("a", "2")
		f.Assert(g.EngineStart, quicktest.Equals, fleet.StartNumber(2))
		f.Assert(f.engine.loads, quicktest.Equals, 2)
	})
}

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

// TestUrgencyLRUPolicy guards against loads in an order other than by urgency,
// deadline and number of requests, and against evictions other than of instances that
// cannot be granted first and then of the least recently used one.
func TestUrgencyLRUPolicy(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name    string
		waiting []PendingLoad
		want    int
	}{
		{"nothing waits", nil, -1},
		{"urgency", []PendingLoad{{Urgency: "deferred", RequestCount: 9}, {Urgency: "interactive", Deadline: now}}, 1},
		{"unknown urgency last", []PendingLoad{{Urgency: "x"}, {Urgency: "deferred", Deadline: now}}, 1},
		{"deadline", []PendingLoad{{Deadline: now}, {Deadline: now.Add(-1)}}, 1},
		{"number of requests", []PendingLoad{{RequestCount: 1}, {RequestCount: 2}}, 1},
	} {
		c.Run(test.name, func(c *quicktest.C) {
			c.Assert(UrgencyLRUPolicy{}.SelectLoad(fleet.Engine{}, test.waiting, now), quicktest.Equals, test.want)
		})
	}
	residents := []EvictionCandidate{{LastUsed: now, Grantable: true}, {LastUsed: now.Add(-1), Grantable: true}, {LastUsed: now.Add(1)}}
	c.Assert(UrgencyLRUPolicy{}.SelectVictim(fleet.Engine{}, residents, PendingLoad{}, now), quicktest.Equals, 2)
	c.Assert(UrgencyLRUPolicy{}.SelectVictim(fleet.Engine{}, residents[:2], PendingLoad{}, now), quicktest.Equals, 1)
}

// A slowBudget permits each load after a wait that ignores the context.
type slowBudget struct {
	wait time.Duration
}

func (b slowBudget) Acquire(context.Context, fleet.EngineName, fleet.AdapterReference, configuration.Urgency) error {
	time.Sleep(b.wait)
	return nil
}

// TestNoOrderAfterLeaseExpired guards against a load order that is sent after the
// lease expired, because the load waited for the budget meanwhile.
func TestNoOrderAfterLeaseExpired(t *testing.T) {
	withOwner(t, 1, func(f *fixture) { f.owner.Budget = slowBudget{wait: 2 * time.Second} }, func(f *fixture) {
		go f.requestGrant("a", "1")
		advance(time.Second)
		f.lease.setValid(false)
		advance(10 * time.Second)
		f.engine.withLock(func() { f.Assert(f.engine.orderTimes, quicktest.HasLen, 0) })
	})
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
