package fleet

// A ListedRole says what a listed host does.
type ListedRole string

// The roles of listed hosts.
const (
	// RoleEntry is an entry host.
	RoleEntry ListedRole = "entry"
	// RoleBackend is a backend server.
	RoleBackend ListedRole = "backend"
)

// A ListedHost is an entry host or a backend server in the platform's host list.
// The list lags behind reality.
type ListedHost struct {
	// Name is the name of the entry host, engine or server; it is unique.
	Name string `json:"name"`
	// Role says what the host does.
	Role ListedRole `json:"role"`
	// Start is 0 where the platform does not know it.
	Start StartNumber `json:"start"`
	// FailureDomain is the failure domain that the host stands in.
	FailureDomain FailureDomainName `json:"failure-domain"`
	// Address is the IP address and port.
	Address string `json:"address"`
	// State is HostLive or HostLeaving. A gone host is not listed.
	State HostState `json:"state"`
}
