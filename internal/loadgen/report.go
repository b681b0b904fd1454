package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// The range and precision of the histograms.
const (
	lowest      = int64(1)
	highest     = int64(time.Hour / time.Microsecond)
	significant = 3 // digits
)

// allKinds names the line over all kinds.
const allKinds = "(all)"

// A Report has the figures of a run.
type Report struct {
	// Sent is the number of requests whose intended start came.
	Sent uint64
	// Dropped is the number of results that are missing from the figures.
	Dropped uint64

	plan  Plan
	kinds map[string]*figures
}

// figures are the measurements of one kind.
type figures struct {
	counts map[string]int64
	// latency has whole answers only; a quick refusal is no quick answer.
	latency *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
	late    *hdrhistogram.Histogram
}

// A KindSummary is the figures of one kind in JSON.
type KindSummary struct {
	Kind   string           `json:"kind"`
	Rate   float64          `json:"rate"`
	Seed   uint64           `json:"seed"`
	Count  int64            `json:"count"`
	Counts map[string]int64 `json:"counts"`
	// Latency counts from the intended start to the end of a whole answer.
	Latency Percentiles `json:"latency-ms"`
	// First counts from the intended start to the first chunk of a stream.
	First Percentiles `json:"first-chunk-ms"`
	// Late is how long after their intended starts requests were started. It is
	// part of Latency and is the generator's own share.
	Late Percentiles `json:"start-late-ms"`
	// Dropped is the number of results missing from all lines.
	Dropped uint64 `json:"dropped-results"`
}

// Percentiles are in milliseconds; all are zero when nothing was measured.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
}

func newReport(plan Plan) *Report {
	return &Report{plan: plan, kinds: map[string]*figures{allKinds: newFigures()}}
}

func newFigures() *figures {
	return &figures{
		counts:  map[string]int64{},
		latency: hdrhistogram.New(lowest, highest, significant),
		first:   hdrhistogram.New(lowest, highest, significant),
		late:    hdrhistogram.New(lowest, highest, significant),
	}
}

// collect counts results until ended is closed and none is left.
func (r *Report) collect(results <-chan result, ended <-chan struct{}) {
	for {
		select {
		case one := <-results:
			r.add(one)
		case <-ended:
			for len(results) > 0 {
				r.add(<-results)
			}
			return
		}
	}
}

// add counts one result.
func (r *Report) add(ended result) {
	kind := ended.kind
	if kind == "" {
		kind = "(default)"
	}
	if r.kinds[kind] == nil {
		r.kinds[kind] = newFigures()
	}
	for _, f := range []*figures{r.kinds[allKinds], r.kinds[kind]} {
		name := string(ended.verdict)
		if ended.code != "" {
			name += " " + string(ended.code)
		}
		f.counts[name]++
		if ended.verdict == verdict.Ran {
			record(f.latency, ended.latency)
		}
		if ended.code != codeNotSent {
			record(f.late, ended.late)
		}
		if ended.first > 0 {
			record(f.first, ended.first)
		}
	}
}

func record(h *hdrhistogram.Histogram, measured time.Duration) {
	// The value is within the range, so it cannot fail.
	_ = h.RecordValue(min(max(measured.Microseconds(), lowest), highest))
}

// KindSummaries returns the figures of each kind, the sum of all kinds first.
func (r *Report) KindSummaries() []KindSummary {
	var lines []KindSummary
	for _, kind := range slices.Sorted(maps.Keys(r.kinds)) {
		f := r.kinds[kind]
		line := KindSummary{
			Kind: kind, Rate: r.plan.Rate, Seed: r.plan.Seed, Counts: f.counts,
			Latency: percentiles(f.latency), First: percentiles(f.first), Late: percentiles(f.late), Dropped: r.Dropped,
		}
		for _, count := range f.counts {
			line.Count += count
		}
		lines = append(lines, line)
	}
	return lines
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(percentile float64) float64 { return float64(h.ValueAtPercentile(percentile)) / 1000 }
	return Percentiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000}
}

// WriteJSON writes one line of JSON for each kind.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	for _, line := range r.KindSummaries() {
		if err := encoder.Encode(line); err != nil {
			return err
		}
	}
	return nil
}

// WriteTable writes a table for people.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%d requests at %v/s, seed %d, latency in ms from the intended start\n", r.Sent, r.plan.Rate, r.plan.Seed)
	if r.Dropped > 0 {
		fmt.Fprintf(w, "%d results are missing\n", r.Dropped)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "kind\tcount\tp50\tp90\tp99\tp99.9\tmax\tfirst p50\tfirst p99\tlate p50\tlate p99\toutcomes")
	for _, line := range r.KindSummaries() {
		var outcomes []string
		for _, name := range slices.Sorted(maps.Keys(line.Counts)) {
			outcomes = append(outcomes, fmt.Sprintf("%s: %d", name, line.Counts[name]))
		}
		l := line.Latency
		fmt.Fprintf(table, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%s\n",
			line.Kind, line.Count, l.P50, l.P90, l.P99, l.P999, l.Max, line.First.P50, line.First.P99, line.Late.P50, line.Late.P99, strings.Join(outcomes, ", "))
	}
	return table.Flush()
}
