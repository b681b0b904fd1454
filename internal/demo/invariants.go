package demo

import (
	"fmt"
	"io"
	"strings"

	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// An invariant is one line of the design page's invariants as it held in a run.
type invariant struct {
	name string
	// count is the number of cases that were checked; an invariant without
	// cases is not shown to hold.
	count  int
	unit   string
	broken []string
}

// A judgement is what the stand-ins' records say of a run.
type judgement []invariant

// judge compares what callers were told with the stand-ins' records.
func judge(s *system, c *callers, course *course) judgement {
	return judgement{
		judgeInstances(s, c),
		judgeEvictions(s, c),
		judgeAnswers(c),
		judgeNotRun(s, c),
		judgeOnce(s, c),
		judgeLeaving(s, c, course),
		judgeStop(c, course),
		judgeConfiguration(course),
	}
}

// detailLimit is the number of broken cases that are printed for an invariant.
const detailLimit = 5

// write prints a line for each invariant and says whether all held.
func (j judgement) write(w io.Writer) bool {
	all := true
	for _, i := range j {
		state := "held"
		switch {
		case len(i.broken) > 0:
			state = "BROKEN"
		case i.count == 0:
			state = "NOT SHOWN"
		}
		all = all && state == "held"
		_, _ = fmt.Fprintf(w, "%-10s %-58s %d %s\n", state, i.name, i.count, i.unit)
		for _, detail := range i.broken[:min(len(i.broken), detailLimit)] {
			_, _ = fmt.Fprintf(w, "           %s\n", detail)
		}
		if hidden := len(i.broken) - detailLimit; hidden > 0 {
			_, _ = fmt.Fprintf(w, "           and %d more\n", hidden)
		}
	}
	return all
}

func judgeInstances(s *system, c *callers) invariant {
	i := invariant{name: "each request ran on its adapter and version", unit: "answers checked"}
	i.count = c.whole()
	for _, violation := range s.violations() {
		if strings.Contains(violation, "asked for") {
			i.broken = append(i.broken, violation)
		}
	}
	return i
}

func judgeEvictions(s *system, c *callers) invariant {
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
			i.broken = append(i.broken, violation)
		}
	}
	return i
}

func judgeAnswers(c *callers) invariant {
	i := invariant{name: "each caller got the whole answer to its own request", count: c.whole(), unit: "answers checked"}
	for _, r := range c.all() {
		if r.wrong != "" {
			i.broken = append(i.broken, r.wrong)
		}
	}
	return i
}

// judgeNotRun checks bookings whose every try was told not-run.
func judgeNotRun(s *system, c *callers) invariant {
	i := invariant{name: `"not run" was true`, unit: "tries told not-run, of bookings"}
	for _, b := range c.bookings {
		all := true
		for _, try := range b.tries {
			if try.verdict == verdict.NotRun {
				i.count++
			} else {
				all = false
			}
		}
		if runs := s.runs(b); all && runs > 0 {
			i.broken = append(i.broken, fmt.Sprintf("booking %s was told not-run and ran %d times", b.id, runs))
		}
	}
	return i
}

func judgeOnce(s *system, c *callers) invariant {
	i := invariant{name: "requests that may not be repeated ran at most once", count: len(c.bookings), unit: "bookings"}
	for _, b := range c.bookings {
		runs := s.runs(b)
		if runs > 1 {
			i.broken = append(i.broken, fmt.Sprintf("booking %s ran %d times", b.id, runs))
		}
		last := b.tries[len(b.tries)-1]
		if last.verdict == verdict.Ran && runs != 1 {
			i.broken = append(i.broken, fmt.Sprintf("booking %s was told ran and ran %d times", b.id, runs))
		}
	}
	return i
}

func judgeLeaving(s *system, c *callers, course *course) invariant {
	i := invariant{name: "a leaving backend server got no new work after 3 s", unit: "bookings started after that"}
	for _, v := range s.services {
		if v.name != course.leaving {
			continue
		}
		for _, b := range c.bookings {
			if b.started.Sub(course.listed) > leaveLimit {
				i.count++
			}
		}
		if late := v.lastArrival().Sub(course.listed); late > leaveLimit {
			i.broken = append(i.broken, fmt.Sprintf("server %s got work %s after the host list showed it", v.name, late))
		}
	}
	return i
}

func judgeStop(c *callers, course *course) invariant {
	i := invariant{name: "a planned stop cut off no request", unit: "requests at the stopped host"}
	for _, r := range c.all() {
		if r.host != course.stopped {
			continue
		}
		i.count++
		if r.cut {
			i.broken = append(i.broken, fmt.Sprintf("a request of kind %s at host %s was cut off", r.kind, r.host))
		}
	}
	if course.failure != nil {
		i.broken = append(i.broken, course.failure.Error())
	}
	return i
}

func judgeConfiguration(course *course) invariant {
	i := invariant{name: "an accepted configuration was in force and never reverted", count: course.readings, unit: "readings"}
	if course.inForce == 0 {
		i.broken = append(i.broken, "the change was not in force everywhere in time")
	}
	if course.reverts > 0 {
		i.broken = append(i.broken, fmt.Sprintf("%d readings were below an earlier one", course.reverts))
	}
	return i
}

// all returns the results of all tries.
func (c *callers) all() []result {
	all := append([]result{}, c.results...)
	for _, b := range c.bookings {
		all = append(all, b.tries...)
	}
	return all
}

// whole returns the number of answers that were received and checked.
func (c *callers) whole() int {
	count := 0
	for _, r := range c.all() {
		if r.verdict == verdict.Ran {
			count++
		}
	}
	return count
}

func (s *system) violations() []string {
	var all []string
	for _, e := range s.engines {
		all = append(all, e.Violations()...)
	}
	return all
}

// runs returns how often a booking ran on all backend servers together.
func (s *system) runs(b bookingRecord) int {
	total := 0
	for _, v := range s.services {
		total += v.Runs(string(b.id))
	}
	for _, e := range s.engines {
		total += e.Runs(string(b.run))
	}
	return total
}
