package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/persimmonmux/persimmonmux/standin/site"
)

// A run is the beginning of a run as a server recorded it.
type run = site.Record

// A span is a time in which promises for calm times hold.
type span struct {
	from, until time.Time
}

func (s span) contains(t time.Time) bool {
	return t.After(s.from) && t.Before(s.until)
}

// evidence is what callers and servers saw.
type evidence struct {
	attempts []*attempt
	records  []site.Record
	// calm are the spans with planned work only.
	calm     []span
	promises []promise
}

// attemptsPerRequest is the maxAttempts of the routes whose requests may be repeated.
const attemptsPerRequest = 2

// judge returns each broken promise.
func judge(e *evidence) []string {
	var broken []string
	note := func(promise, format string, arguments ...any) {
		broken = append(broken, promise+": "+fmt.Sprintf(format, arguments...))
	}
	byID := make(map[string]*attempt, len(e.attempts))
	for _, a := range e.attempts {
		byID[a.id] = a
	}
	runs := make(map[string][]*run)
	for i := range e.records {
		r := &e.records[i]
		if r.Kind == site.Fault {
			note("orders", "%s: %s", r.Server, r.Reason)
			continue
		}
		runs[r.Attempt] = append(runs[r.Attempt], r)
		judgeRun(e, r, byID[r.Attempt], note)
	}
	for _, a := range e.attempts {
		judgeAttempt(e, a, runs[a.id], note)
	}
	return broken
}

func judgeRun(e *evidence, r *run, a *attempt, note func(promise, format string, arguments ...any)) {
	if a == nil && strings.Contains(r.Attempt, "-recovery-") {
		return
	}
	if a == nil {
		note("asked", "%s ran %q, which nobody sent", r.Server, r.Attempt)
		return
	}
	if want := "/" + string(a.kind) + "/x?id=" + a.id; r.Target != want {
		note("unchanged", "%s ran %s as %q", r.Server, a.id, r.Target)
	}
	if a.kind.streams() && r.Adapter != a.adapter {
		note("adapter", "%s ran %s on adapter %s, not %s", r.Server, a.id, r.Adapter, a.adapter)
	}
	for _, p := range e.promises {
		if r.At.After(p.from.Add(arrival)) && (p.until.IsZero() || r.At.Before(p.until)) && e.isCalm(r.At) && p.broken(r, a) {
			note(p.name, "%s of %s ran %s on adapter %s@%d at %s, promised from %s", r.Server, r.Service, a.id, r.Adapter, r.Version,
				r.At.Format(time.TimeOnly+".000"), p.from.Format(time.TimeOnly+".000"))
		}
	}
}

func judgeAttempt(e *evidence, a *attempt, runs []*run, note func(promise, format string, arguments ...any)) {
	if a.wrong != "" {
		note("own answer", "%s %s at %s: %s", a.kind, a.id, a.host, a.wrong)
	}
	if a.kind.once() && len(runs) > 1 {
		note("at most once", "%s %s at %s ran %d times", a.kind, a.id, a.host, len(runs))
	}
	if a.refused() && len(runs) > 0 {
		note("refusals are true", "%s %s at %s was answered %d and ran on %s", a.kind, a.id, a.host, a.status, runs[0].Server)
	}
	if a.whole && len(runs) == 0 {
		note("own answer", "%s %s at %s was answered and ran nowhere", a.kind, a.id, a.host)
	}
	if len(runs) > attemptsPerRequest && e.isCalm(a.sent) && e.isCalm(a.ended) {
		note("attempts", "%s %s at %s ran %d times", a.kind, a.id, a.host, len(runs))
	}
	if a.status == 0 && !a.unreached && len(runs) > 0 && e.isCalm(a.sent) && e.isCalm(a.ended) && a.ended.Sub(a.sent) < maxWait-time.Second && !a.left {
		note("planned stops cut nothing off", "%s %s at %s, sent at %s: %v", a.kind, a.id, a.host, a.sent.Format(time.TimeOnly+".000"), a.failure)
	}
}

func (e *evidence) isCalm(t time.Time) bool {
	for _, s := range e.calm {
		if s.contains(t) {
			return true
		}
	}
	return false
}
