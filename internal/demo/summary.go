package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"github.com/persimmonmux/persimmonmux/coordination/dailyreport"
	"github.com/persimmonmux/persimmonmux/internal/reportpage"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	daystate "github.com/persimmonmux/persimmonmux/state/dailyreport"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// maxLatencyMicroseconds is the highest latency of the histograms. Longer ones are
// recorded as this value.
const maxLatencyMicroseconds = int64(time.Minute / time.Microsecond)

// writeSummary prints the faults, the results of the callers by kind, the bookings with an
// unknown outcome and the adapter loads.
func writeSummary(w io.Writer, d *Demo, s *system, c *callers, outcome *faultOutcome) {
	_, _ = fmt.Fprintf(w, "%s, %s of load, seed %d: %d entry hosts, %d engines, %d plain servers\n",
		d.Deployment.Name, d.Duration, d.Seed, len(s.hosts), len(s.engines), len(s.services))
	for _, event := range outcome.events {
		_, _ = fmt.Fprintf(w, "  fault: %s\n", event)
	}
	for _, kind := range []configuration.KindName{d.Deployment.Chat, d.Deployment.Booking} {
		writeKind(w, s, c, kind)
	}
	doubtful := 0
	for _, b := range c.bookings {
		if b.attempts[len(b.attempts)-1].verdict == verdict.MayHaveRun {
			doubtful++
			_, _ = fmt.Fprintf(w, "  booking to look up, it may have run: %s\n", b.id)
		}
	}
	loads, highest := s.platform.Weights.Loads()
	total := 0
	for _, number := range loads {
		total += number
	}
	_, _ = fmt.Fprintf(w, "  loads: %d of %d adapters, at most %d in flight\n", total, len(loads), highest)
}

// writePage prints the page of the day from the records of the run in the object store.
// The hosts must have stopped, so that all records have been written.
func writePage(ctx context.Context, w io.Writer, s *system, began time.Time) error {
	day, err := dailyreport.ReadDay(ctx, s.platform.Objects, began, time.Now().Add(2*daystate.WriteInterval))
	if err != nil {
		return trace.Wrap(err, "read the page of the day")
	}
	_, _ = fmt.Fprintln(w)
	if err := reportpage.WriteText(w, dailyreport.Evaluate(day)); err != nil {
		return trace.Wrap(err, "write the page of the day")
	}
	_, _ = fmt.Fprintln(w)
	return nil
}

// writeKind prints, for one kind, a line with the answers in time and the latencies, and
// a line for each outcome.
func writeKind(w io.Writer, s *system, c *callers, kind configuration.KindName) {
	first := hdrhistogram.New(1, maxLatencyMicroseconds, 3)
	total := hdrhistogram.New(1, maxLatencyMicroseconds, 3)
	outcomes := make(map[string]int)
	count, inTime := 0, 0
	deadline := s.initial.Kinds[kind].Timeout
	for _, r := range c.allResults() {
		if r.kind != kind {
			continue
		}
		count++
		outcome := string(r.verdict)
		switch {
		case r.cutOff:
			outcome = "cut-off"
		case r.code != "":
			outcome += "/" + string(r.code)
		}
		outcomes[outcome]++
		if r.verdict != verdict.Ran {
			continue
		}
		if r.total <= deadline {
			inTime++
		}
		_ = first.RecordValue(min(r.firstByte.Microseconds(), maxLatencyMicroseconds))
		_ = total.RecordValue(min(r.total.Microseconds(), maxLatencyMicroseconds))
	}
	_, _ = fmt.Fprintf(w, "  %-12s %d tries, %d answered in time; first byte p50 %s p95 %s, whole answer p50 %s p95 %s\n",
		kind, count, inTime, latencyPercentile(first, 50), latencyPercentile(first, 95), latencyPercentile(total, 50), latencyPercentile(total, 95))
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		_, _ = fmt.Fprintf(w, "    %-32s %d\n", outcome, outcomes[outcome])
	}
}

// latencyPercentile returns a percentile of a histogram of microseconds, rounded to
// 0.1 ms.
func latencyPercentile(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return (time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond).Round(100 * time.Microsecond)
}
