// Package site has the plain structs of a site: the routes and services that
// operators want applied, the servers that have announced themselves, and the
// messages and orders that entry hosts send to each other and to engines.
package site

import "time"

// A ServiceName names a service, a group of interchangeable servers.
type ServiceName string

// A Kind says whether a route answers with a stream of events, and whether its
// requests may run more than once.
type Kind string

// The kinds of routes.
const (
	// Streaming routes answer with a series of events. A request runs at most
	// once, unless the route is resumable.
	Streaming Kind = "streaming"
	// Safe routes have requests that may run more than once.
	Safe Kind = "safe"
	// Unsafe routes have requests that run at most once.
	Unsafe Kind = "unsafe"
)

// A WeightedService is a service that receives a share of the requests of a route.
type WeightedService struct {
	// Service is the service that receives the share.
	Service ServiceName
	// Weight is at least 1. The share of the service is its weight divided by
	// the sum of the weights of the route.
	Weight int
}

// A Route says how requests for a host and path prefix are served. Operators set
// it through the desired state.
type Route struct {
	// Name is the operators' name of the route, which log lines show.
	Name string
	// Host is the host name of the requests, in lower case and without a port.
	Host string
	// Prefix is the path prefix of the requests. It begins and ends with a slash.
	Prefix string
	// Kind is Streaming, Safe or Unsafe.
	Kind Kind
	// Resumable says that another server may continue a stream after the last
	// event that the client received. It matters for Streaming routes only.
	Resumable bool
	// Timeout bounds the time from the arrival of a request until its whole
	// answer; it is more than 0.
	Timeout time.Duration
	// TargetLatency is the time from the arrival of a request within which the
	// answer is in time. For streams it ends with the first event.
	TargetLatency time.Duration
	// TargetEventGap is the longest pause between two events of a stream with
	// which the later event is in time.
	TargetEventGap time.Duration
	// Priority is the urgency of the requests; 0 is the most urgent.
	Priority int
	// WeightedServices are the services that the requests are shared among; at
	// least one.
	WeightedServices []WeightedService
	// MaxAttempts is the largest number of servers that may run one request; at
	// least 1.
	MaxAttempts int
	// Public says that requests need no key. They belong to no organisation.
	Public bool
}

// Repeatable says whether a request on the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// A Model is a base model with the memory that it and its adapters need.
type Model struct {
	// Name is the name of the base model.
	Name string
	// WeightMegabytes is the size of the base model's weights, and
	// AdapterMegabytes the size of one adapter.
	WeightMegabytes, AdapterMegabytes float64
	// LoadTime is how long it takes to load the base model from the weight store.
	LoadTime time.Duration
}

// An EngineSpec describes the engines of a service, which are all alike.
type EngineSpec struct {
	// BatchSize is the number of requests that an engine runs at the same time.
	BatchSize int
	// KVCacheTokens is the size of an engine's KV cache, which holds the prompts
	// and the generated tokens of all running requests, in tokens.
	KVCacheTokens int
	// MemoryMegabytes is an engine's memory for base models and adapters together.
	MemoryMegabytes float64
	// AdapterSlots is the largest number of adapters that an engine holds at once.
	AdapterSlots int
	// LoadsPerSecond is the rate of loads from the weight store that all engines
	// share.
	LoadsPerSecond float64
	// Models are the base models that the engines can load.
	Models []Model
}

// Model returns the base model with the name, or nil if the engines cannot load it.
func (e *EngineSpec) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// AdapterCapacity returns how many adapters of the model fit on an engine that
// has the model loaded. It is bounded by the adapter slots and by the memory that
// the model's weights leave free. Adapters of size 0 are bounded by the slots only.
func (e *EngineSpec) AdapterCapacity(m *Model) int {
	if m.AdapterMegabytes <= 0 {
		return e.AdapterSlots
	}
	return min(e.AdapterSlots, int((e.MemoryMegabytes-m.WeightMegabytes)/m.AdapterMegabytes))
}

// A Service is a group of interchangeable servers.
type Service struct {
	// Name is the key of the service in DesiredState.Services.
	Name ServiceName
	// HealthPath is the HTTP path of the servers' health check.
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from
	// all callers together.
	MaxConnections int
	// Engines describes the engines of the service; nil for a plain service.
	Engines *EngineSpec
}

// Limits bound what clients may send and how long they may take. Operators set
// them through the desired state; a limit of 0 is not set.
type Limits struct {
	// HeaderBytes is the largest header of a request, BodyBytes the largest body.
	HeaderBytes, BodyBytes int
	// HeaderTimeout is how long a client may take to send a header, IdleTimeout
	// how long a connection may stay unused.
	HeaderTimeout, IdleTimeout time.Duration
}

// A DesiredState is one version of the routes, services and limits that operators
// want applied. It is read from the platform's store and is not modified.
type DesiredState struct {
	// Version grows with each change, not always by 1.
	Version int64
	// Routes are the routes of all hosts, in no order of precedence.
	Routes []Route
	// Services are the services by name.
	Services map[ServiceName]*Service
	// Limits bound what clients may send.
	Limits Limits
	// RequiresKeys says that requests need the key of an organisation, except those on
	// public routes.
	RequiresKeys bool
	// Organisations are the organisations whose keys are valid, in no order.
	Organisations []Organisation
}
