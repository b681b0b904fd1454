package policy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/bench/workload"
	"github.com/persimmonmux/persimmonmux/coordination/budget"
	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/coordination/ownership"
	"github.com/persimmonmux/persimmonmux/coordination/routing"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	// domainDelay and regionDelay are the one-way delays between hosts. The
	// first two failure domains form a region.
	domainDelay = time.Millisecond
	regionDelay = 12 * time.Millisecond
	// publishInterval is the time between two snapshots of a host's router.
	publishInterval = 100 * time.Millisecond
	// heartbeatInterval is the time between two reports of the engines that
	// other hosts own.
	heartbeatInterval = time.Second
	// silentAfter is how long a host is heard after its last heartbeat.
	silentAfter = 3 * time.Second
	// leaseDuration is how long a lease outlasts the last contact with the platform.
	leaseDuration = 10 * time.Second
	// tries is the number of tries of a request.
	tries = 3
	// grantLimit is the longest duration of a grant.
	grantLimit = 2 * time.Minute
)

// A Router is a dispatch.Router that follows the engines' summaries.
type Router interface {
	dispatch.Router
	UpdateCandidates(candidates []routing.Candidate, now time.Time)
}

// A LoadRateSharing says how hosts share the weight store's rate.
type LoadRateSharing int

const (
	// BudgetNone leaves the order of loads to the weight store.
	BudgetNone LoadRateSharing = iota
	// BudgetFixed gives each host its fixed share.
	BudgetFixed
	// BudgetLent lends all shares to one allocator.
	BudgetLent
)

// A Policy is a set of load decisions.
type Policy struct {
	Name string
	// Router returns the router of one host.
	Router func(s *Scenario, domain int, seed uint64) Router
	// Placement returns the placement of one host.
	Placement func(s *Scenario) ownership.PlacementPolicy
	Budgeting LoadRateSharing
}

// A host is an entry host of a simulation. It owns one engine.
type host struct {
	name       fleet.HostName
	domain     int
	router     Router
	owner      *ownership.Owner
	share      *budget.Share
	dispatcher *dispatch.Dispatcher
	// known are the summaries of the engines of other hosts.
	known map[fleet.EngineName]fleet.EngineSummary
}

// A Simulation is one deployment in virtual time.
type Simulation struct {
	Scenario Scenario
	Policy   Policy

	hosts     []*host
	engines   Engines
	store     *WeightStore
	allocator *budget.Allocator
	arrivals  []workload.Arrival
	classes   []workload.Class
	samples   []Sample
	began     time.Time
	// cut says that the last failure domain is cut off, since cutAt.
	cut   atomic.Bool
	cutAt atomic.Int64
}

// A Sample is what happened to one request.
type Sample struct {
	// At and Ended count from the start of the run.
	At, Ended     time.Duration
	Class         int
	FailureDomain int
	// Stall is the time that the request waited for its adapter.
	Stall time.Duration
	// InTime says that the whole answer came before the deadline.
	InTime bool
	// Code is the code of the failure, if any.
	Code verdict.Code
}

// Run runs the scenario in the bubble of the calling test and returns one
// sample for each arrival, and the figures of the engines.
func (r *Simulation) Run(ctx context.Context) ([]Sample, []EngineStats) {
	ctx, cancel := context.WithCancel(ctx)
	r.began = time.Now()
	w := r.Scenario.Workload()
	r.classes, r.arrivals = w.Classes, w.Arrivals()
	r.samples = make([]Sample, len(r.arrivals))
	r.build()
	var duties, requests sync.WaitGroup
	for _, h := range r.hosts {
		duties.Go(func() { _ = h.owner.Run(ctx) })
	}
	if r.allocator != nil {
		duties.Go(func() { _ = r.allocator.Run(ctx) })
	}
	duties.Go(func() { r.publish(ctx) })
	duties.Go(func() { r.disturb(ctx) })
	random := rand.New(rand.NewPCG(r.Scenario.Seed, 11))
	for i, arrival := range r.arrivals {
		time.Sleep(time.Until(r.began.Add(arrival.At)))
		perDomain := len(r.hosts) / domains
		h := r.hosts[int(arrival.FailureDomain*domains)*perDomain+random.IntN(perDomain)]
		requests.Go(func() { r.request(ctx, h, i) })
	}
	requests.Wait()
	var figures []EngineStats
	for _, e := range r.engines {
		figures = append(figures, e.Stats())
	}
	cancel()
	duties.Wait()
	return r.samples, figures
}

func (r *Simulation) build() {
	s := &r.Scenario
	r.store = NewWeightStore(s.LoadRate())
	r.engines = make(Engines)
	for i := range s.Engines {
		domain := i * domains / s.Engines
		engine := fleet.Engine{
			Name: fleet.EngineName(fmt.Sprintf("engine-%02d", i)), FailureDomain: domainName(domain),
			AdapterSlots: s.Slots, BatchSize: batchSize, Fencing: fleet.FencingIgnored,
		}
		e := NewEngine(engine, r.store)
		e.Tokens = func(id fleet.RequestID) int { return r.arrivals[requestNumber(id)].Tokens }
		e.From, e.To = r.began.Add(s.Warmup), r.began.Add(s.Warmup+s.Length)
		r.engines[engine.Name] = e
		h := &host{
			name: fleet.HostName(fmt.Sprintf("host-%02d", i)), domain: domain,
			router: r.Policy.Router(s, domain, s.Seed*100+uint64(i)),
			known:  make(map[fleet.EngineName]fleet.EngineSummary),
		}
		link := &hostLink{simulation: r, host: h}
		h.share = &budget.Share{
			Host: h.name, Permits: link,
			Rate: func() float64 { return s.LoadRate() / float64(s.Engines) },
		}
		h.owner = &ownership.Owner{
			Engine: engine, Host: h.name, Epoch: 1, Engines: r.engines, Leases: link, Budget: link,
			Placement: r.Policy.Placement(s), Holders: link, Logger: zerolog.Nop(),
		}
		h.dispatcher = &dispatch.Dispatcher{
			Host: h.name, Admission: admitAll{}, Router: h.router, Grants: link, Engines: r.engines,
			Retries: fixedRetries{}, Recorder: noRecorder{}, GrantLimit: grantLimit,
		}
		r.hosts = append(r.hosts, h)
	}
	if r.Policy.Budgeting == BudgetLent {
		r.allocator = budget.NewAllocator(lenders{r}, lenders{r})
	}
}

func domainName(domain int) fleet.FailureDomainName {
	return fleet.FailureDomainName(fmt.Sprintf("domain-%d", domain))
}

// request runs one request and takes its sample.
func (r *Simulation) request(ctx context.Context, h *host, number int) {
	arrival := r.arrivals[number]
	kind := r.classes[arrival.Class].Kind
	now := time.Now()
	sample := &r.samples[number]
	sample.At, sample.Class, sample.FailureDomain = arrival.At, arrival.Class, h.domain
	q := &request.Request{
		ID: requestID(number), RunID: requestID(number), Kind: kind, Adapter: arrival.Adapter, Arrived: now, Deadline: now.Add(kind.Timeout),
	}
	_, err := h.dispatcher.Dispatch(ctx, q, nil)
	sample.Ended = time.Since(r.began)
	sample.InTime = err == nil && sample.Ended <= arrival.At+kind.Timeout
	if failure := verdict.FromError(err); failure != nil {
		sample.Code = failure.Code
	}
}

// publish brings the summaries to the routers. A host sees its own engine at
// once and the engines of others at their heartbeats.
func (r *Simulation) publish(ctx context.Context) {
	heard := make(map[[2]int]time.Time)
	for tick := 0; ; tick++ {
		now := time.Now()
		for i, h := range r.hosts {
			for j, other := range r.hosts {
				due := i == j || (tick+i+j)%int(heartbeatInterval/publishInterval) == 0
				if due && !r.separated(h.domain, other.domain) {
					r.hear(h, other, now)
					heard[[2]int{i, j}] = now
				}
			}
			var candidates []routing.Candidate
			for j, other := range r.hosts {
				summary, ok := h.known[other.owner.Engine.Name]
				if !ok || now.Sub(heard[[2]int{i, j}]) > silentAfter {
					continue
				}
				candidates = append(candidates, routing.Candidate{
					Engine: other.owner.Engine, Summary: summary, Distance: distance(h.domain, other.domain),
				})
			}
			h.router.UpdateCandidates(candidates, now)
		}
		if pause(ctx, publishInterval) != nil {
			return
		}
	}
}

func (r *Simulation) hear(h, other *host, now time.Time) {
	summary := other.owner.Summary()
	last, known := h.known[summary.Engine]
	summary.ReceivedAt = now
	if h == other && known && last.Version == summary.Version && last.Running == summary.Running && last.Waiting == summary.Waiting {
		summary.ReceivedAt = last.ReceivedAt
	}
	h.known[summary.Engine] = summary
}

func distance(a, b int) routing.Distance {
	switch {
	case a == b:
		return routing.SameFailureDomain
	case a < 2 && b < 2:
		return routing.SameRegion
	}
	return routing.OtherRegion
}

func delay(a, b int) time.Duration {
	switch distance(a, b) {
	case routing.SameFailureDomain:
		return 0
	case routing.SameRegion:
		return domainDelay
	default:
		return regionDelay
	}
}

// separated says whether two failure domains cannot reach each other.
func (r *Simulation) separated(a, b int) bool {
	return a != b && r.cut.Load() && (a == domains-1 || b == domains-1)
}

func (r *Simulation) disturb(ctx context.Context) {
	if pause(ctx, r.Scenario.DisturbanceStart()) != nil {
		return
	}
	switch r.Scenario.Disturbance {
	case Cold:
		r.engines[r.hosts[0].owner.Engine.Name].Restart()
	case Outage:
		r.store.SetUnavailable(true)
		_ = pause(ctx, disturbanceLength)
		r.store.SetUnavailable(false)
	case Slow:
		r.store.SetSlow(8)
		_ = pause(ctx, disturbanceLength)
		r.store.SetSlow(1)
	case Cut:
		r.cutAt.Store(time.Now().UnixNano())
		r.cut.Store(true)
		_ = pause(ctx, disturbanceLength)
		r.cut.Store(false)
	}
}

// A hostLink joins the duties of one host with those of the others.
type hostLink struct {
	simulation *Simulation
	host       *host
}

func (l *hostLink) other(engine fleet.EngineName) *host {
	i := slices.IndexFunc(l.simulation.hosts, func(h *host) bool { return h.owner.Engine.Name == engine })
	return l.simulation.hosts[i]
}

// AcquireGrant implements dispatch.GrantProvider.
func (l *hostLink) AcquireGrant(ctx context.Context, demand dispatch.GrantRequest) (fleet.Grant, error) {
	other := l.other(demand.Engine)
	if l.simulation.separated(l.host.domain, other.domain) {
		return fleet.Grant{}, verdict.NewNotRun(verdict.CodeNoGrant, "host %s is not reachable", other.name)
	}
	way := delay(l.host.domain, other.domain)
	_ = pause(ctx, way)
	sent := time.Now()
	grant, err := other.owner.AcquireGrant(ctx, demand)
	// The waits of tries that ended without a grant count too.
	l.simulation.samples[requestNumber(demand.Request)].Stall += time.Since(sent)
	_ = pause(ctx, way)
	return grant, err
}

// Release implements dispatch.GrantProvider.
func (l *hostLink) Release(grant fleet.Grant) {
	other := l.other(grant.Engine)
	time.AfterFunc(delay(l.host.domain, other.domain), func() {
		other.owner.Release([]fleet.RequestID{grant.Request})
	})
}

// Valid implements ownership.LeaseChecker.
func (l *hostLink) Valid(lease.Name) (fleet.Epoch, bool) {
	expired := l.simulation.separated(l.host.domain, 0) && time.Since(time.Unix(0, l.simulation.cutAt.Load())) > leaseDuration
	return 1, !expired
}

// CollectHoldings implements ownership.HoldingsCollector.
func (l *hostLink) CollectHoldings(context.Context, fleet.EngineName, fleet.Epoch, ownership.PreviousHolder) (ownership.Holdings, error) {
	return ownership.Holdings{Complete: true, PreviousHolderEnded: true}, nil
}

// Acquire implements ownership.LoadBudget.
func (l *hostLink) Acquire(ctx context.Context, engine fleet.EngineName, _ fleet.AdapterReference, _ configuration.Urgency) error {
	return l.acquire(ctx, budget.PermitRequest{Engine: engine})
}

// AcquirePriority implements ownership.PriorityLoadBudget.
func (l *hostLink) AcquirePriority(ctx context.Context, engine fleet.EngineName, priority float64) error {
	return l.acquire(ctx, budget.PermitRequest{Engine: engine, Priority: priority})
}

func (l *hostLink) acquire(ctx context.Context, want budget.PermitRequest) error {
	if l.simulation.Policy.Budgeting == BudgetNone {
		return nil
	}
	return l.host.share.Acquire(ctx, want)
}

// AcquirePermit implements budget.PermitSource. The first host runs the allocator.
func (l *hostLink) AcquirePermit(ctx context.Context, want budget.PermitRequest) error {
	if l.simulation.separated(l.host.domain, 0) {
		return verdict.NewNotRun(verdict.CodeNotOwner, "load budget: the allocator is not reachable")
	}
	way := delay(l.host.domain, 0)
	_ = pause(ctx, way)
	err := l.simulation.allocator.AcquirePermit(ctx, want)
	_ = pause(ctx, way)
	return err
}

// lenders reaches the shares of all hosts for the allocator.
type lenders struct {
	simulation *Simulation
}

// Hosts implements budget.Lenders.
func (l lenders) Hosts() []fleet.HostName {
	var names []fleet.HostName
	for _, h := range l.simulation.hosts {
		names = append(names, h.name)
	}
	return names
}

// Borrow implements budget.Lenders.
func (l lenders) Borrow(_ context.Context, name fleet.HostName, epoch fleet.Epoch) (budget.Loan, error) {
	i := slices.IndexFunc(l.simulation.hosts, func(h *host) bool { return h.name == name })
	h := l.simulation.hosts[i]
	if l.simulation.separated(h.domain, 0) {
		return budget.Loan{}, errors.New("host is not reachable")
	}
	return h.share.Lend(epoch, time.Now())
}

// Valid implements budget.AllocatorLease.
func (l lenders) Valid() (fleet.Epoch, bool) {
	return 1, true
}

// admitAll admits every request.
type admitAll struct{}

// Admit implements dispatch.Admitter.
func (admitAll) Admit(*request.Request) (func(), error) {
	return func() {}, nil
}

// fixedRetries allows a fixed number of retries.
type fixedRetries struct{}

// NextBackoff implements dispatch.RetryBudget.
func (fixedRetries) NextBackoff(_ *request.Request, retry int) (time.Duration, bool) {
	return 50 * time.Millisecond << retry, retry < tries
}

// noRecorder drops outcomes; the simulation takes its samples itself.
type noRecorder struct{}

// RecordRequest implements dispatch.Recorder.
func (noRecorder) RecordRequest(*request.Request, request.Response, *verdict.Error) {}

// label is the name of a scenario in tables.
func (s *Scenario) label() string {
	return strings.Join([]string{
		s.Mix, fmt.Sprintf("zipf %.1f", s.Exponent), fmt.Sprintf("%d slots", s.Slots),
		fmt.Sprintf("load %.1f", s.Load), string(s.Disturbance),
	}, ", ")
}
