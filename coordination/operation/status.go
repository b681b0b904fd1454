package operation

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Freshness states how current a report is. StatusReporter fills it
// for each report.
type Freshness struct {
	// Host is the entry host that answered.
	Host fleet.HostName `json:"host"`
	// Revision is the revision applied at the host; 0 means none.
	Revision configuration.Revision `json:"revision"`
	// Head is the highest accepted revision that the host knows.
	Head configuration.Revision `json:"head"`
	// PlatformUnreachable reports whether reading the head from the platform
	// failed for this report, so that Head may be out of date.
	PlatformUnreachable bool `json:"platform-unreachable"`
	// Age is the time since the last successful read of the head; nil if no read
	// has succeeded.
	Age *time.Duration `json:"age,omitempty"`
}

// A Host is an entry host as the reporting host sees it.
type Host struct {
	Name fleet.HostName `json:"name"`
	// Start is the start number of the process on the host.
	Start         fleet.StartNumber       `json:"start"`
	FailureDomain fleet.FailureDomainName `json:"failure-domain"`
	Region        fleet.RegionName        `json:"region"`
	PeerAddress   string                  `json:"peer-address"`
	State         fleet.HostState         `json:"state"`
	// Reachable reports whether the reporting host regards the host as reachable;
	// see membership.HostStatus.
	Reachable bool `json:"heard"`
	// Revision is the last revision known to be applied at the host; 0 means
	// none.
	Revision configuration.Revision `json:"revision"`
}

// An Engine is a configured engine with the state that its owner last published.
// Without a known owner, the published fields are zero.
type Engine struct {
	Name          fleet.EngineName        `json:"name"`
	Pool          string                  `json:"pool"`
	FailureDomain fleet.FailureDomainName `json:"failure-domain"`
	// Owner is the entry host that holds the lease of the engine; empty if no
	// owner is known.
	Owner fleet.HostName `json:"owner"`
	// OwnerReachable reports whether the owner is the reporting host, or a host
	// that it regards as reachable; see membership.HostStatus.
	OwnerReachable bool `json:"owner-heard"`
	// Epoch is the epoch of the owner's lease.
	Epoch fleet.Epoch `json:"epoch"`
	// Instances are the names of the instances that may be granted.
	Instances []string `json:"instances"`
	// Slots is the configured number of adapter slots.
	Slots int `json:"slots"`
	// Running and Waiting are the engine's load as last reported.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Draining reports whether an operator has drained the engine.
	Draining bool `json:"draining"`
}

// A ServerRole says whether a backend server is an engine or belongs to a plain
// service.
type ServerRole string

// The roles of backend servers.
const (
	RoleEngine  ServerRole = "engine"
	RoleService ServerRole = "service"
)

// A Server is a configured backend server: an engine or a server of a plain
// service.
type Server struct {
	Name string `json:"name"`
	// Group is the pool of an engine or the name of a plain service.
	Group         string                  `json:"group"`
	Role          ServerRole              `json:"role"`
	FailureDomain fleet.FailureDomainName `json:"failure-domain"`
	Address       string                  `json:"address"`
	// Draining is set by an operator. Leaving reports whether the platform's host
	// list says that the server is about to stop.
	Draining bool `json:"draining"`
	Leaving  bool `json:"leaving"`
}

// A RevisionStatus reports which hosts have applied a revision, as the reporting
// host knows it.
type RevisionStatus struct {
	Revision configuration.Revision `json:"revision"`
	// Operation and Description identify the change that produced the revision.
	// They are empty if the reporting host no longer keeps that change.
	Operation   configuration.OperationID `json:"operation,omitempty"`
	Description string                    `json:"description,omitempty"`
	// Applied lists the hosts that have applied the revision or a higher one.
	Applied []fleet.HostName `json:"has"`
	// Pending lists the reachable hosts that do not have the revision yet.
	Pending []fleet.HostName `json:"has-not"`
	// Unreachable lists the hosts that are not reachable.
	Unreachable []fleet.HostName `json:"silent"`
}
