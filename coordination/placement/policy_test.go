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

// TestPriority guards against an order of loads that ignores urgency or the
// number of requests served, that lets a load of low urgency starve, or that
// prefers a load whose answer would miss its deadline.
func TestPriority(t *testing.T) {
	now := time.Now()
	pendingLoad := func(urgency configuration.Urgency, requests int, waited, untilDeadline time.Duration) ownership.PendingLoad {
		return ownership.PendingLoad{Adapter: adapter("a"), Urgency: urgency, RequestCount: requests, FirstArrival: now.Add(-waited), Deadline: now.Add(untilDeadline)}
	}
	for _, test := range []struct {
		name          string
		higher, lower ownership.PendingLoad
	}{
		{"urgency", pendingLoad(configuration.UrgencyInteractive, 1, 0, time.Minute), pendingLoad(configuration.UrgencyDeferred, 1, 0, time.Minute)},
		{"request count", pendingLoad(configuration.UrgencyPrompt, 3, 0, time.Minute), pendingLoad(configuration.UrgencyPrompt, 1, 0, time.Minute)},
		{"waiting time", pendingLoad(configuration.UrgencyDeferred, 1, 5*time.Minute, time.Minute), pendingLoad(configuration.UrgencyInteractive, 1, 0, 20*time.Second)},
		{"missed deadline", pendingLoad(configuration.UrgencyInteractive, 1, 0, 20*time.Second), pendingLoad(configuration.UrgencyInteractive, 1, 18*time.Second, 2*time.Second)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			p := &Policy{StallWeight: 3, BatchWeight: 1}
			c.Assert(p.Priority(test.higher, now) > p.Priority(test.lower, now), quicktest.IsTrue)
		})
	}
}

// TestSelectVictimEvictsLeastPopular guards against the eviction of a popular
// instance because it was used less recently than an unpopular one.
func TestSelectVictimEvictsLeastPopular(t *testing.T) {
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
