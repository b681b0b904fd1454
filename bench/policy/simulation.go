package policy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/bench/workload"
	"github.com/persimmonmux/persimmonmux/coordination/budget"
	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/coordination/ownership"
	"github.com/persimmonmux/persimmonmux/coordination/routing"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	// sameRegionDelay and crossRegionDelay are the one-way network delays between
	// hosts of two failure domains. The first two failure domains form one region.
	sameRegionDelay  = time.Millisecond
	crossRegionDelay = 12 * time.Millisecond
	// publishInterval is the time between two updates of the candidates of a host's
	// router.
	publishInterval = 100 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats from a host to another
	// one. Heartbeats carry the summaries of engines.
	heartbeatInterval = time.Second
	// silenceTimeout is the time without a heartbeat after which a router no longer
	// uses a host's engine.
	silenceTimeout = 3 * time.Second
	// leaseDuration is how long a lease stays valid after the last contact with the
	// platform.
	leaseDuration = 10 * time.Second
	// maxTries is the highest number of tries of a request, the first one included.
	maxTries = 3
	// hostChoiceStream selects the random number stream that picks the host of each
	// arrival, apart from the other uses of the same seed.
	hostChoiceStream = 11
	// maxGrantDuration is the longest duration of a grant.
	maxGrantDuration = 2 * time.Minute
)

// A Router is a dispatch.Router that chooses among candidates with the summaries
// that its host knows.
type Router interface {
	dispatch.Router
	// UpdateCandidates replaces the candidates.
	UpdateCandidates(candidates []routing.Candidate, now time.Time)
}

// A LoadRateSharing is the way in which hosts share the weight store's load rate.
type LoadRateSharing int

const (
	// BudgetNone sets no budget: hosts send every load at once, and the weight
	// store's queue limits the rate.
	BudgetNone LoadRateSharing = iota
	// BudgetFixed gives each host a fixed and equal share of the rate.
	BudgetFixed
	// BudgetLent lends the shares of all hosts to one allocator, which grants loads
	// to hosts.
	BudgetLent
)

// A Policy is a combination of routing, placement and load budget that the
// benchmark measures.
type Policy struct {
	// Name is the name of the policy in the results.
	Name string
	// Router returns a new router for a host in the given failure domain.
	Router func(s *Scenario, domain int, seed uint64) Router
	// Placement returns a new placement policy for a host.
	Placement func(s *Scenario) ownership.PlacementPolicy
	// Budgeting is the way in which the hosts share the load rate.
	Budgeting LoadRateSharing
}

// A host is an entry host of a simulation. It is the owner of one engine.
type host struct {
	name       fleet.HostName
	domain     int
	router     Router
	owner      *ownership.Owner
	share      *budget.Share
	dispatcher *dispatch.Dispatcher
	// summaries are the latest summaries of all engines that this host has received,
	// its own engine's included.
	summaries map[fleet.EngineName]fleet.EngineSummary
}

// A Simulation is one run of a deployment in virtual time. The caller sets its
// exported fields and calls Run once.
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
	startedAt time.Time
	// partitionActive is true while the last failure domain is cut off.
	partitionActive atomic.Bool
	// partitionStart is the time of the latest cut in nanoseconds since 1970.
	partitionStart atomic.Int64
}

// A Sample is the measured result of one request.
type Sample struct {
	// At is the arrival time and Ended the time of the answer or failure, both
	// counted from the start of the run.
	At, Ended time.Duration
	// Class is the index of the request's class in the workload.
	Class int
	// FailureDomain is the index of the failure domain of the request's host.
	FailureDomain int
	// Stall is the time that the request waited at the owners of engines for a grant,
	// which needs the adapter to be resident. It is the sum over all tries, without
	// network delays.
	Stall time.Duration
	// InTime is true if the whole answer came by the deadline.
	InTime bool
	// Code is the code of the failure; empty for an answer.
	Code verdict.Code
}

// Run runs the scenario and returns one sample for each arrival, and the statistics
// of the engines. It must be called inside synctest.Test, whose clock it uses.
func (r *Simulation) Run(ctx context.Context) ([]Sample, []EngineStats) {
	ctx, cancel := context.WithCancel(ctx)
	r.startedAt = time.Now()
	w := r.Scenario.Workload()
	r.classes, r.arrivals = w.Classes, w.Arrivals()
	r.samples = make([]Sample, len(r.arrivals))
	r.build()
	var background, requests sync.WaitGroup
	for _, h := range r.hosts {
		background.Go(func() { _ = h.owner.Run(ctx) })
	}
	if r.allocator != nil {
		background.Go(func() { _ = r.allocator.Run(ctx) })
	}
	background.Go(func() { r.publishSummaries(ctx) })
	background.Go(func() { r.injectDisturbance(ctx) })
	random := rand.New(rand.NewPCG(r.Scenario.Seed, hostChoiceStream))
	for i, arrival := range r.arrivals {
		time.Sleep(time.Until(r.startedAt.Add(arrival.At)))
		perDomain := len(r.hosts) / domainCount
		h := r.hosts[int(arrival.FailureDomain*domainCount)*perDomain+random.IntN(perDomain)]
		requests.Go(func() { r.runRequest(ctx, h, i) })
	}
	requests.Wait()
	var stats []EngineStats
	for _, e := range r.engines {
		stats = append(stats, e.Stats())
	}
	cancel()
	background.Wait()
	return r.samples, stats
}

// build creates the engines, their owner hosts and, if the policy needs it, the
// allocator of the load budget.
func (r *Simulation) build() {
	s := &r.Scenario
	r.store = NewWeightStore(s.LoadRate())
	r.engines = make(Engines)
	for i := range s.Engines {
		domain := i * domainCount / s.Engines
		engine := fleet.Engine{
			Name: fleet.EngineName(fmt.Sprintf("engine-%02d", i)), FailureDomain: domainName(domain),
			AdapterSlots: s.Slots, BatchSize: batchSize, Fencing: fleet.FencingIgnored,
		}
		e := NewEngine(engine, r.store)
		e.Tokens = func(id fleet.RequestID) int { return r.arrivals[requestNumber(id)].Tokens }
		e.From, e.To = r.startedAt.Add(s.Warmup), r.startedAt.Add(s.Warmup+s.Length)
		r.engines[engine.Name] = e
		h := &host{
			name: fleet.HostName(fmt.Sprintf("host-%02d", i)), domain: domain,
			router:    r.Policy.Router(s, domain, s.Seed*100+uint64(i)),
			summaries: make(map[fleet.EngineName]fleet.EngineSummary),
		}
		link := &hostLink{simulation: r, host: h}
		h.share = &budget.Share{
			Host: h.name, Permits: link,
			Rate: func() float64 { return s.LoadRate() / float64(s.Engines) },
		}
		h.owner = &ownership.Owner{
			Engine: engine, Host: h.name, Epoch: 1, Engines: r.engines, Leases: link, Budget: link,
			Placement: r.Policy.Placement(s), HoldingsCollector: link, Logger: zerolog.Nop(),
		}
		h.dispatcher = &dispatch.Dispatcher{
			Host: h.name, Admission: admitAll{}, Router: h.router, Grants: link, Engines: r.engines,
			Retries: fixedRetries{}, Recorder: noRecorder{}, GrantLimit: maxGrantDuration,
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

// runRequest dispatches one request from a host and fills in its sample.
func (r *Simulation) runRequest(ctx context.Context, h *host, number int) {
	arrival := r.arrivals[number]
	kind := r.classes[arrival.Class].Kind
	now := time.Now()
	sample := &r.samples[number]
	sample.At, sample.Class, sample.FailureDomain = arrival.At, arrival.Class, h.domain
	q := &request.Request{
		ID: requestID(number), RunID: requestID(number), Kind: kind, Adapter: arrival.Adapter, Arrived: now, Deadline: now.Add(kind.Timeout),
	}
	_, err := h.dispatcher.Dispatch(ctx, q, nil)
	sample.Ended = time.Since(r.startedAt)
	sample.InTime = err == nil && sample.Ended <= arrival.At+kind.Timeout
	if failure := verdict.FromError(err); failure != nil {
		sample.Code = failure.Code
	}
}

// publishSummaries gives every host's router the summaries that the host knows, once
// each publishInterval until ctx ends. A host reads the summary of its own engine
// each time and receives those of other engines with their heartbeats.
func (r *Simulation) publishSummaries(ctx context.Context) {
	// lastReceived holds the time of the latest summary by receiving and sending host.
	lastReceived := make(map[[2]int]time.Time)
	for tick := 0; ; tick++ {
		now := time.Now()
		for i, h := range r.hosts {
			for j, other := range r.hosts {
				due := i == j || (tick+i+j)%int(heartbeatInterval/publishInterval) == 0
				if due && !r.isPartitioned(h.domain, other.domain) {
					r.receiveSummary(h, other, now)
					lastReceived[[2]int{i, j}] = now
				}
			}
			var candidates []routing.Candidate
			for j, other := range r.hosts {
				summary, ok := h.summaries[other.owner.Engine.Name]
				if !ok || now.Sub(lastReceived[[2]int{i, j}]) > silenceTimeout {
					continue
				}
				candidates = append(candidates, routing.Candidate{
					Engine: other.owner.Engine, Summary: summary, Distance: distance(h.domain, other.domain),
				})
			}
			h.router.UpdateCandidates(candidates, now)
		}
		if sleepContext(ctx, publishInterval) != nil {
			return
		}
	}
}

// receiveSummary stores the summary of the engine of other at h. ReceivedAt of a
// host's own engine changes only with the content of the summary.
func (r *Simulation) receiveSummary(h, other *host, now time.Time) {
	summary := other.owner.Summary()
	last, known := h.summaries[summary.Engine]
	summary.ReceivedAt = now
	if h == other && known && last.Version == summary.Version && last.Running == summary.Running && last.Waiting == summary.Waiting {
		summary.ReceivedAt = last.ReceivedAt
	}
	h.summaries[summary.Engine] = summary
}

// distance returns the network distance between two failure domains.
func distance(a, b int) routing.Distance {
	switch {
	case a == b:
		return routing.SameFailureDomain
	case a < 2 && b < 2:
		return routing.SameRegion
	}
	return routing.OtherRegion
}

// oneWayDelay returns the network delay from one failure domain to another.
func oneWayDelay(a, b int) time.Duration {
	switch distance(a, b) {
	case routing.SameFailureDomain:
		return 0
	case routing.SameRegion:
		return sameRegionDelay
	default:
		return crossRegionDelay
	}
}

// isPartitioned reports whether two failure domains cannot reach each other.
func (r *Simulation) isPartitioned(a, b int) bool {
	return a != b && r.partitionActive.Load() && (a == domainCount-1 || b == domainCount-1)
}

// injectDisturbance applies the scenario's disturbance at its start and ends it
// after disturbanceDuration. Bursts and Shift are part of the workload instead.
func (r *Simulation) injectDisturbance(ctx context.Context) {
	if sleepContext(ctx, r.Scenario.DisturbanceStart()) != nil {
		return
	}
	switch r.Scenario.Disturbance {
	case Cold:
		r.engines[r.hosts[0].owner.Engine.Name].Restart()
	case Outage:
		r.store.SetUnavailable(true)
		_ = sleepContext(ctx, disturbanceDuration)
		r.store.SetUnavailable(false)
	case Slow:
		r.store.SetSlow(slowLoadFactor)
		_ = sleepContext(ctx, disturbanceDuration)
		r.store.SetSlow(1)
	case Cut:
		r.partitionStart.Store(time.Now().UnixNano())
		r.partitionActive.Store(true)
		_ = sleepContext(ctx, disturbanceDuration)
		r.partitionActive.Store(false)
	}
}

// admitAll admits every request.
type admitAll struct{}

// Admit implements dispatch.Admitter.
func (admitAll) Admit(*request.Request) (func(), error) {
	return func() {}, nil
}

// fixedRetries allows a fixed number of retries.
type fixedRetries struct{}

// NextBackoff implements dispatch.RetryBudget. The backoff doubles with each retry,
// from 100 ms.
func (fixedRetries) NextBackoff(_ *request.Request, retry int) (time.Duration, bool) {
	return 50 * time.Millisecond << retry, retry < maxTries
}

// noRecorder discards outcomes, because runRequest records the samples.
type noRecorder struct{}

// RecordRequest implements dispatch.Recorder.
func (noRecorder) RecordRequest(*request.Request, request.Response, *verdict.Error) {}

// label returns the name of a scenario in tables and tests, without the seed.
func (s *Scenario) label() string {
	return strings.Join([]string{
		s.Mix, fmt.Sprintf("zipf %.1f", s.Exponent), fmt.Sprintf("%d slots", s.Slots),
		fmt.Sprintf("load %.1f", s.Load), string(s.Disturbance),
	}, ", ")
}
