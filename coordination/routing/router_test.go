package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

func engines(count, running int, distance Distance) []Candidate {
	candidates := make([]Candidate, count)
	for i := range candidates {
		name := fleet.EngineName(fmt.Sprintf("engine-%04d", i))
		candidates[i] = Candidate{
			Engine:   fleet.Engine{Name: name, BatchSize: 8, AdapterSlots: 8},
			Summary:  fleet.EngineSummary{Engine: name, Running: running},
			Distance: distance,
		}
	}
	return candidates
}

func ask(name string) *request.Request {
	return &request.Request{Adapter: fleet.AdapterReference{Name: fleet.AdapterName(name), Version: 1}}
}

// TestResidentEngineIsChosen guards against loads of adapters that are resident elsewhere.
func TestResidentEngineIsChosen(t *testing.T) {
	c := quicktest.New(t)
	candidates := engines(9, 0, SameFailureDomain)
	candidates[5].Summary.Instances = []fleet.Instance{{Adapter: ask("quote").Adapter, Epoch: 2}}
	r := &Router{StallWeight: 1, BatchWeight: 1}
	r.UpdateCandidates(candidates, time.Now())
	for range 20 {
		engine, err := r.Choose(ask("quote"), nil)
		c.Assert(err, quicktest.IsNil)
		c.Assert(engine, quicktest.Equals, fleet.EngineName("engine-0005"))
		r.Done(engine)
	}
}

// TestHostsAgreeOnMisses guards against two hosts that load one adapter on two engines.
func TestHostsAgreeOnMisses(t *testing.T) {
	c := quicktest.New(t)
	first, second := &Router{}, &Router{}
	first.UpdateCandidates(engines(9, 0, SameFailureDomain), time.Now())
	second.UpdateCandidates(engines(9, 0, SameRegion), time.Now())
	for i := range 100 {
		name := fmt.Sprintf("adapter-%d", i)
		a, err := first.Choose(ask(name), nil)
		c.Assert(err, quicktest.IsNil)
		b, err := second.Choose(ask(name), nil)
		c.Assert(err, quicktest.IsNil)
		c.Assert(a, quicktest.Equals, b)
		first.Done(a)
		second.Done(b)
	}
}

// TestOldReportsDoNotHerd guards against hosts that all follow one late report:
// own requests in flight must count against an engine that was reported idle.
func TestOldReportsDoNotHerd(t *testing.T) {
	c := quicktest.New(t)
	candidates := engines(3, 20, SameFailureDomain)
	candidates[1].Summary.Running = 0
	for i := range candidates {
		candidates[i].Summary.Instances = []fleet.Instance{{Adapter: ask("hot").Adapter, Epoch: 1}}
	}
	r := &Router{StallWeight: 1, BatchWeight: 1}
	r.UpdateCandidates(candidates, time.Now())
	chosen := map[fleet.EngineName]int{}
	for range 60 {
		engine, err := r.Choose(ask("hot"), nil)
		c.Assert(err, quicktest.IsNil)
		chosen[engine]++
	}
	c.Assert(chosen["engine-0001"] < 40, quicktest.IsTrue, quicktest.Commentf("%v", chosen))
	c.Assert(chosen["engine-0000"] > 5, quicktest.IsTrue, quicktest.Commentf("%v", chosen))
}

type spent struct{}

func (spent) TryConsume(int) bool { return false }

// TestSpentLinkBudgetKeepsRequestsNear guards against requests that cross the
// link between regions after its byte budget is spent.
func TestSpentLinkBudgetKeepsRequestsNear(t *testing.T) {
	c := quicktest.New(t)
	candidates := engines(3, 0, OtherRegion)
	candidates[2].Distance = SameRegion
	candidates[0].Summary.Instances = []fleet.Instance{{Adapter: ask("far").Adapter, Epoch: 1}}
	r := &Router{LinkBudget: spent{}}
	r.UpdateCandidates(candidates, time.Now())
	engine, err := r.Choose(ask("far"), nil)
	c.Assert(err, quicktest.IsNil)
	c.Assert(engine, quicktest.Equals, fleet.EngineName("engine-0002"))
	_, err = r.Choose(ask("far"), []fleet.EngineName{"engine-0002"})
	c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
}

// BenchmarkChoose measures a decision with 1,000 engines and 8,000 resident adapters.
func BenchmarkChoose(b *testing.B) {
	candidates := engines(1000, 4, SameFailureDomain)
	for i := range candidates {
		for j := range 8 {
			adapter := ask(fmt.Sprintf("adapter-%d", i*8+j)).Adapter
			candidates[i].Summary.Instances = append(candidates[i].Summary.Instances, fleet.Instance{Adapter: adapter, Epoch: 1})
		}
	}
	r := &Router{StallWeight: 1, BatchWeight: 1}
	r.UpdateCandidates(candidates, time.Now())
	for _, name := range []string{"adapter-4000", "adapter-absent"} {
		q := ask(name)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				engine, _ := r.Choose(q, nil)
				r.Done(engine)
			}
		})
	}
}

// TestDeferredWorkLeavesRoom guards against queues of work that may wait before
// interactive requests: an overfull engine takes interactive requests only.
func TestDeferredWorkLeavesRoom(t *testing.T) {
	c := quicktest.New(t)
	candidates := engines(1, deferredBatches*8, SameFailureDomain)
	r := &Router{}
	r.UpdateCandidates(candidates, time.Now())
	q := ask("draft")
	q.Kind.Urgency = configuration.UrgencyDeferred
	_, err := r.Choose(q, nil)
	failure := verdict.FromError(err)
	c.Assert(failure.Verdict, quicktest.Equals, verdict.NotRun)
	c.Assert(failure.RetryAfter, quicktest.Equals, overloadPause)
	q.Kind.Urgency = configuration.UrgencyInteractive
	_, err = r.Choose(q, nil)
	c.Assert(err, quicktest.IsNil)
}
