package lease

import "github.com/persimmonmux/persimmonmux/state/fleet"

// An EventType is the kind of change that an Event reports.
type EventType string

// The types of events.
const (
	// Gained means that this host holds the lease with the epoch of the event. It
	// follows Expired with the same epoch when no other host took the lease.
	Gained EventType = "gained"
	// Expired means that the lease could not be renewed in time. Whether
	// another host took it is not known yet; Gained or Lost follows.
	Expired EventType = "expired"
	// Lost means that this host no longer holds the lease with the epoch of the
	// event and never will again.
	Lost EventType = "lost"
)

// An Event reports a change of a lease to the host that holds or held it.
type Event struct {
	Name Name
	Type EventType
	// Epoch is the epoch under which this host holds or held the lease.
	Epoch fleet.Epoch
	// PreviousHolder and PreviousStart identify the process that held the epoch
	// before Epoch. They are set with Gained and empty when there was none.
	PreviousHolder fleet.HostName
	PreviousStart  fleet.StartNumber
	// Released means that PreviousHolder released the lease itself; set with
	// Gained.
	Released bool
	// IsPredecessorUnknown means that another process than PreviousHolder may have held the
	// lease last, in a history that the table has lost; set with Gained.
	IsPredecessorUnknown bool
	// Holder is the host that holds the lease now, as far as known; set with Lost.
	Holder fleet.HostName
}

func (m *Manager) queueEvent(e Event) {
	m.unsentEvents = append(m.unsentEvents, e)
}

// sendEvents sends the queued events in order until the ring is full. It drops
// them if Events is nil.
func (m *Manager) sendEvents() {
	for len(m.unsentEvents) > 0 {
		if m.Events != nil && !m.Events.Offer(m.unsentEvents[0]) {
			return
		}
		m.unsentEvents = m.unsentEvents[1:]
	}
}
