// Package fleet has the names and plain structs of hosts, engines, adapters and
// the grants between them.
package fleet

// A HostName names an entry host; it is unique in a deployment.
type HostName string

// A FailureDomainName names a failure domain.
type FailureDomainName string

// A RegionName names a region, a set of failure domains that are near each other.
type RegionName string

// An EngineName names a model engine.
type EngineName string

// An AdapterName names a LoRA adapter, without its version.
type AdapterName string

// An AdapterVersion is the version of an adapter. Versions start at 1.
type AdapterVersion int

// A StartNumber identifies one process lifetime of a host or an engine. A later
// start has a higher number.
type StartNumber uint64

// An Epoch is the fencing number of a lease. It grows with each change of holder.
type Epoch uint64

// A RequestID identifies a request of a caller.
type RequestID string
