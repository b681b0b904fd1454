package lease

import (
	"context"
	"time"
)

// Acquire requests a lease. A candidate of rank r waits r renewal intervals
// longer than needed, so that the candidate of rank 0 comes first. A second call
// changes the rank. Acquire reports whether the ring had room.
func (k *Manager) Acquire(name Name, rank int) bool {
	k.setup()
	return k.messages.Offer(acquireRequest{name: name, rank: rank})
}

// An acquireRequest is the message of Acquire.
type acquireRequest struct {
	name Name
	rank int
}

func (w acquireRequest) handle(_ context.Context, k *Manager) {
	k.markWanted(w.name, w.rank)
}

// markWanted marks the lease as wanted with the rank, adds it if it is new, and
// returns it.
func (k *Manager) markWanted(name Name, rank int) *lease {
	l, ok := k.leases[name]
	if !ok {
		l = &lease{name: name}
		k.leases[name] = l
	}
	if rank < l.rank {
		l.nextAccess = k.now()
	}
	l.wanted, l.rank = true, rank
	return l
}

// takeoverTime returns when this host may take a lease whose record does not name
// this process as the holder.
func (k *Manager) takeoverTime(l *lease) time.Time {
	delay := time.Duration(l.rank) * k.RenewalInterval
	if l.record.Holder == "" {
		return l.firstSeen.Add(delay)
	}
	if k.PredecessorsEnded && l.record.Holder == k.Host {
		return l.firstSeen
	}
	duration := max(k.Duration, time.Duration(l.record.DurationMilliseconds)*time.Millisecond)
	return l.firstSeen.Add(duration + k.SafetyMargin + delay)
}
