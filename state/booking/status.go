package booking

// A Status is what the host that made a claim knows of it.
type Status string

// The statuses of a claim at the host that made it.
const (
	// StatusAbandoned means that the request did not run and never will under
	// this token.
	StatusAbandoned Status = "abandoned"
	// StatusRunning means that the request runs or its outcome is being recorded.
	StatusRunning Status = "running"
	// StatusUnknown means that the host does not know the token.
	StatusUnknown Status = "unknown"
)
