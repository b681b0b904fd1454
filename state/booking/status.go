package booking

// A ClaimStatus is what the host that made a claim knows of it. Another host that
// finds the claim in the table queries it, to learn whether the request may still run.
type ClaimStatus string

// The statuses of a claim at the host that made it.
const (
	// StatusAbandoned means that the request did not run and never will under the
	// token of the claim.
	StatusAbandoned ClaimStatus = "abandoned"
	// StatusRunning means that the request is running or that its outcome is being
	// recorded.
	StatusRunning ClaimStatus = "running"
	// StatusUnknown means that the host does not know the token of the claim.
	StatusUnknown ClaimStatus = "unknown"
)
