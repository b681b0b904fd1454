package site

import "strings"

// A Host is the registration of an entry host, which the host writes to the
// platform's store for the other hosts.
type Host struct {
	// Name is unique in the site.
	Name string `json:"name"`
	// Start identifies the process; a later process of the host has a higher one.
	Start int64 `json:"start"`
	// Address is the address on which the host answers the other hosts.
	Address string `json:"address"`
	// Zone is the host's failure domain.
	Zone string `json:"zone"`
	// Region is the region of the zone.
	Region string `json:"region"`
	// OwnedZones has the zones whose engines the host sends orders to, each with
	// the epoch of its lease. Of two hosts that list a zone, the one with the
	// higher epoch owns it.
	OwnedZones map[string]uint64 `json:"owns,omitempty"`
}

// A View is a snapshot of what a host knows of the site. It is not modified once
// it is published.
type View struct {
	// Desired is nil until a desired state is known.
	Desired *DesiredState
	// KeysWereRequired says that this desired state or an earlier one that this process
	// knew requires keys, so that callers may send them.
	KeysWereRequired bool
	// Servers has the servers that have announced themselves, draining ones included.
	Servers map[ServerID]*Server
	// Versions has the versions of adapters and base models that operators
	// declared for new requests.
	Versions map[Adapter]int
	// Hosts has the entry hosts that registered, by name. Hosts that have ended
	// may still be listed.
	Hosts map[string]*Host
	// Owners has, for each zone, the host that sends orders to its engines.
	// BuildIndex sets it from Hosts.
	Owners map[string]*Host

	routesByHost     map[string][]*Route
	serversByService map[ServiceName][]*Server
	organisations    map[KeyDigest]*Organisation
}

// BuildIndex sets Owners and the maps behind Route, OrganisationOf and ServersOf from the
// other fields. It is called once, before the view is published.
func (v *View) BuildIndex() {
	v.BuildIndexAfter(&View{})
}

// BuildIndexAfter does the same, and takes what depends on the desired state only from the
// view before if that has the same one. Servers change much more often.
func (v *View) BuildIndexAfter(before *View) {
	if v.Desired == before.Desired {
		v.routesByHost, v.organisations = before.routesByHost, before.organisations
	} else {
		v.indexDesired()
	}
	v.serversByService = make(map[ServiceName][]*Server)
	for _, server := range v.Servers {
		v.serversByService[server.Service] = append(v.serversByService[server.Service], server)
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

// indexDesired sets the maps of routes and organisations.
func (v *View) indexDesired() {
	v.routesByHost = make(map[string][]*Route)
	v.organisations = make(map[KeyDigest]*Organisation)
	if v.Desired == nil {
		return
	}
	for i := range v.Desired.Routes {
		r := &v.Desired.Routes[i]
		v.routesByHost[r.Host] = append(v.routesByHost[r.Host], r)
	}
	for i := range v.Desired.Organisations {
		o := &v.Desired.Organisations[i]
		for _, key := range o.Keys {
			v.organisations[key] = o
		}
	}
}

// Route returns the route of the host with the longest prefix of the path, or nil
// if no route matches. The host is in lower case, without a port.
func (v *View) Route(host, path string) *Route {
	var best *Route
	for _, r := range v.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// KeyCount returns the number of keys of all organisations.
func (v *View) KeyCount() int {
	return len(v.organisations)
}

// OrganisationOf returns the organisation that the key belongs to, or nil if no
// organisation has it.
func (v *View) OrganisationOf(key KeyDigest) *Organisation {
	return v.organisations[key]
}

// ServersOf returns the servers of a service, draining ones included, in no order.
// The slice belongs to the view and must not be modified.
func (v *View) ServersOf(service ServiceName) []*Server {
	return v.serversByService[service]
}

// Service returns the service of the desired state, or nil if it has no service
// with the name.
func (v *View) Service(name ServiceName) *Service {
	if v.Desired == nil {
		return nil
	}
	return v.Desired.Services[name]
}
