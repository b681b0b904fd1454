package placement

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/coordination/ownership"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

func adapter(name fleet.AdapterName) fleet.AdapterReference {
	return fleet.AdapterReference{Name: name, Version: 1}
}

// TestPriority guards against loads that starve, that come too late for their
// answers, or that ignore how many requests they serve.
func TestPriority(t *testing.T) {
	now := time.Now()
	waiting := func(urgency configuration.Urgency, requests int, age, left time.Duration) ownership.PendingLoad {
		return ownership.PendingLoad{Adapter: adapter("a"), Urgency: urgency, RequestCount: requests, FirstArrival: now.Add(-age), Deadline: now.Add(left)}
	}
	for _, test := range []struct {
		name          string
		higher, lower ownership.PendingLoad
	}{
		{"urgency", waiting(configuration.UrgencyInteractive, 1, 0, time.Minute), waiting(configuration.UrgencyDeferred, 1, 0, time.Minute)},
		{"requests", waiting(configuration.UrgencyPrompt, 3, 0, time.Minute), waiting(configuration.UrgencyPrompt, 1, 0, time.Minute)},
		{"age", waiting(configuration.UrgencyDeferred, 1, 5*time.Minute, time.Minute), waiting(configuration.UrgencyInteractive, 1, 0, 20*time.Second)},
		{"too late", waiting(configuration.UrgencyInteractive, 1, 0, 20*time.Second), waiting(configuration.UrgencyInteractive, 1, 18*time.Second, 2*time.Second)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			p := &Policy{StallWeight: 3, BatchWeight: 1}
			c.Assert(p.Priority(test.higher, now) > p.Priority(test.lower, now), quicktest.IsTrue)
		})
	}
}

// TestLeastPopularLeaves guards against evictions of popular instances.
func TestLeastPopularLeaves(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	p := &Policy{StallWeight: 1, BatchWeight: 1}
	for range 10 {
		p.RecordRequest(adapter("hot"), now)
	}
	p.RecordRequest(adapter("cold"), now)
	resident := []ownership.EvictionCandidate{
		{Instance: fleet.Instance{Adapter: adapter("hot"), Epoch: 1}, Grantable: true, LastUsed: now.Add(-time.Minute)},
		{Instance: fleet.Instance{Adapter: adapter("cold"), Epoch: 1}, Grantable: true, LastUsed: now},
	}
	next := ownership.PendingLoad{Adapter: adapter("next"), RequestCount: 1, FirstArrival: now, Deadline: now.Add(time.Minute)}
	c.Assert(p.SelectVictim(fleet.Engine{}, resident, next, now), quicktest.Equals, 1)
}
