package forward

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/adapter"
	"github.com/persimmonmux/persimmonmux/coordination/balance"
	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/execution"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	// limitGrace is how long after its first statement a server's limit may be exceeded.
	// In any limitWindow later it gets at most limitFactor times what the limit allows,
	// and limitSlack requests.
	limitGrace  = 4 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// testLimit is the limit that servers state, in requests a second.
	testLimit = 4.0
	// peerDelay is the time that a call between two hosts takes.
	peerDelay = 12 * time.Millisecond
)

// A limitedSite has hosts in front of engines and plain servers that state a limit. The
// first host owns the zone of all servers.
type limitedSite struct {
	view  *site.View
	owner *adapter.Controller
	hosts []*limitedHost

	mutex sync.Mutex
	// limited says that the servers state testLimit, and ownerAway that the owner does not
	// answer.
	limited, ownerAway bool
	arrivals           map[site.ServerID][]time.Time
	outcomes           map[string]*outcomes
}

// outcomes counts the requests of one route.
type outcomes struct {
	answered, refused, failed int
	// longestRefusal is the longest time until a refusal.
	longestRefusal time.Duration
}

// A limitedHost is one host of a limitedSite.
type limitedHost struct {
	site      *limitedSite
	name      string
	balancer  *balance.Balancer
	forwarder *Forwarder
}

// newLimitedSite starts a site with three engines and three plain servers.
func newLimitedSite(ctx context.Context, hostCount int) *limitedSite {
	s := &limitedSite{arrivals: make(map[site.ServerID][]time.Time), outcomes: make(map[string]*outcomes)}
	s.view = &site.View{
		Desired: &site.DesiredState{
			Version: 1,
			Routes: []site.Route{
				limitedRoute("chat", "writers", site.Streaming, 0),
				limitedRoute("batch", "writers", site.Streaming, 2),
				limitedRoute("read", "ledger", site.Safe, 0),
			},
			Services: map[site.ServiceName]*site.Service{
				"writers": {Name: "writers", Engines: &site.EngineSpec{AdapterSlots: 8, LoadsPerSecond: 3, Models: []site.Model{{Name: "base"}}}},
				"ledger":  {Name: "ledger"},
			},
		},
		Servers: make(map[site.ServerID]*site.Server),
		Hosts:   make(map[string]*site.Host),
	}
	for n := range 3 {
		for _, service := range []site.ServiceName{"writers", "ledger"} {
			id := site.ServerID(fmt.Sprintf("%s-%d", service, n))
			server := &site.Server{Incarnation: site.Incarnation{ID: id, StartUnixMilli: 1}, Service: service, Zone: "z", State: site.Ready, MaxConcurrency: 6}
			if service == "writers" {
				server.MaxConcurrency = 64
				server.LoadedModels = []site.LoadedModel{{Name: "base", Version: 1, Adapters: map[string]int{"a": 1}}}
			}
			s.view.Servers[id] = server
		}
	}
	for n := range hostCount {
		name := fmt.Sprintf("host-%d", n)
		s.view.Hosts[name] = &site.Host{Name: name, Zone: "z", OwnedZones: map[string]uint64{}}
	}
	s.view.Hosts["host-0"].OwnedZones["z"] = 1
	s.view.BuildIndex()
	for n := range hostCount {
		s.hosts = append(s.hosts, s.newHost(fmt.Sprintf("host-%d", n)))
	}
	s.owner = &adapter.Controller{
		Host: "host-0", Regions: map[string]string{"z": "r"}, Engines: s, Leases: s, Views: s, Balancer: s.hosts[0].balancer, Log: zerolog.Nop(),
	}
	go s.owner.Run(ctx)
	for _, h := range s.hosts {
		go h.follow(ctx)
	}
	return s
}

// limitedRoute returns a route to a service.
func limitedRoute(name string, service site.ServiceName, kind site.Kind, priority int) site.Route {
	return site.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Resumable: true, Timeout: 12 * time.Second, TargetLatency: 600 * time.Millisecond,
		TargetEventGap: 300 * time.Millisecond, Priority: priority, MaxAttempts: 2, WeightedServices: []site.WeightedService{{Service: service, Weight: 1}},
	}
}

// newHost returns a host of the site.
func (s *limitedSite) newHost(name string) *limitedHost {
	h := &limitedHost{site: s, name: name}
	h.balancer = &balance.Balancer{Zone: "z", Regions: map[string]string{"z": "r"}, Views: s, HasOwner: func(string) bool { return true }}
	h.forwarder = &Forwarder{Views: s, Balancer: h.balancer, Placer: h, RetryBudget: s, Quarantine: s, Recorder: s, Log: zerolog.Nop()}
	return h
}

// follow reports the requests of the host to the owner, as the follower does.
func (h *limitedHost) follow(ctx context.Context) {
	for duty.Sleep(ctx, 350*time.Millisecond) {
		h.site.owner.UpdateInFlight(h.name, h.balancer.InFlight(map[string]bool{"z": true}))
		h.balancer.UpdateRunningCounts(h.site.owner.RunningCounts())
	}
}

// Place asks the owner.
func (h *limitedHost) Place(ctx context.Context, _ *site.Server, request site.PlaceRequest) (site.Placement, error) {
	request.Host, request.Region = h.name, "r"
	time.Sleep(peerDelay)
	h.site.mutex.Lock()
	away := h.site.ownerAway
	h.site.mutex.Unlock()
	if away {
		return site.Placement{}, verdict.NewNotRun(verdict.CodeNotOwner, "no owner")
	}
	return h.site.owner.Place(ctx, request)
}

func (h *limitedHost) Prefetch(*site.Server, site.PlaceRequest) {}

func (s *limitedSite) View() *site.View                 { return s.view }
func (s *limitedSite) OrderEpoch(string) (uint64, bool) { return 1, true }
func (s *limitedSite) HasSynced() bool                  { return true }
func (s *limitedSite) Synced() <-chan struct{} {
	synced := make(chan struct{})
	close(synced)
	return synced
}

func (s *limitedSite) CountRequest(string)                                        {}
func (s *limitedSite) AllowRetry(string) bool                                     { return false }
func (s *limitedSite) Watch(site.ServiceName, []string, func()) func()            { return func() {} }
func (s *limitedSite) AwaitEvidence(context.Context)                              {}
func (s *limitedSite) BlockedFor(site.ServiceName, []string) time.Duration        { return 0 }
func (s *limitedSite) RecordInterruption(context.Context, *site.Server, []string) {}
func (s *limitedSite) RecordSound(site.ServiceName, []string)                     {}
func (s *limitedSite) RecordKeyRefusal(KeyRefusal)                                {}
func (s *limitedSite) RecordRefusal(site.ServiceName, execution.Doubt)            {}

func (s *limitedSite) RecordRequest(*site.Route, site.ServiceName, time.Time, int, time.Duration, *verdict.Error) {
}

func (s *limitedSite) SendOrder(context.Context, *site.Server, site.Order) (site.OrderOutcome, error) {
	return site.OrderAlreadySatisfied, nil
}

func (s *limitedSite) ReadReport(_ context.Context, server *site.Server) (site.EngineReport, error) {
	return site.EngineReport{LoadedModels: server.LoadedModels}, nil
}

// A limitedExchange sends one request to the servers of a limitedSite.
type limitedExchange struct{ site *limitedSite }

func (e *limitedExchange) ResponseStarted() bool { return false }

func (e *limitedExchange) Send(_ context.Context, server *site.Server, _ SendOptions) (Response, error) {
	e.site.mutex.Lock()
	defer e.site.mutex.Unlock()
	e.site.arrivals[server.ID] = append(e.site.arrivals[server.ID], time.Now())
	head := ResponseHead{Status: 200, IsSigned: true, IsEventStream: true}
	if e.site.limited {
		head.RateLimit = testLimit
	}
	return slowResponse{fakeResponse{head: head}}, nil
}

// A slowResponse is a response that takes a while to deliver.
type slowResponse struct{ fakeResponse }

func (s slowResponse) DeliverBody(context.Context) error {
	time.Sleep(200 * time.Millisecond)
	return nil
}

func (s slowResponse) DeliverStream(ctx context.Context, _ DeliveryObserver) error {
	return s.DeliverBody(ctx)
}

// load sends perSecond requests a second for the route from all hosts in turn.
func (s *limitedSite) load(ctx context.Context, route string, perSecond float64, duration time.Duration) {
	o := &outcomes{}
	s.mutex.Lock()
	s.outcomes[route] = o
	s.mutex.Unlock()
	var work sync.WaitGroup
	for n := range int(perSecond * duration.Seconds()) {
		h := s.hosts[n%len(s.hosts)]
		work.Go(func() {
			request := &Request{AttemptID: "id", Host: "h", Path: "/" + route + "/x", Arrived: time.Now(), MaxWait: 12 * time.Second}
			if route != "read" {
				request.Adapter = site.Adapter{Model: "base", Name: "a"}
			}
			began := time.Now()
			failure := verdict.FromError(h.forwarder.Forward(ctx, request, &limitedExchange{site: s}))
			s.mutex.Lock()
			defer s.mutex.Unlock()
			switch {
			case failure == nil:
				o.answered++
			case failure.Verdict == verdict.NotRun:
				o.refused++
				o.longestRefusal = max(o.longestRefusal, time.Since(began))
			default:
				o.failed++
			}
		})
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	work.Wait()
}

// checkLimit checks the arrivals at each server from limitGrace after the start until
// the end.
func (s *limitedSite) checkLimit(c *quicktest.C, start, end time.Time) {
	c.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	allowed := int(limitFactor*testLimit*limitWindow.Seconds()) + limitSlack
	for id, times := range s.arrivals {
		counted := slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return at.Before(start.Add(limitGrace)) || at.After(end) })
		most := 0
		for first, last := 0, 0; last < len(counted); last++ {
			for counted[last].Sub(counted[first]) > limitWindow {
				first++
			}
			most = max(most, last-first+1)
		}
		c.Check(most <= allowed, quicktest.IsTrue, quicktest.Commentf("server %s got %d requests in %s, %d allowed", id, most, limitWindow, allowed))
	}
}

// TestServerGetsMoreThanItsLimit guards against hosts that together send a server more
// requests a second than it states, through an owner that answers, around one that does
// not, and to plain servers, which need no turn otherwise.
func TestServerGetsMoreThanItsLimit(t *testing.T) {
	for _, test := range []struct {
		name, route string
		ownerAway   bool
		// least is the number of requests that must be answered in 20 s: part of the 240
		// that the limits of three servers allow.
		least int
	}{
		{"engines", "chat", false, 216},
		{"engines whose owner does not answer", "chat", true, 160},
		{"plain servers", "read", false, 216},
		{"plain servers whose owner does not answer", "read", true, 160},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				s := newLimitedSite(ctx, 9)
				s.load(ctx, test.route, 45, 2*time.Second)
				start := time.Now()
				s.mutex.Lock()
				s.limited, s.ownerAway = true, test.ownerAway
				s.mutex.Unlock()
				s.load(ctx, test.route, 45, 20*time.Second)
				s.checkLimit(c, start, time.Now())
				o := s.outcomes[test.route]
				c.Check(o.answered >= test.least, quicktest.IsTrue, quicktest.Commentf("%+v", *o))
				c.Check(o.failed, quicktest.Equals, 0)
				cancel()
				c.Assert(s.owner.Close(), quicktest.IsNil)
			})
		})
	}
}

// start starts a load in the background and returns a function that waits for its end.
func (s *limitedSite) start(ctx context.Context, route string, perSecond float64, duration time.Duration) (wait func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.load(ctx, route, perSecond, duration)
	}()
	return func() { <-done }
}

// setLimited sets whether the servers state their limit.
func (s *limitedSite) setLimited(limited bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limited = limited
}

// TestExcessIsRefusedAtOnce guards against requests beyond the limits of all servers that
// wait although no turn comes in time, and against less urgent requests that take the
// turns of urgent ones.
func TestExcessIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		s := newLimitedSite(ctx, 9)
		s.setLimited(true)
		s.load(ctx, "chat", 10, 2*time.Second)
		wait := s.start(ctx, "batch", 20, 20*time.Second)
		s.load(ctx, "chat", 10, 20*time.Second)
		wait()
		chat, batch := s.outcomes["chat"], s.outcomes["batch"]
		c.Check(chat.answered >= 190, quicktest.IsTrue, quicktest.Commentf("%+v", *chat))
		c.Check(batch.refused > 300, quicktest.IsTrue, quicktest.Commentf("%+v", *batch))
		c.Check(batch.longestRefusal <= chatRoute.TargetLatency, quicktest.IsTrue, quicktest.Commentf("%+v", *batch))
		cancel()
		c.Assert(s.owner.Close(), quicktest.IsNil)
	})
}

// TestLimitEnds guards against a limit that stays in force after the servers have stopped
// to state it, at hosts that have never seen it too.
func TestLimitEnds(t *testing.T) {
	for _, route := range []string{"chat", "read"} {
		t.Run(route, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				s := newLimitedSite(ctx, 60)
				s.setLimited(true)
				s.load(ctx, route, 30, 5*time.Second)
				s.setLimited(false)
				s.load(ctx, route, 30, 3*time.Second)
				s.load(ctx, route, 45, 5*time.Second)
				o := s.outcomes[route]
				c.Check(o.answered, quicktest.Equals, 225, quicktest.Commentf("%+v", *o))
				cancel()
				c.Assert(s.owner.Close(), quicktest.IsNil)
			})
		})
	}
}
