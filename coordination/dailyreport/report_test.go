package dailyreport

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/dailyreport"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

var testDay = time.Date(2026, 3, 9, 0, 0, 0, 0, time.UTC)

// minuteRecords returns the records of one process for the minutes of testDay from first
// to last, last excluded, with the counts in each. final marks the last record as one
// of a planned stop.
func minuteRecords(host fleet.HostName, first, last int, final bool, counts ...dailyreport.RequestCounts) []dailyreport.Record {
	var records []dailyreport.Record
	countingSince := testDay.Add(time.Duration(first) * time.Minute)
	for m := first; m < last; m++ {
		interval := testDay.Add(time.Duration(m) * time.Minute)
		records = append(records, dailyreport.Record{
			Host: host, Start: 1, CountingSince: countingSince, Interval: interval, From: interval,
			Until: interval.Add(time.Minute), Final: final && m == last-1, Counts: counts,
		})
	}
	return records
}

// chatCounts returns the counts of the kind chat with objective 0.9. refused is the
// number of overloaded requests.
func chatCounts(inTime, late, refused, canceled uint64) dailyreport.RequestCounts {
	return dailyreport.RequestCounts{
		Application: "campus", Kind: "chat", Repeat: configuration.RepeatAllowed, Objective: 0.9, InTime: inTime, Late: late,
		Refused: map[verdict.Code]uint64{verdict.CodeOverloaded: refused, verdict.CodeCanceled: canceled},
	}
}

// TestEvaluate guards against a compliance that the records do not support: a gap that
// is taken for a time without requests, and a gap that makes the result unknown
// although the objective is missed in any case.
func TestEvaluate(t *testing.T) {
	tenMinutes := func(host fleet.HostName, counts ...dailyreport.RequestCounts) []dailyreport.Record {
		return minuteRecords(host, 0, 10, true, counts...)
	}
	for _, test := range []struct {
		name       string
		records    []dailyreport.Record
		observed   []Span
		compliance Compliance
		reason     string
		gaps       []string
	}{
		{name: "no records", compliance: ComplianceUnknown, reason: "there are no records of this day"},
		{name: "no requests", records: tenMinutes("a"), compliance: ComplianceMet, reason: "no request was made"},
		{name: "met", records: tenMinutes("a", chatCounts(95, 5, 0, 0)), compliance: ComplianceMet, reason: "every objective was met"},
		{name: "exactly met", records: tenMinutes("a", chatCounts(90, 5, 5, 0)), compliance: ComplianceMet, reason: "every objective was met"},
		{name: "missed", records: tenMinutes("a", chatCounts(89, 5, 6, 0)), compliance: ComplianceMissed, reason: "campus chat: 89.00% in time, objective 90.00%"},
		{name: "caller faults do not count", records: tenMinutes("a", chatCounts(90, 0, 0, 50)), compliance: ComplianceMet, reason: "every objective was met"},
		{
			name:       "small gap",
			records:    append(minuteRecords("a", 0, 5, false, chatCounts(100, 0, 0, 0)), minuteRecords("a", 0, 10, true, chatCounts(100, 0, 0, 0))[7:]...),
			compliance: ComplianceUnknown, gaps: []string{"1 of 1 hosts have a gap 00:05 to 00:07"},
			reason: "campus chat: 100.00% in time, objective 90.00%; missing records can hide up to 200 requests, which can decide it",
		},
		{
			name:       "gap too small to change the result",
			records:    append(minuteRecords("a", 0, 50, false, chatCounts(100, 0, 0, 0)), minuteRecords("a", 0, 100, true, chatCounts(100, 0, 0, 0))[51:]...),
			compliance: ComplianceMet, gaps: []string{"1 of 1 hosts have a gap 00:50 to 00:51"},
			reason: "every objective was met, whatever the missing records hide",
		},
		{
			name:       "missed in any case despite a gap",
			records:    append(tenMinutes("a", chatCounts(50, 50, 0, 0)), minuteRecords("b", 0, 10, true, chatCounts(50, 50, 0, 0))[1:]...),
			compliance: ComplianceMissed, reason: "campus chat: 50.00% in time, objective 90.00%", gaps: []string{"1 of 2 hosts have a gap 00:00 to 00:01"},
		},
		{
			name:       "gap without requests",
			records:    append(minuteRecords("a", 0, 4, false), minuteRecords("a", 0, 10, true)[6:]...),
			compliance: ComplianceUnknown, reason: "no request was recorded, and records are missing", gaps: []string{"1 of 1 hosts have a gap 00:04 to 00:06"},
		},
		{
			name:       "host without records observed by another host",
			records:    tenMinutes("a", chatCounts(10, 0, 0, 0)),
			observed:   []Span{intervalSpan("b", testDay.Add(2*time.Minute)), intervalSpan("b", testDay.Add(3*time.Minute)), intervalSpan("a", testDay)},
			compliance: ComplianceUnknown, gaps: []string{"1 of 2 hosts have a gap 00:02 to 00:04"},
			reason: "campus chat: 100.00% in time, objective 90.00%; missing records can hide up to 20 requests, which can decide it",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			report := Evaluate(&DayRecords{From: testDay, Until: testDay.Add(24 * time.Hour), Records: test.records, ObservedSpans: test.observed})
			c.Check(report.Compliance, quicktest.Equals, test.compliance)
			c.Check(report.Reason, quicktest.Equals, test.reason)
			var gaps []string
			for i := range report.Gaps {
				gaps = append(gaps, report.Gaps[i].String())
			}
			c.Check(gaps, quicktest.DeepEquals, test.gaps)
		})
	}
}

// TestReportOfKnownDay guards against a report that differs from the requests that were
// made when a host is lost, replies of the store are lost so that writes are repeated,
// and the store is unavailable for longer than the backlog lasts.
func TestReportOfKnownDay(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testReportOfKnownDay(t, seed) })
		})
	}
}

// testReportOfKnownDay runs four recorders for 12 minutes. The store is unavailable in
// minutes 2 to 5, and the last host is lost in minute 8.
func testReportOfKnownDay(t *testing.T, seed uint64) {
	c := quicktest.New(t)
	random := rand.New(rand.NewPCG(seed, 3))
	// loseReply has a random stream of its own, because the store calls it from other
	// goroutines, under the store's mutex.
	replies := rand.New(rand.NewPCG(seed, 4))
	store := &memoryStore{loseReply: func() bool { return replies.IntN(5) == 0 }}
	var recorders []*Recorder
	var loseHost context.CancelFunc
	for i := range 4 {
		host := fleet.Host{Name: fleet.HostName(fmt.Sprint("host-", i)), Start: fleet.StartNumber(seed + 1)}
		k := &Recorder{Host: host, Store: store, BacklogLimit: 2}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if i == 3 {
			// This host is lost in minute 8: from then on, its writes to the store fail.
			own := &disconnectedStore{memoryStore: store}
			k.Store, loseHost = own, func() { own.disconnected.Store(true); cancel() }
		}
		go func() { _ = k.Run(ctx) }()
		recorders = append(recorders, k)
	}
	synctest.Wait()
	began := time.Now().UTC()
	var inTime, refused uint64
	succeeded := 0
	for minute := range 12 {
		if minute == 8 {
			loseHost()
		}
		// The backlog holds two intervals, so four minutes without the store drop some.
		store.setUnavailable(minute >= 2 && minute < 6)
		for number, k := range recorders {
			if number == 3 && minute >= 8 || minute >= 1 && minute < 6 {
				continue
			}
			for range 5 + random.IntN(20) {
				inTime++
				k.RecordRequest(newRequest(chatKind, 0), request.Response{LoadStall: 300 * time.Millisecond}, nil)
			}
			if random.IntN(4) == 0 {
				refused++
				k.RecordRequest(newRequest(chatKind, 0), request.Response{}, verdict.NewNotRun(verdict.CodeOverloaded, "full"))
			}
			succeeded++
			k.RecordRequest(newRequest(bookingKind, succeeded), request.Response{Status: 200}, nil)
		}
		if minute == 7 {
			for range 2 {
				recorders[0].RecordRequest(newRequest(bookingKind, 999), request.Response{}, verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "lost"))
			}
		}
		time.Sleep(time.Minute)
	}
	store.mutex.Lock()
	store.loseReply = nil
	store.mutex.Unlock()
	for _, k := range recorders {
		c.Assert(k.Close(), quicktest.IsNil)
	}
	day, err := ReadDay(context.Background(), store, began, time.Now().Add(2*dailyreport.WriteInterval))
	c.Assert(err, quicktest.IsNil)
	report := Evaluate(day)
	c.Assert(report.Results, quicktest.HasLen, 2)
	chat, booking := report.Results[0], report.Results[1]
	c.Check(chat.InTime, quicktest.Equals, inTime)
	c.Check(chat.Counted, quicktest.Equals, inTime+refused)
	c.Check(chat.LoadStalls.Count, quicktest.Equals, int64(inTime))
	c.Check(chat.LoadStalls.P50.Round(10*time.Millisecond), quicktest.Equals, 300*time.Millisecond)
	c.Check(booking.Succeeded, quicktest.Equals, uint64(succeeded))
	c.Check(booking.UncertainRequests, quicktest.DeepEquals, []dailyreport.UncertainRequest{{Caller: "campus", ID: "id-999"}})
	c.Check(report.HostCount, quicktest.Equals, 4)
	c.Check(report.Compliance, quicktest.Not(quicktest.Equals), ComplianceMissed)
	var allHosts, lostHost bool
	for i := range report.Gaps {
		allHosts = allHosts || len(report.Gaps[i].Hosts) == 4
		lostHost = lostHost || len(report.Gaps[i].Hosts) == 1 && report.Gaps[i].Hosts[0] == "host-3"
	}
	c.Check(allHosts, quicktest.IsTrue, quicktest.Commentf("no gap of all hosts while the store was unavailable: %v", report.Gaps))
	c.Check(lostHost, quicktest.IsTrue, quicktest.Commentf("no gap of the lost host alone: %v", report.Gaps))
}

// TestUnreadableRecord guards against a damaged record that is taken for a minute
// without requests instead of a gap.
func TestUnreadableRecord(t *testing.T) {
	c := quicktest.New(t)
	store := &memoryStore{objects: make(map[string][]byte)}
	for i, r := range minuteRecords("a", 0, 3, true, chatCounts(10, 0, 0, 0)) {
		value, err := json.Marshal(r)
		c.Assert(err, quicktest.IsNil)
		if i == 1 {
			value = value[:len(value)/2]
		}
		key := r.Key()
		c.Assert(store.Put(context.Background(), key.String(), value), quicktest.IsNil)
	}
	day, err := ReadDay(context.Background(), store, testDay, testDay.Add(48*time.Hour))
	c.Assert(err, quicktest.IsNil)
	report := Evaluate(day)
	c.Check(report.Unreadable, quicktest.Equals, 1)
	c.Check(report.Compliance, quicktest.Equals, ComplianceUnknown)
	c.Check(report.Gaps, quicktest.HasLen, 1)
}
