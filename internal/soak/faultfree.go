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

// Times that the users' pages promise, except deliveryDelay.
const (
	// recoveryTimeout is the time after the faults in which every host has to serve
	// every kind of request.
	recoveryTimeout = 12 * time.Second
	// settleDuration is the time after the recovery before the promises for periods
	// without faults hold.
	settleDuration = 4 * time.Second
	// maxConfigurationDelay, maxDrainDelay and maxVersionDelay are the times in which
	// hosts have to follow a changed route, a draining server and a declared adapter
	// version.
	maxConfigurationDelay = 2500 * time.Millisecond
	maxDrainDelay         = 2500 * time.Millisecond
	maxVersionDelay       = 5 * time.Second
	// deliveryDelay is the time in which a request that a host sent before the end of
	// such a delay reaches its server.
	deliveryDelay = 500 * time.Millisecond
)

// A promise is a condition that each run on a server has to meet from a time on,
// because of a step of planned work.
type promise struct {
	name string
	from time.Time
	// until is the time at which a later step ends the promise; zero if none does.
	until time.Time
	// isBroken reports whether a run breaks the promise. The attempt is the one that
	// the run belongs to.
	isBroken func(r *run, a *attempt) bool
}

// recoveryMark is in the attempt ids of the requests that show the recovery. Servers answer these
// soundly: a host cannot serve a request whose only server answers it wrongly.
const recoveryMark = "-recovery-"

// awaitRecovery waits until every host serves every kind of request, which each host
// has to within recoveryTimeout after the faults have ended. It returns a description
// of the requests that were not served, empty if all were.
func (d *deployment) awaitRecovery(ctx context.Context, seed uint64) string {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	c := &callers{hosts: d.hosts, keys: &d.keys}
	end := time.Now().Add(recoveryTimeout)
	missing := ""
	for n := 0; ctx.Err() == nil && time.Now().Before(end); n++ {
		missing = ""
		for i, h := range d.hosts {
			for _, k := range kinds {
				a := &attempt{id: fmt.Sprintf("%x%s%d-%d-%s", seed, recoveryMark, n, i, k), kind: k, host: h.name, adapter: "a1"}
				a.organisation, a.key = trustedOrganisation, trustedKey
				c.makeAttempt(client, h, a, false)
				if !a.complete || a.mismatch != "" {
					missing += fmt.Sprintf(" %s at %s: status %d %s %v;", k, h.name, a.status, a.mismatch, a.failure)
				}
			}
		}
		if missing == "" {
			return ""
		}
		sleep(ctx, 200*time.Millisecond)
	}
	return missing
}

// runPlannedWork restarts hosts and at the same time changes the configuration and
// drains servers, none of which may interrupt a request. It returns the promises that
// result from the changes.
func (d *deployment) runPlannedWork(ctx context.Context, random *rand.Rand, length time.Duration) []promise {
	end := time.Now().Add(length)
	var group sync.WaitGroup
	group.Go(func() { d.restartHosts(ctx, random.IntN(len(d.hosts)), end) })
	var promises, keyPromises []promise
	group.Go(func() { keyPromises = d.rotateKeys(ctx, end) })
	for ctx.Err() == nil && time.Now().Before(end) {
		switch random.IntN(3) {
		case 0:
			promises = d.switchBookings(promises)
		case 1:
			promises = d.declareNewVersion(promises, random)
		default:
			promises = d.drainServer(ctx, promises, random)
		}
		sleep(ctx, randomDuration(random, 300*time.Millisecond, 2*time.Second))
	}
	group.Wait()
	return append(promises, keyPromises...)
}

// restartHosts stops and starts hosts one after the other, as the rollout of a
// release does.
func (d *deployment) restartHosts(ctx context.Context, first int, end time.Time) {
	for n := 0; ctx.Err() == nil && time.Now().Before(end); n++ {
		h := d.hosts[(first+n)%len(d.hosts)]
		h.end(syscall.SIGTERM)
		must(h.start())
		sleep(ctx, 500*time.Millisecond)
	}
}

// switchBookings routes bookings and lookups to the other plain service. This ends
// the promise of the previous switch.
func (d *deployment) switchBookings(promises []promise) []promise {
	target, err := d.switchBookingTarget()
	must(err)
	now := time.Now()
	for i := range promises {
		if promises[i].name == "route" && promises[i].until.IsZero() {
			promises[i].until = now
		}
	}
	return append(promises, promise{name: "route", from: now.Add(maxConfigurationDelay), isBroken: func(r *run, a *attempt) bool {
		return a != nil && !a.kind.isStreaming() && r.Service != target
	}})
}

// declareNewVersion declares the next version of a random adapter.
func (d *deployment) declareNewVersion(promises []promise, random *rand.Rand) []promise {
	adapter := randomAdapter(random)
	version, err := d.declareVersion(adapter)
	must(err)
	return append(promises, promise{name: "version", from: time.Now().Add(maxVersionDelay), isBroken: func(r *run, _ *attempt) bool {
		return r.Adapter == adapter && r.Version < version
	}})
}

// drainServer announces a server as draining, and as ready again one second after
// the time by which it must get no more requests.
func (d *deployment) drainServer(ctx context.Context, promises []promise, random *rand.Rand) []promise {
	s := d.randomServer(random)
	must(d.writeServerRow(s, "draining"))
	from := time.Now().Add(maxDrainDelay)
	sleep(ctx, maxDrainDelay+time.Second)
	until := time.Now()
	must(d.writeServerRow(s, "ready"))
	return append(promises, promise{name: "draining", from: from, until: until, isBroken: func(r *run, _ *attempt) bool {
		return r.Server == s.id
	}})
}
