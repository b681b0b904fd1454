package balance

import (
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/allowance"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// A rateLimit is what this host knows of the requests that a server takes. The Balancer
// guards it by its mutex.
type rateLimit struct {
	// perSecond is the number of requests a second that the server takes from all hosts
	// together, or 0 if it takes any number.
	perSecond float64
	// statedAt is when the newest statement was received.
	statedAt time.Time
	// wasLimited means that the server has stated a limit, to this host or to another one,
	// and that its owner may not know yet that the limit has ended.
	wasLimited bool
	// refusedUntil is the time until which the owner of the server has no turn.
	refusedUntil time.Time
	// share admits this host's share of the limit while the owner does not answer; nil
	// until it is needed.
	share *allowance.Bucket
}

// RecordRateLimit records the limit that a response of the server states, in requests a
// second, or 0 for a response without a limit. It reports whether the limit has changed.
func (b *Balancer) RecordRateLimit(server *site.Server, perSecond float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	l := &b.stateOf(server).limit
	changed := l.perSecond != perSecond
	l.perSecond, l.statedAt = perSecond, time.Now()
	l.wasLimited = l.wasLimited || perSecond > 0
	if changed {
		l.share = nil
	}
	return changed
}

// RecordTurn records that a request goes to the server. limited means that the server's
// owner knows of a limit, so that it has to hear what the server states to this host.
func (b *Balancer) RecordTurn(server *site.Server, limited bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	l := &b.stateOf(server).limit
	l.refusedUntil = time.Time{}
	l.wasLimited = limited || l.perSecond > 0
}

// RecordTurnRefused records that the owner of the server has no turn for the given time,
// so that other servers are preferred.
func (b *Balancer) RecordTurnRefused(server *site.Server, wait time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	l := &b.stateOf(server).limit
	l.refusedUntil = time.Now().Add(wait)
	l.wasLimited = true
}

// StatedLimit returns what the server has stated to this host. It is Known only if the
// server's owner needs it: from the first statement of a limit until the owner knows that
// the limit has ended.
func (b *Balancer) StatedLimit(server *site.Server) site.StatedLimit {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	l := b.stateOf(server).limit
	if !l.wasLimited || l.statedAt.IsZero() {
		return site.StatedLimit{}
	}
	return site.StatedLimit{Known: true, PerSecond: l.perSecond, Age: time.Since(l.statedAt)}
}

// TakeShare takes one request from this host's equal share of the limit of a server whose
// owner does not answer, and reports whether there was one. The shares of all hosts sum to
// the limit.
func (b *Balancer) TakeShare(server *site.Server) bool {
	now, hosts := time.Now(), max(len(b.Views.View().Hosts), 1)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	l := &b.stateOf(server).limit
	if l.perSecond <= 0 {
		return true
	}
	perHost := l.perSecond / float64(hosts)
	if l.share == nil {
		// The owner may have given turns until just now.
		l.share = allowance.NewEmpty(perHost, 1, now)
	}
	l.share.SetLimit(perHost, 1, now)
	return l.share.Take(1, now)
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
