package daybook

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/daybook"
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
	doubt       daybook.Doubt
	// verdict is Ran for a whole answer.
	verdict  verdict.Verdict
	code     verdict.Code
	late     bool
	replayed bool
	declined bool
	// engine says that an engine was asked, so that stalled counts.
	engine   bool
	stalled  time.Duration
	duration time.Duration
}

func endOf(r *request.Request, answer request.Answer, failure *verdict.Error, now time.Time) end {
	e := end{
		application: r.Application,
		kind:        r.Kind,
		doubt:       daybook.Doubt{Caller: r.Caller, ID: r.ID},
		verdict:     verdict.Ran,
		late:        now.After(r.Deadline),
		replayed:    answer.Replayed,
		declined:    !answer.Replayed && answer.Status >= 400,
		engine:      r.Service == "",
		stalled:     answer.Stalled,
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

// A tally counts one interval.
type tally struct {
	interval, from time.Time
	lines          map[line]*lineTally
	seen           map[fleet.HostName]bool
}

// A lineTally counts one application and kind.
type lineTally struct {
	count             daybook.Count
	doubts            map[daybook.Doubt]bool
	stalls, durations *hdrhistogram.Histogram
}

func newTally(now time.Time) *tally {
	return &tally{
		interval: now.Truncate(daybook.Interval),
		from:     now,
		lines:    make(map[line]*lineTally),
		seen:     make(map[fleet.HostName]bool),
	}
}

// see notes the live hosts of the host's failure domain.
func (t *tally) see(self fleet.Host, members Members) {
	if members == nil {
		return
	}
	for _, host := range members.Live(self.Domain) {
		if host.Name != self.Name {
			t.seen[host.Name] = true
		}
	}
}

// add counts one end. The rules of the kind that came last are in force.
func (t *tally) add(e *end) {
	key := line{e.application, e.kind.Name}
	l := t.lines[key]
	if l == nil {
		l = &lineTally{
			count: daybook.Count{
				Application: e.application,
				Kind:        e.kind.Name,
				Refused:     make(map[verdict.Code]uint64),
				MayHaveRun:  make(map[verdict.Code]uint64),
			},
			doubts:    make(map[daybook.Doubt]bool),
			stalls:    newHistogram(),
			durations: newHistogram(),
		}
		t.lines[key] = l
	}
	c := &l.count
	c.Repeat, c.Objective, c.Deadline = e.kind.Repeat, e.kind.Objective, e.kind.Deadline
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
		c.Declined++
	}
	measure(l.durations, e.duration)
	if e.engine {
		measure(l.stalls, e.stalled)
	}
}

func (l *lineTally) doubted(e *end) {
	switch {
	case e.kind.Repeat == configuration.RepeatAllowed, l.doubts[e.doubt]:
	case len(l.doubts) >= doubtLimit:
		l.count.DoubtsLeftOut++
	default:
		l.doubts[e.doubt] = true
	}
}

// record returns the present value without the fields of the process.
func (t *tally) record() daybook.Record {
	r := daybook.Record{
		Interval: t.interval,
		From:     t.from,
		Counts:   []daybook.Count{},
		Seen:     slices.Sorted(maps.Keys(t.seen)),
	}
	for _, l := range t.lines {
		c := l.count
		c.Doubts = slices.SortedFunc(maps.Keys(l.doubts), compareDoubts)
		c.Stalls, c.Durations = encoded(l.stalls), encoded(l.durations)
		r.Counts = append(r.Counts, c)
	}
	slices.SortFunc(r.Counts, func(a, b daybook.Count) int {
		return cmp.Or(cmp.Compare(a.Application, b.Application), cmp.Compare(a.Kind, b.Kind))
	})
	return r
}

func compareDoubts(a, b daybook.Doubt) int {
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
