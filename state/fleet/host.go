package fleet

// A HostState is the state of an entry host or a backend server as its peers see it.
type HostState string

// The states of an entry host or a backend server.
const (
	// HostLive means that the host is heard from and takes new work.
	HostLive HostState = "live"
	// HostLeaving means that the host is stopping as planned.
	HostLeaving HostState = "leaving"
	// HostUnreachable means that nothing is heard from the host.
	HostUnreachable HostState = "silent"
	// HostGone means that the process has ended: the platform lists it as gone
	// and nothing is heard from it, or a later process has its address.
	HostGone HostState = "gone"
)

// A Host is one process of an entry host. The host sets the fields in its own
// heartbeats; other hosts set State to what they know of it.
type Host struct {
	// Name is never empty.
	Name HostName `json:"name"`
	// Start identifies the process; a host replaced under the same name has a
	// higher Start.
	Start StartNumber `json:"start"`
	// FailureDomain is the failure domain that the host is in.
	FailureDomain FailureDomainName `json:"failure-domain"`
	// Region is the region of FailureDomain.
	Region RegionName `json:"region"`
	// PeerAddress is the IP address and port on which the host accepts connections
	// of other entry hosts; empty while it is not known.
	PeerAddress string `json:"peer-address"`
	// State never goes back from leaving to live for the same Start.
	State HostState `json:"state"`
}
