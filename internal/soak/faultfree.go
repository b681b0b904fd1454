package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The times that the users' pages promise, and the time in which a request that
// was sent before such a bound reaches its server.
const (
	recoverLimit = 12 * time.Second
	touchTime    = 4 * time.Second
	configLimit  = 2500 * time.Millisecond
	drainLimit   = 2500 * time.Millisecond
	versionLimit = 5 * time.Second
	arrival      = 500 * time.Millisecond
)

// A promise is what must hold for runs from a time on, because of a planned step.
type promise struct {
	name string
	from time.Time
	// until ends the promise; a later step may change what holds.
	until time.Time
	// broken says whether a run breaks the promise. a is nil for a run that no
	// caller asked for.
	broken func(r *run, a *attempt) bool
}

// recovered waits until every host has served every kind. Without faults it has
// to within recoverLimit. It returns what is missing.
func (d *deployment) recovered(ctx context.Context, seed uint64) string {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	c := &callers{hosts: d.hosts}
	end := time.Now().Add(recoverLimit)
	missing := ""
	for n := 0; ctx.Err() == nil && time.Now().Before(end); n++ {
		missing = ""
		for i, h := range d.hosts {
			for _, k := range kinds {
				a := &attempt{id: fmt.Sprintf("%x-recovery-%d-%d-%s", seed, n, i, k), kind: k, host: h.name, adapter: "a1"}
				c.call(client, h, a, false)
				if !a.whole || a.wrong != "" {
					missing += fmt.Sprintf(" %s at %s: status %d %s %v;", k, h.name, a.status, a.wrong, a.failure)
				}
			}
		}
		if missing == "" {
			return ""
		}
		wait(ctx, 200*time.Millisecond)
	}
	return missing
}

// plannedWork takes steps that must cut off no request, in series and overlapping,
// and returns the promises that they make.
func (d *deployment) plannedWork(ctx context.Context, random *rand.Rand, length time.Duration) []promise {
	end := time.Now().Add(length)
	var group sync.WaitGroup
	group.Go(func() { d.rollHosts(ctx, random.IntN(len(d.hosts)), end) })
	var promises []promise
	for ctx.Err() == nil && time.Now().Before(end) {
		switch random.IntN(3) {
		case 0:
			promises = d.stepMove(promises)
		case 1:
			promises = d.stepDeclare(promises, random)
		default:
			promises = d.stepDrain(ctx, promises, random)
		}
		wait(ctx, between(random, 300*time.Millisecond, 2*time.Second))
	}
	group.Wait()
	return promises
}

// rollHosts stops and starts hosts one after the other, as a release does.
func (d *deployment) rollHosts(ctx context.Context, first int, end time.Time) {
	for n := 0; ctx.Err() == nil && time.Now().Before(end); n++ {
		h := d.hosts[(first+n)%len(d.hosts)]
		h.end(syscall.SIGTERM)
		must(h.start())
		wait(ctx, 500*time.Millisecond)
	}
}

// stepMove moves bookings and lookups to the other service.
func (d *deployment) stepMove(promises []promise) []promise {
	target, err := d.moveBookings()
	must(err)
	now := time.Now()
	for i := range promises {
		if promises[i].name == "route" && promises[i].until.IsZero() {
			promises[i].until = now
		}
	}
	return append(promises, promise{name: "route", from: now.Add(configLimit), broken: func(r *run, a *attempt) bool {
		return a != nil && !a.kind.streams() && r.Service != target
	}})
}

// stepDeclare declares a newer version of an adapter.
func (d *deployment) stepDeclare(promises []promise, random *rand.Rand) []promise {
	adapter := anAdapter(random)
	version, err := d.declare(adapter)
	must(err)
	return append(promises, promise{name: "version", from: time.Now().Add(versionLimit), broken: func(r *run, _ *attempt) bool {
		return r.Adapter == adapter && r.Version < version
	}})
}

// stepDrain takes a server out and brings it back a little after its last moment.
func (d *deployment) stepDrain(ctx context.Context, promises []promise, random *rand.Rand) []promise {
	s := d.server(random)
	must(d.announce(s, "draining"))
	from := time.Now().Add(drainLimit)
	wait(ctx, drainLimit+time.Second)
	until := time.Now()
	must(d.announce(s, "ready"))
	return append(promises, promise{name: "draining", from: from, until: until, broken: func(r *run, _ *attempt) bool {
		return r.Server == s.id
	}})
}
