package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/persimmonmux/persimmonmux/standin/site"
)

// A run is the record that a server makes when it starts to run a request.
type run = site.Record

// A span is a period of time without faults, in which the promises for such periods
// have to hold. Both ends are excluded.
type span struct {
	from, until time.Time
}

func (s span) contains(t time.Time) bool {
	return t.After(s.from) && t.Before(s.until)
}

// evidence holds what callers and servers recorded in a run of the soak test, and the
// promises that it is checked against.
type evidence struct {
	attempts []*attempt
	records  []site.Record
	// calm lists the spans with planned work and without faults.
	calm     []span
	promises []promise
}

// countRuns returns the number of runs at all servers.
func (e *evidence) countRuns() int {
	count := 0
	for i := range e.records {
		if e.records[i].Kind == site.Ran {
			count++
		}
	}
	return count
}

// attemptsPerRequest is the maxAttempts of the routes whose requests may run again.
const attemptsPerRequest = 2

// findBrokenPromises returns a description of each broken promise, which begins with
// the name of the promise.
func findBrokenPromises(e *evidence) []string {
	var broken []string
	note := func(promise, format string, arguments ...any) {
		broken = append(broken, promise+": "+fmt.Sprintf(format, arguments...))
	}
	byID := make(map[string]*attempt, len(e.attempts))
	for _, a := range e.attempts {
		byID[a.id] = a
	}
	runs, ends := make(map[string][]*run), make(map[string][]*site.Record)
	for i := range e.records {
		r := &e.records[i]
		switch r.Kind {
		case site.Fault:
			note("orders", "%s: %s", r.Server, r.Reason)
			continue
		case site.Ended:
			ends[r.Attempt] = append(ends[r.Attempt], r)
			continue
		}
		runs[r.Attempt] = append(runs[r.Attempt], r)
		checkRun(e, r, byID[r.Attempt], note)
	}
	checkQuota(e.records, note)
	for _, a := range e.attempts {
		checkAttempt(e, a, runs[a.id], note)
		checkOverlap(e, a, runs[a.id], ends[a.id], note)
	}
	return broken
}

// overlapLimit is how long an engine may work on a stream after another one has begun to.
const overlapLimit = 400 * time.Millisecond

// checkOverlap checks that no two servers work on an attempt at once, unless faults keep the first
// one from learning that its connection is closed.
func checkOverlap(e *evidence, a *attempt, runs []*run, ends []*site.Record, note func(promise, format string, arguments ...any)) {
	for _, end := range ends {
		for _, r := range runs {
			if r.Server == end.Server || !r.At.After(startOf(end, runs)) || end.At.Sub(r.At) <= overlapLimit || !e.isCalm(a.sent) || !e.isCalm(end.At) {
				continue
			}
			note("one server at a time", "%s %s at %s: %s worked on it for %s after %s had begun", a.kind, a.id, a.host, end.Server, end.At.Sub(r.At), r.Server)
		}
	}
}

// startOf returns the start of the run with the end: the last one before it at its server.
func startOf(end *site.Record, runs []*run) time.Time {
	var start time.Time
	for _, r := range runs {
		if r.Server == end.Server && r.Born == end.Born && r.At.Before(end.At) && r.At.After(start) {
			start = r.At
		}
	}
	return start
}

// checkRun checks a run against the attempt that it belongs to, and against the
// promises of the planned work. The attempt is nil if no caller made it.
func checkRun(e *evidence, r *run, a *attempt, note func(promise, format string, arguments ...any)) {
	if a == nil && strings.Contains(r.Attempt, recoveryMark) {
		return
	}
	if a == nil {
		note("asked", "%s ran %q, which nobody sent", r.Server, r.Attempt)
		return
	}
	if want := "/" + string(a.kind) + "/x?id=" + a.id; r.Target != want {
		note("unchanged", "%s ran %s as %q", r.Server, a.id, r.Target)
	}
	if a.kind.isStreaming() && r.Adapter != a.adapter {
		note("adapter", "%s ran %s on adapter %s, not %s", r.Server, a.id, r.Adapter, a.adapter)
	}
	if a.organisation == "" {
		note("keys", "%s ran %s, whose key belongs to no organisation", r.Server, a.id)
	} else if r.Organisation != a.organisation {
		note("keys", "%s ran %s of organisation %s as one of %q", r.Server, a.id, a.organisation, r.Organisation)
	}
	if r.HasKey {
		note("keys", "%s got the key of %s", r.Server, a.id)
	}
	for _, p := range e.promises {
		if r.At.After(p.from.Add(deliveryDelay)) && (p.until.IsZero() || r.At.Before(p.until)) && e.isCalm(r.At) && p.isBroken(r, a) {
			note(p.name, "%s of %s ran %s on adapter %s@%d at %s, promised from %s", r.Server, r.Service, a.id, r.Adapter, r.Version,
				r.At.Format(time.TimeOnly+".000"), p.from.Format(time.TimeOnly+".000"))
		}
	}
}

// checkAttempt checks an attempt against all runs that belong to it.
func checkAttempt(e *evidence, a *attempt, runs []*run, note func(promise, format string, arguments ...any)) {
	if a.mismatch != "" {
		note("own answer", "%s %s at %s: %s", a.kind, a.id, a.host, a.mismatch)
	}
	if a.kind.runsAtMostOnce() && len(runs) > 1 {
		note("at most once", "%s %s at %s ran %d times", a.kind, a.id, a.host, len(runs))
	}
	if a.isRefused() && len(runs) > 0 {
		note("refusals are true", "%s %s at %s was answered %d and ran on %s", a.kind, a.id, a.host, a.status, runs[0].Server)
	}
	if a.status == http.StatusUnauthorized && (a.organisation == trustedOrganisation || a.organisation == limitedOrganisation) {
		note("keys", "%s %s at %s was refused for its key, which was valid all the time", a.kind, a.id, a.host)
	}
	if a.complete && len(runs) == 0 {
		note("own answer", "%s %s at %s was answered and ran nowhere", a.kind, a.id, a.host)
	}
	if len(runs) > attemptsPerRequest && e.isCalm(a.sent) && e.isCalm(a.ended) {
		note("attempts", "%s %s at %s ran %d times", a.kind, a.id, a.host, len(runs))
	}
	if a.status == 0 && !a.dialFailed && len(runs) > 0 && e.isCalm(a.sent) && e.isCalm(a.ended) && a.ended.Sub(a.sent) < callerTimeout-time.Second && !a.abandoned {
		note("planned stops cut nothing off", "%s %s at %s, sent at %s: %v", a.kind, a.id, a.host, a.sent.Format(time.TimeOnly+".000"), a.failure)
	}
}

// isCalm reports whether a time lies in a span without faults.
func (e *evidence) isCalm(t time.Time) bool {
	for _, s := range e.calm {
		if s.contains(t) {
			return true
		}
	}
	return false
}
