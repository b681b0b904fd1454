package table

import "errors"

// The errors of reads and transactions. Both are wrapped with their cause.
var (
	// ErrUnavailable means that the operation had no effect.
	ErrUnavailable = errors.New("table unavailable")
	// ErrOutcomeUnknown means that a transaction may have taken effect.
	ErrOutcomeUnknown = errors.New("table outcome unknown")
)
