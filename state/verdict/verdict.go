// Package verdict says, for every way a request can end, whether the request
// may have run on a backend server.
package verdict

// A Verdict says whether a request may have run.
type Verdict string

// The three verdicts.
const (
	// NotRun means that the request did not run; there is proof.
	NotRun Verdict = "not-run"
	// Ran means that the request ran and its whole answer is known.
	Ran Verdict = "ran"
	// MayHaveRun means that neither can be proved.
	MayHaveRun Verdict = "may-have-run"
)
