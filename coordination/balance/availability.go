package balance

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// leavingUseDuration is how long a server that leaves is still used if there is no other
	// one. It is shorter than the notice that servers give.
	leavingUseDuration = time.Second
	// resumeDuration is how long after its pause a server gets one request at a time, unless
	// it takes one before. Requests from before the pause may run for longer.
	resumeDuration = time.Second
)

// An availability is what a server has stated about taking requests at all. The Balancer
// guards it by its mutex.
type availability struct {
	// leavingSince is when the server was first known to leave; zero if it is not. It holds
	// until the server's process ends.
	leavingSince time.Time
	// pausedUntil is the end of the pause that the server has asked for. It is zero after
	// the server has taken a request again.
	pausedUntil time.Time
}

// isOut reports whether the server gets no request.
func (a *availability) isOut(now time.Time) bool {
	return now.Before(a.pausedUntil) || !a.leavingSince.IsZero() && now.Sub(a.leavingSince) >= leavingUseDuration
}

// isResuming reports whether the server's pause has ended within resumeDuration and it has
// taken no request since. It then gets one request first.
func (a *availability) isResuming(now time.Time) bool {
	return !a.pausedUntil.IsZero() && !now.Before(a.pausedUntil) && now.Sub(a.pausedUntil) < resumeDuration
}

// RecordLeaving records that a server has stated that it leaves, and reports whether that is
// news.
func (b *Balancer) RecordLeaving(server *site.Server) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a := &b.stateOf(server).availability
	if !a.leavingSince.IsZero() {
		return false
	}
	a.leavingSince = time.Now()
	return true
}

// RecordPause records that a server wants nothing from this host for the given time.
func (b *Balancer) RecordPause(server *site.Server, pause time.Duration) {
	until := time.Now().Add(pause)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a := &b.stateOf(server).availability
	if until.After(a.pausedUntil) {
		a.pausedUntil = until
	}
}

// IsAvailable reports whether the server may get requests, orders and calls of this host.
func (b *Balancer) IsAvailable(server *site.Server) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return !b.stateOf(server).availability.isOut(time.Now())
}

// PausedServers returns the number of servers that want no requests of this host for now.
func (b *Balancer) PausedServers() int {
	now := time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	count := 0
	for _, s := range b.states {
		if now.Before(s.availability.pausedUntil) {
			count++
		}
	}
	return count
}

// LeavingServers returns the servers that are known to leave.
func (b *Balancer) LeavingServers() []site.Incarnation {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var list []site.Incarnation
	for _, s := range b.states {
		if !s.availability.leavingSince.IsZero() {
			list = append(list, s.incarnation)
		}
	}
	return list
}

// UpdateLeaving records the servers that another host knows to leave.
func (b *Balancer) UpdateLeaving(list []site.Incarnation) {
	view := b.Views.View()
	for _, incarnation := range list {
		if server := view.Servers[incarnation.ID]; server != nil && server.Incarnation == incarnation {
			b.RecordLeaving(server)
		}
	}
}

// leastPause returns the shortest time until a server of the service ends its pause, or 0 if
// none is paused.
func (b *Balancer) leastPause(view *site.View, service site.ServiceName, now time.Time) time.Duration {
	var least time.Duration
	for _, server := range view.ServersOf(service) {
		if left := b.stateOf(server).availability.pausedUntil.Sub(now); left > 0 && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}
