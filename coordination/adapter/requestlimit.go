package adapter

import (
	"math"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/allowance"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	// requestBurst is the time whose share of a limit may be admitted at once, but at least
	// minRequestBurst requests.
	requestBurst    = 500 * time.Millisecond
	minRequestBurst = 1 + urgentReserve
	// urgentReserve is the number of turns that less urgent requests leave to urgent ones.
	urgentReserve = 1
	// maxTurnWait is how long a request that may go to another server waits for its turn
	// at one that states a limit.
	maxTurnWait = 400 * time.Millisecond
)

// A requestLimit admits requests to one server at the rate that the server states. The
// goroutine of the Controller's Run owns it.
type requestLimit struct {
	// bucket has a token for each request that may be admitted; nil if the server states
	// no limit.
	bucket *allowance.Bucket
	// statedAt is the time of the newest known statement of the server.
	statedAt time.Time
}

// observe applies what a host knows of the server's statements, unless a newer statement
// is known.
func (l *requestLimit) observe(stated site.StatedLimit, now time.Time) {
	at := now.Add(-stated.Age)
	if !stated.Known || !at.After(l.statedAt) {
		return
	}
	l.statedAt = at
	if stated.PerSecond <= 0 {
		l.bucket = nil
		return
	}
	burst := max(minRequestBurst, math.Floor(stated.PerSecond*requestBurst.Seconds()))
	if l.bucket == nil {
		// Hosts may have sent requests without turns, or with those of another owner, until
		// just now.
		l.bucket = allowance.NewEmpty(stated.PerSecond, burst, now)
		return
	}
	l.bucket.SetLimit(stated.PerSecond, burst, now)
}

// isActive reports whether the server states a limit.
func (l *requestLimit) isActive() bool {
	return l.bucket != nil
}

// hasTurn reports whether a request of the priority may be admitted now.
func (l *requestLimit) hasTurn(priority int, now time.Time) bool {
	return l.turnWait(0, priority, now) == 0
}

// take counts an admitted request.
func (l *requestLimit) take(now time.Time) {
	if l.bucket != nil {
		l.bucket.Take(1, now)
	}
}

// turnWait returns the time until a request of the priority may be admitted before which
// the given number of others is admitted.
func (l *requestLimit) turnWait(before, priority int, now time.Time) time.Duration {
	if l.bucket == nil {
		return 0
	}
	needed := before + 1
	if priority > 0 {
		needed += urgentReserve
	}
	return l.bucket.Wait(float64(needed), now)
}

// refuseHopeless refuses the pending requests whose turn comes too late at the rate that
// the server states, at once rather than at their deadlines. The requests are sorted, so
// that less urgent ones are refused first.
func (e *engine) refuseHopeless(now time.Time) {
	if !e.limit.isActive() {
		return
	}
	e.refusePending(func(d *pendingRequest, kept int) *verdict.Error {
		wait := e.limit.turnWait(kept, d.request.Priority, now)
		if !now.Add(wait).After(d.turnDeadline) {
			return nil
		}
		return &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeRateLimited, RetryAfter: wait,
			Message: "server " + string(e.server.ID) + " takes no more requests a second",
		}
	})
}

// latestTurn returns the time after which a turn at a server that states a limit is of no
// use to a request: it tries another server then, or could not be answered in time. A
// request that is late already has until its deadline.
func latestTurn(r site.PlaceRequest, now, latencyDeadline, deadline time.Time) time.Time {
	latest := deadline
	if latencyDeadline.After(now) && latencyDeadline.Before(latest) {
		latest = latencyDeadline
	}
	if soon := now.Add(maxTurnWait); !r.MayQueue && soon.Before(latest) {
		latest = soon
	}
	return latest
}

// isForPlainServer reports whether a request goes to a server of a plain service. How
// many requests run there is not counted.
func isForPlainServer(r site.PlaceRequest) bool {
	return r.Adapter.Model == ""
}

// plainServer returns the record of a server of a plain service, which needs turns only
// while it states a limit, or nil if this host does not own its zone.
func (c *Controller) plainServer(incarnation site.Incarnation) *engine {
	e := c.plainServers[incarnation.ID]
	if e != nil && e.server.Incarnation == incarnation {
		return e
	}
	server := c.Views.View().Servers[incarnation.ID]
	if server == nil || server.Incarnation != incarnation {
		return nil
	}
	epoch, held := c.Leases.OrderEpoch(server.Zone)
	if !held {
		return nil
	}
	e = newEngine(server, c.Regions[server.Zone], epoch)
	// A plain server has no state to learn and holds no adapters.
	e.stateKnown = true
	e.loaded[site.Adapter{}] = 1
	c.plainServers[incarnation.ID] = e
	return e
}

// dropPlainServers drops the plain servers that are gone, have restarted or have another
// owner. Those that state no limit any more are kept, because an older statement would
// bring the limit back.
func (c *Controller) dropPlainServers(view *site.View) {
	for id, e := range c.plainServers {
		server := view.Servers[id]
		epoch, held := c.Leases.OrderEpoch(e.server.Zone)
		if server != nil && server.Incarnation == e.server.Incarnation && held && epoch == e.epoch {
			continue
		}
		e.refuseAll(verdict.NewNotRun(verdict.CodeNotOwner, "server %s is gone, has restarted or has another owner", id))
		delete(c.plainServers, id)
	}
}
