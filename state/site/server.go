package site

import "time"

// A ServerID identifies a server process. A restarted process may have the ID of
// an earlier one; an Incarnation distinguishes them.
type ServerID string

// A ServerState says whether a server takes new requests.
type ServerState string

// The states of a server.
const (
	// Ready servers take new requests.
	Ready ServerState = "ready"
	// Draining servers finish their requests and take no new ones.
	Draining ServerState = "draining"
)

// An Incarnation identifies one start of a server process.
type Incarnation struct {
	// ID is the server's ID, which a later start may use again.
	ID ServerID
	// StartUnixMilli is when the process started, in Unix milliseconds on its own clock.
	StartUnixMilli int64
}

// A LoadedModel is a base model that is loaded on an engine, with its loaded adapters.
type LoadedModel struct {
	// Name is the name of the base model.
	Name string
	// Version is the version of the base model.
	Version int
	// Adapters has the versions of the loaded adapters by name.
	Adapters map[string]int
}

// A Server is the description that a server process publishes in the platform's store.
type Server struct {
	Incarnation
	// Service is the service that the server belongs to.
	Service ServiceName
	// Address is the IP address and port of the server.
	Address string
	// Zone is the failure domain that the server is in.
	Zone string
	// State says whether the server takes new requests.
	State ServerState
	// MaxConcurrency is the number of requests that the server runs at the same
	// time; at least 1.
	MaxConcurrency int
	// RemainingLifetime is the time until the end of a server that leaves at short
	// notice, counted from when it published this; 0 if it gave no notice.
	RemainingLifetime time.Duration
	// LoadedModels are the models that the engine had loaded when it published
	// this; empty for servers that are not engines.
	LoadedModels []LoadedModel
}

// An Adapter names an adapter of a base model, or the base model itself.
type Adapter struct {
	// Model is the name of the base model, and Name that of the adapter; Name is
	// empty for the base model itself.
	Model, Name string
}
