package membership

import "github.com/persimmonmux/persimmonmux/state/fleet"

// An EventKind says what changed in a view.
type EventKind string

// The kinds of events.
const (
	// EventHost means that a host is new, was replaced or changed its state.
	EventHost EventKind = "host"
	// EventServer means that a backend server began to leave or was replaced.
	EventServer EventKind = "server"
	// EventEngine means that an engine has a new owner, epoch or start.
	EventEngine EventKind = "engine"
)

// An Event tells of a change. It is sent after the view that shows the change
// was published. A reader that missed events reads the view.
type Event struct {
	Kind EventKind
	// Host is set for EventHost; its State is the new one.
	Host fleet.Host
	// Server is set for EventServer.
	Server string
	// Engine is set for EventEngine.
	Engine fleet.EngineSummary
}
