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

// minutes returns the records of one process for the minutes from first until
// last, with the counts in each.
func minutes(host fleet.HostName, first, last int, final bool, counts ...dailyreport.RequestCounts) []dailyreport.Record {
	var records []dailyreport.Record
	began := testDay.Add(time.Duration(first) * time.Minute)
	for m := first; m < last; m++ {
		interval := testDay.Add(time.Duration(m) * time.Minute)
		records = append(records, dailyreport.Record{
			Host: host, Start: 1, CountingSince: began, Interval: interval, From: interval,
			Until: interval.Add(time.Minute), Final: final && m == last-1, Counts: counts,
		})
	}
	return records
}

func chats(inTime, late, refused, canceled uint64) dailyreport.RequestCounts {
	return dailyreport.RequestCounts{
		Application: "campus", Kind: "chat", Repeat: configuration.RepeatAllowed, Objective: 0.9, InTime: inTime, Late: late,
		Refused: map[verdict.Code]uint64{verdict.CodeOverloaded: refused, verdict.CodeCanceled: canceled},
	}
}

// TestEvaluate guards against a judgment that the records do not support: a gap
// that is read as zero, and a gap that hides a failure that is certain.
func TestEvaluate(t *testing.T) {
	ten := func(host fleet.HostName, counts ...dailyreport.RequestCounts) []dailyreport.Record {
		return minutes(host, 0, 10, true, counts...)
	}
	for _, test := range []struct {
		name     string
		records  []dailyreport.Record
		seen     []Span
		judgment Compliance
		reason   string
		gaps     []string
	}{
		{name: "no records", judgment: ComplianceUnknown, reason: "there are no records of this day"},
		{name: "no requests", records: ten("a"), judgment: ComplianceMet, reason: "no request was made"},
		{name: "met", records: ten("a", chats(95, 5, 0, 0)), judgment: ComplianceMet, reason: "every objective was met"},
		{name: "exactly met", records: ten("a", chats(90, 5, 5, 0)), judgment: ComplianceMet, reason: "every objective was met"},
		{name: "missed", records: ten("a", chats(89, 5, 6, 0)), judgment: ComplianceMissed, reason: "campus chat: 89.00% in time, objective 90.00%"},
		{name: "caller's fault", records: ten("a", chats(90, 0, 0, 50)), judgment: ComplianceMet, reason: "every objective was met"},
		{
			name:     "small gap",
			records:  append(minutes("a", 0, 5, false, chats(100, 0, 0, 0)), minutes("a", 0, 10, true, chats(100, 0, 0, 0))[7:]...),
			judgment: ComplianceUnknown, gaps: []string{"1 of 1 hosts have a gap 00:05 to 00:07"},
			reason: "campus chat: 100.00% in time, objective 90.00%; missing records can hide up to 200 requests, which can decide it",
		},
		{
			name:     "gap that cannot decide",
			records:  append(minutes("a", 0, 50, false, chats(100, 0, 0, 0)), minutes("a", 0, 100, true, chats(100, 0, 0, 0))[51:]...),
			judgment: ComplianceMet, gaps: []string{"1 of 1 hosts have a gap 00:50 to 00:51"},
			reason: "every objective was met, whatever the missing records hide",
		},
		{
			name:     "missed whatever the gap hides",
			records:  append(ten("a", chats(50, 50, 0, 0)), minutes("b", 0, 10, true, chats(50, 50, 0, 0))[1:]...),
			judgment: ComplianceMissed, reason: "campus chat: 50.00% in time, objective 90.00%", gaps: []string{"1 of 2 hosts have a gap 00:00 to 00:01"},
		},
		{
			name:     "gap without requests",
			records:  append(minutes("a", 0, 4, false), minutes("a", 0, 10, true)[6:]...),
			judgment: ComplianceUnknown, reason: "no request was recorded, and records are missing", gaps: []string{"1 of 1 hosts have a gap 00:04 to 00:06"},
		},
		{
			name:     "host seen by others only",
			records:  ten("a", chats(10, 0, 0, 0)),
			seen:     []Span{minuteOf("b", testDay.Add(2*time.Minute)), minuteOf("b", testDay.Add(3*time.Minute)), minuteOf("a", testDay)},
			judgment: ComplianceUnknown, gaps: []string{"1 of 2 hosts have a gap 00:02 to 00:04"},
			reason: "campus chat: 100.00% in time, objective 90.00%; missing records can hide up to 20 requests, which can decide it",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			page := Evaluate(&DayRecords{From: testDay, Until: testDay.Add(24 * time.Hour), Records: test.records, ObservedSpans: test.seen})
			c.Check(page.Compliance, quicktest.Equals, test.judgment)
			c.Check(page.Reason, quicktest.Equals, test.reason)
			var gaps []string
			for i := range page.Gaps {
				gaps = append(gaps, page.Gaps[i].String())
			}
			c.Check(gaps, quicktest.DeepEquals, test.gaps)
		})
	}
}

// TestPageOfKnownDay guards against a page that differs from what was counted
// when hosts are lost, writes are repeated and the store is cut off.
func TestPageOfKnownDay(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testKnownDay(t, seed) })
		})
	}
}

func testKnownDay(t *testing.T, seed uint64) {
	c := quicktest.New(t)
	random := rand.New(rand.NewPCG(seed, 3))
	// The store calls loseReply under its mutex, with a stream of its own.
	replies := rand.New(rand.NewPCG(seed, 4))
	store := &memoryStore{loseReply: func() bool { return replies.IntN(5) == 0 }}
	var keepers []*Recorder
	var lost context.CancelFunc
	for i := range 4 {
		host := fleet.Host{Name: fleet.HostName(fmt.Sprint("host-", i)), Start: fleet.StartNumber(seed + 1)}
		k := &Recorder{Host: host, Store: store, BacklogLimit: 2}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if i == 3 {
			// The host is lost: its store takes nothing from the moment of the loss.
			own := &severedStore{memoryStore: store}
			k.Store, lost = own, func() { own.severed.Store(true); cancel() }
		}
		go func() { _ = k.Run(ctx) }()
		keepers = append(keepers, k)
	}
	synctest.Wait()
	began := time.Now().UTC()
	var inTime, refused uint64
	landed := 0
	for minute := range 12 {
		if minute == 8 {
			lost()
		}
		// With room for two intervals, a cut of four minutes loses some.
		store.setAway(minute >= 2 && minute < 6)
		for number, k := range keepers {
			if number == 3 && minute >= 8 || minute >= 1 && minute < 6 {
				continue
			}
			for range 5 + random.IntN(20) {
				inTime++
				k.RecordRequest(made(chatKind, 0), request.Response{LoadStall: 300 * time.Millisecond}, nil)
			}
			if random.IntN(4) == 0 {
				refused++
				k.RecordRequest(made(chatKind, 0), request.Response{}, verdict.NewNotRun(verdict.CodeOverloaded, "full"))
			}
			landed++
			k.RecordRequest(made(bookKind, landed), request.Response{Status: 200}, nil)
		}
		if minute == 7 {
			for range 2 {
				keepers[0].RecordRequest(made(bookKind, 999), request.Response{}, verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "lost"))
			}
		}
		time.Sleep(time.Minute)
	}
	store.mutex.Lock()
	store.loseReply = nil
	store.mutex.Unlock()
	for _, k := range keepers {
		c.Assert(k.Close(), quicktest.IsNil)
	}
	day, err := ReadDay(context.Background(), store, began, time.Now().Add(2*dailyreport.WriteInterval))
	c.Assert(err, quicktest.IsNil)
	page := Evaluate(day)
	c.Assert(page.Results, quicktest.HasLen, 2)
	chat, book := page.Results[0], page.Results[1]
	c.Check(chat.InTime, quicktest.Equals, inTime)
	c.Check(chat.Counted, quicktest.Equals, inTime+refused)
	c.Check(chat.LoadStalls.Count, quicktest.Equals, int64(inTime))
	c.Check(chat.LoadStalls.P50.Round(10*time.Millisecond), quicktest.Equals, 300*time.Millisecond)
	c.Check(book.Succeeded, quicktest.Equals, uint64(landed))
	c.Check(book.UncertainRequests, quicktest.DeepEquals, []dailyreport.UncertainRequest{{Caller: "campus", ID: "id-999"}})
	c.Check(page.HostCount, quicktest.Equals, 4)
	c.Check(page.Compliance, quicktest.Not(quicktest.Equals), ComplianceMissed)
	var all, one bool
	for i := range page.Gaps {
		all = all || len(page.Gaps[i].Hosts) == 4
		one = one || len(page.Gaps[i].Hosts) == 1 && page.Gaps[i].Hosts[0] == "host-3"
	}
	c.Check(all, quicktest.IsTrue, quicktest.Commentf("gap of the store: %v", page.Gaps))
	c.Check(one, quicktest.IsTrue, quicktest.Commentf("gap of the lost host: %v", page.Gaps))
}

// TestUnreadableRecord guards against a damaged record that is read as zero.
func TestUnreadableRecord(t *testing.T) {
	c := quicktest.New(t)
	store := &memoryStore{objects: make(map[string][]byte)}
	for i, r := range minutes("a", 0, 3, true, chats(10, 0, 0, 0)) {
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
	page := Evaluate(day)
	c.Check(page.Unreadable, quicktest.Equals, 1)
	c.Check(page.Compliance, quicktest.Equals, ComplianceUnknown)
	c.Check(page.Gaps, quicktest.HasLen, 1)
}
