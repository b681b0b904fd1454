package membership

import "github.com/persimmonmux/persimmonmux/state/fleet"

// An EventKind says which part of a View an Event is about.
type EventKind string

// The kinds of events.
const (
	// EventHost means that a host appeared, was replaced by a new process, or
	// changed its state or its reachability.
	EventHost EventKind = "host"
	// EventServer means that a backend server began to leave, or that the host
	// list names a newer process of a server that was leaving.
	EventServer EventKind = "server"
	// EventEngine means that the owner, the epoch or the start number of an
	// engine changed.
	EventEngine EventKind = "engine"
)

// An Event reports one change of the View. The monitor sends it after it has
// published the view that shows the change. Events are lost when the ring of a
// reader is full; such a reader finds the current state in the view.
type Event struct {
	Kind EventKind
	// Host is set for EventHost and holds the new state.
	Host fleet.Host
	// Server is the name of the backend server; set for EventServer.
	Server string
	// Engine is the new summary; set for EventEngine.
	Engine fleet.EngineSummary
}
