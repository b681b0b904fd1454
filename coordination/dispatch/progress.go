package dispatch

import (
	"fmt"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// progress is what the tries of one request have in common.
type progress struct {
	tried     []fleet.EngineName
	loadStall time.Duration
	chunks    *countingSink
	// open is the grant under which the request may still run on an engine.
	// It is not released before the request has ended there.
	open *openRun
	// doubt is the last failure after which the request may have run.
	doubt *verdict.Error
	// unrouted says that no engine took the last try.
	unrouted bool
	// runs is the number of runs that were named, and resumed how often a stream
	// was to go on in its run.
	runs, resumed int
}

// resumes says that the next try goes on with a stream that the caller has begun
// to get.
func (p *progress) resumes() bool {
	return p.open != nil && p.chunks.count > 0
}

// An openRun is a run that an engine may still hold.
type openRun struct {
	// request names the run.
	request *request.Request
	grant   fleet.Grant
	// end is when the grant ends on this host's clock.
	end time.Time
}

// name returns the request with the id of its next run. A run that was given up
// may still be canceled and its grant released when the next one begins, so that
// the two must not have one id. A request that may not be repeated has a next
// run only if the one before did not run, and keeps its id for the records.
func (p *progress) name(r *request.Request) *request.Request {
	p.runs++
	if p.runs == 1 || !r.Repeatable() {
		return r
	}
	named := *r
	named.RunID = fleet.RequestID(fmt.Sprintf("%s-%d", r.RunID, p.runs))
	return &named
}

// note keeps the doubt of earlier tries: a request that may have run once stays
// so, even if its last try did not run.
func (p *progress) note(failure *verdict.Error) *verdict.Error {
	if failure.Verdict == verdict.MayHaveRun {
		p.doubt = failure
		return failure
	}
	if p.doubt == nil {
		return failure
	}
	doubtful := *failure
	doubtful.Verdict = verdict.MayHaveRun
	return &doubtful
}
