//go:build processes && linux

package processes_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/standin/relay"
	"github.com/persimmonmux/persimmonmux/standin/service"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// startLoadedDeployment starts a deployment with the default options and a caller,
// and waits until requests are answered.
func startLoadedDeployment(t *testing.T) (*deployment, *caller) {
	t.Helper()
	return startLoad(t, newDeployment(t, options{}))
}

// startLoad starts a caller on a deployment and waits until requests are answered.
func startLoad(t *testing.T, d *deployment) (*deployment, *caller) {
	t.Helper()
	c := startCaller(t, d.hosts)
	c.awaitProgress()
	return d, c
}

// Guards against a planned stop of an entry host that interrupts requests or leaves
// the engines of the host without an owner.
func TestPlannedStopCutsOffNoRequest(t *testing.T) {
	d, c := startLoadedDeployment(t)
	for _, e := range d.engines[:2] {
		former, epoch := d.owner(e), d.lease(e).Epoch
		// The streams last longer than graceTime, in which the stopping host still
		// takes requests.
		c.startLongStreams(former)
		former.stop(t)
		// The host hands the lease over before its process ends, so that no host has
		// to wait until the lease expires.
		qt.Check(t, d.lease(e).Epoch > epoch, qt.IsTrue)
		qt.Check(t, d.owner(e) != former, qt.IsTrue)
		d.awaitOwner(e, former, epoch)
		c.awaitProgress()
	}
	c.finish(d)
	qt.Check(t, c.uncertainRequests(), qt.HasLen, 0)
}

// Guards against an engine that stays without an owner after its owner was killed,
// and against callers of the other hosts whose streams or bookings get an uncertain
// outcome because the owner of their engine was killed. Guards also against bookings
// that run twice because their host was killed.
func TestKilledOwnerIsReplaced(t *testing.T) {
	d, c := startLoad(t, newDeployment(t, options{slots: scarceSlotsPerEngine}))
	var killed []*entryHost
	for _, e := range d.engines[:2] {
		former, epoch := d.owner(e), d.lease(e).Epoch
		killed = append(killed, former)
		former.kill()
		d.awaitOwner(e, former, epoch)
		d.awaitUse(e)
		c.awaitProgress()
	}
	c.finish(d)
	qt.Check(t, c.uncertainRequests(killed...), qt.HasLen, 0)
}

// Guards against a frozen owner that resumes after its lease expired and unloads an
// instance that a request is using, and against a frozen host that resumes and runs
// bookings which their callers have retried at another host.
func TestFrozenOwnerDoesNoHarmWhenItWakes(t *testing.T) {
	// The instances of a former owner keep their slots as long as it may still be
	// running. Each engine has 4 slots more than there are adapter versions.
	freezeOwners(t, 2*adapterCount+4)
}

// Guards against requests that wait for slots which the instances of a frozen owner
// keep, although another engine has free slots.
func TestFrozenOwnerLeavesFewSlots(t *testing.T) {
	// Any two engines together can hold all adapter versions, one engine cannot.
	freezeOwners(t, adapterCount+2)
}

// freezeOwners freezes the owners of two engines until other hosts have taken over
// the engines, resumes them and checks that no other host left an uncertain outcome.
func freezeOwners(t *testing.T, slots int) {
	t.Helper()
	d, c := startLoad(t, newDeployment(t, options{slots: slots}))
	former := []*entryHost{d.owner(d.engines[0]), d.owner(d.engines[1])}
	epochs := []fleet.Epoch{d.lease(d.engines[0]).Epoch, d.lease(d.engines[1]).Epoch}
	for _, h := range former {
		h.freeze(t)
		c.abandon(h)
	}
	for i, h := range former {
		d.awaitOwner(d.engines[i], h, epochs[i])
	}
	c.awaitProgress()
	// After this wait, all requests under grants of the former owners have ended. A
	// former owner may have sent orders to unload the instances that these requests
	// did not use, and such orders may arrive only now.
	c.awaitEnds()
	for i, e := range d.engines[:2] {
		d.sendLateUnloads(e, epochs[i])
	}
	for _, h := range former {
		h.resume()
	}
	c.awaitProgress()
	for _, h := range former {
		await(t, h.name+" serves again", func() bool { return isReady(h.callerAddress) })
	}
	c.finish(d)
	qt.Check(t, c.uncertainRequests(former...), qt.HasLen, 0)
}

// platformOutageDuration is ten times leaseDuration.
const platformOutageDuration = 20 * time.Second

// Guards against streams on loaded adapters that fail because the platform does not
// answer, and against bookings that run during this time although no host can
// record a claim for them.
func TestPlatformOutage(t *testing.T) {
	d, c := startLoadedDeployment(t)
	d.platform.freeze(t)
	frozen := time.Now()
	time.Sleep(leaseDuration)
	expired := time.Now()
	time.Sleep(platformOutageDuration - time.Since(frozen))
	for _, e := range d.engines {
		for _, instance := range d.loadedInstances(e) {
			parsed, err := fleet.ParseInstance(instance)
			qt.Assert(t, err, qt.IsNil)
			served := func(r *request) bool { return r.repeatable && r.adapter == parsed.Adapter }
			qt.Check(t, c.countAnswered(expired, served) > 0, qt.IsTrue, qt.Commentf("resident adapter %s", parsed.Adapter))
		}
	}
	resumed := time.Now()
	d.platform.resume()
	bookings := c.attemptsWithin(frozen, resumed, isBooking)
	qt.Check(t, len(bookings) > 0, qt.IsTrue)
	for _, b := range bookings {
		qt.Check(t, b.verdict, qt.Equals, verdict.NotRun, qt.Commentf("%s: %s", b.code, b.detail))
	}
	c.awaitProgress()
	c.finish(d)
}

// Guards against a booking that runs twice or is refused for good because the
// reply to a write that took effect in the platform was lost.
func TestLostRepliesOfThePlatform(t *testing.T) {
	d, c := startLoadedDeployment(t)
	d.setPlatformFaults(platform.ServerFaults{Table: platform.TableFaults{LostReply: 0.5}})
	for _, s := range d.services {
		// Hosts remove the claims of refused bookings, so that these may run again.
		// Bookings whose answer is lost must not run again.
		faults := service.Faults{Refuse: 0.5, RefusalStatus: http.StatusTooManyRequests, DieAfterRun: 0.5}
		qt.Assert(t, callJSON(http.MethodPut, s.address, service.PathFaults, faults, nil), qt.IsNil)
	}
	await(t, "20 requests have an uncertain outcome because their answer was lost", func() bool {
		return len(c.uncertainRequests()) >= 20
	})
	for _, s := range d.services {
		qt.Assert(t, callJSON(http.MethodPut, s.address, service.PathFaults, service.Faults{}, nil), qt.IsNil)
	}
	c.awaitProgress()
	d.setPlatformFaults(platform.ServerFaults{})
	c.awaitProgress()
	c.finish(d)
	// No fault of this test keeps a booking from reaching its backend server, so a
	// booking with an uncertain outcome has run, too.
	runs := d.countRuns()
	for _, r := range c.requests {
		if !r.repeatable {
			qt.Check(t, runs[r.runID()], qt.Equals, 1, qt.Commentf("%s: %v", r.name, describeAttempts(r)))
		}
	}
}

// Guards against a failure domain that stops serving streams when it cannot reach
// the platform, against bookings that it runs without a claim, and against leases
// whose epoch decreases when the domain reaches the platform again.
func TestFailureDomainCutOffFromThePlatform(t *testing.T) {
	d, c := startLoadedDeployment(t)
	const domain = "west-a"
	inDomain := func(attempts []attempt, v verdict.Verdict) int { return countInDomain(attempts, domain, v) }
	epochs := d.epochs()
	d.platformRelays[domain].SetPartition(relay.AllConnections)
	cut := time.Now()
	expired := cut.Add(leaseDuration)
	await(t, "the failure domain serves streams and refuses bookings after its leases expired", func() bool {
		now := time.Now()
		return inDomain(c.attemptsWithin(expired, now, isStream), verdict.Ran) >= 2*adapterCount &&
			inDomain(c.attemptsWithin(expired, now, isBooking), verdict.NotRun) >= adapterCount
	})
	qt.Check(t, inDomain(c.attemptsWithin(cut, time.Now(), isBooking), verdict.Ran), qt.Equals, 0)
	d.platformRelays[domain].SetPartition(nil)
	healed := time.Now()
	await(t, "the failure domain takes bookings again", func() bool {
		return inDomain(c.attemptsWithin(healed, time.Now(), isBooking), verdict.Ran) >= adapterCount
	})
	c.awaitProgress()
	c.finish(d)
	qt.Check(t, c.uncertainRequests(), qt.HasLen, 0)
	d.checkEpochs(epochs)
}

// countInDomain counts the attempts with a verdict at the hosts of a failure domain.
func countInDomain(attempts []attempt, domain string, v verdict.Verdict) int {
	count := 0
	for _, a := range attempts {
		if a.host.domain == domain && a.verdict == v {
			count++
		}
	}
	return count
}

// Guards against failure domains that stop serving when one of them cannot reach the
// others but still reaches its own backend servers and the platform, against
// bookings that run twice, and against leases whose epoch decreases when the domains
// reach each other again.
func TestFailureDomainCutOffFromTheOthers(t *testing.T) {
	d, c := startLoad(t, newDeployment(t, options{relayedPeers: true}))
	const domain = "west-a"
	epochs := d.epochs()
	cut := time.Now()
	d.cutOff(domain)
	for _, other := range failureDomains {
		await(t, other.name+" serves", func() bool {
			now := time.Now()
			return countInDomain(c.attemptsWithin(cut, now, isStream), other.name, verdict.Ran) >= 2*adapterCount &&
				countInDomain(c.attemptsWithin(cut, now, isBooking), other.name, verdict.Ran) >= adapterCount
		})
	}
	d.heal()
	c.awaitProgress()
	c.finish(d)
	d.checkEpochs(epochs)
}

// Guards against streams that wait for good or fail because the open connections to
// an engine deliver no more data, and against failures of other streams meanwhile.
func TestSilentConnectionsToAnEngine(t *testing.T) {
	d, c := startLoadedDeployment(t)
	for _, e := range d.engines[:2] {
		e.relay.BlackholeOpenConnections()
		c.awaitProgress()
	}
	c.finish(d)
	for _, r := range c.requests {
		if r.repeatable {
			qt.Check(t, r.hasCertainOutcome(), qt.IsTrue, qt.Commentf("%s: %v", r.name, describeAttempts(r)))
		}
	}
}

// Guards against hosts that still use the grants and the list of loaded instances of
// an engine's former process after the engine was killed and started again, and
// against bookings that run again on the new process.
func TestColdRestartOfAnEngine(t *testing.T) {
	d, c := startLoad(t, newDeployment(t, options{slots: scarceSlotsPerEngine}))
	for _, e := range d.engines[:2] {
		d.restart(e)
		d.awaitUse(e)
		c.awaitProgress()
	}
	c.finish(d)
}

// leavingDelay is the time after which a leaving backend server gets no new requests,
// counted from the moment the host list shows it as leaving.
const leavingDelay = 3 * time.Second

// deliveryDelay is the time that a request may take to reach its backend server. A
// request that was sent just before the end of leavingDelay is allowed.
const deliveryDelay = 500 * time.Millisecond

// Guards against new requests that hosts send to a backend server although the host
// list has shown it as leaving for longer than leavingDelay.
func TestLeavingBackendServersGetNoNewWork(t *testing.T) {
	d, c := startLoadedDeployment(t)
	leaving := []*backend{d.engines[0], d.services[1]}
	d.publishHosts(leaving...)
	await(t, "the host list shows the leaving servers", func() bool { return d.countLeavingHosts() == len(leaving) })
	time.Sleep(leavingDelay + deliveryDelay)
	var before []map[string]int
	for _, b := range leaving {
		before = append(before, d.fetchRecord(b).Runs)
	}
	c.awaitProgress()
	c.awaitProgress()
	for i, b := range leaving {
		qt.Check(t, d.fetchRecord(b).Runs, qt.DeepEquals, before[i], qt.Commentf("runs on %s", b.name))
	}
	c.finish(d)
	qt.Check(t, c.uncertainRequests(), qt.HasLen, 0)
}

// Guards against an engine that stays without an owner when its owner is killed while
// the platform does not answer.
func TestOwnerDiesWhileThePlatformIsAway(t *testing.T) {
	d, c := startLoad(t, newDeployment(t, options{slots: scarceSlotsPerEngine}))
	former, epoch := d.owner(d.engines[0]), d.lease(d.engines[0]).Epoch
	d.platform.freeze(t)
	former.kill()
	// The other hosts find that the lease has expired before the platform answers
	// again.
	time.Sleep(2 * leaseDuration)
	c.awaitStreams()
	d.platform.resume()
	d.awaitOwner(d.engines[0], former, epoch)
	c.awaitProgress()
	d.awaitUse(d.engines[0])
	c.finish(d)
	qt.Check(t, c.uncertainRequests(former), qt.HasLen, 0)
}

// Guards against a hand-over that passes on grants and instances which the engine has
// lost in a restart during the hand-over, and against a stopping host that never ends
// because it waits for this hand-over.
func TestEngineRestartsColdDuringAHandOver(t *testing.T) {
	d, c := startLoad(t, newDeployment(t, options{slots: scarceSlotsPerEngine}))
	for _, e := range d.engines[:2] {
		former, epoch := d.owner(e), d.lease(e).Epoch
		former.signal(syscall.SIGTERM)
		d.restart(e)
		former.awaitEnd(t)
		d.awaitOwner(e, former, epoch)
		d.awaitUse(e)
		c.awaitProgress()
	}
	c.finish(d)
}
