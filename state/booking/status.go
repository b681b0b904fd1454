package booking

// A ClaimStatus is what the host that made a claim knows of it.
type ClaimStatus string

// The statuses of a claim at the host that made it.
const (
	// StatusAbandoned means that the request did not run and never will under
	// this token.
	StatusAbandoned ClaimStatus = "abandoned"
	// StatusRunning means that the request runs or its outcome is being recorded.
	StatusRunning ClaimStatus = "running"
	// StatusUnknown means that the host does not know the token.
	StatusUnknown ClaimStatus = "unknown"
)
