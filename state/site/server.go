package site

import "time"

// A ServerID identifies one server process, in most cases for one start only.
type ServerID string

// A ServerState says whether a server takes new requests.
type ServerState string

// The states of a server.
const (
	Ready    ServerState = "ready"
	Draining ServerState = "draining"
)

// An Incarnation identifies one start of a server; the id alone may be used again.
type Incarnation struct {
	ID ServerID
	// StartUnixMilli is when the process started, in Unix milliseconds on its own clock.
	StartUnixMilli int64
}

// A LoadedModel is a base model on an engine.
type LoadedModel struct {
	Name    string
	Version int
	// Adapters has the versions of the adapters by name.
	Adapters map[string]int
}

// A Server is what a server announces of itself.
type Server struct {
	Incarnation
	Service ServiceName
	// Address is host and port.
	Address string
	// Zone is the failure domain that the server stands in.
	Zone  string
	State ServerState
	// MaxConcurrency is the number of requests that it runs at once; at least 1.
	MaxConcurrency int
	// RemainingLifetime is how long a server that leaves at short notice stays; 0 if it
	// gave no notice.
	RemainingLifetime time.Duration
	// LoadedModels is what it held some time ago; empty for servers without engines.
	LoadedModels []LoadedModel
}

// An Adapter names an adapter of a base model. Name is empty for the base model
// itself.
type Adapter struct {
	Model, Name string
}
