package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// The times of the faults since the start of the load, and how long they last, as shares
// of the demo's length.
const (
	restartAtShare      = 0.1
	changeAtShare       = 0.2
	outageAtShare       = 0.25
	outageDurationShare = 0.17
	lossAtShare         = 0.45
	lossDurationShare   = 0.1
	stopHostAtShare     = 0.55
	leaveAtShare        = 0.3
)

const (
	// lostReplyShare is the share of table transactions whose replies are lost.
	lostReplyShare = 0.3
	// appliedTimeout bounds the time from the acceptance of a change until it is
	// applied on every entry host.
	appliedTimeout = 10 * time.Second
	// leavingGracePeriod is how long a leaving server may still get new work after the
	// host list shows that it is leaving.
	leavingGracePeriod = 3 * time.Second
)

// A faultOutcome records which faults a run had and how the deployment reacted.
// injectFaults fills it in, except reverts and readings, which watchRevisions counts.
type faultOutcome struct {
	// events describe the faults, for the summary.
	events []string
	// appliedDelay is the time from the acceptance of the change until it was applied
	// on every host; zero if that took longer than appliedTimeout.
	appliedDelay time.Duration
	// readings is the number of times that a host's revision was read. reverts is the
	// number of readings below an earlier one of the same process.
	reverts, readings int
	// leavingServer is the backend server that was marked as leaving, and listedAt is
	// when the host list showed it.
	leavingServer string
	listedAt      time.Time
	// stoppedHost is the entry host that was stopped gracefully and replaced.
	stoppedHost fleet.HostName
	// failure is the last error while injecting a fault, or nil.
	failure error
}

// addEvent adds the description of a fault to the events.
func (o *faultOutcome) addEvent(format string, arguments ...any) {
	o.events = append(o.events, fmt.Sprintf(format, arguments...))
}

// injectFaults injects the faults one after the other. If ctx ends, it skips the others.
func (s *system) injectFaults(ctx context.Context, callers *callers, length time.Duration, seed uint64) *faultOutcome {
	random := rand.New(rand.NewPCG(seed, 2))
	began := time.Now()
	until := func(share float64) bool {
		return duty.Sleep(ctx, time.Until(began.Add(time.Duration(share*float64(length)))))
	}
	o := &faultOutcome{}
	if !until(restartAtShare) {
		return o
	}
	cold := s.engines[random.IntN(len(s.engines))]
	cold.Restart()
	o.addEvent("engine %s restarted cold", cold.name)
	if !until(changeAtShare) {
		return o
	}
	s.changeConfiguration(ctx, o)
	if !until(outageAtShare) {
		return o
	}
	s.platform.Table.SetFaults(platform.TableFaults{Unavailable: true})
	o.addEvent("the table was away for %s", time.Duration(outageDurationShare*float64(length)))
	if !until(leaveAtShare) {
		return o
	}
	s.markServerLeaving(o, s.services[random.IntN(len(s.services))])
	if !until(outageAtShare + outageDurationShare) {
		return o
	}
	s.platform.Table.SetFaults(platform.TableFaults{})
	if !until(lossAtShare) {
		return o
	}
	s.platform.Table.SetFaults(platform.TableFaults{LostReply: lostReplyShare})
	o.addEvent("the table lost %.0f%% of its replies for %s", lostReplyShare*100, time.Duration(lossDurationShare*float64(length)))
	if !until(lossAtShare + lossDurationShare) {
		return o
	}
	s.platform.Table.SetFaults(platform.TableFaults{})
	if !until(stopHostAtShare) {
		return o
	}
	s.replaceHost(o, callers, s.hosts[random.IntN(len(s.hosts))])
	return o
}

// changeConfiguration adds a version to an adapter and waits until the change is applied
// on every host, for at most appliedTimeout.
func (s *system) changeConfiguration(ctx context.Context, o *faultOutcome) {
	hosts := s.runningHosts()
	current := hosts[0].Current()
	adapter := current.Adapters[adapterName(0)]
	adapter.Versions = append(append([]fleet.AdapterVersion{}, adapter.Versions...), adapter.Current+1)
	adapter.Current++
	revision, err := hosts[0].Accept(ctx, current.Revision, configuration.Change{
		Revision:  current.Revision + 1,
		Operation: "demo-change",
		Adapters:  map[fleet.AdapterName]configuration.Adapter{adapter.Name: adapter},
	})
	if err != nil {
		o.failure = fmt.Errorf("change of adapter %s was not accepted: %w", adapter.Name, err)
		return
	}
	accepted := time.Now()
	for time.Since(accepted) < appliedTimeout {
		missing := 0
		for _, host := range s.runningHosts() {
			if host.Revision() < revision {
				missing++
			}
		}
		if missing == 0 {
			o.appliedDelay = max(time.Since(accepted), time.Microsecond)
			o.addEvent("revision %d was in force on all %d entry hosts after %s", revision, len(hosts), o.appliedDelay.Round(time.Millisecond))
			return
		}
		if !duty.Sleep(ctx, time.Millisecond) {
			return
		}
	}
}

// replaceHost stops a host gracefully and starts it again under the same name. Meanwhile
// callers send it no requests.
func (s *system) replaceHost(o *faultOutcome, callers *callers, h *runningHost) {
	o.stoppedHost = h.settings.HostName
	callers.setReceivesRequests(h.settings.HostName, false)
	began := time.Now()
	if err := s.stopHost(h); err != nil {
		o.failure = fmt.Errorf("stop of entry host %s: %w", h.settings.HostName, err)
	}
	o.addEvent("entry host %s stopped gracefully in %s and was replaced", h.settings.HostName, time.Since(began).Round(time.Millisecond))
	s.startHost(h)
	for s.runningHosts()[s.indexOf(h)].Revision() == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	callers.setReceivesRequests(h.settings.HostName, true)
}

// indexOf returns the index of a host in s.hosts, or -1.
func (s *system) indexOf(h *runningHost) int {
	for i := range s.hosts {
		if s.hosts[i] == h {
			return i
		}
	}
	return -1
}

// markServerLeaving marks a server of the plain service as leaving in the host list.
func (s *system) markServerLeaving(o *faultOutcome, v *runningService) {
	s.platform.Hosts.MarkLeaving(v.name)
	o.leavingServer = v.name
	o.listedAt = time.Now().Add(hostListDelay)
	o.addEvent("backend server %s is leaving", v.name)
}

// watchRevisions reads the revisions of all hosts until ctx ends. It counts the readings,
// and those that are lower than an earlier one of the same process.
func (s *system) watchRevisions(ctx context.Context, o *faultOutcome) {
	highest := make(map[fleet.StartNumber]configuration.Revision)
	for duty.Sleep(ctx, 20*time.Millisecond) {
		for _, host := range s.runningHosts() {
			revision := host.Revision()
			o.readings++
			if revision < highest[host.Start] {
				o.reverts++
			}
			highest[host.Start] = max(highest[host.Start], revision)
		}
	}
}
