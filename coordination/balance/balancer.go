// Package balance chooses the server for a request by the adapters loaded there,
// its load, its distance from this host, and its recent failures.
package balance

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
}

// A Pick is the server chosen by Balancer.Choose.
type Pick struct {
	Server *site.Server
	// Loaded means that the server is believed to hold the adapter in the
	// required version. It is true for requests without an adapter.
	Loaded bool
	// Limited means that the owners of all servers left have no turn for now.
	Limited bool
}

// A LoadReport is the load that a server states in a response: the numbers of
// running and waiting requests and of concurrency slots.
type LoadReport struct {
	Running, Waiting, Slots int
}

// Loads are ratios of requests to a server's concurrency slots; costs are in the
// same unit.
const (
	// otherZoneCost and otherRegionCost are added to the load of a server in
	// another zone of this region or in another region. Traffic between regions
	// is paid for.
	otherZoneCost   = 0.04
	otherRegionCost = 0.12
	// From spillLoadThreshold on the least loaded engine with the adapter,
	// another engine is considered for loading a further copy. Its load has to be
	// lower by more than minSpillLoadGain.
	spillLoadThreshold = 0.8
	minSpillLoadGain   = 0.35
	// minEnginesPerRegion is the number of engines from which a region keeps its
	// own copies of all adapters that it uses. With fewer engines, the additional
	// loads cost more than the traffic between the regions.
	minEnginesPerRegion = 12
	// maxHomeLoad is the load from which an engine is passed over as the home
	// engine of an adapter.
	maxHomeLoad = 0.9
)

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
	load                LoadReport
	reportedAt          time.Time
	inFlightAtReport    int
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
	chosen := cheapest(candidates, func(candidate) bool { return true })
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
	return Pick{Server: chosen.server, Loaded: chosen.loaded, Limited: now.Before(chosen.state.limit.refusedUntil)}, nil
}

// A candidate is a server that a request may be sent to.
type candidate struct {
	server *site.Server
	state  *serverState
	loaded bool
	// load is the estimated ratio of requests to concurrency slots. cost is load
	// plus the cost of the distance.
	load, cost float64
}

// candidates lists the servers to choose from. Servers that have no turn for now are left
// out unless there are no others, servers that are avoided after failures unless there are
// no others either, and servers that leave unless there is nothing else. Servers that want
// no requests are not listed.
func (b *Balancer) candidates(view *site.View, w ServerRequirements, now time.Time) []candidate {
	var healthy, limited, avoided, leaving []candidate
	for _, server := range view.ServersOf(w.Service) {
		if server.State != site.Ready || containsServer(w.Tried, server.ID) {
			continue
		}
		s := b.stateOf(server)
		if s.availability.isOut(now) || s.availability.isResuming(now) && s.inFlight > 0 {
			continue
		}
		c := candidate{server: server, state: s, load: s.estimatedRequests(now) / float64(server.MaxConcurrency)}
		c.cost = c.load + b.distanceCost(server.Zone)
		c.loaded = s.hasAdapter(server, w)
		switch {
		case !s.availability.leavingSince.IsZero():
			leaving = append(leaving, c)
		case now.Before(s.avoidUntil):
			avoided = append(avoided, c)
		case now.Before(s.limit.refusedUntil):
			limited = append(limited, c)
		default:
			healthy = append(healthy, c)
		}
	}
	switch {
	case len(healthy) > 0:
		return healthy
	case len(limited) > 0:
		return limited
	case len(avoided) > 0:
		return avoided
	default:
		return leaving
	}
}

func containsServer(list []site.ServerID, id site.ServerID) bool {
	for _, known := range list {
		if known == id {
			return true
		}
	}
	return false
}

// hasAdapter reports whether the adapter is believed to be loaded. The owner's
// residency decides; the server's own announcement, which is older, is used if
// there is no residency.
func (s *serverState) hasAdapter(server *site.Server, w ServerRequirements) bool {
	if w.Adapter.Model == "" {
		return true
	}
	if s.adapters != nil {
		version, ok := s.adapters[w.Adapter]
		return ok && version >= w.MinVersion
	}
	for _, m := range server.LoadedModels {
		if m.Name != w.Adapter.Model {
			continue
		}
		if w.Adapter.Name == "" {
			return true
		}
		version, ok := m.Adapters[w.Adapter.Name]
		return ok && version >= w.MinVersion
	}
	return false
}

// estimatedRequests estimates the number of requests at the server: its last
// report, corrected by the change of this host's requests in flight since then.
func (s *serverState) estimatedRequests(now time.Time) float64 {
	if now.Sub(s.reportedAt) > loadReportMaxAge {
		return float64(s.inFlight)
	}
	return float64(max(s.load.Running+s.load.Waiting+s.inFlight-s.inFlightAtReport, s.inFlight))
}

// distanceCost returns the cost added for a server's zone.
func (b *Balancer) distanceCost(zone string) float64 {
	switch {
	case zone == b.Zone:
		return 0
	case b.Regions[zone] == b.Regions[b.Zone]:
		return otherZoneCost
	default:
		return otherRegionCost
	}
}

// cheapest returns the candidate with the lowest cost among those that fit. Its
// state is nil if none fits.
func cheapest(candidates []candidate, fits func(candidate) bool) candidate {
	var best candidate
	for _, c := range candidates {
		if fits(c) && (best.state == nil || c.cost < best.cost || c.cost == best.cost && c.server.ID < best.server.ID) {
			best = c
		}
	}
	return best
}

// chooseEngine prefers an engine that holds the adapter. If none does, or all are
// busy, it considers the home engine, on which all hosts agree so that the
// adapter is loaded only once.
func (b *Balancer) chooseEngine(candidates []candidate, adapter site.Adapter) candidate {
	resident := cheapest(candidates, func(c candidate) bool { return c.loaded })
	if resident.state != nil && resident.load < spillLoadThreshold {
		return resident
	}
	home := b.homeEngine(candidates, adapter)
	if resident.state == nil {
		return home
	}
	if home.state != nil && home.load+minSpillLoadGain < resident.load {
		return home
	}
	return resident
}

// homeEngine returns the first engine in rendezvous order, among those whose
// zones have an owner, that does not hold the adapter and is below maxHomeLoad.
// If there is none, it returns the first one in that order. The candidate's state
// is nil if no zone has an owner.
func (b *Balancer) homeEngine(candidates []candidate, adapter site.Adapter) candidate {
	var best, first candidate
	var bestScore, firstScore uint64
	hasOwner := make(map[string]bool)
	for _, c := range candidates {
		if _, known := hasOwner[c.server.Zone]; !known {
			hasOwner[c.server.Zone] = b.HasOwner(c.server.Zone)
		}
		if !hasOwner[c.server.Zone] {
			continue
		}
		score := xxhash.Sum64String(adapter.Name + "\x00" + adapter.Model + "\x00" + string(c.server.ID))
		if first.state == nil || score > firstScore {
			first, firstScore = c, score
		}
		if c.load < maxHomeLoad && !c.loaded && (best.state == nil || score > bestScore) {
			best, bestScore = c, score
		}
	}
	if best.state == nil {
		return first
	}
	return best
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
	begun := &b.stateOf(server).begun
	begun.Count++
	begun.PromptTokens += promptTokens
	begun.Delay += delay
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
		if !c.loaded && c.load < spillLoadThreshold {
			free = append(free, c)
		}
	}
	chosen := b.homeEngine(free, w.Adapter)
	if chosen.state == nil {
		return nil
	}
	return chosen.server
}

// inRegion returns the candidates in the region of this host.
func (b *Balancer) inRegion(candidates []candidate) []candidate {
	var local []candidate
	for _, c := range candidates {
		if b.Regions[c.server.Zone] == b.Regions[b.Zone] {
			local = append(local, c)
		}
	}
	return local
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
	if load != nil {
		s.load, s.reportedAt, s.inFlightAtReport = *load, time.Now(), s.inFlight
	}
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
