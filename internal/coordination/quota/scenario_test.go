package quota

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	faultTime    = 8 * time.Second
	scenarioTime = 26 * time.Second
	// takeoverTime is the time from the end of an owner to the first order of the next one.
	takeoverTime = 15_500 * time.Millisecond
	// configDelay is the time in which a new desired state is in force on all hosts.
	configDelay = 4 * time.Second
)

// seed is the seed of the callers and of their shares of the hosts.
var seed = flag.Uint64("seed", 7, "seed of the callers")

// testOrganisations returns the organisations of the tests: four large ones, as many of
// middle size, small ones and one with a quota of requests.
func testOrganisations() []site.Organisation {
	var list []site.Organisation
	for i, perSecond := range []float64{376_395, 376_395, 500_000, 420_000, 240_000, 200_000, 180_000, 150_000, 120_000, 90_000, 70_000, 50_000, 40_000, 25_000, 12_000, 6_000} {
		list = append(list, site.Organisation{
			Name:  site.OrganisationName(fmt.Sprintf("org-%02d", i)),
			Quota: site.Quota{Unit: site.QuotaTokens, PerSecond: perSecond, Burst: perSecond},
		})
	}
	return append(list, site.Organisation{Name: "org-requests", Quota: site.Quota{Unit: site.QuotaRequests, PerSecond: 20, Burst: 20}})
}

// A scenario is a fault under the usual demand of all organisations.
type scenario struct {
	name string
	// share is the demand of the first organisation as a part of its limit, the usual one
	// if it is nil.
	share func(time.Duration) float64
	// isForAll says that all organisations have this demand.
	isForAll bool
	// patience is how long callers of refused requests come back.
	patience time.Duration
	fault    func(s *testSite, organisations []site.Organisation)
	// lowered is the limit of the first organisation after the fault; 0 if it is unchanged.
	lowered float64
}

// TestQuotasUnderFaults guards against organisations that run more than their quota allows
// over all hosts, and against requests that are refused although the quota has room. It
// prints both errors.
func TestQuotasUnderFaults(t *testing.T) {
	for _, test := range scenarios() {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runScenario(t, test) })
		})
	}
}

func runScenario(t *testing.T, test scenario) {
	c := quicktest.New(t)
	organisations := testOrganisations()
	s := newTestSite(t, organisations)
	s.patience = test.patience
	usual := func(time.Duration) float64 { return usualShare }
	for i, o := range organisations {
		share := usual
		if (i == 0 || test.isForAll) && test.share != nil {
			share = test.share
		}
		s.offer(o, scenarioTime, *seed<<8+uint64(i), share)
	}
	if test.fault != nil {
		test.fault(s, organisations)
	}
	s.at(scenarioTime+15*time.Second, func() {
		for _, h := range s.hosts {
			h.process.Load().cancel()
		}
	})
	s.close()
	var allLost, allOwed, worst float64
	for i, o := range organisations {
		m, quota, after := s.meters[o.Name], o.Quota, time.Duration(0)
		if test.lowered > 0 && i == 0 {
			quota.PerSecond, quota.Burst = test.lowered, test.lowered
			after = faultTime + configDelay
		}
		units, begin := m.worstWindow(testTolerance.Window, after)
		limit := quota.PerSecond*testTolerance.Window.Seconds() + quota.Burst
		allowed := limit * (1 + testTolerance.OverShare)
		if quota.Unit == site.QuotaTokens {
			allowed += testTolerance.Slack
		}
		c.Check(units <= allowed, quicktest.IsTrue, quicktest.Commentf("%s used %.0f units in the window from %s, allowed are %.0f", o.Name, units, begin, allowed))
		lost, owed := m.lost()
		worst, allLost, allOwed = max(worst, units/allowed), allLost+lost, allOwed+owed
		if i == 0 || lost > 0.02*owed {
			t.Logf("%s: worst window %+.2f%% of the limit (%.0f units over), granted %.0f, refused %.0f, refused below the limit %.2f%% of the owed",
				o.Name, 100*(units/limit-1), max(units-limit, 0), m.granted, m.refused, 100*lost/owed)
		}
	}
	t.Logf("seed %d, all: worst window %.3f of the allowed, refused below the limit %.2f%% of the owed, %d tries, %d calls", *seed, worst, 100*allLost/allOwed, s.tries.Load(), s.calls.Load())
}

// scenarios returns the faults of TestQuotasUnderFaults.
func scenarios() []scenario {
	burst := func(at time.Duration) float64 {
		if at >= faultTime && at < faultTime+6*time.Second {
			return 7 * usualShare
		}
		return usualShare
	}
	between := func(s *testSite, until time.Duration, isCut func(a, b *testHost) bool) {
		s.at(faultTime, func() { s.setCut(isCut) })
		s.at(until, func() { s.setCut(nil) })
	}
	return []scenario{
		{name: "steady"},
		{name: "near-the-limit", isForAll: true, share: func(time.Duration) float64 { return 0.95 }},
		{name: "seven-times-the-usual", share: burst},
		{name: "seven-times-for-long", share: func(time.Duration) float64 { return 7 * usualShare }},
		{name: "patient-callers", patience: 10 * time.Second, share: burst},
		{name: "engines-refuse-and-recover", share: func(time.Duration) float64 { return 7 * usualShare }, fault: func(s *testSite, _ []site.Organisation) {
			s.at(faultTime, func() { s.enginesRefuse.Store(true) })
			s.at(faultTime+6*time.Second, func() { s.enginesRefuse.Store(false) })
		}},
		{name: "engines-stall-and-recover", share: func(time.Duration) float64 { return 7 * usualShare }, fault: func(s *testSite, _ []site.Organisation) {
			s.at(faultTime, func() { s.stallEnd.Store(int64(faultTime + 3*time.Second)) })
		}},
		{name: "hosts-die", fault: func(s *testSite, _ []site.Organisation) {
			s.at(faultTime, func() {
				for _, h := range s.hosts[20:45] {
					h.kill()
				}
			})
		}},
		{name: "owner-dies", fault: ownerDies},
		{name: "owner-dies-in-a-burst", share: burst, fault: ownerDies},
		{name: "owner-frozen", fault: func(s *testSite, _ []site.Organisation) {
			s.at(faultTime, func() { s.hosts[0].isFrozen.Store(true) })
			s.at(faultTime+5*time.Second, func() { s.hosts[0].isFrozen.Store(false) })
		}},
		{name: "zone-cut-off", fault: func(s *testSite, _ []site.Organisation) {
			between(s, faultTime+10*time.Second, func(a, b *testHost) bool { return a.zone != b.zone && (a.zone == "a1" || b.zone == "a1") })
		}},
		{name: "regions-cut", share: burst, fault: func(s *testSite, _ []site.Organisation) {
			between(s, faultTime+10*time.Second, func(a, b *testHost) bool { return s.regions[a.zone] != s.regions[b.zone] })
		}},
		{name: "all-links-cut", share: burst, fault: func(s *testSite, _ []site.Organisation) {
			between(s, faultTime+10*time.Second, func(a, b *testHost) bool { return true })
		}},
		{name: "store-restored", share: func(time.Duration) float64 { return 2 }, fault: func(s *testSite, _ []site.Organisation) {
			s.at(faultTime, func() { s.era.Add(1) })
		}},
		{name: "all-restart", share: burst, fault: func(s *testSite, organisations []site.Organisation) {
			s.at(faultTime+2*time.Second, func() {
				for i, h := range s.hosts {
					h.kill()
					s.at(faultTime+2500*time.Millisecond, h.run)
					if i < len(s.zones) {
						s.moveZone(s.zones[i], h, time.Now())
					}
				}
				s.publish(1, organisations, s.hosts...)
			})
		}},
		{name: "lowered-limit", lowered: 0.4 * 376_395, fault: func(s *testSite, organisations []site.Organisation) {
			changed := append([]site.Organisation(nil), organisations...)
			changed[0].Quota.PerSecond, changed[0].Quota.Burst = 0.4*376_395, 0.4*376_395
			s.at(faultTime, func() {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				s.meters[changed[0].Name].single.SetLimit(0.4*376_395, 0.4*376_395, time.Now())
			})
			for i, h := range s.hosts {
				s.at(faultTime+configDelay*time.Duration(i)/testHosts, func() { s.publish(2, changed, h) })
			}
		}},
	}
}

// ownerDies kills the owner of the first zone; another host takes it over.
func ownerDies(s *testSite, organisations []site.Organisation) {
	s.at(faultTime, s.hosts[0].kill)
	s.at(faultTime+takeoverTime, func() {
		s.moveZone(s.zones[0], s.hosts[len(s.zones)], time.Now())
		s.publish(1, organisations, s.hosts...)
	})
}

func (s *testSite) setCut(isCut func(a, b *testHost) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isCut = isCut
}
