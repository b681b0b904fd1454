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

// A Compliance says whether a day went well.
type Compliance string

// The judgments.
const (
	ComplianceMet     Compliance = "yes"
	ComplianceMissed  Compliance = "no"
	ComplianceUnknown Compliance = "cannot tell"
)

// tolerance absorbs the rounding of objectives in comparisons of numbers of
// requests.
const tolerance = 1e-6

// A Report is the evaluation of a day.
type Report struct {
	// Date is the day in UTC.
	Date string `json:"date"`
	// From and Until bound what was evaluated.
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
	// Compliance says whether the day went well, Reason why, in one line.
	Compliance Compliance `json:"judgment"`
	Reason     string     `json:"reason"`
	// HostCount is the number of hosts known to have lived.
	HostCount int `json:"hosts"`
	// Results are in the order of application and kind.
	Results []ObjectiveResult `json:"lines"`
	// Gaps are in the order of time.
	Gaps []Gap `json:"gaps"`
	// Minutes are the recorded minutes of all hosts together, in order.
	Minutes []Minute `json:"minutes"`
	// Uncounted is the number of requests that hosts could not count,
	// Unreadable the number of records that could not be decoded.
	Uncounted  uint64 `json:"uncounted"`
	Unreadable int    `json:"unreadable"`
}

// A Minute has the requests of a minute that objectives cover.
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
	// Objective is the share in force over the day, weighted by requests.
	Objective float64 `json:"objective"`
	// Timeout is the last one in force.
	Timeout time.Duration `json:"deadline"`
	// Compliance says whether the objective was met.
	Compliance Compliance `json:"judgment"`
	// Counted is the number of requests that the objective covers. Requests
	// that failed by the caller's own doing are only in CallerFaults.
	Counted      uint64 `json:"counted"`
	InTime       uint64 `json:"in-time"`
	Late         uint64 `json:"late"`
	CallerFaults uint64 `json:"caller-faults"`
	// Refused and MayHaveRun are all such requests, by code.
	Refused    map[verdict.Code]uint64 `json:"refused"`
	MayHaveRun map[verdict.Code]uint64 `json:"may-have-run"`
	// MaxMissingRequests is the most requests that gaps can hide, if none of the missing
	// minutes was busier than the busiest recorded minute of a host.
	MaxMissingRequests uint64 `json:"hidden"`
	// Succeeded and ErrorResponses count the outcomes of requests that may not be
	// repeated, without repeated answers.
	Succeeded      uint64 `json:"landed"`
	ErrorResponses uint64 `json:"declined"`
	// UncertainRequests may have run; each is named once. UncertainRequestsOmitted have no name.
	UncertainRequests        []dailyreport.UncertainRequest `json:"doubts"`
	UncertainRequestsOmitted uint64                         `json:"doubts-left-out"`
	// LoadStalls are the load stalls of whole answers of engines, Durations the
	// times of whole answers.
	LoadStalls Percentiles `json:"stalls"`
	Durations  Percentiles `json:"durations"`
}

// Percentiles are of Count values.
type Percentiles struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"`
	P95   time.Duration `json:"p95"`
	P99   time.Duration `json:"p99"`
}

// AttainedShare returns the share in time, and false when nothing was counted.
func (l *ObjectiveResult) AttainedShare() (float64, bool) {
	return float64(l.InTime) / float64(max(l.Counted, 1)), l.Counted > 0
}

// RepeatForbidden says whether the line's requests may not be repeated.
func (l *ObjectiveResult) RepeatForbidden() bool {
	return l.Repeat == configuration.RepeatForbidden
}

// callerFaults are the codes of requests that no serving layer could answer.
// They do not count against objectives.
var callerFaults = map[verdict.Code]bool{
	verdict.CodeMalformed: true, verdict.CodeTooLarge: true, verdict.CodeUnauthorized: true,
	verdict.CodeUnknownAdapter: true, verdict.CodeUnknownKind: true, verdict.CodeUnknownService: true,
	verdict.CodeRequestID: true, verdict.CodeCanceled: true,
}

// A sum adds up the counts of one application and kind.
type sum struct {
	line ObjectiveResult
	// last is the interval of the rules in line.
	last time.Time
	// allowed is the number of failures that the objectives allow, highest the
	// highest objective.
	allowed, highest float64
	// busiest is the most requests in a recorded minute of a host.
	busiest           uint64
	doubts            map[dailyreport.UncertainRequest]bool
	stalls, durations *hdrhistogram.Histogram
}

// Evaluate returns the page of a day.
func Evaluate(day *DayRecords) *Report {
	p := &Report{
		Date: day.From.Format(time.DateOnly), From: day.From, Until: day.Until,
		Gaps: gapsOf(day), Unreadable: day.UnreadableCount, HostCount: len(byHost(lives(day))),
	}
	sums := make(map[line]*sum)
	minutes := make(map[time.Time]*Minute)
	for i := range day.Records {
		r := &day.Records[i]
		p.Uncounted += r.Uncounted
		if minutes[r.Interval] == nil {
			minutes[r.Interval] = &Minute{From: r.Interval}
		}
		for j := range r.Counts {
			minutes[r.Interval].Counted += addCount(sums, r, &r.Counts[j])
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
	for _, s := range sums {
		p.Results = append(p.Results, s.judge(missing, p.Uncounted))
	}
	slices.SortFunc(p.Results, func(a, b ObjectiveResult) int {
		return cmp.Or(cmp.Compare(a.Application, b.Application), cmp.Compare(a.Kind, b.Kind))
	})
	p.Compliance, p.Reason = p.judge(len(day.Records))
	return p
}

// addCount returns the number of requests that the objective covers.
func addCount(sums map[line]*sum, r *dailyreport.Record, c *dailyreport.RequestCounts) uint64 {
	key := line{c.Application, c.Kind}
	s := sums[key]
	if s == nil {
		s = &sum{
			line: ObjectiveResult{
				Application: c.Application, Kind: c.Kind,
				Refused: make(map[verdict.Code]uint64), MayHaveRun: make(map[verdict.Code]uint64),
			},
			doubts: make(map[dailyreport.UncertainRequest]bool), stalls: newHistogram(), durations: newHistogram(),
		}
		sums[key] = s
	}
	return s.add(r, c)
}

func (s *sum) add(r *dailyreport.Record, c *dailyreport.RequestCounts) uint64 {
	l := &s.line
	if !r.Interval.Before(s.last) {
		s.last, l.Repeat, l.Timeout = r.Interval, c.Repeat, c.Timeout
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
	s.allowed += float64(counted) * (1 - c.Objective)
	s.highest = max(s.highest, c.Objective)
	s.busiest = max(s.busiest, counted)
	if c.Repeat == configuration.RepeatForbidden {
		l.Succeeded += c.ResponseCount() - min(c.Replayed+c.ErrorResponses, c.ResponseCount())
		l.ErrorResponses += c.ErrorResponses
		l.UncertainRequestsOmitted += c.UncertainRequestsOmitted
		for _, doubt := range c.UncertainRequests {
			s.doubts[doubt] = true
		}
	}
	merge(s.stalls, c.LoadStalls)
	merge(s.durations, c.Durations)
	return counted
}

// judge compares the failures with those allowed, once with every hidden
// request in time and once with none.
func (s *sum) judge(missing time.Duration, uncounted uint64) ObjectiveResult {
	l := s.line
	for doubt := range s.doubts {
		l.UncertainRequests = append(l.UncertainRequests, doubt)
	}
	slices.SortFunc(l.UncertainRequests, compareDoubts)
	l.LoadStalls, l.Durations = percentiles(s.stalls), percentiles(s.durations)
	l.Objective = s.highest
	if l.Counted > 0 {
		l.Objective = 1 - s.allowed/float64(l.Counted)
	}
	l.MaxMissingRequests = uint64(math.Ceil(float64(s.busiest)*missing.Minutes())) + uncounted
	failed := float64(l.Counted - l.InTime)
	allowed := s.allowed + float64(l.MaxMissingRequests)*(1-s.highest) + tolerance
	switch {
	case failed > allowed:
		l.Compliance = ComplianceMissed
	case failed > s.allowed+tolerance, failed+float64(l.MaxMissingRequests) > allowed:
		l.Compliance = ComplianceUnknown
	default:
		l.Compliance = ComplianceMet
	}
	return l
}

// judge gives the judgment of the day: the worst of its lines.
func (p *Report) judge(records int) (Compliance, string) {
	if records == 0 {
		return ComplianceUnknown, "there are no records of this day"
	}
	for _, judgment := range []Compliance{ComplianceMissed, ComplianceUnknown} {
		for i := range p.Results {
			l := &p.Results[i]
			if l.Compliance != judgment {
				continue
			}
			attained, _ := l.AttainedShare()
			reason := fmt.Sprintf("%s %s: %s in time, objective %s", l.Application, l.Kind, FormatPercent(attained), FormatPercent(l.Objective))
			if judgment == ComplianceUnknown {
				reason += fmt.Sprintf("; missing records can hide up to %d requests, which can decide it", l.MaxMissingRequests)
			}
			return judgment, reason
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

// FormatPercent returns a share in percent, rounded down, so that a missed objective is
// never shown as met.
func FormatPercent(share float64) string {
	return fmt.Sprintf("%.2f%%", math.Floor(share*1e4+tolerance)/100)
}

func decoded(histogram string) (*hdrhistogram.Histogram, error) {
	if histogram == "" {
		return newHistogram(), nil
	}
	return hdrhistogram.Decode([]byte(histogram))
}

// merge adds an encoded histogram. ReadDay has left out records whose
// histograms cannot be decoded.
func merge(into *hdrhistogram.Histogram, histogram string) {
	if from, err := decoded(histogram); err == nil && histogram != "" {
		into.Merge(from)
	}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(percentile float64) time.Duration {
		return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
	}
	return Percentiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}
