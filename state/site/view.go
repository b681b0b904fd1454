package site

import "strings"

// A Host is an entry host as the other hosts know it.
type Host struct {
	Name string `json:"name"`
	// Start identifies the process; a later process of the host has a higher one.
	Start int64 `json:"start"`
	// Address is where the host answers the other hosts.
	Address string `json:"address"`
	// Zone is the host's failure domain.
	Zone string `json:"zone"`
	// Region is the region of the zone.
	Region string `json:"region"`
	// OwnedZones has the zones whose engines the host orders, with the epochs of its
	// leases. Of two hosts that claim a zone, the higher epoch is right.
	OwnedZones map[string]uint64 `json:"owns,omitempty"`
}

// A View is what a host knows of the site at one time. It is not modified once
// it is published.
type View struct {
	// Desired is nil until a desired state is known.
	Desired *DesiredState
	// Servers has the servers that have announced themselves, leaving ones included.
	Servers map[ServerID]*Server
	// Versions has the adapter versions that requests are to begin on.
	Versions map[Adapter]int
	// Hosts has the entry hosts that registered, ended ones included.
	Hosts map[string]*Host
	// Owners has the host that orders for the engines of a zone.
	Owners map[string]*Host

	routes  map[string][]*Route
	members map[ServiceName][]*Server
}

// BuildIndex fills the lookup tables. It is called once, before the view is published.
func (v *View) BuildIndex() {
	v.routes = make(map[string][]*Route)
	if v.Desired != nil {
		for i := range v.Desired.Routes {
			r := &v.Desired.Routes[i]
			v.routes[r.Host] = append(v.routes[r.Host], r)
		}
	}
	v.members = make(map[ServiceName][]*Server)
	for _, server := range v.Servers {
		v.members[server.Service] = append(v.members[server.Service], server)
	}
	v.Owners = make(map[string]*Host)
	for _, host := range v.Hosts {
		for zone, epoch := range host.OwnedZones {
			if known := v.Owners[zone]; known == nil || known.OwnedZones[zone] < epoch {
				v.Owners[zone] = host
			}
		}
	}
}

// Route returns the route with the longest prefix of the path, or nil.
func (v *View) Route(host, path string) *Route {
	var best *Route
	for _, r := range v.routes[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// ServersOf returns the servers of a service, in no order.
func (v *View) ServersOf(service ServiceName) []*Server {
	return v.members[service]
}

// Service returns the service, or nil.
func (v *View) Service(name ServiceName) *Service {
	if v.Desired == nil {
		return nil
	}
	return v.Desired.Services[name]
}
