package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/persimmonmux/persimmonmux/bench/workload"
	"github.com/persimmonmux/persimmonmux/coordination/placement"
	"github.com/persimmonmux/persimmonmux/coordination/routing"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
)

// BenchmarkDecision measures the time and allocations of one routing decision with
// 1,000 engines and 30,000 adapters: choosing an engine and counting the request
// towards the popularity of its adapter, for resident and for absent adapters.
func BenchmarkDecision(b *testing.B) {
	const engineCount, adapterCount, slots = 1000, 30000, 8
	candidates := make([]routing.Candidate, engineCount)
	for i := range candidates {
		name := fleet.EngineName(fmt.Sprintf("engine-%04d", i))
		candidates[i] = routing.Candidate{
			Engine:  fleet.Engine{Name: name, BatchSize: batchSize, AdapterSlots: slots},
			Summary: fleet.EngineSummary{Engine: name, Running: 4},
		}
		for j := range slots {
			candidates[i].Summary.Instances = append(candidates[i].Summary.Instances,
				fleet.Instance{Adapter: workload.Adapter(i*slots + j), Epoch: 1})
		}
	}
	router := &routing.Router{StallWeight: 3, BatchWeight: 1}
	router.UpdateCandidates(candidates, time.Now())
	policy := &placement.Policy{StallWeight: 3, BatchWeight: 1}
	for _, test := range []struct {
		name        string
		first, last int
	}{
		{"resident", 0, engineCount * slots},
		{"absent", engineCount * slots, adapterCount},
	} {
		requests := make([]request.Request, test.last-test.first)
		for i := range requests {
			requests[i].Adapter = workload.Adapter(test.first + i)
			requests[i].Kind.Urgency = configuration.UrgencyInteractive
		}
		b.Run(test.name, func(b *testing.B) {
			b.ReportAllocs()
			now := time.Now()
			for i := 0; b.Loop(); i++ {
				q := &requests[i%len(requests)]
				engine, err := router.Choose(q, nil)
				if err != nil {
					b.Fatal(err)
				}
				policy.RecordRequest(q.Adapter, now)
				router.Done(engine)
			}
		})
	}
}
