// Package balance chooses the server for a request by the adapters loaded there,
// its load, its distance from this host, and its recent failures.
package balance

import (
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// ViewSource returns the newest view of the site.
type ViewSource interface {
	View() *site.View
}

// ServerRequirements describes the server that a request needs.
type ServerRequirements struct {
	Service site.ServiceName
	// Adapter has an empty Model for plain services.
	Adapter site.Adapter
	// MinVersion is the lowest acceptable version of the adapter.
	MinVersion int
	// Tried lists servers that must not be chosen again.
	Tried []site.ServerID
	// PromptTokens is the length of the prompt; 0 if it is not known.
	PromptTokens int
}

// A Pick is the server chosen by Balancer.Choose.
type Pick struct {
	Server *site.Server
	// Loaded means that the server is believed to hold the adapter in the
	// required version. It is true for requests without an adapter.
	Loaded bool
	// Limited means that the owners of all servers left have no turn for now.
	Limited bool
	// Estimate is when the answer is expected to begin.
	Estimate StartEstimate
}

// A LoadReport is the load that a server states in a response: the numbers of
// running and waiting requests and of concurrency slots.
type LoadReport struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes on the server at that moment in relation to usual,
	// which is 1. It is 0 if the server does not state it.
	Slowness float64
	// Answer is the time of the answer that the load came with. Its Delay is 0 if the answer
	// begins later than its head.
	Answer AnswerTime
}

// minEnginesPerRegion is the number of engines from which a region keeps its
// own copies of all adapters that it uses. With fewer engines, the additional
// loads cost more than the traffic between the regions.
const minEnginesPerRegion = 12

const (
	// initialAvoidDuration is how long a server is avoided after a failure. It
	// doubles with each consecutive failure up to maxAvoidDuration.
	initialAvoidDuration = 300 * time.Millisecond
	maxAvoidDuration     = 4 * time.Second
	// loadReportMaxAge is how long a reported load is used. It is also the
	// interval at which the state of removed servers is dropped.
	loadReportMaxAge = 2 * time.Second
)

// A Balancer chooses servers and counts the requests that this host has sent to
// each. Its exported fields are set before use; its methods may be called by many
// goroutines.
type Balancer struct {
	// Zone is the failure domain of this host, and Regions maps each zone to its
	// region.
	Zone    string
	Regions map[string]string
	Views   ViewSource
	// HasOwner reports whether a host currently sends orders to the engines of a
	// zone.
	HasOwner func(zone string) bool

	mutex            sync.Mutex
	states           map[site.ServerID]*serverState
	serversDroppedAt time.Time
	// times has the services whose servers state their slowness.
	times map[site.ServiceName]*serviceTimes
}

// A serverState is what this host knows of one server instance. The Balancer owns
// it and guards it by its mutex.
type serverState struct {
	incarnation site.Incarnation
	zone        string
	// inFlight is the number of requests of this host that were assigned to the
	// server and have not ended.
	inFlight int
	// load is the server's last reported load and reportedAt its time;
	// inFlightAtReport is the value of inFlight at that time.
	load             LoadReport
	reportedAt       time.Time
	inFlightAtReport int
	// meanRequests is the average number of requests in the reports of a server that states
	// its slowness.
	meanRequests        float64
	slowness            slowness
	consecutiveFailures int
	avoidUntil          time.Time
	// adapters holds the versions of the loaded adapters according to the owner's
	// last residency. It is nil if no residency was received.
	adapters  map[site.Adapter]int
	residency site.Residency
	// running counts the forwarded requests by adapter. reportedRunning means
	// that the last list for the owner contained some, so that one more, empty
	// list is due when they have ended.
	running         map[site.Adapter]int
	reportedRunning bool
	// begun are the answers that have begun since the last list for the owner.
	begun        site.BegunAnswers
	limit        rateLimit
	availability availability
}

// stateOf returns the state of a server. It starts with an empty one if the
// server is new or has restarted.
func (b *Balancer) stateOf(server *site.Server) *serverState {
	if b.states == nil {
		b.states = make(map[site.ServerID]*serverState)
	}
	s := b.states[server.ID]
	if s == nil || s.incarnation != server.Incarnation {
		s = &serverState{incarnation: server.Incarnation, zone: server.Zone, running: make(map[site.Adapter]int)}
		b.states[server.ID] = s
	}
	return s
}

// Choose returns the server for a request and counts the request there until
// Done. Its error is a *verdict.Error with verdict NotRun.
func (b *Balancer) Choose(w ServerRequirements) (Pick, error) {
	view, now := b.Views.View(), time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.dropRemovedServers(view, now)
	candidates := b.candidates(view, w, now)
	if len(candidates) == 0 {
		failure := verdict.NewNotRun(verdict.CodeOverloaded, "service %s has no server left to try", w.Service)
		failure.RetryAfter = b.leastPause(view, w.Service, now)
		return Pick{}, failure
	}
	chosen := b.choosePlain(candidates)
	if w.Adapter.Model != "" {
		chosen = candidate{}
		if b.isRegionSelfSufficient(view) {
			chosen = b.chooseEngine(b.inRegion(candidates), w.Adapter)
		}
		if chosen.state == nil || chosen.load >= maxHomeLoad {
			chosen = b.chooseEngine(candidates, w.Adapter)
		}
	}
	if chosen.state == nil {
		return Pick{}, verdict.NewNotRun(verdict.CodeNotOwner, "adapter %s is not loaded and no engine left to try has an owner", w.Adapter.Name)
	}
	chosen.state.inFlight++
	return Pick{
		Server: chosen.server, Loaded: chosen.loaded, Limited: now.Before(chosen.state.limit.refusedUntil), Estimate: chosen.estimate,
	}, nil
}

// RecordForward counts a request for the adapter that is forwarded to the server
// chosen for it.
func (b *Balancer) RecordForward(server *site.Server, adapter site.Adapter) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stateOf(server).running[adapter]++
}

// RecordBegun records that the answer to a request has begun, and how long after its send.
func (b *Balancer) RecordBegun(server *site.Server, promptTokens int, delay time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.stateOf(server)
	s.begun.Count++
	s.begun.PromptTokens += promptTokens
	s.begun.Delay += delay
	if s.slowness.isStated() {
		b.timesOf(server.Service).recordBegun(s, server.MaxConcurrency, promptTokens, delay, time.Now())
	}
}

// Done stops counting a request that Choose assigned to the server. forwarded
// states whether RecordForward was called for the request.
func (b *Balancer) Done(server *site.Server, adapter site.Adapter, forwarded bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.states[server.ID]
	if s == nil || s.incarnation != server.Incarnation {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	if !forwarded {
		return
	}
	s.running[adapter]--
	if s.running[adapter] <= 0 {
		delete(s.running, adapter)
	}
}

// ChooseReplicaTarget returns the engine of this region on which another copy of
// the adapter should be loaded: one that does not hold it and is below
// spillLoadThreshold. It returns nil if there is none.
func (b *Balancer) ChooseReplicaTarget(w ServerRequirements) *site.Server {
	view, now := b.Views.View(), time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var free []candidate
	for _, c := range b.inRegion(b.candidates(view, w, now)) {
		if !c.loaded && c.load < spillLoadThreshold && c.estimate.slowness < maxReplicaSlowness {
			free = append(free, c)
		}
	}
	chosen := b.homeEngine(free, w.Adapter)
	if chosen.state == nil {
		return nil
	}
	return chosen.server
}

// RecordResponse ends the avoidance of a server that has responded and stores its
// load unless load is nil.
func (b *Balancer) RecordResponse(server *site.Server, load *LoadReport) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.stateOf(server)
	s.consecutiveFailures = 0
	s.avoidUntil = time.Time{}
	if !time.Now().Before(s.availability.pausedUntil) {
		s.availability.pausedUntil = time.Time{}
	}
	if load == nil {
		return
	}
	now := time.Now()
	if load.Slowness > 0 {
		s.recordReport(*load, now)
		b.timesOf(server.Service).recordAnswer(s, load.Answer, now)
	}
	s.load, s.reportedAt, s.inFlightAtReport = *load, now, s.inFlight
}

// RecordFailure records that a server failed to respond properly, so that it is
// avoided for a while.
func (b *Balancer) RecordFailure(server *site.Server) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.stateOf(server)
	avoidDuration := min(initialAvoidDuration<<min(s.consecutiveFailures, 5), maxAvoidDuration)
	s.consecutiveFailures++
	s.avoidUntil = time.Now().Add(avoidDuration)
}

// dropRemovedServers drops the state of servers that are no longer in the view.
func (b *Balancer) dropRemovedServers(view *site.View, now time.Time) {
	if now.Sub(b.serversDroppedAt) < loadReportMaxAge {
		return
	}
	b.serversDroppedAt = now
	for id := range b.states {
		if view.Servers[id] == nil {
			delete(b.states, id)
		}
	}
}
