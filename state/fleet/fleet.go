// Package fleet has the names and plain structs of hosts, engines and adapters,
// and of the grants, heartbeats and hand-overs that entry hosts exchange.
package fleet

// A HostName names an entry host; it is unique in a deployment.
type HostName string

// A FailureDomainName names a failure domain.
type FailureDomainName string

// A RegionName names a region, a set of failure domains that are near each other.
type RegionName string

// An EngineName names a model engine; it is unique among the backend servers of a
// deployment.
type EngineName string

// An AdapterName names a LoRA adapter, without its version.
type AdapterName string

// An AdapterVersion is the version of an adapter. Versions start at 1; 0 stands for
// the current version.
type AdapterVersion int

// A StartNumber identifies one process of a host or an engine from its start to its
// end. A later process has a higher number; 0 means that no process is known.
type StartNumber uint64

// An Epoch is the fencing number of a lease. It grows with each change of holder,
// so that an engine can refuse the orders of an earlier holder.
type Epoch uint64

// A RequestID identifies a request of a caller, or one run of it on an engine. It is
// a UUID, with a suffix for later runs.
type RequestID string
