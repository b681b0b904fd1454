package policy

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// A Report writes the outcomes of many runs as a table, JSON lines and a plot.
type Report struct {
	// Outcomes are sorted with compareOutcomes, by scenario, policy and seed. The
	// methods rely on this order.
	Outcomes []Outcome
}

// newReport returns a report on sorted outcomes.
func newReport(outcomes []Outcome) *Report {
	return &Report{Outcomes: outcomes}
}

// compareOutcomes orders outcomes by scenario, policy and seed.
func compareOutcomes(a, b Outcome) int {
	return cmp.Or(
		cmp.Compare(a.Mix, b.Mix), cmp.Compare(a.Exponent, b.Exponent), cmp.Compare(a.Slots, b.Slots),
		cmp.Compare(a.Disturbance, b.Disturbance), cmp.Compare(a.Load, b.Load),
		cmp.Compare(a.Policy, b.Policy), cmp.Compare(a.Seed, b.Seed),
	)
}

// groupsBySeed returns the outcomes, grouped so that those of a group differ only in the
// seed.
func (r *Report) groupsBySeed() [][]Outcome {
	var groups [][]Outcome
	for i, o := range r.Outcomes {
		if i > 0 && o.label() == r.Outcomes[i-1].label() && o.Policy == r.Outcomes[i-1].Policy {
			groups[len(groups)-1] = append(groups[len(groups)-1], o)
			continue
		}
		groups = append(groups, []Outcome{o})
	}
	return groups
}

// meanAndSpread returns the mean of a figure over the seeds, and half the difference
// between its highest and its lowest value.
func meanAndSpread(group []Outcome, figure func(Outcome) float64) (middle, spread float64) {
	low, high := math.Inf(1), math.Inf(-1)
	for _, o := range group {
		value := figure(o)
		middle += value / float64(len(group))
		low, high = min(low, value), max(high, value)
	}
	return middle, (high - low) / 2
}

// formatFigure returns the mean and the spread of a figure as a table cell.
func formatFigure(group []Outcome, figure func(Outcome) float64) string {
	middle, spread := meanAndSpread(group, figure)
	if math.IsNaN(middle) {
		return "-"
	}
	if len(group) == 1 {
		return fmt.Sprintf("%.2f", middle)
	}
	return fmt.Sprintf("%.2f±%.2f", middle, spread)
}

// A column is a column of the table that shows one figure of an Outcome.
type column struct {
	title  string
	figure func(Outcome) float64
}

// The indexes in columns of the figures that are compared with the best baseline.
const (
	stallP95Column = 1
	batchUseColumn = 4
)

var columns = []column{
	{"p50 s", func(o Outcome) float64 { return o.StallP50 }},
	{"p95 s", func(o Outcome) float64 { return o.StallP95 }},
	{"p99 s", func(o Outcome) float64 { return o.StallP99 }},
	{"stalled", func(o Outcome) float64 { return o.LoadStall }},
	{"batch", func(o Outcome) float64 { return o.BatchUse }},
	{"in time", func(o Outcome) float64 { return o.InTime }},
	{"goodput/s", func(o Outcome) float64 { return o.Goodput }},
	{"loads/s", func(o Outcome) float64 { return o.Loads }},
	{"wasted/s", func(o Outcome) float64 { return o.Wasted }},
	{"recovery s", func(o Outcome) float64 { return o.Recovery }},
}

// WriteTable writes a readable table with a row for each scenario and policy. The
// columns after the figures compare a policy with the best baseline (p95 of the
// stall, batch use) and with the clairvoyant policy (stalled requests), and show the
// shares in time by class and the failures of the first seed.
func (r *Report) WriteTable(out io.Writer) {
	fmt.Fprintf(out, "Capacity is the highest rate that the clairvoyant run serves with %.0f%% of the requests in time.\n", 100*servedShare)
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	label := ""
	for _, group := range r.groupsBySeed() {
		if group[0].label() != label {
			label = group[0].label()
			fmt.Fprintf(table, "\n%s: %.2f requests/s, capacity %.2f/s, seeds %d\n", label, group[0].Load*group[0].Capacity, group[0].Capacity, len(group))
			fmt.Fprint(table, "policy")
			for _, c := range columns {
				fmt.Fprint(table, "\t"+c.title)
			}
			fmt.Fprint(table, "\tp95/best\tbatch/best\tstalled/bound\tin time by class\tfailures\n")
		}
		fmt.Fprint(table, group[0].Policy)
		for _, c := range columns {
			fmt.Fprint(table, "\t"+formatFigure(group, c.figure))
		}
		fmt.Fprintf(table, "\t%s\t%s\t%s\t%s\t%v\n",
			formatRatio(r.bestBaseline(group, columns[stallP95Column].figure, false), group, columns[stallP95Column].figure),
			formatRatio(r.bestBaseline(group, columns[batchUseColumn].figure, true), group, columns[batchUseColumn].figure),
			r.formatStallOverBound(group), formatClasses(group), group[0].Codes)
	}
	_ = table.Flush()
}

// bestBaseline returns the highest or the lowest mean of a figure among the baselines
// in the scenario of the given outcomes, or NaN if there is no baseline.
func (r *Report) bestBaseline(sameScenario []Outcome, figure func(Outcome) float64, highest bool) float64 {
	best := math.NaN()
	for _, group := range r.groupsBySeed() {
		if group[0].label() != sameScenario[0].label() || group[0].Policy == ProductPolicy || group[0].Policy == "bound" {
			continue
		}
		value, _ := meanAndSpread(group, figure)
		if math.IsNaN(best) || highest && value > best || !highest && value < best {
			best = value
		}
	}
	return best
}

// formatRatio returns the mean of a figure divided by the best baseline's as a table
// cell.
func formatRatio(best float64, group []Outcome, figure func(Outcome) float64) string {
	value, _ := meanAndSpread(group, figure)
	if math.IsNaN(best) || math.IsNaN(value) || best == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", value/best)
}

// formatStallOverBound returns the share of stalled requests divided by that of the
// clairvoyant policy as a table cell.
func (r *Report) formatStallOverBound(group []Outcome) string {
	if group[0].Policy == "bound" {
		return "1.00"
	}
	return formatFigure(group, func(o Outcome) float64 { return o.LoadStall / max(o.Bound, 1e-9) })
}

// formatClasses returns the mean shares of requests in time by class as a table cell.
func formatClasses(group []Outcome) string {
	var names []string
	for name := range group[0].ByClass {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		value, _ := meanAndSpread(group, func(o Outcome) float64 { return o.ByClass[name] })
		names[i] = fmt.Sprintf("%s %.2f", name, value)
	}
	return strings.Join(names, " ")
}

// WriteLines writes the outcomes to a file, one JSON object a line. JSON has no NaN,
// so a BatchUse of NaN is written as 0.
func (r *Report) WriteLines(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	encoder := json.NewEncoder(file)
	for _, o := range r.Outcomes {
		if math.IsNaN(o.BatchUse) {
			o.BatchUse = 0
		}
		if err := encoder.Encode(o); err != nil {
			return err
		}
	}
	return file.Sync()
}

// WritePlot writes an image of the p95 of the stall against the load, with a line for
// each policy, for Kurswerk's mix with exponent 1.0, 8 slots and no disturbance. The
// extension of the path selects the format.
func (r *Report) WritePlot(path string) error {
	p := plot.New()
	p.Title.Text = "Load stall, Kurswerk's mix, Zipf 1.0, 9 engines with 8 slots"
	p.X.Label.Text, p.Y.Label.Text = "load (1 = capacity of the clairvoyant run)", "p95 of the load stall (s)"
	p.Legend.Top, p.Legend.Left = true, true
	lines := make(map[string]plotter.XYs)
	var names []string
	for _, group := range r.groupsBySeed() {
		first := group[0]
		if first.Mix != "kurswerk" || first.Exponent != 1.0 || first.Slots != 8 || first.Disturbance != Steady {
			continue
		}
		if lines[first.Policy] == nil {
			names = append(names, first.Policy)
		}
		value, _ := meanAndSpread(group, func(o Outcome) float64 { return o.StallP95 })
		lines[first.Policy] = append(lines[first.Policy], plotter.XY{X: first.Load, Y: value})
	}
	var arguments []any
	for _, name := range names {
		arguments = append(arguments, name, lines[name])
	}
	if err := plotutil.AddLinePoints(p, arguments...); err != nil {
		return err
	}
	return p.Save(8*vg.Inch, 5*vg.Inch, path)
}
