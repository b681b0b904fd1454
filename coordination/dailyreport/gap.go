package dailyreport

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/dailyreport"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Gap is a time in which hosts lived and no record covers them.
type Gap struct {
	// From and Until are whole minutes around what is missing.
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
	// Hosts have the gap, in order.
	Hosts []fleet.HostName `json:"hosts"`
	// LiveHostCount is the number of hosts known to have lived in that time.
	LiveHostCount int `json:"living"`
	// MissingDuration is the time that is missing, summed over Hosts.
	MissingDuration time.Duration `json:"missing"`
}

// String returns the gap in one line.
func (g *Gap) String() string {
	return fmt.Sprintf("%d of %d hosts have a gap %s to %s", len(g.Hosts), g.LiveHostCount, g.From.Format("15:04"), g.Until.Format("15:04"))
}

// lives returns the spans in which processes should have counted: from the
// begin of a process to its last record, and to the end of the last interval
// if the record does not say that the process stopped, because it may have
// served on. A later process of the same host ends the span.
func lives(day *DayRecords) []Span {
	type process struct {
		host  fleet.HostName
		start fleet.StartNumber
	}
	type life struct {
		Span
		final bool
	}
	known := make(map[process]*life)
	for i := range day.Records {
		r := &day.Records[i]
		key := process{r.Host, r.Start}
		l := known[key]
		if l == nil {
			l = &life{Span: Span{Host: r.Host, From: r.CountingSince, Until: r.Until}}
			known[key] = l
		}
		l.From = earlier(l.From, r.CountingSince)
		if !r.Until.Before(l.Until) {
			l.Until, l.final = r.Until, r.Final
		}
	}
	begins := make(map[fleet.HostName][]time.Time)
	for _, l := range known {
		begins[l.Host] = append(begins[l.Host], l.From)
	}
	var spans []Span
	for _, l := range known {
		if !l.final {
			end := l.Until.Truncate(dailyreport.Interval).Add(dailyreport.Interval)
			for _, begin := range begins[l.Host] {
				if !begin.Before(l.Until) {
					end = earlier(end, begin)
				}
			}
			l.Until = end
		}
		spans = append(spans, l.Span)
	}
	return append(spans, seenAlone(day)...)
}

// seenAlone returns the seen minutes in which the host has no record at all. In
// a minute with a record, the record knows better when its process began.
func seenAlone(day *DayRecords) []Span {
	type minute struct {
		host     fleet.HostName
		interval int64
	}
	have := make(map[minute]bool)
	for i := range day.Records {
		have[minute{day.Records[i].Host, day.Records[i].Interval.Unix()}] = true
	}
	var spans []Span
	for _, s := range day.ObservedSpans {
		key := minute{s.Host, s.From.Unix()}
		if !have[key] {
			have[key] = true
			spans = append(spans, s)
		}
	}
	return spans
}

// gapsOf returns the gaps of a day. Neighboring minutes in which the same hosts
// have a gap are one gap.
func gapsOf(day *DayRecords) []Gap {
	spans := byHost(lives(day))
	var recorded []Span
	for i := range day.Records {
		r := &day.Records[i]
		recorded = append(recorded, Span{Host: r.Host, From: r.From, Until: r.Until})
	}
	covered := byHost(recorded)
	missing := make(map[time.Time]map[fleet.HostName]time.Duration)
	for host, living := range spans {
		for _, s := range subtract(living, covered[host]) {
			addMinutes(missing, clip(s, day))
		}
	}
	gaps := joinMinutes(missing)
	for i := range gaps {
		for _, living := range spans {
			if slices.ContainsFunc(living, func(s Span) bool {
				return s.From.Before(gaps[i].Until) && gaps[i].From.Before(s.Until)
			}) {
				gaps[i].LiveHostCount++
			}
		}
	}
	return gaps
}

// addMinutes splits a span into minutes.
func addMinutes(missing map[time.Time]map[fleet.HostName]time.Duration, s Span) {
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

func joinMinutes(missing map[time.Time]map[fleet.HostName]time.Duration) []Gap {
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

func clip(s Span, day *DayRecords) Span {
	if s.From.Before(day.From) {
		s.From = day.From
	}
	s.Until = earlier(s.Until, day.Until)
	return s
}

// byHost returns the spans of each host, ordered and joined.
func byHost(spans []Span) map[fleet.HostName][]Span {
	sorted := slices.SortedFunc(slices.Values(spans), func(a, b Span) int { return a.From.Compare(b.From) })
	joined := make(map[fleet.HostName][]Span)
	for _, s := range sorted {
		of := joined[s.Host]
		if last := len(of) - 1; last >= 0 && !s.From.After(of[last].Until) {
			if s.Until.After(of[last].Until) {
				of[last].Until = s.Until
			}
			continue
		}
		joined[s.Host] = append(of, s)
	}
	return joined
}

// subtract returns the parts of spans that covered does not cover. Both are
// ordered and joined.
func subtract(spans, covered []Span) []Span {
	var left []Span
	for _, s := range spans {
		for _, c := range covered {
			if !c.Until.After(s.From) || !c.From.Before(s.Until) {
				continue
			}
			if c.From.After(s.From) {
				left = append(left, Span{Host: s.Host, From: s.From, Until: c.From})
			}
			s.From = c.Until
		}
		if s.From.Before(s.Until) {
			left = append(left, s)
		}
	}
	return left
}
