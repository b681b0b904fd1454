package policy

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// served returns the shares of answers in time among the requests of a failure
// domain that arrived in a span, and of those that found their adapter resident.
func served(samples []Sample, domain int, from, to time.Duration) (inTime, hits float64) {
	total := 0.0
	for _, x := range samples {
		if x.At < from || x.At >= to || domain >= 0 && x.FailureDomain != domain {
			continue
		}
		total++
		if x.InTime {
			inTime++
			if x.Stall == 0 {
				hits++
			}
		}
	}
	return inTime / max(total, 1), hits / max(total, 1)
}

// TestDegraded guards against a part that fails and takes more with it than it
// must: a weight store that is down or slow must leave resident adapters served,
// an engine that starts cold must fill again, and a failure domain that is cut
// off must serve what it holds. Afterwards everything must come back.
func TestDegraded(t *testing.T) {
	for _, test := range []struct {
		disturbance Disturbance
		domain      int
		// during is the least share of hits while the disturbance lasts, and
		// after the least share in time once it has ended.
		during, after float64
	}{
		{disturbance: Outage, domain: -1, during: 0.4, after: 0.8},
		{disturbance: Slow, domain: -1, during: 0.4, after: 0.8},
		{disturbance: Cold, domain: -1, during: 0.4, after: 0.8},
		{disturbance: Cut, domain: domains - 1, during: 0.12, after: 0.8},
		{disturbance: Cut, domain: 0, during: 0.35, after: 0.8},
	} {
		t.Run(string(test.disturbance), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				s := Scenario{
					Mix: "kurswerk", Exponent: 1, Engines: 9, Slots: 8, Load: 0.5, Capacity: 9, Disturbance: test.disturbance,
					Seed: 1, Warmup: time.Minute, Length: 6 * time.Minute,
				}
				simulation := &Simulation{Scenario: s, Policy: policies()[0]}
				samples, _ := simulation.Run(t.Context())
				begin, end := s.DisturbanceStart(), s.DisturbanceStart()+disturbanceLength
				_, during := served(samples, test.domain, begin, end)
				after, _ := served(samples, test.domain, end+time.Minute, s.Warmup+s.Length)
				t.Logf("domain %d: hits in time during the disturbance %.2f, in time afterwards %.2f", test.domain, during, after)
				c.Check(during >= test.during, quicktest.IsTrue, quicktest.Commentf("hits %.2f", during))
				c.Check(after >= test.after, quicktest.IsTrue, quicktest.Commentf("in time %.2f", after))
				for _, x := range samples {
					// A caller is told why: no failure is without a code that operators know.
					c.Check(x.Code != verdict.CodeInternal, quicktest.IsTrue, quicktest.Commentf("%+v", x))
				}
			})
		})
	}
}
