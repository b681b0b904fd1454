package policy

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// servedShares returns two shares of the requests that arrived in a failure domain
// between two times: inTime is the share answered by the deadline, and hits the share
// answered by the deadline without a stall. A negative domain means all domains.
func servedShares(samples []Sample, domain int, from, to time.Duration) (inTime, hits float64) {
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

// TestDegraded guards against a partial failure that spreads. While the weight store
// fails or is slow, resident adapters must be served; an engine that restarts empty
// must load adapters again; a failure domain that is cut off must serve its resident
// adapters. After the disturbance, requests must be answered in time again.
func TestDegraded(t *testing.T) {
	for _, test := range []struct {
		disturbance Disturbance
		domain      int
		// during is the lowest allowed share of hits in the minute after the start of
		// the disturbance, and after the lowest allowed share of requests in time from
		// two minutes after the start.
		during, after float64
	}{
		{disturbance: Outage, domain: -1, during: 0.4, after: 0.8},
		{disturbance: Slow, domain: -1, during: 0.4, after: 0.8},
		{disturbance: Cold, domain: -1, during: 0.4, after: 0.8},
		{disturbance: Cut, domain: domainCount - 1, during: 0.12, after: 0.8},
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
				begin, end := s.DisturbanceStart(), s.DisturbanceStart()+disturbanceDuration
				_, during := servedShares(samples, test.domain, begin, end)
				after, _ := servedShares(samples, test.domain, end+time.Minute, s.Warmup+s.Length)
				t.Logf("domain %d: hits in time during the disturbance %.2f, in time afterwards %.2f", test.domain, during, after)
				c.Check(during >= test.during, quicktest.IsTrue, quicktest.Commentf("hits %.2f", during))
				c.Check(after >= test.after, quicktest.IsTrue, quicktest.Commentf("in time %.2f", after))
				for _, x := range samples {
					// Every failure must have a code that tells the caller its reason.
					c.Check(x.Code != verdict.CodeInternal, quicktest.IsTrue, quicktest.Commentf("%+v", x))
				}
			})
		})
	}
}
