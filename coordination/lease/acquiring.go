package lease

import (
	"context"
	"time"
)

// Acquire requests a lease. A candidate of rank r waits r renewal intervals
// longer than needed, so that the candidate of rank 0 comes first. A second call
// changes the rank. Acquire reports whether the ring had room.
func (m *Manager) Acquire(name Name, rank int) bool {
	m.setup()
	return m.messages.Offer(acquireRequest{name: name, rank: rank})
}

// An acquireRequest is the message of Acquire.
type acquireRequest struct {
	name Name
	rank int
}

func (r acquireRequest) handle(_ context.Context, m *Manager) {
	m.markWanted(r.name, r.rank)
}

// markWanted marks the lease as wanted with the rank, adds it if it is new, and
// returns it.
func (m *Manager) markWanted(name Name, rank int) *lease {
	l, ok := m.leases[name]
	if !ok {
		l = &lease{name: name}
		m.leases[name] = l
	}
	if rank < l.rank {
		l.nextAccess = m.now()
	}
	l.wanted, l.rank = true, rank
	return l
}

// takeoverTime returns when this host may take a lease whose record does not name
// this process as the holder.
func (m *Manager) takeoverTime(l *lease) time.Time {
	delay := time.Duration(l.rank) * m.RenewalInterval
	duration := max(m.Duration, time.Duration(l.record.DurationMilliseconds)*time.Millisecond)
	if m.isOfEarlierHistory(l.record) {
		return later(l.firstSeen, m.eraSince).Add(duration + m.SafetyMargin + delay)
	}
	if l.record.Holder == "" {
		return l.firstSeen.Add(delay)
	}
	if m.PredecessorsEnded && l.record.Holder == m.Host {
		return l.firstSeen
	}
	return l.firstSeen.Add(duration + m.SafetyMargin + delay)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
