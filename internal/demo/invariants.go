package demo

import (
	"fmt"
	"io"
	"strings"

	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// An invariant is one of the design page's invariants with the result of its check.
type invariant struct {
	name string
	// count is the number of cases that were checked. A run without any case does not
	// show that the invariant holds.
	count int
	unit  string
	// violations describe the cases in which the invariant did not hold.
	violations []string
}

// invariantChecks are the results of the checks of a run.
type invariantChecks []invariant

// checkInvariants checks all invariants by comparing the answers that callers received
// with the stand-ins' records.
func checkInvariants(s *system, c *callers, outcome *faultOutcome) invariantChecks {
	return invariantChecks{
		checkInstances(s, c),
		checkEvictions(s, c),
		checkAnswers(c),
		checkNotRun(s, c),
		checkRunsOnce(s, c),
		checkLeavingServer(s, c, outcome),
		checkPlannedStop(c, outcome),
		checkConfiguration(outcome),
	}
}

// maxPrintedViolations bounds the violations that are printed for each invariant.
const maxPrintedViolations = 5

// write prints a line for each invariant, with its violations, and reports whether all
// invariants were shown to hold.
func (checks invariantChecks) write(w io.Writer) bool {
	all := true
	for _, i := range checks {
		state := "held"
		switch {
		case len(i.violations) > 0:
			state = "BROKEN"
		case i.count == 0:
			state = "NOT SHOWN"
		}
		all = all && state == "held"
		_, _ = fmt.Fprintf(w, "%-10s %-58s %d %s\n", state, i.name, i.count, i.unit)
		for _, detail := range i.violations[:min(len(i.violations), maxPrintedViolations)] {
			_, _ = fmt.Fprintf(w, "           %s\n", detail)
		}
		if hidden := len(i.violations) - maxPrintedViolations; hidden > 0 {
			_, _ = fmt.Fprintf(w, "           and %d more\n", hidden)
		}
	}
	return all
}

// checkInstances takes from the engines' records which requests ran on another instance
// than they asked for.
func checkInstances(s *system, c *callers) invariant {
	i := invariant{name: "each request ran on its adapter and version", unit: "answers checked"}
	i.count = c.answerCount()
	for _, violation := range s.violations() {
		if strings.Contains(violation, "asked for") {
			i.violations = append(i.violations, violation)
		}
	}
	return i
}

// checkEvictions takes from the engines' records which adapters were unloaded while they
// served a request. Only loads beyond the slots of the engines need an eviction, so it
// counts those as cases.
func checkEvictions(s *system, c *callers) invariant {
	i := invariant{name: "no adapter was evicted while it served a request", unit: "loads beyond the slots of the engines"}
	loads, _ := s.platform.Weights.Loads()
	for _, number := range loads {
		i.count += number
	}
	for _, engine := range s.initial.Engines {
		i.count -= engine.AdapterSlots
	}
	for _, violation := range s.violations() {
		if strings.Contains(violation, "unloaded") {
			i.violations = append(i.violations, violation)
		}
	}
	return i
}

// checkAnswers collects the answers that callers found to be incomplete or not their own.
func checkAnswers(c *callers) invariant {
	i := invariant{name: "each caller got the whole answer to its own request", count: c.answerCount(), unit: "answers checked"}
	for _, r := range c.allResults() {
		if r.mismatch != "" {
			i.violations = append(i.violations, r.mismatch)
		}
	}
	return i
}

// checkNotRun checks that no booking ran if every attempt was answered with not-run.
func checkNotRun(s *system, c *callers) invariant {
	i := invariant{name: `"not run" was true`, unit: "tries told not-run, of bookings"}
	for _, b := range c.bookings {
		all := true
		for _, a := range b.attempts {
			if a.verdict == verdict.NotRun {
				i.count++
			} else {
				all = false
			}
		}
		if runs := s.runs(b); all && runs > 0 {
			i.violations = append(i.violations, fmt.Sprintf("booking %s was told not-run and ran %d times", b.id, runs))
		}
	}
	return i
}

// checkRunsOnce checks that no booking ran more than once, and that one answered with ran
// did run.
func checkRunsOnce(s *system, c *callers) invariant {
	i := invariant{name: "requests that may not be repeated ran at most once", count: len(c.bookings), unit: "bookings"}
	for _, b := range c.bookings {
		runs := s.runs(b)
		if runs > 1 {
			i.violations = append(i.violations, fmt.Sprintf("booking %s ran %d times", b.id, runs))
		}
		last := b.attempts[len(b.attempts)-1]
		if last.verdict == verdict.Ran && runs != 1 {
			i.violations = append(i.violations, fmt.Sprintf("booking %s was told ran and ran %d times", b.id, runs))
		}
	}
	return i
}

// checkLeavingServer checks that the leaving server got its last new work within
// leavingGracePeriod.
func checkLeavingServer(s *system, c *callers, outcome *faultOutcome) invariant {
	i := invariant{name: "a leaving backend server got no new work after 3 s", unit: "bookings started after that"}
	for _, v := range s.services {
		if v.name != outcome.leavingServer {
			continue
		}
		for _, b := range c.bookings {
			if b.started.Sub(outcome.listedAt) > leavingGracePeriod {
				i.count++
			}
		}
		if late := v.lastArrival().Sub(outcome.listedAt); late > leavingGracePeriod {
			i.violations = append(i.violations, fmt.Sprintf("server %s got work %s after the host list showed it", v.name, late))
		}
	}
	return i
}

// checkPlannedStop checks that all requests sent to the host that was stopped got an
// answer or a refusal, and that no fault failed to be injected.
func checkPlannedStop(c *callers, outcome *faultOutcome) invariant {
	i := invariant{name: "a planned stop cut off no request", unit: "requests at the stopped host"}
	for _, r := range c.allResults() {
		if r.host != outcome.stoppedHost {
			continue
		}
		i.count++
		if r.cutOff {
			i.violations = append(i.violations, fmt.Sprintf("a request of kind %s at host %s was cut off", r.kind, r.host))
		}
	}
	if outcome.failure != nil {
		i.violations = append(i.violations, outcome.failure.Error())
	}
	return i
}

// checkConfiguration checks that the change was applied everywhere in time and that no
// host went back to a lower revision.
func checkConfiguration(outcome *faultOutcome) invariant {
	i := invariant{name: "an accepted configuration was in force and never reverted", count: outcome.readings, unit: "readings"}
	if outcome.appliedDelay == 0 {
		i.violations = append(i.violations, "the change was not in force everywhere in time")
	}
	if outcome.reverts > 0 {
		i.violations = append(i.violations, fmt.Sprintf("%d readings were below an earlier one", outcome.reverts))
	}
	return i
}

// allResults returns the results of all chat requests and of all attempts of bookings. It
// must not be called while requests are in flight.
func (c *callers) allResults() []result {
	all := append([]result{}, c.results...)
	for _, b := range c.bookings {
		all = append(all, b.attempts...)
	}
	return all
}

// answerCount returns the number of answers that were received and compared with the
// expected ones.
func (c *callers) answerCount() int {
	count := 0
	for _, r := range c.allResults() {
		if r.verdict == verdict.Ran {
			count++
		}
	}
	return count
}

// violations returns the violations that all engines recorded.
func (s *system) violations() []string {
	var all []string
	for _, e := range s.engines {
		all = append(all, e.Violations()...)
	}
	return all
}

// runs returns the number of times that a booking ran, on all backend servers together.
func (s *system) runs(b bookingRecord) int {
	total := 0
	for _, v := range s.services {
		total += v.Runs(string(b.id))
	}
	for _, e := range s.engines {
		total += e.Runs(string(b.runID))
	}
	return total
}
