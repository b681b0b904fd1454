package ownership

import (
	"context"
	"errors"
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
