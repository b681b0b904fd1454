package dailyreport

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/dailyreport"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Gap is a period of time in which hosts were live and no record covers their
// requests.
type Gap struct {
	// From and Until are the missing time, extended to whole minutes.
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
	// Hosts are the hosts without records in that time, sorted by name.
	Hosts []fleet.HostName `json:"hosts"`
	// LiveHostCount is the number of hosts known to have been live in that time.
	LiveHostCount int `json:"living"`
	// MissingDuration is the time without records, summed over Hosts.
	MissingDuration time.Duration `json:"missing"`
}

// String returns the number of hosts and the time of the gap in one line, such as
// "1 of 2 hosts have a gap 18:01 to 18:02".
func (g *Gap) String() string {
	return fmt.Sprintf("%d of %d hosts have a gap %s to %s", len(g.Hosts), g.LiveHostCount, g.From.Format("15:04"), g.Until.Format("15:04"))
}

// expectedSpans returns the spans in which processes should have counted requests.
// The span of a process lasts from its start to the end of its last record. If that
// record is not final, the span lasts to the end of the record's interval, because
// the process may have served requests after its last write. The start of a later
// process on the same host ends the span.
func expectedSpans(day *DayRecords) []Span {
	type process struct {
		host  fleet.HostName
		start fleet.StartNumber
	}
	type lifetime struct {
		Span
		final bool
	}
	lifetimes := make(map[process]*lifetime)
	for i := range day.Records {
		r := &day.Records[i]
		key := process{r.Host, r.Start}
		l := lifetimes[key]
		if l == nil {
			l = &lifetime{Span: Span{Host: r.Host, From: r.CountingSince, Until: r.Until}}
			lifetimes[key] = l
		}
		l.From = earlier(l.From, r.CountingSince)
		if !r.Until.Before(l.Until) {
			l.Until, l.final = r.Until, r.Final
		}
	}
	starts := make(map[fleet.HostName][]time.Time)
	for _, l := range lifetimes {
		starts[l.Host] = append(starts[l.Host], l.From)
	}
	var spans []Span
	for _, l := range lifetimes {
		if !l.final {
			end := l.Until.Truncate(dailyreport.Interval).Add(dailyreport.Interval)
			for _, start := range starts[l.Host] {
				if !start.Before(l.Until) {
					end = earlier(end, start)
				}
			}
			l.Until = end
		}
		spans = append(spans, l.Span)
	}
	return append(spans, observedSpansWithoutRecord(day)...)
}

// observedSpansWithoutRecord returns the observed spans of hosts that have no record
// of that interval. If a host has a record of the interval, the record says more
// exactly when its process began.
func observedSpansWithoutRecord(day *DayRecords) []Span {
	type minute struct {
		host     fleet.HostName
		interval int64
	}
	hasSpan := make(map[minute]bool)
	for i := range day.Records {
		hasSpan[minute{day.Records[i].Host, day.Records[i].Interval.Unix()}] = true
	}
	var spans []Span
	for _, s := range day.ObservedSpans {
		key := minute{s.Host, s.From.Unix()}
		if !hasSpan[key] {
			hasSpan[key] = true
			spans = append(spans, s)
		}
	}
	return spans
}

// findGaps returns the gaps of a day in order of time: the expected spans that no
// record covers. Consecutive minutes in which the same hosts have a gap form one
// gap.
func findGaps(day *DayRecords) []Gap {
	expected := mergeByHost(expectedSpans(day))
	var recorded []Span
	for i := range day.Records {
		r := &day.Records[i]
		recorded = append(recorded, Span{Host: r.Host, From: r.From, Until: r.Until})
	}
	covered := mergeByHost(recorded)
	missing := make(map[time.Time]map[fleet.HostName]time.Duration)
	for host, hostSpans := range expected {
		for _, s := range subtractSpans(hostSpans, covered[host]) {
			addMissingMinutes(missing, clipToDay(s, day))
		}
	}
	gaps := gapsFromMinutes(missing)
	for i := range gaps {
		for _, hostSpans := range expected {
			if slices.ContainsFunc(hostSpans, func(s Span) bool {
				return s.From.Before(gaps[i].Until) && gaps[i].From.Before(s.Until)
			}) {
				gaps[i].LiveHostCount++
			}
		}
	}
	return gaps
}

// addMissingMinutes splits a span into minutes and adds the duration in each minute to
// missing, which maps the start of a minute and a host to the time without records.
func addMissingMinutes(missing map[time.Time]map[fleet.HostName]time.Duration, s Span) {
	for s.From.Before(s.Until) {
		minute := s.From.Truncate(time.Minute)
		end := earlier(minute.Add(time.Minute), s.Until)
		if missing[minute] == nil {
			missing[minute] = make(map[fleet.HostName]time.Duration)
		}
		missing[minute][s.Host] += end.Sub(s.From)
		s.From = end
	}
}

// gapsFromMinutes joins consecutive minutes in which the same hosts have missing time
// to gaps, in order of time.
func gapsFromMinutes(missing map[time.Time]map[fleet.HostName]time.Duration) []Gap {
	var gaps []Gap
	for _, minute := range slices.SortedFunc(maps.Keys(missing), time.Time.Compare) {
		hosts := slices.Sorted(maps.Keys(missing[minute]))
		last := len(gaps) - 1
		if last < 0 || !gaps[last].Until.Equal(minute) || !slices.Equal(gaps[last].Hosts, hosts) {
			gaps = append(gaps, Gap{From: minute, Hosts: hosts})
			last++
		}
		gaps[last].Until = minute.Add(time.Minute)
		for _, length := range missing[minute] {
			gaps[last].MissingDuration += length
		}
	}
	return gaps
}

// clipToDay limits a span to the evaluated part of the day.
func clipToDay(s Span, day *DayRecords) Span {
	if s.From.Before(day.From) {
		s.From = day.From
	}
	s.Until = earlier(s.Until, day.Until)
	return s
}

// mergeByHost returns the spans of each host, sorted by time, with spans that overlap
// or touch merged.
func mergeByHost(spans []Span) map[fleet.HostName][]Span {
	sorted := slices.SortedFunc(slices.Values(spans), func(a, b Span) int { return a.From.Compare(b.From) })
	merged := make(map[fleet.HostName][]Span)
	for _, s := range sorted {
		hostSpans := merged[s.Host]
		if last := len(hostSpans) - 1; last >= 0 && !s.From.After(hostSpans[last].Until) {
			if s.Until.After(hostSpans[last].Until) {
				hostSpans[last].Until = s.Until
			}
			continue
		}
		merged[s.Host] = append(hostSpans, s)
	}
	return merged
}

// subtractSpans returns the parts of spans that covered does not include. Both must be
// sorted and merged as by mergeByHost.
func subtractSpans(spans, covered []Span) []Span {
	var uncovered []Span
	for _, s := range spans {
		for _, c := range covered {
			if !c.Until.After(s.From) || !c.From.Before(s.Until) {
				continue
			}
			if c.From.After(s.From) {
				uncovered = append(uncovered, Span{Host: s.Host, From: s.From, Until: c.From})
			}
			s.From = c.Until
		}
		if s.From.Before(s.Until) {
			uncovered = append(uncovered, s)
		}
	}
	return uncovered
}
