// Package balance chooses the server for a request from what is loaded there,
// its load, its distance and how it answered before.
package balance

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// ViewSource has the newest view of the site.
type ViewSource interface {
	View() *site.View
}

// A Requirements says what a request needs of a server.
type Requirements struct {
	Service site.ServiceName
	// Adapter has an empty Model for plain services.
	Adapter site.Adapter
	// MinVersion is the lowest version of the adapter that will do.
	MinVersion int
	// Tried are servers not to be chosen again.
	Tried []site.ServerID
}

// A Pick is a chosen server.
type Pick struct {
	Server *site.Server
	// Loaded says that the server is believed to hold the adapter.
	Loaded bool
}

// A LoadReport is what a server says of itself in an answer.
type LoadReport struct {
	Running, Waiting, Slots int
}

// These costs are in parts of a server's slots.
const (
	// zoneCost and regionCost are what a server in another zone of the region or
	// in another region costs. Bytes between regions are paid for.
	zoneCost   = 0.04
	regionCost = 0.12
	// spillLoad is the load of the best server with the adapter from which
	// another copy is considered, and spillGain by how much that has to be less.
	spillLoad = 0.8
	spillGain = 0.35
	// regionEngines is the number of engines from which a region keeps its own
	// copies of all adapters that it uses. With fewer ones the loads that two
	// regions share cost more than the bytes between them.
	regionEngines = 12
	// homeLoad is the load from which the home of an adapter is passed over.
	homeLoad = 0.9
)

const (
	// suspicion is how long a server is avoided after its first failure in a
	// row; it doubles with each further one up to longestSuspicion.
	suspicion        = 300 * time.Millisecond
	longestSuspicion = 4 * time.Second
	// loadMemory is how long a reported load counts.
	loadMemory = 2 * time.Second
)

// A Balancer chooses servers. Its exported fields are set before use; it may be
// used by many goroutines.
type Balancer struct {
	// Zone is where this host stands, and Regions has the region of each zone.
	Zone    string
	Regions map[string]string
	Views   ViewSource
	// HasOwner says whether somebody gives orders to the engines of a zone now.
	HasOwner func(zone string) bool

	mutex    sync.Mutex
	stations map[site.ServerID]*station
	swept    time.Time
}

// A station is what this host knows of one server.
type station struct {
	incarnation site.Incarnation
	zone        string
	// sent counts the requests that this host has there now.
	sent int
	// load is what the server said at reported, and sentThen was sent at that time.
	load     LoadReport
	reported time.Time
	sentThen int
	failures int
	avoid    time.Time
	// adapters is what the owner says is loaded; residency says whether it did.
	adapters  map[site.Adapter]int
	residency site.Residency
	// running counts the requests that were passed on by adapter, and told says
	// that the owner was told of some.
	running map[site.Adapter]int
	told    bool
}

func (b *Balancer) station(server *site.Server) *station {
	if b.stations == nil {
		b.stations = make(map[site.ServerID]*station)
	}
	s := b.stations[server.ID]
	if s == nil || s.incarnation != server.Incarnation {
		s = &station{incarnation: server.Incarnation, zone: server.Zone, running: make(map[site.Adapter]int)}
		b.stations[server.ID] = s
	}
	return s
}

// Choose returns the server for a request and counts the request there until
// Done. Its error is a *verdict.Error with verdict NotRun.
func (b *Balancer) Choose(w Requirements) (Pick, error) {
	view, now := b.Views.View(), time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sweep(view, now)
	candidates := b.candidates(view, w, now)
	if len(candidates) == 0 {
		return Pick{}, verdict.NewNotRun(verdict.CodeOverloaded, "service %s has no server to try", w.Service)
	}
	chosen := cheapest(candidates, func(candidate) bool { return true })
	if w.Adapter.Model != "" {
		chosen = candidate{}
		if b.regional(view) {
			chosen = b.chooseEngine(b.near(candidates), w.Adapter)
		}
		if chosen.station == nil || chosen.load >= homeLoad {
			chosen = b.chooseEngine(candidates, w.Adapter)
		}
	}
	if chosen.station == nil {
		return Pick{}, verdict.NewNotRun(verdict.CodeNotOwner, "adapter %s is not loaded and no engine to try has an owner", w.Adapter.Name)
	}
	chosen.station.sent++
	return Pick{Server: chosen.server, Loaded: chosen.loaded}, nil
}

// A candidate is a server that a request may be sent to.
type candidate struct {
	server  *site.Server
	station *station
	loaded  bool
	// load is the part of the slots that are taken, and cost adds the distance.
	load, cost float64
}

// candidates lists the servers to choose from. Suspected servers are left out
// while others remain.
func (b *Balancer) candidates(view *site.View, w Requirements, now time.Time) []candidate {
	var sound, suspected []candidate
	for _, server := range view.ServersOf(w.Service) {
		if server.State != site.Ready || tried(w.Tried, server.ID) {
			continue
		}
		s := b.station(server)
		c := candidate{server: server, station: s, load: s.taken(now) / float64(server.MaxConcurrency)}
		c.cost = c.load + b.distance(server.Zone)
		c.loaded = s.holds(server, w)
		if now.Before(s.avoid) {
			suspected = append(suspected, c)
		} else {
			sound = append(sound, c)
		}
	}
	if len(sound) == 0 {
		return suspected
	}
	return sound
}

func tried(list []site.ServerID, id site.ServerID) bool {
	for _, known := range list {
		if known == id {
			return true
		}
	}
	return false
}

// holds says whether the adapter is believed to be loaded: by the word of the
// owner, or by the server's own older word where no owner has spoken.
func (s *station) holds(server *site.Server, w Requirements) bool {
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

// taken estimates the requests at the server: what it said last, and what this
// host has sent since.
func (s *station) taken(now time.Time) float64 {
	if now.Sub(s.reported) > loadMemory {
		return float64(s.sent)
	}
	return float64(max(s.load.Running+s.load.Waiting+s.sent-s.sentThen, s.sent))
}

func (b *Balancer) distance(zone string) float64 {
	switch {
	case zone == b.Zone:
		return 0
	case b.Regions[zone] == b.Regions[b.Zone]:
		return zoneCost
	default:
		return regionCost
	}
}

// cheapest returns the candidate with the least cost among those that fit. Its
// station is nil if none does.
func cheapest(candidates []candidate, fits func(candidate) bool) candidate {
	var best candidate
	for _, c := range candidates {
		if fits(c) && (best.station == nil || c.cost < best.cost || c.cost == best.cost && c.server.ID < best.server.ID) {
			best = c
		}
	}
	return best
}

// chooseEngine prefers an engine that holds the adapter. All hosts agree on the
// home of an adapter that is not loaded, so that it is loaded once.
func (b *Balancer) chooseEngine(candidates []candidate, adapter site.Adapter) candidate {
	resident := cheapest(candidates, func(c candidate) bool { return c.loaded })
	if resident.station != nil && resident.load < spillLoad {
		return resident
	}
	home := b.home(candidates, adapter)
	if resident.station == nil {
		return home
	}
	if home.station != nil && home.load+spillGain < resident.load {
		return home
	}
	return resident
}

// home returns the first engine without the adapter in rendezvous order that
// has room and an owner, or the first of all that have an owner. Its station is
// nil if there is none.
func (b *Balancer) home(candidates []candidate, adapter site.Adapter) candidate {
	var best, first candidate
	var bestScore, firstScore uint64
	ordered := make(map[string]bool)
	for _, c := range candidates {
		if _, known := ordered[c.server.Zone]; !known {
			ordered[c.server.Zone] = b.HasOwner(c.server.Zone)
		}
		if !ordered[c.server.Zone] {
			continue
		}
		score := xxhash.Sum64String(adapter.Name + "\x00" + adapter.Model + "\x00" + string(c.server.ID))
		if first.station == nil || score > firstScore {
			first, firstScore = c, score
		}
		if c.load < homeLoad && !c.loaded && (best.station == nil || score > bestScore) {
			best, bestScore = c, score
		}
	}
	if best.station == nil {
		return first
	}
	return best
}

// RecordForward counts a request for the adapter that is passed on to its server.
func (b *Balancer) RecordForward(server *site.Server, adapter site.Adapter) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.station(server).running[adapter]++
}

// Done ends the count of a request. passed says that it was passed on.
func (b *Balancer) Done(server *site.Server, adapter site.Adapter, passed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.stations[server.ID]
	if s == nil || s.incarnation != server.Incarnation {
		return
	}
	s.sent = max(s.sent-1, 0)
	if !passed {
		return
	}
	s.running[adapter]--
	if s.running[adapter] <= 0 {
		delete(s.running, adapter)
	}
}

// ChooseReplicaTarget returns the engine on which another copy of the adapter is best loaded,
// or nil: one of this region that does not hold it and has room.
func (b *Balancer) ChooseReplicaTarget(w Requirements) *site.Server {
	view, now := b.Views.View(), time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var free []candidate
	for _, c := range b.near(b.candidates(view, w, now)) {
		if !c.loaded && c.load < spillLoad {
			free = append(free, c)
		}
	}
	chosen := b.home(free, w.Adapter)
	if chosen.station == nil {
		return nil
	}
	return chosen.server
}

// near returns the candidates of this region.
func (b *Balancer) near(candidates []candidate) []candidate {
	var near []candidate
	for _, c := range candidates {
		if b.Regions[c.server.Zone] == b.Regions[b.Zone] {
			near = append(near, c)
		}
	}
	return near
}

// RecordResponse notes that a server answered, and its load if it told.
func (b *Balancer) RecordResponse(server *site.Server, load *LoadReport) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.station(server)
	s.failures = 0
	s.avoid = time.Time{}
	if load != nil {
		s.load, s.reported, s.sentThen = *load, time.Now(), s.sent
	}
}

// RecordFailure notes that a server did not answer as it should.
func (b *Balancer) RecordFailure(server *site.Server) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.station(server)
	pause := min(suspicion<<min(s.failures, 5), longestSuspicion)
	s.failures++
	s.avoid = time.Now().Add(pause)
}

// sweep forgets the servers that are gone.
func (b *Balancer) sweep(view *site.View, now time.Time) {
	if now.Sub(b.swept) < loadMemory {
		return
	}
	b.swept = now
	for id := range b.stations {
		if view.Servers[id] == nil {
			delete(b.stations, id)
		}
	}
}
