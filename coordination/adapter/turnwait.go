package adapter

import (
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	// minReadShare is the share of an engine's reading that less urgent requests get while
	// more urgent ones would take all of it.
	minReadShare = 0.05
	// minLessUrgentInterval is the least time between two less urgent requests that go
	// before more urgent ones. Short prompts would otherwise always do.
	minLessUrgentInterval = 500 * time.Millisecond
)

// promoteLessUrgent puts the less urgent request that has waited longest before the others when
// the share of such requests is due. The pending requests are sorted.
func (e *engine) promoteLessUrgent(now time.Time) {
	if len(e.pending) == 0 || now.Before(e.lessUrgentDue) {
		return
	}
	mostUrgent, longest := e.pending[0].request.Priority, -1
	for i, d := range e.pending {
		if d.request.Priority == mostUrgent || !e.mayBePromoted(d, now) {
			continue
		}
		if longest < 0 || d.lastUse.Before(e.pending[longest].lastUse) {
			longest = i
		}
	}
	if longest > 0 {
		promoted := e.pending[longest]
		e.pending = slices.Insert(slices.Delete(e.pending, longest, longest+1), 0, promoted)
	}
}

// mayBePromoted reports whether a pending request can be admitted next: the owner may judge it by
// its time, the engine has its adapter, and it still waits.
func (e *engine) mayBePromoted(d *pendingRequest, now time.Time) bool {
	if d.request.TimeLeft <= 0 || isForPlainServer(d.request) {
		return false
	}
	return e.hasAdapter(d.request) && !d.isAbandoned(now)
}

// recordLessUrgent records that a request was admitted that may not be of the most urgent ones.
func (e *engine) recordLessUrgent(r site.PlaceRequest, now time.Time) {
	if r.Priority > 0 {
		interval := time.Duration(float64(r.PromptTokens) / (minReadShare * e.readRate.tokensPerMilli) * float64(time.Millisecond))
		e.lessUrgentDue = now.Add(max(interval, minLessUrgentInterval))
	}
}

// refuseWithoutTurn refuses the pending requests that would be read too late behind those before
// them, at once rather than when their time is up. Until then they would ask one engine after
// the other, and their callers would learn late when to come back.
func (e *engine) refuseWithoutTurn(now time.Time) {
	if !e.stateKnown || len(e.pending) == 0 {
		return
	}
	e.dropOldAdmissions(now)
	before := 0
	e.refusePending(func(d *pendingRequest, _ int) *verdict.Error {
		if !e.hasAdapter(d.request) {
			return nil
		}
		wait := e.turnWait(before+d.request.PromptTokens, d.request.Priority, now)
		if d.request.TimeLeft <= 0 || !now.Add(wait).After(d.lastUse) {
			before += d.request.PromptTokens
			return nil
		}
		return &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeOverloaded, RetryAfter: wait,
			Message: "engine " + string(e.server.ID) + " reads the prompts of other requests until it is too late",
		}
	})
}

// turnWait returns how long the engine needs to be given the tokens, beside the more urgent
// requests that come as they did within loadWindow.
func (e *engine) turnWait(tokens, priority int, now time.Time) time.Duration {
	urgent := 0
	for _, a := range e.admissions {
		if a.priority < priority {
			urgent += a.tokens
		}
	}
	share := max(1-float64(urgent)/e.readRate.tokensIn(loadWindow), minReadShare)
	missing := float64(tokens) - e.readRate.creditAtTime(now)
	return max(time.Duration(missing/(share*e.readRate.tokensPerMilli)*float64(time.Millisecond)), 0)
}
