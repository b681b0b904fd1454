package dispatch

import (
	"fmt"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// progress is the state that the attempts of one request share. It is used by the
// goroutine of the request only.
type progress struct {
	// tried holds the engines that the next attempt does not use.
	tried []fleet.EngineName
	// loadStall is the total time that the request has waited for adapter loads.
	loadStall time.Duration
	chunks    *countingSink
	// open is the run that may still be in progress on an engine, or nil. Its
	// grant is not released before the run has ended.
	open *openRun
	// uncertainFailure is the last failure with verdict MayHaveRun, or nil.
	uncertainFailure *verdict.Error
	// routingFailed says that the router found no engine for the last attempt.
	routingFailed bool
	// runCount is the number of runs that got an id. resumeCount is how often
	// nextDelay was called for a stream to be resumed.
	runCount, resumeCount int
}

// isResuming reports whether the next attempt resumes a stream of which the caller
// already has at least one chunk.
func (p *progress) isResuming() bool {
	return p.open != nil && p.chunks.count > 0
}

// An openRun is a run that may be in progress on an engine.
type openRun struct {
	// request is the request with the id of the run.
	request *request.Request
	grant   fleet.Grant
	// grantExpiresAt is when the grant expires, on this host's clock.
	grantExpiresAt time.Time
}

// withRunID returns the request with the id of its next run. The cancellation of an
// abandoned run and the release of its grant may still be in progress when the
// next run begins, so that the two runs must have different ids. A request that
// may not be repeated is run again only if the previous run did not take place;
// it keeps its id for the records.
func (p *progress) withRunID(r *request.Request) *request.Request {
	p.runCount++
	if p.runCount == 1 || !r.Repeatable() {
		return r
	}
	next := *r
	next.RunID = fleet.RequestID(fmt.Sprintf("%s-%d", r.RunID, p.runCount))
	return &next
}

// recordFailure returns the failure of the request after the given failure of an
// attempt. Once an attempt has failed with MayHaveRun, the request keeps that
// verdict, even if its last attempt did not run.
func (p *progress) recordFailure(failure *verdict.Error) *verdict.Error {
	if failure.Verdict == verdict.MayHaveRun {
		p.uncertainFailure = failure
		return failure
	}
	if p.uncertainFailure == nil {
		return failure
	}
	uncertain := *failure
	uncertain.Verdict = verdict.MayHaveRun
	return &uncertain
}
