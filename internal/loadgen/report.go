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

// The range of the histograms, in microseconds, and their precision. Durations outside
// the range are recorded as its nearest end.
const (
	minMicroseconds   = int64(1)
	maxMicroseconds   = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// allKinds is the name of the summary over all kinds.
const allKinds = "(all)"

// A Report holds the measurements of a run. Run fills it in.
type Report struct {
	// Sent is the number of requests whose intended start was reached, including those
	// that were not sent because too many were in flight.
	Sent uint64
	// Dropped is the number of results that were lost because the queue of results was
	// full. The measurements leave them out.
	Dropped uint64

	plan  Plan
	kinds map[string]*measurements
}

// measurements holds what was measured of the requests of one kind, or of all kinds.
// The histograms count microseconds.
type measurements struct {
	counts map[string]int64
	// latency covers whole answers only, because a quick refusal is no quick answer.
	latency    *hdrhistogram.Histogram
	firstChunk *hdrhistogram.Histogram
	startDelay *hdrhistogram.Histogram
}

// A KindSummary summarizes the requests of one kind. It is written out as JSON.
type KindSummary struct {
	Kind   string           `json:"kind"`
	Rate   float64          `json:"rate"`
	Seed   uint64           `json:"seed"`
	Count  int64            `json:"count"`
	Counts map[string]int64 `json:"counts"`
	// Latency counts from the intended start to the end of a whole answer.
	Latency Percentiles `json:"latency-ms"`
	// FirstChunk counts from the intended start to the first chunk of a stream.
	FirstChunk Percentiles `json:"first-chunk-ms"`
	// StartDelay is how long after their intended starts requests were started. Latency
	// includes this delay, which the load generator itself causes.
	StartDelay Percentiles `json:"start-late-ms"`
	// Dropped is the number of results that are missing from the summaries of all
	// kinds together.
	Dropped uint64 `json:"dropped-results"`
}

// Percentiles are percentiles and the maximum of durations in milliseconds. All are zero
// when nothing was measured.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
}

func newReport(plan Plan) *Report {
	return &Report{plan: plan, kinds: map[string]*measurements{allKinds: newMeasurements()}}
}

func newMeasurements() *measurements {
	return &measurements{
		counts:     map[string]int64{},
		latency:    hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
		firstChunk: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
		startDelay: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
	}
}

// collect adds results to the report until sendingEnded is closed and no result is left.
func (r *Report) collect(results <-chan result, sendingEnded <-chan struct{}) {
	for {
		select {
		case res := <-results:
			r.addResult(res)
		case <-sendingEnded:
			for len(results) > 0 {
				r.addResult(<-results)
			}
			return
		}
	}
}

// addResult adds one result to the measurements of its kind and of all kinds.
func (r *Report) addResult(res result) {
	kind := res.kind
	if kind == "" {
		kind = "(default)"
	}
	if r.kinds[kind] == nil {
		r.kinds[kind] = newMeasurements()
	}
	for _, f := range []*measurements{r.kinds[allKinds], r.kinds[kind]} {
		name := string(res.verdict)
		if res.code != "" {
			name += " " + string(res.code)
		}
		f.counts[name]++
		if res.verdict == verdict.Ran {
			recordDuration(f.latency, res.latency)
		}
		if res.code != codeNotSent {
			recordDuration(f.startDelay, res.startDelay)
		}
		if res.firstChunk > 0 {
			recordDuration(f.firstChunk, res.firstChunk)
		}
	}
}

func recordDuration(h *hdrhistogram.Histogram, measured time.Duration) {
	// RecordValue fails only for values outside the range.
	_ = h.RecordValue(min(max(measured.Microseconds(), minMicroseconds), maxMicroseconds))
}

// KindSummaries returns the summary of all kinds together, followed by one for each kind
// in the order of their names.
func (r *Report) KindSummaries() []KindSummary {
	var lines []KindSummary
	for _, kind := range slices.Sorted(maps.Keys(r.kinds)) {
		f := r.kinds[kind]
		line := KindSummary{
			Kind: kind, Rate: r.plan.Rate, Seed: r.plan.Seed, Counts: f.counts,
			Latency: percentiles(f.latency), FirstChunk: percentiles(f.firstChunk), StartDelay: percentiles(f.startDelay), Dropped: r.Dropped,
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

// WriteJSON writes each of KindSummaries as one line of JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	for _, line := range r.KindSummaries() {
		if err := encoder.Encode(line); err != nil {
			return err
		}
	}
	return nil
}

// WriteTable writes KindSummaries as a table for people to read.
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
			line.Kind, line.Count, l.P50, l.P90, l.P99, l.P999, l.Max, line.FirstChunk.P50, line.FirstChunk.P99, line.StartDelay.P50, line.StartDelay.P99, strings.Join(outcomes, ", "))
	}
	return table.Flush()
}
