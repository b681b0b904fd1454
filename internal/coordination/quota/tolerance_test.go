package quota

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/persimmonmux/persimmonmux/coordination/allowance"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// TestPartsStayWithinTheTolerance guards against parts of granters and hosts that together
// exceed what a window allows, whoever is in touch with whom.
func TestPartsStayWithinTheTolerance(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		quota := site.Quota{Unit: site.QuotaTokens, PerSecond: rapid.Float64Range(1, 1e7).Draw(r, "rate"), Burst: rapid.Float64Range(0, 1e7).Draw(r, "burst")}
		seconds := testTolerance.Window.Seconds()
		count := testTolerance.granterCount(quota, 6)
		p := testTolerance.partOf(quota, count)
		granted := float64(count) * (p.perWindow)
		holders, share := testTolerance.hostShare(quota, 77)
		limit := quota.PerSecond*seconds + quota.Burst
		delayed := quota.PerSecond * testTolerance.maxSendDelay(quota).Seconds()
		if allowed := limit*(1+testTolerance.OverShare) + testTolerance.Slack; granted+float64(holders)*share+delayed > allowed+1 {
			r.Fatalf("granters may grant %g, hosts %g and what is sent late is %g units, allowed are %g", granted, float64(holders)*share, delayed, allowed)
		}
	})
}

// TestNoTolerance guards against a deployment without a tolerance whose requests ask twice,
// or whose granters refuse what their buckets have.
func TestNoTolerance(t *testing.T) {
	c := quicktest.New(t)
	none := Tolerance{Window: 8 * time.Second}
	quota := site.Quota{Unit: site.QuotaTokens, PerSecond: 10_000, Burst: 10_000}
	c.Check(none.maxSendDelay(quota), quicktest.Equals, minSendDelay)
	p := none.partOf(quota, 1)
	start := time.Unix(1000, 0)
	b, u := allowance.NewEmpty(p.perSecond, p.capacity, start), newUsage(none.Window, start)
	for now := start.Add(time.Hour); now.Before(start.Add(time.Hour + time.Minute)); now = now.Add(10 * time.Millisecond) {
		for b.Take(100, now) {
			u.add(100, now)
		}
		c.Assert(u.sum(now) <= p.perWindow, quicktest.IsTrue)
	}
}

// TestGrantingZones guards against quotas whose granters stand in one region though there
// are two, and against parts that no request fits into.
func TestGrantingZones(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "b3": "b"}
	tests := []struct {
		name    string
		quota   site.Quota
		regions map[string]string
		count   int
	}{
		{name: "large", quota: site.Quota{Unit: site.QuotaTokens, PerSecond: 376_395, Burst: 376_395}, regions: regions, count: 6},
		{name: "middle", quota: site.Quota{Unit: site.QuotaTokens, PerSecond: 25_000, Burst: 25_000}, regions: regions, count: 2},
		{name: "small", quota: site.Quota{Unit: site.QuotaTokens, PerSecond: 1_000, Burst: 1_000}, regions: regions, count: 1},
		{name: "one zone", quota: site.Quota{Unit: site.QuotaTokens, PerSecond: 376_395, Burst: 376_395}, regions: map[string]string{"a1": "a"}, count: 1},
		{name: "one request a second", quota: site.Quota{Unit: site.QuotaRequests, PerSecond: 1, Burst: 0}, regions: regions, count: 1},
		{name: "huge", quota: site.Quota{Unit: site.QuotaTokens, PerSecond: math.MaxFloat64, Burst: math.MaxFloat64}, regions: regions, count: 6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			for _, name := range []site.OrganisationName{"a", "b", "c", "d", "e", "f", "g", "h"} {
				zones := testTolerance.grantingZones(name, test.quota, test.regions)
				c.Assert(zones, quicktest.HasLen, test.count)
				c.Check(testTolerance.grantingZones(name, test.quota, test.regions), quicktest.DeepEquals, zones)
				if len(zones) > 1 {
					c.Check(test.regions[zones[0]], quicktest.Not(quicktest.Equals), test.regions[zones[1]])
				}
			}
			p := testTolerance.partOf(test.quota, test.count)
			c.Check(p.capacity >= 1 && !math.IsInf(p.capacity, 0), quicktest.IsTrue)
		})
	}
}

// TestSharesOfAllHosts guards against shares that exceed their part of the tolerance when
// all hosts lose touch at once, and against a process that uses the share of its predecessor
// again.
func TestSharesOfAllHosts(t *testing.T) {
	c := quicktest.New(t)
	quota := site.Quota{Unit: site.QuotaTokens, PerSecond: 376_395, Burst: 376_395}
	view := &site.View{Hosts: make(map[string]*site.Host)}
	names := []string{}
	for i := range 77 {
		name := string(rune('A'+i/26)) + string(rune('a'+i%26))
		names = append(names, name)
		view.Hosts[name] = &site.Host{Name: name}
	}
	start := time.Unix(1000, 0)
	all := make(map[string]*shares)
	for _, name := range names {
		all[name] = &shares{self: name, tolerance: testTolerance, byOrganisation: make(map[site.OrganisationName]*share)}
		c.Check(all[name].take(view, "o", quota, 800, start), quicktest.IsFalse, quicktest.Commentf("the share of a new process is not empty"))
	}
	begin := start.Add(time.Hour)
	taken, holders := 0.0, []string{}
	for at := begin; !at.After(begin.Add(testTolerance.Window)); at = at.Add(50 * time.Millisecond) {
		for _, name := range names {
			for all[name].take(view, "o", quota, 800, at) {
				taken += 800
				if !slices.Contains(holders, name) {
					holders = append(holders, name)
				}
			}
		}
	}
	c.Check(taken > 0 && taken <= hostPart*testTolerance.excess(quota), quicktest.IsTrue, quicktest.Commentf("%d hosts took %.0f units", len(holders), taken))
	unregistered := &shares{self: "unknown", tolerance: testTolerance, byOrganisation: make(map[site.OrganisationName]*share)}
	unregistered.take(view, "o", quota, 800, start)
	c.Check(unregistered.take(view, "o", quota, 800, begin), quicktest.IsFalse)
}
