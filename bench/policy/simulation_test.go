package policy

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

var (
	scaleFlag  = flag.String("scale", "check", "check, quick or full")
	mixFlag    = flag.String("mix", "", "run only scenarios whose label contains this")
	policyFlag = flag.String("policy", "", "run only policies whose names contain one of these, separated by commas")
	outputFlag = flag.String("output", "", "directory for the JSON lines and the plot")
)

// runPolicy runs one policy in one scenario, in virtual time, and returns its outcome.
func runPolicy(t *testing.T, s Scenario, p Policy) (o Outcome) {
	synctest.Test(t, func(t *testing.T) {
		simulation := &Simulation{Scenario: s, Policy: p}
		samples, stats := simulation.Run(t.Context())
		o = summarize(s, p.Name, samples, stats)
	})
	return o
}

// scenarios returns the scenarios of a scale (check, quick or full) whose labels
// contain the flag mix, with their capacities.
func scenarios(scale string) []Scenario {
	var list []Scenario
	capacities := make(map[string]float64)
	add := func(mix string, exponent float64, slots int, load float64, d Disturbance, seeds int) {
		for seed := range seeds {
			s := Scenario{
				Mix: mix, Exponent: exponent, Engines: 9, Slots: slots, Load: load, Disturbance: d,
				Seed: uint64(seed + 1), Warmup: 6 * time.Minute, Length: 4 * time.Minute,
			}
			if d == Shift {
				s.Length = 8 * time.Minute
			}
			if scale == "check" {
				s.Warmup, s.Length = 30*time.Second, time.Minute
			}
			if !strings.Contains(s.label(), *mixFlag) {
				continue
			}
			key := fmt.Sprint(mix, exponent, slots)
			if capacities[key] == 0 {
				s.MeasureCapacity()
				capacities[key] = s.Capacity
			}
			s.Capacity = capacities[key]
			list = append(list, s)
		}
	}
	mixes := []string{"kurswerk", "medna-ploscha"}
	switch scale {
	case "check":
		add("kurswerk", 1.0, 8, 0.8, Steady, 1)
	case "quick":
		for _, mix := range mixes {
			add(mix, 1.0, 8, 0.8, Steady, 2)
			add(mix, 1.0, 8, 3.0, Steady, 1)
		}
		add("kurswerk", 1.0, 8, 0.8, Shift, 1)
	case "full":
		for _, mix := range mixes {
			for _, exponent := range []float64{0.8, 1.0, 1.2} {
				for _, load := range []float64{0.5, 0.8, 1.0, 1.5, 3.0} {
					add(mix, exponent, 8, load, Steady, 3)
				}
			}
			for _, slots := range []int{4, 16} {
				add(mix, 1.0, slots, 0.8, Steady, 3)
			}
			for _, d := range []Disturbance{Bursts, Shift, Cold, Outage, Cut} {
				add(mix, 1.0, 8, 0.8, d, 3)
			}
		}
	}
	return list
}

// TestPolicies runs the product's policy and the baselines on the same arrivals. It
// guards against a product policy that answers less than half of the requests in time
// below capacity, and against any policy with more loads than the weight store's rate.
func TestPolicies(t *testing.T) {
	c := quicktest.New(t)
	var mutex sync.Mutex
	var outcomes []Outcome
	list := scenarios(*scaleFlag)
	t.Run("runs", func(t *testing.T) {
		for _, s := range list {
			clairvoyant := boundOutcome(s)
			outcomes = append(outcomes, clairvoyant)
			for _, p := range policies() {
				if !slices.ContainsFunc(strings.Split(*policyFlag, ","), func(part string) bool { return strings.Contains(p.Name, part) }) {
					continue
				}
				t.Run(s.label()+"/"+p.Name, func(t *testing.T) {
					t.Parallel()
					o := runPolicy(t, s, p)
					o.Bound, o.BoundP95 = clairvoyant.LoadStall, clairvoyant.StallP95
					mutex.Lock()
					defer mutex.Unlock()
					outcomes = append(outcomes, o)
				})
			}
		}
	})
	for _, o := range outcomes {
		if o.Policy == "bound" {
			// The clairvoyant policy's loads after the last arrival are divided by the
			// duration of the arrivals too, so they can exceed the rate.
			continue
		}
		c.Check(o.Loads <= o.LoadRate()*1.05, quicktest.IsTrue, quicktest.Commentf("%s %s: %.2f loads per second", o.label(), o.Policy, o.Loads))
		if o.Policy == ProductPolicy && o.Load < 1 && o.Disturbance == Steady {
			c.Check(o.InTime > 0.5, quicktest.IsTrue, quicktest.Commentf("%s: %.2f in time", o.label(), o.InTime))
		}
	}
	slices.SortStableFunc(outcomes, compareOutcomes)
	report := newReport(outcomes)
	if testing.Verbose() {
		report.WriteTable(os.Stdout)
	}
	if *outputFlag != "" {
		c.Assert(os.MkdirAll(*outputFlag, 0o755), quicktest.IsNil)
		table, err := os.Create(filepath.Join(*outputFlag, "policy.txt"))
		c.Assert(err, quicktest.IsNil)
		report.WriteTable(table)
		c.Assert(table.Close(), quicktest.IsNil)
		c.Assert(report.WriteLines(filepath.Join(*outputFlag, "policy.jsonl")), quicktest.IsNil)
		c.Assert(report.WritePlot(filepath.Join(*outputFlag, "stall.svg")), quicktest.IsNil)
	}
}
