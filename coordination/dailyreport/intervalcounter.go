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

// The limits of an intervalCounter.
const (
	// maxUncertainRequests is the most identifiers of uncertain requests that a
	// record holds for one application and kind.
	maxUncertainRequests = 64
	// maxHistogramMicroseconds is the upper bound of the histograms. Longer times
	// are recorded with this value.
	maxHistogramMicroseconds = int64(time.Hour / time.Microsecond)
	// histogramDigits is the number of significant decimal digits that histograms
	// keep. Two digits keep a histogram below 32 KiB in memory.
	histogramDigits = 2
)

// A requestOutcome is how one request ended. RecordRequest creates it and passes it
// to the duty.
type requestOutcome struct {
	application configuration.ApplicationName
	kind        configuration.Kind
	// id identifies the request in case it is uncertain.
	id dailyreport.UncertainRequest
	// verdict is Ran for a complete response, which has no code.
	verdict verdict.Verdict
	code    verdict.Code
	// late reports whether the request ended after its deadline.
	late bool
	// replayed reports whether the response is the recorded one of an earlier request
	// that this request repeats.
	replayed bool
	// errorResponse reports whether a new response has an HTTP status of 400 or
	// above.
	errorResponse bool
	// servedByEngine reports whether the request was for an engine rather than a
	// plain service, so that loadStall is valid.
	servedByEngine bool
	loadStall      time.Duration
	// duration is the time from the arrival of the request to its end.
	duration time.Duration
}

// newRequestOutcome returns the outcome of a request that ended now. failure is nil
// for a complete response.
func newRequestOutcome(r *request.Request, answer request.Response, failure *verdict.Error, now time.Time) requestOutcome {
	o := requestOutcome{
		application:    r.Application,
		kind:           r.Kind,
		id:             dailyreport.UncertainRequest{Caller: r.Caller, ID: r.ID},
		verdict:        verdict.Ran,
		late:           now.After(r.Deadline),
		replayed:       answer.Replayed,
		errorResponse:  !answer.Replayed && answer.Status >= 400,
		servedByEngine: r.Service == "",
		loadStall:      answer.LoadStall,
		duration:       now.Sub(r.Arrived),
	}
	if failure != nil {
		o.verdict, o.code = failure.Verdict, failure.Code
	}
	return o
}

// A countKey identifies the counts of one application and kind in a record.
type countKey struct {
	application configuration.ApplicationName
	kind        configuration.KindName
}

// An intervalCounter counts the requests that end in one interval. The Recorder's
// loop owns it.
type intervalCounter struct {
	// interval is the start of the interval, a whole minute, and from the time
	// since which its requests are counted.
	interval, from time.Time
	counters       map[countKey]*requestCounter
	// observedHosts are the other hosts that were live at some time in the interval.
	observedHosts map[fleet.HostName]bool
}

// A requestCounter counts the requests of one application and kind in an interval.
type requestCounter struct {
	counts dailyreport.RequestCounts
	// uncertain has the requests that may have run and may not be repeated, at most
	// maxUncertainRequests.
	uncertain             map[dailyreport.UncertainRequest]bool
	loadStalls, durations *hdrhistogram.Histogram
}

func newIntervalCounter(now time.Time) *intervalCounter {
	return &intervalCounter{
		interval:      now.Truncate(dailyreport.Interval),
		from:          now,
		counters:      make(map[countKey]*requestCounter),
		observedHosts: make(map[fleet.HostName]bool),
	}
}

// observeHosts adds the live hosts of the failure domain of self, without self, to
// observedHosts.
func (t *intervalCounter) observeHosts(self fleet.Host, members LiveHostSource) {
	if members == nil {
		return
	}
	for _, host := range members.LiveHosts(self.FailureDomain) {
		if host.Name != self.Name {
			t.observedHosts[host.Name] = true
		}
	}
}

// add counts one outcome. The rules of the kind in the record are those of the
// outcome that was added last.
func (t *intervalCounter) add(o *requestOutcome) {
	key := countKey{o.application, o.kind.Name}
	l := t.counters[key]
	if l == nil {
		l = &requestCounter{
			counts: dailyreport.RequestCounts{
				Application: o.application,
				Kind:        o.kind.Name,
				Refused:     make(map[verdict.Code]uint64),
				MayHaveRun:  make(map[verdict.Code]uint64),
			},
			uncertain:  make(map[dailyreport.UncertainRequest]bool),
			loadStalls: newHistogram(),
			durations:  newHistogram(),
		}
		t.counters[key] = l
	}
	c := &l.counts
	c.Repeat, c.Objective, c.Timeout = o.kind.Repeat, o.kind.Objective, o.kind.Timeout
	switch o.verdict {
	case verdict.Ran:
		l.addResponse(o)
	case verdict.NotRun:
		c.Refused[o.code]++
	default:
		c.MayHaveRun[o.code]++
		l.addUncertain(o)
	}
}

// addResponse counts a complete response. Replayed responses are left out of the
// histograms.
func (l *requestCounter) addResponse(o *requestOutcome) {
	c := &l.counts
	if o.late {
		c.Late++
	} else {
		c.InTime++
	}
	if o.replayed {
		c.Replayed++
		return
	}
	if o.errorResponse {
		c.ErrorResponses++
	}
	recordDuration(l.durations, o.duration)
	if o.servedByEngine {
		recordDuration(l.loadStalls, o.loadStall)
	}
}

// addUncertain keeps the identifier of a request that may have run and may not be
// repeated, or counts it as omitted if there are too many.
func (l *requestCounter) addUncertain(o *requestOutcome) {
	switch {
	case o.kind.Repeat == configuration.RepeatAllowed, l.uncertain[o.id]:
	case len(l.uncertain) >= maxUncertainRequests:
		l.counts.UncertainRequestsOmitted++
	default:
		l.uncertain[o.id] = true
	}
}

// record returns the record of the interval so far. The caller sets the fields that
// describe the process.
func (t *intervalCounter) record() dailyreport.Record {
	r := dailyreport.Record{
		Interval:      t.interval,
		From:          t.from,
		Counts:        []dailyreport.RequestCounts{},
		ObservedHosts: slices.Sorted(maps.Keys(t.observedHosts)),
	}
	for _, l := range t.counters {
		c := l.counts
		c.UncertainRequests = slices.SortedFunc(maps.Keys(l.uncertain), compareUncertainRequests)
		c.LoadStalls, c.Durations = encodeHistogram(l.loadStalls), encodeHistogram(l.durations)
		r.Counts = append(r.Counts, c)
	}
	slices.SortFunc(r.Counts, func(a, b dailyreport.RequestCounts) int {
		return cmp.Or(cmp.Compare(a.Application, b.Application), cmp.Compare(a.Kind, b.Kind))
	})
	return r
}

func compareUncertainRequests(a, b dailyreport.UncertainRequest) int {
	return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.ID, b.ID))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxHistogramMicroseconds, histogramDigits)
}

// recordDuration adds a time to a histogram, in microseconds and limited to its
// bounds.
func recordDuration(h *hdrhistogram.Histogram, duration time.Duration) {
	// RecordValue fails only for a value outside the bounds.
	_ = h.RecordValue(min(max(duration.Microseconds(), 0), maxHistogramMicroseconds))
}

// encodeHistogram returns a histogram in the compressed V2 encoding, or an empty
// string if it has no values.
func encodeHistogram(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return ""
	}
	// Encode to memory fails only for an unknown encoding version.
	buffer, _ := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return string(buffer)
}
