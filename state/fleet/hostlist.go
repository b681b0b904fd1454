package fleet

// A HostList is the platform's list of hosts. It lags behind reality.
type HostList struct {
	// Hosts are the entry hosts. State is live, leaving or gone.
	Hosts []Host `json:"hosts"`
	// Servers are the backend servers.
	Servers []ListedServer `json:"servers"`
}

// A ListedServer is a backend server as the platform lists it.
type ListedServer struct {
	// Name is unique in the deployment.
	Name string `json:"name"`
	// Start identifies the process; 0 where the platform does not know it.
	Start StartNumber `json:"start"`
	// State is live, leaving or gone.
	State HostState `json:"state"`
}
