// Package verdict has the verdicts and the error type with which a request ends. They
// say whether the request may have run on a backend server, and what failed.
package verdict

// A Verdict says whether a request has run on a backend server. Callers decide by it
// whether they may send the request again.
type Verdict string

// The three verdicts.
const (
	// NotRun means that there is proof that the request did not run.
	NotRun Verdict = "not-run"
	// Ran means that the request ran and that its whole answer was received.
	Ran Verdict = "ran"
	// MayHaveRun means that there is no proof of either.
	MayHaveRun Verdict = "may-have-run"
)
