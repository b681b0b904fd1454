package quota

import (
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// A singleOwner is a host that owns the only zone of a site.
type singleOwner struct {
	epoch uint64
	era   table.Era
	view  *site.View
}

func (o *singleOwner) OrderEpoch(zone string) (uint64, bool) {
	return o.epoch, o.epoch > 0 && zone == "a"
}

func (o *singleOwner) OrderingZones() []string {
	if o.epoch == 0 {
		return nil
	}
	return []string{"a"}
}

func (o *singleOwner) View() *site.View { return o.view }

func (o *singleOwner) Era() table.Era { return o.era }

// setQuota publishes a view with one organisation.
func (o *singleOwner) setQuota(quota site.Quota) {
	o.view = &site.View{Desired: &site.DesiredState{Version: 1, Organisations: []site.Organisation{{Name: "o", Quota: quota}}}}
}

// newSingleGranter returns a granter for zone a that has owned it long enough for full
// buckets.
func newSingleGranter(quota site.Quota) (*Granter, *singleOwner) {
	owner := &singleOwner{epoch: 1}
	owner.setQuota(quota)
	g := &Granter{Leases: owner, Views: owner, Regions: map[string]string{"a": "x"}, Tolerance: testTolerance}
	g.Observe(time.Now())
	time.Sleep(time.Hour)
	return g, owner
}

func askGranter(g *Granter, organisation site.OrganisationName, units float64) site.QuotaAnswer {
	reply := g.Grant(site.QuotaRequest{Zone: "a", Asks: []site.QuotaAsk{{Organisation: organisation, Units: units}}})
	if len(reply.Answers) == 0 {
		return site.QuotaAnswer{}
	}
	return reply.Answers[0]
}

// drain takes all units in steps and returns how many there were.
func drain(g *Granter, step float64) float64 {
	taken := 0.0
	for askGranter(g, "o", step).Verdict == site.QuotaGranted {
		taken += step
	}
	return taken
}

// TestUnknownHistoryBeginsEmpty guards against an owner that grants again what a former
// owner, or the time before a restore of the store, has granted.
func TestUnknownHistoryBeginsEmpty(t *testing.T) {
	quota := site.Quota{Unit: site.QuotaTokens, PerSecond: 10_000, Burst: 10_000}
	changes := map[string]func(o *singleOwner){
		"new epoch": func(o *singleOwner) { o.epoch++ },
		"new era":   func(o *singleOwner) { o.era++ },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				g, owner := newSingleGranter(quota)
				c.Check(askGranter(g, "o", 1000).Verdict, quicktest.Equals, site.QuotaGranted)
				change(owner)
				c.Check(askGranter(g, "o", 1000).Verdict, quicktest.Equals, site.QuotaRefused)
				time.Sleep(100 * time.Millisecond)
				c.Check(drain(g, 100), quicktest.Equals, 1000.0)
			})
		})
	}
}

// TestOnlyOwnersGrant guards against grants without a lease, and for organisations that the
// owner does not know.
func TestOnlyOwnersGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		g, owner := newSingleGranter(site.Quota{Unit: site.QuotaTokens, PerSecond: 10_000, Burst: 10_000})
		c.Check(askGranter(g, "other", 1).Verdict, quicktest.Equals, site.QuotaUnknown)
		owner.epoch = 0
		c.Check(g.Grant(site.QuotaRequest{Zone: "a", Asks: []site.QuotaAsk{{Organisation: "o", Units: 1}}}), quicktest.DeepEquals, site.QuotaReply{})
		owner.epoch, owner.view = 1, &site.View{}
		c.Check(askGranter(g, "o", 1).Verdict, quicktest.Equals, site.QuotaUnknown)
	})
}

// TestChangedLimit guards against a lower limit that does not hold at once, and against a
// higher one that hands out units which were never there.
func TestChangedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		large := site.Quota{Unit: site.QuotaTokens, PerSecond: 100_000, Burst: 100_000}
		small := site.Quota{Unit: site.QuotaTokens, PerSecond: 1_000, Burst: 1_000}
		g, owner := newSingleGranter(large)
		c.Check(askGranter(g, "o", 1).Verdict, quicktest.Equals, site.QuotaGranted)
		owner.setQuota(small)
		lower := drain(g, 100)
		c.Check(lower <= testTolerance.burst(small), quicktest.IsTrue, quicktest.Commentf("%.0f units were left", lower))
		owner.setQuota(large)
		c.Check(drain(g, 100), quicktest.Equals, 0.0)
		owner.setQuota(site.Quota{})
		c.Check(askGranter(g, "o", 1e9).Verdict, quicktest.Equals, site.QuotaGranted)
	})
}

// TestRepeatsArePaidOff guards against second runs that come on top of the quota, and against
// a message without a sound number that empties a quota.
func TestRepeatsArePaidOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		g, _ := newSingleGranter(site.Quota{Unit: site.QuotaTokens, PerSecond: 10_000, Burst: 10_000})
		repeat := func(units float64) site.QuotaVerdict {
			ask := site.QuotaAsk{Organisation: "o", Units: units, IsRepeat: true}
			return g.Grant(site.QuotaRequest{Zone: "a", Asks: []site.QuotaAsk{ask}}).Answers[0].Verdict
		}
		drain(g, 100)
		c.Check(repeat(5000), quicktest.Equals, site.QuotaGranted)
		c.Check(repeat(math.Inf(1)), quicktest.Equals, site.QuotaRefused)
		time.Sleep(500 * time.Millisecond)
		c.Check(drain(g, 100) <= 100, quicktest.IsTrue)
		time.Sleep(100 * time.Millisecond)
		c.Check(drain(g, 100) >= 900, quicktest.IsTrue)
	})
}

// TestRaisedLimitOfNewGranter guards against a zone that begins with a full bucket when a
// raised limit makes it one of the granters, though others have granted the quota until then.
func TestRaisedLimitOfNewGranter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		small := site.Quota{Unit: site.QuotaTokens, PerSecond: 1_000, Burst: 1_000}
		large := site.Quota{Unit: site.QuotaTokens, PerSecond: 100_000, Burst: 100_000}
		regions := map[string]string{"a": "x", "b": "y"}
		// Another name of the second zone may come first for the organisation.
		for i := 0; testTolerance.grantingZones("o", small, regions)[0] == "a"; i++ {
			regions = map[string]string{"a": "x", string(rune('b' + i)): "y"}
		}
		owner := &singleOwner{epoch: 1}
		owner.setQuota(small)
		g := &Granter{Leases: owner, Views: owner, Regions: regions, Tolerance: testTolerance}
		g.Observe(time.Now())
		time.Sleep(time.Hour)
		g.Observe(time.Now())
		owner.setQuota(large)
		g.Observe(time.Now())
		c.Check(askGranter(g, "o", 100).Verdict, quicktest.Equals, site.QuotaRefused)
		time.Sleep(100 * time.Millisecond)
		c.Check(drain(g, 100), quicktest.Equals, 5000.0)
	})
}

// TestFirstLimitBeginsWithABurst guards against an organisation that is refused below its
// quota because it had no limit before.
func TestFirstLimitBeginsWithABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		g, owner := newSingleGranter(site.Quota{Unit: site.QuotaTokens})
		g.Observe(time.Now())
		owner.setQuota(site.Quota{Unit: site.QuotaTokens, PerSecond: 10_000, Burst: 10_000})
		g.Observe(time.Now())
		c.Check(askGranter(g, "o", 10_000).Verdict, quicktest.Equals, site.QuotaGranted)
	})
}

// TestReturnsRunInOneWindow guards against units of several seconds that run in one window
// because they come back late, and against units that are lost although they may run.
func TestReturnsRunInOneWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		quota := site.Quota{Unit: site.QuotaTokens, PerSecond: 10_000, Burst: 10_000}
		perWindow := testTolerance.partOf(quota, 1).perWindow
		giveBack := func(units float64, age time.Duration) {
			g, _ := newSingleGranter(quota)
			askGranter(g, "o", 1)
			time.Sleep(time.Minute)
			first := drain(g, 100)
			for range 6 {
				time.Sleep(time.Second)
				c.Check(drain(g, 100) > 0, quicktest.IsTrue)
			}
			time.Sleep(age - 6*time.Second)
			c.Check(first >= units, quicktest.IsTrue)
			before := drain(g, 100)
			g.Grant(site.QuotaRequest{Zone: "a", Returns: []site.QuotaReturn{{Organisation: "o", Units: units, Age: age}}})
			returned := drain(g, 100)
			// The units of the last six seconds and those that came back run in one window.
			c.Check(returned > 0.9*units, quicktest.Equals, age < testTolerance.Window, quicktest.Commentf("%.0f of %.0f units came back", returned, units))
			c.Check(before+6*quota.PerSecond+returned <= perWindow, quicktest.IsTrue)
		}
		giveBack(1000, 6*time.Second)
		giveBack(10_000, 6500*time.Millisecond)
		giveBack(10_000, 9*time.Second)
		g, _ := newSingleGranter(quota)
		drain(g, 100)
		returned := 0.0
		for range 100 {
			g.Grant(site.QuotaRequest{Zone: "a", Returns: []site.QuotaReturn{{Organisation: "o", Units: 1000}}})
			returned += drain(g, 100)
		}
		c.Check(returned, quicktest.Equals, 100_000.0)
	})
}

// TestUsageHoldsForEachWindow guards against units that run in some window beyond its limit,
// whenever they come back and are granted again.
func TestUsageHoldsForEachWindow(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const limit = 1000.0
		type charge struct {
			at    time.Time
			units float64
		}
		start := time.Unix(1000, 0)
		u, now := newUsage(testTolerance.Window, start), start
		var charges []charge
		for range rapid.IntRange(1, 150).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(r, "elapsed")))
			if len(charges) > 0 && rapid.Bool().Draw(r, "return") {
				i := rapid.IntRange(0, len(charges)-1).Draw(r, "charge")
				returned := charges[i]
				charges = slices.Delete(charges, i, i+1)
				u.remove(returned.units, now.Sub(returned.at), now)
				continue
			}
			if units := rapid.Float64Range(1, 500).Draw(r, "units"); u.sum(now)+units <= limit {
				u.add(units, now)
				charges = append(charges, charge{at: now, units: units})
			}
			run := 0.0
			for _, c := range charges {
				if now.Sub(c.at) <= testTolerance.Window {
					run += c.units
				}
			}
			if run > limit+1e-6 {
				r.Fatalf("%g units run in the window to %s", run, now.Sub(start))
			}
		}
	})
}

// TestUsageForgets guards against units that count for longer than the window and one slot.
func TestUsageForgets(t *testing.T) {
	c := quicktest.New(t)
	start := time.Unix(1000, 0)
	u := newUsage(testTolerance.Window, start)
	u.add(10, start)
	c.Check(u.remove(1, time.Second, start), quicktest.Equals, 0.0)
	c.Check(u.sum(start.Add(testTolerance.Window)), quicktest.Equals, 10.0)
	c.Check(u.sum(start.Add(testTolerance.Window+u.slotWidth)), quicktest.Equals, 0.0)
}

// TestAbsurdQuotas guards against quotas and requests without a defined answer.
func TestAbsurdQuotas(t *testing.T) {
	tests := []struct {
		name  string
		quota site.Quota
		units float64
		want  site.QuotaVerdict
	}{
		{name: "no limit", quota: site.Quota{Unit: site.QuotaTokens}, units: 1e12, want: site.QuotaGranted},
		{name: "no burst", quota: site.Quota{Unit: site.QuotaTokens, PerSecond: 1000}, units: 5000, want: site.QuotaGranted},
		{name: "small with a large request", quota: site.Quota{Unit: site.QuotaTokens, PerSecond: 1}, units: 5000, want: site.QuotaGranted},
		// The bucket would take two months to fill.
		{name: "tiny with a large request", quota: site.Quota{Unit: site.QuotaTokens, PerSecond: 0.001}, units: 5000, want: site.QuotaRefused},
		{name: "request beyond the tolerance", quota: site.Quota{Unit: site.QuotaTokens, PerSecond: 1, Burst: 1}, units: 1e6, want: site.QuotaRefused},
		{name: "huge", quota: site.Quota{Unit: site.QuotaTokens, PerSecond: 1e300, Burst: 1e300}, units: 1e12, want: site.QuotaGranted},
		{name: "one request a second", quota: site.Quota{Unit: site.QuotaRequests, PerSecond: 1}, units: 1, want: site.QuotaGranted},
		{name: "a request an hour", quota: site.Quota{Unit: site.QuotaRequests, PerSecond: 1.0 / 3600, Burst: 0}, units: 1, want: site.QuotaGranted},
		{name: "no units", quota: site.Quota{Unit: site.QuotaTokens, PerSecond: 1}, units: 0, want: site.QuotaGranted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				g, _ := newSingleGranter(test.quota)
				time.Sleep(time.Hour)
				answer := askGranter(g, "o", test.units)
				c.Check(answer.Verdict, quicktest.Equals, test.want)
				c.Check(answer.RetryAfter >= 0 && answer.RetryAfter <= maxRetryAfter, quicktest.IsTrue)
			})
		})
	}
}

// TestRefusedCallersComeBackApart guards against callers that all come back at the time at
// which one of them can be served.
func TestRefusedCallersComeBackApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		g, _ := newSingleGranter(site.Quota{Unit: site.QuotaTokens, PerSecond: 10_000, Burst: 10_000})
		drain(g, 100)
		var last time.Duration
		for range 20 {
			after := askGranter(g, "o", 1000).RetryAfter
			c.Check(after >= last+100*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s after %s", after, last))
			last = after
		}
		for range 100 {
			c.Check(askGranter(g, "o", 1000).RetryAfter <= maxRetryAfter, quicktest.IsTrue)
		}
	})
}

// BenchmarkGrant measures what a call with one ask costs the owner of a zone.
func BenchmarkGrant(b *testing.B) {
	owner := &singleOwner{epoch: 1}
	owner.setQuota(site.Quota{Unit: site.QuotaTokens, PerSecond: 1e12, Burst: 1e12})
	g := &Granter{Leases: owner, Views: owner, Regions: map[string]string{"a": "x"}, Tolerance: testTolerance}
	request := site.QuotaRequest{Zone: "a", Asks: []site.QuotaAsk{{Organisation: "o", Units: 2900}}}
	for b.Loop() {
		g.Grant(request)
	}
}
