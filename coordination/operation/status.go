package operation

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Freshness says how current an answer is.
type Freshness struct {
	// Host is the entry host that answered.
	Host fleet.HostName `json:"host"`
	// Revision is in force at the host; 0 means none.
	Revision configuration.Revision `json:"revision"`
	// Head is the highest accepted revision that the host knows.
	Head configuration.Revision `json:"head"`
	// PlatformUnreachable says that the platform did not confirm Head now.
	PlatformUnreachable bool `json:"platform-unreachable"`
	// Age is the time since the platform last confirmed Head; nil when it never did.
	Age *time.Duration `json:"age,omitempty"`
}

// A Host is an entry host as another host sees it.
type Host struct {
	Name          fleet.HostName          `json:"name"`
	Start         fleet.StartNumber       `json:"start"`
	FailureDomain fleet.FailureDomainName `json:"failure-domain"`
	Region        fleet.RegionName        `json:"region"`
	PeerAddress   string                  `json:"peer-address"`
	State         fleet.HostState         `json:"state"`
	// Reachable says that the host was heard of within the silence limit.
	Reachable bool `json:"heard"`
	// Revision is the configuration last known to be in force there; 0 means none.
	Revision configuration.Revision `json:"revision"`
}

// An Engine is an engine with what its owner tells of it.
type Engine struct {
	Name          fleet.EngineName        `json:"name"`
	Pool          string                  `json:"pool"`
	FailureDomain fleet.FailureDomainName `json:"failure-domain"`
	// Owner is empty when no owner is known.
	Owner fleet.HostName `json:"owner"`
	// OwnerReachable says that the owner was heard of within the silence limit.
	OwnerReachable bool        `json:"owner-heard"`
	Epoch          fleet.Epoch `json:"epoch"`
	// Instances are the names of the instances that may be granted.
	Instances []string `json:"instances"`
	Slots     int      `json:"slots"`
	Running   int      `json:"running"`
	Waiting   int      `json:"waiting"`
	Draining  bool     `json:"draining"`
}

// A ServerRole says what a backend server is.
type ServerRole string

// The roles of backend servers.
const (
	RoleEngine  ServerRole = "engine"
	RoleService ServerRole = "service"
)

// A Server is a backend server.
type Server struct {
	Name string `json:"name"`
	// Group is the pool of an engine or the name of a plain service.
	Group         string                  `json:"group"`
	Role          ServerRole              `json:"role"`
	FailureDomain fleet.FailureDomainName `json:"failure-domain"`
	Address       string                  `json:"address"`
	// Draining is set by operators, Leaving by the platform's host list.
	Draining bool `json:"draining"`
	Leaving  bool `json:"leaving"`
}

// A RevisionStatus says where a revision is in force.
type RevisionStatus struct {
	Revision configuration.Revision `json:"revision"`
	// Operation and Description are empty when the host does not keep the
	// change any more.
	Operation   configuration.OperationID `json:"operation,omitempty"`
	Description string                    `json:"description,omitempty"`
	// Applied, Pending and Unreachable list hosts by name.
	Applied     []fleet.HostName `json:"has"`
	Pending     []fleet.HostName `json:"has-not"`
	Unreachable []fleet.HostName `json:"silent"`
}
