package fleet

// A ListedRole says whether a listed host is an entry host or a backend server.
type ListedRole string

// The roles of listed hosts.
const (
	// RoleEntry is an entry host.
	RoleEntry ListedRole = "entry"
	// RoleBackend is a backend server.
	RoleBackend ListedRole = "backend"
)

// A ListedHost is an entry host or a backend server in the answer of the platform's
// host list. The list lags behind the true state of the hosts.
type ListedHost struct {
	// Name is the name of the entry host, engine or server; it is unique.
	Name string `json:"name"`
	// Role is RoleEntry or RoleBackend.
	Role ListedRole `json:"role"`
	// Start identifies the process; 0 if the platform does not know it.
	Start StartNumber `json:"start"`
	// FailureDomain is the failure domain that the host is in.
	FailureDomain FailureDomainName `json:"failure-domain"`
	// Address is the IP address and port: an entry host's peer address, or a
	// backend server's HTTP interface.
	Address string `json:"address"`
	// State is HostLive or HostLeaving. A gone host is not listed.
	State HostState `json:"state"`
}
