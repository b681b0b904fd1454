package main

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/standin/site"
)

// Guards against checks of the soak test that never fail although a promise is
// broken, and against checks that fail on allowed behaviour.
func TestFindBrokenPromises(t *testing.T) {
	begin := time.Now()
	at := func(after time.Duration) time.Time { return begin.Add(after) }
	ran := func(id string, k kind, after time.Duration) site.Record {
		return site.Record{Kind: site.Ran, At: at(after), Server: "s1", Service: bookingService, Attempt: id, Target: "/" + string(k) + "/x?id=" + id, Organisation: trustedOrganisation}
	}
	calm := []span{{from: at(0), until: at(time.Minute)}}
	answered := &attempt{id: "1", kind: booking, sent: at(time.Second), ended: at(2 * time.Second), status: http.StatusOK, complete: true}
	cut := &attempt{id: "1", kind: booking, sent: at(time.Second), ended: at(2 * time.Second)}
	moved := promise{name: "route", from: at(0), isBroken: func(r *run, _ *attempt) bool { return r.Service != otherService }}
	onAdapter := ran("1", chat, time.Second)
	onAdapter.Adapter = "a2"
	elsewhere := ran("1", booking, time.Second)
	elsewhere.Target = "/booking/y?id=1"
	resumed := &attempt{id: "1", kind: chat, sent: at(1), ended: at(2 * time.Second), status: http.StatusOK, complete: true}
	runOn := func(server string, after time.Duration) site.Record {
		r := ran("1", chat, after)
		r.Server = server
		return r
	}
	ended := func(after time.Duration) site.Record {
		return site.Record{Kind: site.Ended, At: at(after), Server: "s1", Attempt: "1"}
	}
	ofOther := ran("1", booking, time.Second)
	ofOther.Organisation = limitedOrganisation
	withKey := ran("1", booking, time.Second)
	withKey.HasKey = true
	ofNobody := &attempt{id: "1", kind: booking, key: unknownKey, status: http.StatusOK, complete: true}
	denied := &attempt{id: "1", kind: booking, organisation: trustedOrganisation, status: http.StatusUnauthorized}
	retired := &attempt{id: "1", kind: booking, organisation: trustedOrganisation, key: rotatingKey(0), sent: at(time.Second), status: http.StatusOK, complete: true}
	removed := promise{name: "keys", from: at(0), isBroken: func(_ *run, a *attempt) bool { return a.key == rotatingKey(0) }}
	most := maxQuotaRuns
	allowed := int(most)
	// quotaRuns returns runs of the limited organisation at equal distances, and their attempts.
	quotaRuns := func(count int, within time.Duration) (e evidence) {
		for n := range count {
			id := strconv.Itoa(n)
			r := ran(id, lookup, time.Duration(n)*within/time.Duration(count))
			r.Organisation = limitedOrganisation
			e.records = append(e.records, r)
			e.attempts = append(e.attempts, &attempt{id: id, kind: lookup, organisation: limitedOrganisation, status: http.StatusOK, complete: true})
		}
		return e
	}
	for _, test := range []struct {
		name string
		e    evidence
		want string
	}{
		{"run for another organisation", evidence{attempts: []*attempt{answered}, records: []site.Record{ofOther}}, "keys"},
		{"run with the caller's key", evidence{attempts: []*attempt{answered}, records: []site.Record{withKey}}, "keys"},
		{"run with an unknown key", evidence{attempts: []*attempt{ofNobody}, records: []site.Record{ran("1", booking, time.Second)}}, "keys"},
		{"refused with a valid key", evidence{attempts: []*attempt{denied}}, "keys"},
		{"run with a removed key", evidence{calm: calm, promises: []promise{removed}, attempts: []*attempt{retired}, records: []site.Record{ran("1", booking, time.Second)}}, "keys"},
		{"run with a removed key beside faults", evidence{promises: []promise{removed}, attempts: []*attempt{retired}, records: []site.Record{ran("1", booking, time.Second)}}, ""},
		{"quota exceeded", quotaRuns(allowed+1, quotaWindow), "quota"},
		{"quota used up", quotaRuns(allowed, quotaWindow), ""},
		{"quota used in two windows", quotaRuns(2*allowed, 3*quotaWindow), ""},
		{"resumed after the end", evidence{calm: calm, attempts: []*attempt{resumed}, records: []site.Record{runOn("s1", 2), ended(3), runOn("s2", 4)}}, ""},
		{"resumed just before the end", evidence{calm: calm, attempts: []*attempt{resumed}, records: []site.Record{runOn("s1", 2), runOn("s2", 4), ended(overlapLimit)}}, ""},
		{"resumed while it runs", evidence{calm: calm, attempts: []*attempt{resumed}, records: []site.Record{runOn("s1", 2), runOn("s2", 4), ended(time.Second)}}, "one server at a time"},
		{"begun before, ended later", evidence{calm: calm, attempts: []*attempt{resumed}, records: []site.Record{runOn("s2", 2), runOn("s1", 4), ended(time.Second)}}, ""},
		{"resumed while it runs beside faults", evidence{attempts: []*attempt{resumed}, records: []site.Record{runOn("s1", 2), runOn("s2", 4), ended(time.Second)}}, ""},
		{"answered once", evidence{attempts: []*attempt{answered}, records: []site.Record{ran("1", booking, time.Second)}}, ""},
		{"wrong answer", evidence{attempts: []*attempt{{id: "1", kind: booking, status: 200, complete: true, mismatch: "body"}}, records: []site.Record{ran("1", booking, 0)}}, "own answer"},
		{"answered without a run", evidence{attempts: []*attempt{answered}}, "own answer"},
		{"booked twice", evidence{attempts: []*attempt{answered}, records: []site.Record{ran("1", booking, 1), ran("1", booking, 2)}}, "at most once"},
		{"looked up twice", evidence{attempts: []*attempt{{id: "1", kind: lookup, status: 200, complete: true}}, records: []site.Record{ran("1", lookup, 1), ran("1", lookup, 2)}}, ""},
		{"looked up three times in calm", evidence{calm: calm, attempts: []*attempt{{id: "1", kind: lookup, status: 200, complete: true, sent: at(1), ended: at(2)}}, records: []site.Record{ran("1", lookup, 1), ran("1", lookup, 2), ran("1", lookup, 3)}}, "attempts"},
		{"refused and run", evidence{attempts: []*attempt{{id: "1", kind: lookup, status: 503}}, records: []site.Record{ran("1", lookup, 1)}}, "refusals are true"},
		{"refused", evidence{attempts: []*attempt{{id: "1", kind: lookup, status: 503}}}, ""},
		{"gateway error and run", evidence{attempts: []*attempt{{id: "1", kind: lookup, status: 502}}, records: []site.Record{ran("1", lookup, 1)}}, ""},
		{"run of nobody", evidence{records: []site.Record{ran("9", lookup, 1)}}, "asked"},
		{"changed path", evidence{attempts: []*attempt{answered}, records: []site.Record{elsewhere}}, "unchanged"},
		{"other adapter", evidence{attempts: []*attempt{{id: "1", kind: chat, adapter: "a1", status: 200, complete: true}}, records: []site.Record{onAdapter}}, "adapter"},
		{"order of two holders", evidence{records: []site.Record{{Kind: site.Fault, Reason: "r"}}}, "orders"},
		{"cut off at a planned stop", evidence{calm: calm, attempts: []*attempt{cut}, records: []site.Record{ran("1", booking, time.Second)}}, "planned stops cut nothing off"},
		{"cut off by a fault", evidence{attempts: []*attempt{cut}, records: []site.Record{ran("1", booking, time.Second)}}, ""},
		{"old service after a change", evidence{calm: calm, promises: []promise{moved}, attempts: []*attempt{answered}, records: []site.Record{ran("1", booking, time.Second)}}, "route"},
		{"old service on its way", evidence{calm: calm, promises: []promise{moved}, attempts: []*attempt{answered}, records: []site.Record{ran("1", booking, deliveryDelay/2)}}, ""},
		{"old service beside faults", evidence{promises: []promise{moved}, attempts: []*attempt{answered}, records: []site.Record{ran("1", booking, time.Second)}}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, a := range test.e.attempts {
				if a.key == "" {
					a.organisation = cmp.Or(a.organisation, trustedOrganisation)
				}
			}
			broken := findBrokenPromises(&test.e)
			if test.want == "" {
				qt.Check(t, broken, qt.HasLen, 0)
				return
			}
			qt.Assert(t, broken, qt.HasLen, 1)
			qt.Check(t, strings.HasPrefix(broken[0], test.want+": "), qt.IsTrue, qt.Commentf("%s", broken[0]))
		})
	}
}
