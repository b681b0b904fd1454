// Package site has the plain structs of a site: the routes and services that
// operators want in force, and the servers that have announced themselves.
package site

import "time"

// A ServiceName names a service, a group of equal servers.
type ServiceName string

// A Kind says how a request may be repeated.
type Kind string

// The kinds of requests.
const (
	// Streaming answers are series of events. Unless the route is resumable, a
	// request runs at most once.
	Streaming Kind = "streaming"
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
)

// A WeightedService is a service's part of the requests of a route.
type WeightedService struct {
	Service ServiceName
	// Weight is at least 1 and counts against the weights of the other shares.
	Weight int
}

// A Route says how requests for a host and path prefix are served.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable says that a stream may go on at another server from the last
	// event that the client has.
	Resumable bool
	// Timeout bounds the time until the whole answer; it is more than 0.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value; for streams
	// it is the time to the first event.
	TargetLatency time.Duration
	// TargetEventGap is the longest pause between two events that is not late.
	TargetEventGap time.Duration
	// Priority orders requests; 0 is the most urgent.
	Priority int
	// WeightedServices has at least one entry.
	WeightedServices []WeightedService
	// MaxAttempts is the number of servers that may run one request; at least 1.
	MaxAttempts int
}

// Repeatable says whether a request on the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// A Model is a base model and the size of its adapters.
type Model struct {
	Name string
	// WeightMegabytes is the size of the weights, AdapterMegabytes that of an adapter.
	WeightMegabytes, AdapterMegabytes float64
	// LoadTime is how long a load from the weight store takes.
	LoadTime time.Duration
}

// EngineSpec describes the engines of a service.
type EngineSpec struct {
	// BatchSize is the number of requests that an engine runs at once.
	BatchSize int
	// KVCacheTokens is the room for prompts and generated tokens.
	KVCacheTokens int
	// MemoryMegabytes is the room for weights and adapters together.
	MemoryMegabytes float64
	// AdapterSlots is the number of adapters that an engine holds at once.
	AdapterSlots int
	// LoadsPerSecond bounds the loads of base models over all engines.
	LoadsPerSecond float64
	Models         []Model
}

// Model returns the model with the name, or nil.
func (e *EngineSpec) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// AdapterCapacity returns how many adapters of the model fit on an engine that
// holds it.
func (e *EngineSpec) AdapterCapacity(m *Model) int {
	if m.AdapterMegabytes <= 0 {
		return e.AdapterSlots
	}
	return min(e.AdapterSlots, int((e.MemoryMegabytes-m.WeightMegabytes)/m.AdapterMegabytes))
}

// A Service is a group of equal servers.
type Service struct {
	Name       ServiceName
	HealthPath string
	// MaxConnections is the number of connections that a server accepts from
	// all callers together.
	MaxConnections int
	// Engines is nil for a plain service.
	Engines *EngineSpec
}

// Limits bound what clients may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest header and body.
	HeaderBytes, BodyBytes int
	// HeaderTimeout is how long a client may take to send a header, IdleTimeout
	// how long a connection may stay unused.
	HeaderTimeout, IdleTimeout time.Duration
}

// A DesiredState is one version of what operators want in force.
type DesiredState struct {
	// Version rises with each change, in uneven steps.
	Version  int64
	Routes   []Route
	Services map[ServiceName]*Service
	Limits   Limits
}
