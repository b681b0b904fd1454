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
	// Born is when the process started, in Unix milliseconds on its own clock.
	Born int64
}

// A HeldModel is a base model on an engine.
type HeldModel struct {
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
	// Slots is the number of requests that it runs at once; at least 1.
	Slots int
	// Remaining is how long a server that leaves at short notice stays; 0 if it
	// gave no notice.
	Remaining time.Duration
	// Models is what it held some time ago; empty for servers without engines.
	Models []HeldModel
}

// An Adapter names an adapter of a base model. Name is empty for the base model
// itself.
type Adapter struct {
	Model, Name string
}
