package dailyreport

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/dailyreport"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A Compliance says whether objectives were met, for a day or for one application and
// kind.
type Compliance string

// The values of Compliance. ComplianceUnknown means that the missing records could
// change the result.
const (
	ComplianceMet     Compliance = "yes"
	ComplianceMissed  Compliance = "no"
	ComplianceUnknown Compliance = "cannot tell"
)

// roundingTolerance absorbs the floating-point rounding errors of objectives when
// numbers of requests are compared.
const roundingTolerance = 1e-6

// A Report is the evaluation of a day, or of the part of it between From and Until.
// Evaluate creates it.
type Report struct {
	// Date is the day in UTC.
	Date string `json:"date"`
	// From and Until bound the evaluated time.
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
	// Compliance says whether all objectives were met. Reason gives the reason in
	// one line.
	Compliance Compliance `json:"judgment"`
	Reason     string     `json:"reason"`
	// HostCount is the number of hosts known to have been live.
	HostCount int `json:"hosts"`
	// Results are sorted by application and kind.
	Results []ObjectiveResult `json:"lines"`
	// Gaps are sorted by time.
	Gaps []Gap `json:"gaps"`
	// Minutes has the recorded minutes, summed over all hosts, sorted by time.
	Minutes []Minute `json:"minutes"`
	// Uncounted is the number of requests that hosts did not count because they
	// could not keep up. Unreadable is the number of records that could not be
	// used.
	Uncounted  uint64 `json:"uncounted"`
	Unreadable int    `json:"unreadable"`
}

// A Minute has the number of requests in one minute that objectives cover, and the
// number of those that were answered in time.
type Minute struct {
	From    time.Time `json:"from"`
	Counted uint64    `json:"counted"`
	InTime  uint64    `json:"in-time"`
}

// An ObjectiveResult is the evaluation of one application and kind.
type ObjectiveResult struct {
	Application configuration.ApplicationName `json:"application"`
	Kind        configuration.KindName        `json:"kind"`
	Repeat      configuration.RepeatRule      `json:"repeat"`
	// Objective is the share of requests to be answered in time, from 0 to 1. If it
	// changed during the day, it is the mean weighted by requests, or the highest
	// one if no request was counted.
	Objective float64 `json:"objective"`
	// Timeout is the last timeout of the kind that was applied.
	Timeout time.Duration `json:"deadline"`
	// Compliance says whether the objective was met.
	Compliance Compliance `json:"judgment"`
	// Counted is the number of requests that the objective covers. Requests that
	// failed through a fault of the caller count only in CallerFaults.
	Counted      uint64 `json:"counted"`
	InTime       uint64 `json:"in-time"`
	Late         uint64 `json:"late"`
	CallerFaults uint64 `json:"caller-faults"`
	// Refused is the number of requests that did not run, and MayHaveRun of those
	// that may have run, by code. Both include caller faults.
	Refused    map[verdict.Code]uint64 `json:"refused"`
	MayHaveRun map[verdict.Code]uint64 `json:"may-have-run"`
	// MaxMissingRequests is the most requests without a record, including those
	// that hosts did not count. It assumes that no missing minute of a host had
	// more requests than the busiest recorded minute of a host.
	MaxMissingRequests uint64 `json:"hidden"`
	// Succeeded and ErrorResponses are the numbers of responses to requests that
	// may not be repeated, without replayed responses. An error response has an
	// HTTP status of 400 or above.
	Succeeded      uint64 `json:"landed"`
	ErrorResponses uint64 `json:"declined"`
	// UncertainRequests identifies the requests that may have run and may not be
	// repeated; each appears once. UncertainRequestsOmitted is the number of such
	// requests whose identifiers the records had no room for.
	UncertainRequests        []dailyreport.UncertainRequest `json:"doubts"`
	UncertainRequestsOmitted uint64                         `json:"doubts-left-out"`
	// LoadStalls are the load stalls of complete responses of engines. Durations are
	// the times from arrival to end of complete responses. Both leave out replayed
	// responses.
	LoadStalls Percentiles `json:"stalls"`
	Durations  Percentiles `json:"durations"`
}

// Percentiles has percentiles of Count recorded times. All are zero if
// Count is zero.
type Percentiles struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"`
	P95   time.Duration `json:"p95"`
	P99   time.Duration `json:"p99"`
}

// AttainedShare returns the share of the counted requests that were answered in time,
// from 0 to 1, and false if no request was counted.
func (l *ObjectiveResult) AttainedShare() (float64, bool) {
	return float64(l.InTime) / float64(max(l.Counted, 1)), l.Counted > 0
}

// RepeatForbidden reports whether the requests of the kind may not be repeated.
func (l *ObjectiveResult) RepeatForbidden() bool {
	return l.Repeat == configuration.RepeatForbidden
}

// callerFaults are the codes of requests that failed through a fault of the caller,
// so that no serving layer could have answered them. They do not count against
// objectives.
var callerFaults = map[verdict.Code]bool{
	verdict.CodeMalformed: true, verdict.CodeTooLarge: true, verdict.CodeUnauthorized: true,
	verdict.CodeUnknownAdapter: true, verdict.CodeUnknownKind: true, verdict.CodeUnknownService: true,
	verdict.CodeRequestID: true, verdict.CodeCanceled: true,
}

// A resultAccumulator adds up the counts of one application and kind over all
// records. Evaluate owns it.
type resultAccumulator struct {
	result ObjectiveResult
	// latestInterval is the interval of the record from which result has its repeat
	// rule and timeout.
	latestInterval time.Time
	// allowedFailures is the number of failures that the objectives allow for the
	// counted requests. maxObjective is the highest objective.
	allowedFailures, maxObjective float64
	// maxRequestsPerMinute is the most requests in one recorded minute of one host.
	maxRequestsPerMinute uint64
	// uncertain has the requests that may have run and may not be repeated.
	uncertain             map[dailyreport.UncertainRequest]bool
	loadStalls, durations *hdrhistogram.Histogram
}

// Evaluate returns the report of a day.
func Evaluate(day *DayRecords) *Report {
	p := &Report{
		Date: day.From.Format(time.DateOnly), From: day.From, Until: day.Until,
		Gaps: findGaps(day), Unreadable: day.UnreadableCount, HostCount: len(mergeByHost(expectedSpans(day))),
	}
	accumulators := make(map[countKey]*resultAccumulator)
	minutes := make(map[time.Time]*Minute)
	for i := range day.Records {
		r := &day.Records[i]
		p.Uncounted += r.Uncounted
		if minutes[r.Interval] == nil {
			minutes[r.Interval] = &Minute{From: r.Interval}
		}
		for j := range r.Counts {
			minutes[r.Interval].Counted += addCounts(accumulators, r, &r.Counts[j])
			minutes[r.Interval].InTime += r.Counts[j].InTime
		}
	}
	for _, interval := range slices.SortedFunc(maps.Keys(minutes), time.Time.Compare) {
		p.Minutes = append(p.Minutes, *minutes[interval])
	}
	var missing time.Duration
	for i := range p.Gaps {
		missing += p.Gaps[i].MissingDuration
	}
	for _, s := range accumulators {
		p.Results = append(p.Results, s.evaluate(missing, p.Uncounted))
	}
	slices.SortFunc(p.Results, func(a, b ObjectiveResult) int {
		return cmp.Or(cmp.Compare(a.Application, b.Application), cmp.Compare(a.Kind, b.Kind))
	})
	p.Compliance, p.Reason = p.overallCompliance(len(day.Records))
	return p
}

// addCounts adds counts of a record to the accumulator of their application and kind.
// It returns the number of requests that the objective covers.
func addCounts(accumulators map[countKey]*resultAccumulator, r *dailyreport.Record, c *dailyreport.RequestCounts) uint64 {
	key := countKey{c.Application, c.Kind}
	s := accumulators[key]
	if s == nil {
		s = &resultAccumulator{
			result: ObjectiveResult{
				Application: c.Application, Kind: c.Kind,
				Refused: make(map[verdict.Code]uint64), MayHaveRun: make(map[verdict.Code]uint64),
			},
			uncertain: make(map[dailyreport.UncertainRequest]bool), loadStalls: newHistogram(), durations: newHistogram(),
		}
		accumulators[key] = s
	}
	return s.add(r, c)
}

// add adds counts of a record and returns the number of requests that the objective
// covers.
func (s *resultAccumulator) add(r *dailyreport.Record, c *dailyreport.RequestCounts) uint64 {
	l := &s.result
	if !r.Interval.Before(s.latestInterval) {
		s.latestInterval, l.Repeat, l.Timeout = r.Interval, c.Repeat, c.Timeout
	}
	counted := c.ResponseCount()
	for _, codes := range []struct{ from, to map[verdict.Code]uint64 }{{c.Refused, l.Refused}, {c.MayHaveRun, l.MayHaveRun}} {
		for code, number := range codes.from {
			codes.to[code] += number
			if callerFaults[code] {
				l.CallerFaults += number
			} else {
				counted += number
			}
		}
	}
	l.Counted += counted
	l.InTime += c.InTime
	l.Late += c.Late
	s.allowedFailures += float64(counted) * (1 - c.Objective)
	s.maxObjective = max(s.maxObjective, c.Objective)
	s.maxRequestsPerMinute = max(s.maxRequestsPerMinute, counted)
	if c.Repeat == configuration.RepeatForbidden {
		l.Succeeded += c.ResponseCount() - min(c.Replayed+c.ErrorResponses, c.ResponseCount())
		l.ErrorResponses += c.ErrorResponses
		l.UncertainRequestsOmitted += c.UncertainRequestsOmitted
		for _, request := range c.UncertainRequests {
			s.uncertain[request] = true
		}
	}
	mergeHistogram(s.loadStalls, c.LoadStalls)
	mergeHistogram(s.durations, c.Durations)
	return counted
}

// evaluate returns the result. It compares the failures with those that the objectives
// allow in the best case, in which every request without a record was answered in
// time, and in the worst case, in which none was. missing is the duration of all gaps,
// and uncounted the number of requests that hosts did not count.
func (s *resultAccumulator) evaluate(missing time.Duration, uncounted uint64) ObjectiveResult {
	l := s.result
	for request := range s.uncertain {
		l.UncertainRequests = append(l.UncertainRequests, request)
	}
	slices.SortFunc(l.UncertainRequests, compareUncertainRequests)
	l.LoadStalls, l.Durations = percentiles(s.loadStalls), percentiles(s.durations)
	l.Objective = s.maxObjective
	if l.Counted > 0 {
		l.Objective = 1 - s.allowedFailures/float64(l.Counted)
	}
	l.MaxMissingRequests = uint64(math.Ceil(float64(s.maxRequestsPerMinute)*missing.Minutes())) + uncounted
	failed := float64(l.Counted - l.InTime)
	allowed := s.allowedFailures + float64(l.MaxMissingRequests)*(1-s.maxObjective) + roundingTolerance
	switch {
	case failed > allowed:
		l.Compliance = ComplianceMissed
	case failed > s.allowedFailures+roundingTolerance, failed+float64(l.MaxMissingRequests) > allowed:
		l.Compliance = ComplianceUnknown
	default:
		l.Compliance = ComplianceMet
	}
	return l
}

// overallCompliance returns the compliance of the day, which is the worst of its
// results, and the reason. records is the number of records of the day.
func (p *Report) overallCompliance(records int) (Compliance, string) {
	if records == 0 {
		return ComplianceUnknown, "there are no records of this day"
	}
	for _, compliance := range []Compliance{ComplianceMissed, ComplianceUnknown} {
		for i := range p.Results {
			l := &p.Results[i]
			if l.Compliance != compliance {
				continue
			}
			attained, _ := l.AttainedShare()
			reason := fmt.Sprintf("%s %s: %s in time, objective %s", l.Application, l.Kind, FormatPercent(attained), FormatPercent(l.Objective))
			if compliance == ComplianceUnknown {
				reason += fmt.Sprintf("; missing records can hide up to %d requests, which can decide it", l.MaxMissingRequests)
			}
			return compliance, reason
		}
	}
	if len(p.Results) == 0 {
		if len(p.Gaps) > 0 || p.Uncounted > 0 {
			return ComplianceUnknown, "no request was recorded, and records are missing"
		}
		return ComplianceMet, "no request was made"
	}
	reason := "every objective was met"
	if len(p.Gaps) > 0 || p.Uncounted > 0 {
		reason += ", whatever the missing records hide"
	}
	return ComplianceMet, reason
}

// FormatPercent returns a share as a percentage with two decimals, rounded down, so
// that a missed objective is never shown as met.
func FormatPercent(share float64) string {
	return fmt.Sprintf("%.2f%%", math.Floor(share*1e4+roundingTolerance)/100)
}

// decodeHistogram decodes the result of encodeHistogram.
func decodeHistogram(histogram string) (*hdrhistogram.Histogram, error) {
	if histogram == "" {
		return newHistogram(), nil
	}
	return hdrhistogram.Decode([]byte(histogram))
}

// mergeHistogram adds an encoded histogram to another one. It ignores a histogram that
// cannot be decoded; ReadDay has left out the records with such histograms.
func mergeHistogram(into *hdrhistogram.Histogram, histogram string) {
	if from, err := decodeHistogram(histogram); err == nil && histogram != "" {
		into.Merge(from)
	}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(percentile float64) time.Duration {
		return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
	}
	return Percentiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}
