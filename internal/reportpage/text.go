// Package reportpage renders the daily report and the error budget burn for people,
// as text and as an HTML page.
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

// WriteText writes the report as text with aligned tables.
func WriteText(w io.Writer, report *dailyreport.Report) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Did %s go well? %s: %s\n", report.Date, report.Compliance, report.Reason)
	fmt.Fprintf(&b, "%s, %d hosts\n\nAnswers in time\n", formatPeriod(report), report.HostCount)
	writeTable(&b, "application\tkind\tin time\tobjective\tmet\trequests\tlate\trefused\tmay have run\tcallers' faults\tdeadline", func(row func(...any)) {
		for i := range report.Results {
			result := &report.Results[i]
			row(result.Application, result.Kind, formatAttainedShare(result), dailyreport.FormatPercent(result.Objective), result.Compliance, result.Counted, result.Late,
				sumCounts(result.Refused), sumCounts(result.MayHaveRun), result.CallerFaults, result.Timeout)
		}
	})
	b.WriteString("\nLoad stalls and whole answers\n")
	writeTable(&b, "application\tkind\tstalls\tp50\tp95\tp99\tanswers\tp50\tp95\tp99", func(row func(...any)) {
		for i := range report.Results {
			result := &report.Results[i]
			row(append(append([]any{result.Application, result.Kind}, percentileCells(result.LoadStalls)...), percentileCells(result.Durations)...)...)
		}
	})
	b.WriteString("\nBookings\n")
	writeTable(&b, "application\tkind\tlanded\tdeclined\trefused\tmay have run", func(row func(...any)) {
		for i := range report.Results {
			if result := &report.Results[i]; result.RepeatForbidden() {
				row(result.Application, result.Kind, result.Succeeded, result.ErrorResponses, sumCounts(result.Refused), formatUncertainBookings(result))
			}
		}
	})
	for i := range report.Results {
		for _, d := range report.Results[i].UncertainRequests {
			fmt.Fprintf(&b, "  to look up, it may have run: %s of caller %s (%s %s)\n", d.ID, d.Caller, report.Results[i].Application, report.Results[i].Kind)
		}
	}
	for _, line := range failureCounts(report) {
		fmt.Fprintf(&b, "  %s\n", line)
	}
	b.WriteString("\nMissing records\n")
	for _, line := range missingRecords(report) {
		fmt.Fprintf(&b, "  %s\n", line)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// WriteBurnText writes the burn rates of the error budgets as a table. The burns are
// those evaluated at the time until.
func WriteBurnText(w io.Writer, burns []dailyreport.BudgetBurn, until time.Time) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Service-level burn until %s UTC; alert at %.1f in both windows\n", until.Format("2006-01-02 15:04:05"), dailyreport.AlertThreshold)
	writeTable(&b, "application\tkind\tobjective\tburn 5 min\tburn 1 h\tbudget left today\talert\tmissing 1 h", func(row func(...any)) {
		for i := range burns {
			burn := &burns[i]
			row(burn.Application, burn.Kind, dailyreport.FormatPercent(burn.Objective), fmt.Sprintf("%.2f", burn.Short.Rate), fmt.Sprintf("%.2f", burn.Long.Rate),
				dailyreport.FormatPercent(burn.BudgetLeft), formatAlert(burn.Alert), burn.Long.MissingDuration.Round(time.Second))
		}
	})
	_, err := io.WriteString(w, b.String())
	return err
}

// formatAlert returns "yes" or "no" for the alert column.
func formatAlert(alert bool) dailyreport.Compliance {
	if alert {
		return dailyreport.ComplianceMet
	}
	return dailyreport.ComplianceMissed
}

// writeTable writes a table with aligned columns. Header has the column names separated
// by tabs; rows calls its argument once for each row. Errors of the table writer are
// ignored, because writes to a strings.Builder cannot fail.
func writeTable(b *strings.Builder, header string, rows func(row func(...any))) {
	table := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "  %s\n", header)
	rows(func(values ...any) {
		cells := make([]string, len(values))
		for i, value := range values {
			cells[i] = fmt.Sprint(value)
		}
		fmt.Fprintf(table, "  %s\n", strings.Join(cells, "\t"))
	})
	_ = table.Flush()
}

// formatPeriod returns the time span of the report. The end of a whole day is written
// as 24:00:00.
func formatPeriod(report *dailyreport.Report) string {
	until := report.Until.Format("15:04:05")
	if report.Until.Equal(report.From.Add(24 * time.Hour)) {
		until = "24:00:00"
	}
	return fmt.Sprintf("%s to %s UTC", report.From.Format("15:04:05"), until)
}

// formatAttainedShare returns the share of requests answered in time, or "-" if no
// request counts.
func formatAttainedShare(result *dailyreport.ObjectiveResult) string {
	if share, ok := result.AttainedShare(); ok {
		return dailyreport.FormatPercent(share)
	}
	return "-"
}

// sumCounts returns the number of requests of all codes together.
func sumCounts(counts map[verdict.Code]uint64) uint64 {
	var total uint64
	for _, count := range counts {
		total += count
	}
	return total
}

// formatUncertainBookings returns the number of bookings that may have run. The report
// names only some of them if there are too many.
func formatUncertainBookings(result *dailyreport.ObjectiveResult) string {
	if result.UncertainRequestsOmitted > 0 {
		return fmt.Sprintf("%d named, up to %d more without a name", len(result.UncertainRequests), result.UncertainRequestsOmitted)
	}
	return fmt.Sprint(len(result.UncertainRequests))
}

// percentileCells returns the table cells of percentiles: the count, p50, p95 and p99.
// Without values the percentiles are "-".
func percentileCells(p dailyreport.Percentiles) []any {
	if p.Count == 0 {
		return []any{0, "-", "-", "-"}
	}
	return []any{p.Count, p.P50.Round(100 * time.Microsecond), p.P95.Round(100 * time.Microsecond), p.P99.Round(100 * time.Microsecond)}
}

// failureCounts returns the number of failed requests by verdict and code, one line
// for each application and kind that has any.
func failureCounts(report *dailyreport.Report) []string {
	var lines []string
	for i := range report.Results {
		result := &report.Results[i]
		var parts []string
		for _, group := range []struct {
			verdict string
			counts  map[verdict.Code]uint64
		}{{"not-run", result.Refused}, {"may-have-run", result.MayHaveRun}} {
			for _, code := range slices.Sorted(maps.Keys(group.counts)) {
				if count := group.counts[code]; count > 0 {
					parts = append(parts, fmt.Sprintf("%s/%s %d", group.verdict, code, count))
				}
			}
		}
		if len(parts) > 0 {
			lines = append(lines, fmt.Sprintf("%s %s: %s", result.Application, result.Kind, strings.Join(parts, ", ")))
		}
	}
	return lines
}

// maxHostsPerGap is the number of hosts that the line of a gap names; the others are
// only counted.
const maxHostsPerGap = 8

// missingRecords returns one line for each gap, for uncounted requests and for
// unreadable records, or "none".
func missingRecords(report *dailyreport.Report) []string {
	var lines []string
	for i := range report.Gaps {
		gap := &report.Gaps[i]
		var hosts []string
		for _, host := range gap.Hosts[:min(len(gap.Hosts), maxHostsPerGap)] {
			hosts = append(hosts, string(host))
		}
		if more := len(gap.Hosts) - maxHostsPerGap; more > 0 {
			hosts = append(hosts, fmt.Sprintf("%d more", more))
		}
		lines = append(lines, fmt.Sprintf("%s (%s; %s in all)", gap, strings.Join(hosts, ", "), gap.MissingDuration.Round(time.Second)))
	}
	if report.Uncounted > 0 {
		lines = append(lines, fmt.Sprintf("%d requests were not counted because their hosts could not keep up", report.Uncounted))
	}
	if report.Unreadable > 0 {
		lines = append(lines, fmt.Sprintf("%d records cannot be read", report.Unreadable))
	}
	if len(lines) == 0 {
		lines = append(lines, "none")
	}
	return lines
}
