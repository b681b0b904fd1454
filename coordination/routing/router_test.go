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

// newCandidates returns engines at one distance, each with the given number of
// running requests.
func newCandidates(count, running int, distance Distance) []Candidate {
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

func requestFor(name string) *request.Request {
	return &request.Request{Adapter: fleet.AdapterReference{Name: fleet.AdapterName(name), Version: 1}}
}

// TestResidentEngineIsChosen guards against requests that are sent to an engine
// without the adapter although it is resident on another engine, which would
// cause a needless load.
func TestResidentEngineIsChosen(t *testing.T) {
	c := quicktest.New(t)
	candidates := newCandidates(9, 0, SameFailureDomain)
	candidates[5].Summary.Instances = []fleet.Instance{{Adapter: requestFor("quote").Adapter, Epoch: 2}}
	r := &Router{StallWeight: 1, BatchWeight: 1}
	r.UpdateCandidates(candidates, time.Now())
	for range 20 {
		engine, err := r.Choose(requestFor("quote"), nil)
		c.Assert(err, quicktest.IsNil)
		c.Assert(engine, quicktest.Equals, fleet.EngineName("engine-0005"))
		r.Done(engine)
	}
}

// TestHostsChooseSameEngineForMissingAdapter guards against two hosts that choose
// different engines for an adapter that is resident on none, so that it would be
// loaded twice.
func TestHostsChooseSameEngineForMissingAdapter(t *testing.T) {
	c := quicktest.New(t)
	first, second := &Router{}, &Router{}
	first.UpdateCandidates(newCandidates(9, 0, SameFailureDomain), time.Now())
	second.UpdateCandidates(newCandidates(9, 0, SameRegion), time.Now())
	for i := range 100 {
		name := fmt.Sprintf("adapter-%d", i)
		a, err := first.Choose(requestFor(name), nil)
		c.Assert(err, quicktest.IsNil)
		b, err := second.Choose(requestFor(name), nil)
		c.Assert(err, quicktest.IsNil)
		c.Assert(a, quicktest.Equals, b)
		first.Done(a)
		second.Done(b)
	}
}

// TestStaleReportsDoNotAttractAllRequests guards against a host that sends all
// requests to an engine because its last report, now out of date, said that it was
// idle. The host's own requests in flight must count as load.
func TestStaleReportsDoNotAttractAllRequests(t *testing.T) {
	c := quicktest.New(t)
	candidates := newCandidates(3, 20, SameFailureDomain)
	candidates[1].Summary.Running = 0
	for i := range candidates {
		candidates[i].Summary.Instances = []fleet.Instance{{Adapter: requestFor("hot").Adapter, Epoch: 1}}
	}
	r := &Router{StallWeight: 1, BatchWeight: 1}
	r.UpdateCandidates(candidates, time.Now())
	chosen := map[fleet.EngineName]int{}
	for range 60 {
		engine, err := r.Choose(requestFor("hot"), nil)
		c.Assert(err, quicktest.IsNil)
		chosen[engine]++
	}
	c.Assert(chosen["engine-0001"] < 40, quicktest.IsTrue, quicktest.Commentf("%v", chosen))
	c.Assert(chosen["engine-0000"] > 5, quicktest.IsTrue, quicktest.Commentf("%v", chosen))
}

// exhaustedLinkBudget is a LinkBudget with no bytes left.
type exhaustedLinkBudget struct{}

func (exhaustedLinkBudget) TryConsume(int) bool { return false }

// TestExhaustedLinkBudgetKeepsRequestsInRegion guards against requests that are
// sent to another region after the byte budget of the link is used up.
func TestExhaustedLinkBudgetKeepsRequestsInRegion(t *testing.T) {
	c := quicktest.New(t)
	candidates := newCandidates(3, 0, OtherRegion)
	candidates[2].Distance = SameRegion
	candidates[0].Summary.Instances = []fleet.Instance{{Adapter: requestFor("far").Adapter, Epoch: 1}}
	r := &Router{LinkBudget: exhaustedLinkBudget{}}
	r.UpdateCandidates(candidates, time.Now())
	engine, err := r.Choose(requestFor("far"), nil)
	c.Assert(err, quicktest.IsNil)
	c.Assert(engine, quicktest.Equals, fleet.EngineName("engine-0002"))
	_, err = r.Choose(requestFor("far"), []fleet.EngineName{"engine-0002"})
	c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
}

// BenchmarkChoose measures one Choose and Done with 1,000 engines and 8,000 resident
// adapters, for a resident adapter and for one that is not resident.
func BenchmarkChoose(b *testing.B) {
	candidates := newCandidates(1000, 4, SameFailureDomain)
	for i := range candidates {
		for j := range 8 {
			adapter := requestFor(fmt.Sprintf("adapter-%d", i*8+j)).Adapter
			candidates[i].Summary.Instances = append(candidates[i].Summary.Instances, fleet.Instance{Adapter: adapter, Epoch: 1})
		}
	}
	r := &Router{StallWeight: 1, BatchWeight: 1}
	r.UpdateCandidates(candidates, time.Now())
	for _, name := range []string{"adapter-4000", "adapter-absent"} {
		q := requestFor(name)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				engine, _ := r.Choose(q, nil)
				r.Done(engine)
			}
		})
	}
}

// TestFullEngineRefusesDeferredRequests guards against a queue of deferred requests
// that delays interactive ones: an engine at the limit for deferred requests must
// refuse them and still accept interactive requests.
func TestFullEngineRefusesDeferredRequests(t *testing.T) {
	c := quicktest.New(t)
	candidates := newCandidates(1, deferredBatchLimit*8, SameFailureDomain)
	r := &Router{}
	r.UpdateCandidates(candidates, time.Now())
	q := requestFor("draft")
	q.Kind.Urgency = configuration.UrgencyDeferred
	_, err := r.Choose(q, nil)
	failure := verdict.FromError(err)
	c.Assert(failure.Verdict, quicktest.Equals, verdict.NotRun)
	c.Assert(failure.RetryAfter, quicktest.Equals, overloadRetryDelay)
	q.Kind.Urgency = configuration.UrgencyInteractive
	_, err = r.Choose(q, nil)
	c.Assert(err, quicktest.IsNil)
}
