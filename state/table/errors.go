package table

import "errors"

// The errors of reads and transactions. Each is returned wrapped together with its
// cause.
var (
	// ErrUnavailable means that there is proof that the operation had no effect.
	ErrUnavailable = errors.New("table unavailable")
	// ErrOutcomeUnknown means that a transaction may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("table outcome unknown")
)
