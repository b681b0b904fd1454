package dailyreport

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/dailyreport"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// The sizes of a tally.
const (
	// doubtLimit is the most identifiers of an application and kind in a record.
	doubtLimit = 64
	// longest is the longest time that histograms tell apart, in microseconds.
	longest = int64(time.Hour / time.Microsecond)
	// significant is the number of digits of histograms. Two digits keep a
	// histogram below 32 KiB in memory.
	significant = 2
)

// An end is how one request ended.
type end struct {
	application configuration.ApplicationName
	kind        configuration.Kind
	doubt       dailyreport.UncertainRequest
	// verdict is Ran for a whole answer.
	verdict  verdict.Verdict
	code     verdict.Code
	late     bool
	replayed bool
	declined bool
	// engine says that an engine was asked, so that stalled counts.
	engine    bool
	loadStall time.Duration
	duration  time.Duration
}

func endOf(r *request.Request, answer request.Response, failure *verdict.Error, now time.Time) end {
	e := end{
		application: r.Application,
		kind:        r.Kind,
		doubt:       dailyreport.UncertainRequest{Caller: r.Caller, ID: r.ID},
		verdict:     verdict.Ran,
		late:        now.After(r.Deadline),
		replayed:    answer.Replayed,
		declined:    !answer.Replayed && answer.Status >= 400,
		engine:      r.Service == "",
		loadStall:   answer.LoadStall,
		duration:    now.Sub(r.Arrived),
	}
	if failure != nil {
		e.verdict, e.code = failure.Verdict, failure.Code
	}
	return e
}

// A line names one count of a record.
type line struct {
	application configuration.ApplicationName
	kind        configuration.KindName
}

// A intervalCounter counts one interval.
type intervalCounter struct {
	interval, from time.Time
	lines          map[line]*lineTally
	seen           map[fleet.HostName]bool
}

// A lineTally counts one application and kind.
type lineTally struct {
	count             dailyreport.RequestCounts
	doubts            map[dailyreport.UncertainRequest]bool
	stalls, durations *hdrhistogram.Histogram
}

func newTally(now time.Time) *intervalCounter {
	return &intervalCounter{
		interval: now.Truncate(dailyreport.Interval),
		from:     now,
		lines:    make(map[line]*lineTally),
		seen:     make(map[fleet.HostName]bool),
	}
}

// see notes the live hosts of the host's failure domain.
func (t *intervalCounter) see(self fleet.Host, members LiveHostSource) {
	if members == nil {
		return
	}
	for _, host := range members.LiveHosts(self.FailureDomain) {
		if host.Name != self.Name {
			t.seen[host.Name] = true
		}
	}
}

// add counts one end. The rules of the kind that came last are in force.
func (t *intervalCounter) add(e *end) {
	key := line{e.application, e.kind.Name}
	l := t.lines[key]
	if l == nil {
		l = &lineTally{
			count: dailyreport.RequestCounts{
				Application: e.application,
				Kind:        e.kind.Name,
				Refused:     make(map[verdict.Code]uint64),
				MayHaveRun:  make(map[verdict.Code]uint64),
			},
			doubts:    make(map[dailyreport.UncertainRequest]bool),
			stalls:    newHistogram(),
			durations: newHistogram(),
		}
		t.lines[key] = l
	}
	c := &l.count
	c.Repeat, c.Objective, c.Timeout = e.kind.Repeat, e.kind.Objective, e.kind.Timeout
	switch e.verdict {
	case verdict.Ran:
		l.answered(e)
	case verdict.NotRun:
		c.Refused[e.code]++
	default:
		c.MayHaveRun[e.code]++
		l.doubted(e)
	}
}

func (l *lineTally) answered(e *end) {
	c := &l.count
	if e.late {
		c.Late++
	} else {
		c.InTime++
	}
	if e.replayed {
		c.Replayed++
		return
	}
	if e.declined {
		c.ErrorResponses++
	}
	measure(l.durations, e.duration)
	if e.engine {
		measure(l.stalls, e.loadStall)
	}
}

func (l *lineTally) doubted(e *end) {
	switch {
	case e.kind.Repeat == configuration.RepeatAllowed, l.doubts[e.doubt]:
	case len(l.doubts) >= doubtLimit:
		l.count.UncertainRequestsOmitted++
	default:
		l.doubts[e.doubt] = true
	}
}

// record returns the present value without the fields of the process.
func (t *intervalCounter) record() dailyreport.Record {
	r := dailyreport.Record{
		Interval:      t.interval,
		From:          t.from,
		Counts:        []dailyreport.RequestCounts{},
		ObservedHosts: slices.Sorted(maps.Keys(t.seen)),
	}
	for _, l := range t.lines {
		c := l.count
		c.UncertainRequests = slices.SortedFunc(maps.Keys(l.doubts), compareDoubts)
		c.LoadStalls, c.Durations = encoded(l.stalls), encoded(l.durations)
		r.Counts = append(r.Counts, c)
	}
	slices.SortFunc(r.Counts, func(a, b dailyreport.RequestCounts) int {
		return cmp.Or(cmp.Compare(a.Application, b.Application), cmp.Compare(a.Kind, b.Kind))
	})
	return r
}

func compareDoubts(a, b dailyreport.UncertainRequest) int {
	return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.ID, b.ID))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest, significant)
}

func measure(h *hdrhistogram.Histogram, measured time.Duration) {
	// The value is within the bounds, which is the only cause of an error.
	_ = h.RecordValue(min(max(measured.Microseconds(), 0), longest))
}

// encoded returns the compact form of a histogram, empty without values.
func encoded(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return ""
	}
	// Encoding to memory fails only for an unknown version.
	buffer, _ := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return string(buffer)
}
