package fleet

// A HostState is the state of an entry host or a backend server as its peers see it.
type HostState string

// The states of a host.
const (
	HostLive        HostState = "live"
	HostLeaving     HostState = "leaving"
	HostUnreachable HostState = "silent"
	HostGone        HostState = "gone"
)

// A Host is an entry host.
type Host struct {
	// Name is never empty.
	Name HostName `json:"name"`
	// Start identifies the process; a host replaced under the same name has a
	// higher Start.
	Start StartNumber `json:"start"`
	// FailureDomain is the failure domain that the host stands in.
	FailureDomain FailureDomainName `json:"failure-domain"`
	// Region is the region of FailureDomain.
	Region RegionName `json:"region"`
	// PeerAddress is the IP address and port for other entry hosts.
	PeerAddress string `json:"peer-address"`
	// State never goes back from leaving to live for the same Start.
	State HostState `json:"state"`
}
