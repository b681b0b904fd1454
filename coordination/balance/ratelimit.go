package balance

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// A rateLimit is the newest statement of a server about the requests that it takes. The
// Balancer guards it by its mutex.
type rateLimit struct {
	// perSecond is the number of requests a second that the server takes from all hosts
	// together, or 0 if it takes any number.
	perSecond float64
	// statedAt is when the statement was received.
	statedAt time.Time
}

// RecordRateLimit records the limit that a response of the server states, in requests a
// second, or 0 for a response without a limit. It reports whether the limit has changed.
func (b *Balancer) RecordRateLimit(server *site.Server, perSecond float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.stateOf(server)
	changed := s.limit.perSecond != perSecond
	s.limit = rateLimit{perSecond: perSecond, statedAt: time.Now()}
	return changed
}

// LimitedServers returns the number of servers that state a limit.
func (b *Balancer) LimitedServers() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	count := 0
	for _, s := range b.states {
		if s.limit.perSecond > 0 {
			count++
		}
	}
	return count
}
