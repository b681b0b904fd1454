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

// These constants time the faults as shares of the demo's length.
const (
	restartAt  = 0.1
	changeAt   = 0.2
	outageAt   = 0.25
	outageFor  = 0.17
	lossAt     = 0.45
	lossFor    = 0.1
	stopHostAt = 0.55
	leaveAt    = 0.3
)

const (
	// lostReplies is the share of table transactions whose replies are lost.
	lostReplies = 0.3
	// forceLimit is how long a change may take to be in force everywhere.
	forceLimit = 10 * time.Second
	// leaveLimit is the time after which a leaving server gets no new work,
	// counted from when the host list shows it.
	leaveLimit = 3 * time.Second
)

// A course is what the faults of a run led to.
type course struct {
	events []string
	// inForce is the time from acceptance until every host had the change;
	// zero when it was not in force in time.
	inForce time.Duration
	// reverts counts readings of a host's revision below an earlier reading.
	reverts, readings int
	// leaving is the backend server that left; listed is when the host list
	// showed it.
	leaving string
	listed  time.Time
	stopped fleet.HostName
	failure error
}

func (c *course) say(format string, arguments ...any) {
	c.events = append(c.events, fmt.Sprintf(format, arguments...))
}

// bring brings the faults about, one after the other.
func (s *system) bring(ctx context.Context, callers *callers, length time.Duration, seed uint64) *course {
	random := rand.New(rand.NewPCG(seed, 2))
	began := time.Now()
	until := func(share float64) bool {
		return duty.Sleep(ctx, time.Until(began.Add(time.Duration(share*float64(length)))))
	}
	c := &course{}
	if !until(restartAt) {
		return c
	}
	cold := s.engines[random.IntN(len(s.engines))]
	cold.Restart()
	c.say("engine %s restarted cold", cold.name)
	if !until(changeAt) {
		return c
	}
	s.change(ctx, c)
	if !until(outageAt) {
		return c
	}
	s.platform.Table.SetFaults(platform.TableFaults{Unavailable: true})
	c.say("the table was away for %s", time.Duration(outageFor*float64(length)))
	if !until(leaveAt) {
		return c
	}
	s.leave(c, s.services[random.IntN(len(s.services))])
	if !until(outageAt + outageFor) {
		return c
	}
	s.platform.Table.SetFaults(platform.TableFaults{})
	if !until(lossAt) {
		return c
	}
	s.platform.Table.SetFaults(platform.TableFaults{LostReply: lostReplies})
	c.say("the table lost %.0f%% of its replies for %s", lostReplies*100, time.Duration(lossFor*float64(length)))
	if !until(lossAt + lossFor) {
		return c
	}
	s.platform.Table.SetFaults(platform.TableFaults{})
	if !until(stopHostAt) {
		return c
	}
	s.replaceHost(c, callers, s.hosts[random.IntN(len(s.hosts))])
	return c
}

// change creates a version of an adapter and waits until every host has it.
func (s *system) change(ctx context.Context, c *course) {
	hosts := s.running()
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
		c.failure = fmt.Errorf("change of %s was not accepted: %w", adapter.Name, err)
		return
	}
	accepted := time.Now()
	for time.Since(accepted) < forceLimit {
		missing := 0
		for _, host := range s.running() {
			if host.Revision() < revision {
				missing++
			}
		}
		if missing == 0 {
			c.inForce = max(time.Since(accepted), time.Microsecond)
			c.say("revision %d was in force on all %d entry hosts after %s", revision, len(hosts), c.inForce.Round(time.Millisecond))
			return
		}
		if !duty.Sleep(ctx, time.Millisecond) {
			return
		}
	}
}

// replaceHost stops a host gracefully and starts it again under the same name.
func (s *system) replaceHost(c *course, callers *callers, h *runningHost) {
	c.stopped = h.settings.HostName
	callers.balance(h.settings.HostName, false)
	began := time.Now()
	if err := s.stopHost(h); err != nil {
		c.failure = fmt.Errorf("stop of entry host %s: %w", h.settings.HostName, err)
	}
	c.say("entry host %s stopped gracefully in %s and was replaced", h.settings.HostName, time.Since(began).Round(time.Millisecond))
	s.startHost(h)
	for s.running()[s.indexOf(h)].Revision() == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	callers.balance(h.settings.HostName, true)
}

func (s *system) indexOf(h *runningHost) int {
	for i := range s.hosts {
		if s.hosts[i] == h {
			return i
		}
	}
	return -1
}

// leave marks a plain service's server as leaving in the host list.
func (s *system) leave(c *course, v *runningService) {
	s.platform.Hosts.MarkLeaving(v.name)
	c.leaving = v.name
	c.listed = time.Now().Add(hostListLag)
	c.say("backend server %s is leaving", v.name)
}

// watchRevisions counts readings that go back, until ctx ends.
func (s *system) watchRevisions(ctx context.Context, c *course) {
	highest := make(map[fleet.StartNumber]configuration.Revision)
	for duty.Sleep(ctx, 20*time.Millisecond) {
		for _, host := range s.running() {
			revision := host.Revision()
			c.readings++
			if revision < highest[host.Start] {
				c.reverts++
			}
			highest[host.Start] = max(highest[host.Start], revision)
		}
	}
}
