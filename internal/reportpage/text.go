// Package reportpage writes the page of the day for people.
package reportpage

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/dailyreport"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// WriteText writes the page as text.
func WriteText(w io.Writer, p *dailyreport.Report) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Did %s go well? %s: %s\n", p.Date, p.Compliance, p.Reason)
	fmt.Fprintf(&b, "%s, %d hosts\n\nAnswers in time\n", period(p), p.HostCount)
	writeTable(&b, "application\tkind\tin time\tobjective\tmet\trequests\tlate\trefused\tmay have run\tcallers' faults\tdeadline", func(row func(...any)) {
		for i := range p.Results {
			l := &p.Results[i]
			row(l.Application, l.Kind, attained(l), dailyreport.FormatPercent(l.Objective), l.Compliance, l.Counted, l.Late,
				total(l.Refused), total(l.MayHaveRun), l.CallerFaults, l.Timeout)
		}
	})
	b.WriteString("\nLoad stalls and whole answers\n")
	writeTable(&b, "application\tkind\tstalls\tp50\tp95\tp99\tanswers\tp50\tp95\tp99", func(row func(...any)) {
		for i := range p.Results {
			l := &p.Results[i]
			row(append(append([]any{l.Application, l.Kind}, cells(l.LoadStalls)...), cells(l.Durations)...)...)
		}
	})
	b.WriteString("\nBookings\n")
	writeTable(&b, "application\tkind\tlanded\tdeclined\trefused\tmay have run", func(row func(...any)) {
		for i := range p.Results {
			if l := &p.Results[i]; l.RepeatForbidden() {
				row(l.Application, l.Kind, l.Succeeded, l.ErrorResponses, total(l.Refused), doubtful(l))
			}
		}
	})
	for i := range p.Results {
		for _, d := range p.Results[i].UncertainRequests {
			fmt.Fprintf(&b, "  to look up, it may have run: %s of caller %s (%s %s)\n", d.ID, d.Caller, p.Results[i].Application, p.Results[i].Kind)
		}
	}
	for _, reason := range reasons(p) {
		fmt.Fprintf(&b, "  %s\n", reason)
	}
	b.WriteString("\nMissing records\n")
	for _, m := range missing(p) {
		fmt.Fprintf(&b, "  %s\n", m)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// WriteBurnText writes the service-level burn as text.
func WriteBurnText(w io.Writer, burns []dailyreport.BudgetBurn, until time.Time) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Service-level burn until %s UTC; alert at %.1f in both windows\n", until.Format("2006-01-02 15:04:05"), dailyreport.AlertThreshold)
	writeTable(&b, "application\tkind\tobjective\tburn 5 min\tburn 1 h\tbudget left today\talert\tmissing 1 h", func(row func(...any)) {
		for i := range burns {
			u := &burns[i]
			row(u.Application, u.Kind, dailyreport.FormatPercent(u.Objective), fmt.Sprintf("%.2f", u.Short.Rate), fmt.Sprintf("%.2f", u.Long.Rate),
				dailyreport.FormatPercent(u.BudgetLeft), yesOrNo(u.Alert), u.Long.MissingDuration.Round(time.Second))
		}
	})
	_, err := io.WriteString(w, b.String())
	return err
}

func yesOrNo(b bool) dailyreport.Compliance {
	if b {
		return dailyreport.ComplianceMet
	}
	return dailyreport.ComplianceMissed
}

// writeTable writes aligned columns. Writes to a strings.Builder cannot fail.
func writeTable(b *strings.Builder, head string, rows func(row func(...any))) {
	table := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "  %s\n", head)
	rows(func(values ...any) {
		written := make([]string, len(values))
		for i, value := range values {
			written[i] = fmt.Sprint(value)
		}
		fmt.Fprintf(table, "  %s\n", strings.Join(written, "\t"))
	})
	_ = table.Flush()
}

func period(p *dailyreport.Report) string {
	until := p.Until.Format("15:04:05")
	if p.Until.Equal(p.From.Add(24 * time.Hour)) {
		until = "24:00:00"
	}
	return fmt.Sprintf("%s to %s UTC", p.From.Format("15:04:05"), until)
}

func attained(l *dailyreport.ObjectiveResult) string {
	if share, ok := l.AttainedShare(); ok {
		return dailyreport.FormatPercent(share)
	}
	return "-"
}

func total(codes map[verdict.Code]uint64) uint64 {
	var sum uint64
	for _, number := range codes {
		sum += number
	}
	return sum
}

// doubtful returns the number of bookings that may have run.
func doubtful(l *dailyreport.ObjectiveResult) string {
	if l.UncertainRequestsOmitted > 0 {
		return fmt.Sprintf("%d named, up to %d more without a name", len(l.UncertainRequests), l.UncertainRequestsOmitted)
	}
	return fmt.Sprint(len(l.UncertainRequests))
}

// cells returns the columns of percentiles; without values there are none.
func cells(p dailyreport.Percentiles) []any {
	if p.Count == 0 {
		return []any{0, "-", "-", "-"}
	}
	return []any{p.Count, p.P50.Round(100 * time.Microsecond), p.P95.Round(100 * time.Microsecond), p.P99.Round(100 * time.Microsecond)}
}

// reasons returns the codes of requests without answer, one line for each
// application and kind that has any.
func reasons(p *dailyreport.Report) []string {
	var lines []string
	for i := range p.Results {
		l := &p.Results[i]
		var parts []string
		for _, codes := range []struct {
			name    string
			numbers map[verdict.Code]uint64
		}{{"not-run", l.Refused}, {"may-have-run", l.MayHaveRun}} {
			for _, code := range slices.Sorted(maps.Keys(codes.numbers)) {
				if number := codes.numbers[code]; number > 0 {
					parts = append(parts, fmt.Sprintf("%s/%s %d", codes.name, code, number))
				}
			}
		}
		if len(parts) > 0 {
			lines = append(lines, fmt.Sprintf("%s %s: %s", l.Application, l.Kind, strings.Join(parts, ", ")))
		}
	}
	return lines
}

// hostLimit is the number of hosts that a gap names.
const hostLimit = 8

// missing returns what the records do not cover, one line each.
func missing(p *dailyreport.Report) []string {
	var lines []string
	for i := range p.Gaps {
		g := &p.Gaps[i]
		var hosts []string
		for _, host := range g.Hosts[:min(len(g.Hosts), hostLimit)] {
			hosts = append(hosts, string(host))
		}
		if more := len(g.Hosts) - hostLimit; more > 0 {
			hosts = append(hosts, fmt.Sprintf("%d more", more))
		}
		lines = append(lines, fmt.Sprintf("%s (%s; %s in all)", g, strings.Join(hosts, ", "), g.MissingDuration.Round(time.Second)))
	}
	if p.Uncounted > 0 {
		lines = append(lines, fmt.Sprintf("%d requests were not counted because their hosts could not keep up", p.Uncounted))
	}
	if p.Unreadable > 0 {
		lines = append(lines, fmt.Sprintf("%d records cannot be read", p.Unreadable))
	}
	if len(lines) == 0 {
		lines = append(lines, "none")
	}
	return lines
}
