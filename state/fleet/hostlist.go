package fleet

// A HostList is the platform's list of entry hosts and backend servers. It lags
// behind the true state of the hosts.
type HostList struct {
	// Hosts are the entry hosts. Their State is HostLive, HostLeaving or HostGone,
	// and their Region is empty.
	Hosts []Host `json:"hosts"`
	// Servers are the backend servers.
	Servers []ListedServer `json:"servers"`
}

// A ListedServer is a backend server in a HostList.
type ListedServer struct {
	// Name is unique in the deployment.
	Name string `json:"name"`
	// Start identifies the process; 0 if the platform does not know it.
	Start StartNumber `json:"start"`
	// State is HostLive, HostLeaving or HostGone.
	State HostState `json:"state"`
}
