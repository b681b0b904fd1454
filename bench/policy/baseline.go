package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonmux/persimmonmux/coordination/routing"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A chooseFunc returns the index among the candidates of the engine for a request,
// or -1 if all of them were tried.
type chooseFunc func(b *baselineRouter, q *request.Request, tried []fleet.EngineName) int

// A baselineRouter is a Router that chooses engines by one simple rule, from the same
// summaries as a routing.Router.
type baselineRouter struct {
	choose chooseFunc

	mutex      sync.Mutex
	random     *rand.Rand
	candidates []routing.Candidate
	// inFlight holds the number of this host's requests on each engine.
	inFlight map[fleet.EngineName]int
	// reported holds the value of inFlight when the latest summary was received, and
	// received the time of that summary.
	reported map[fleet.EngineName]int
	received map[fleet.EngineName]time.Time
}

func newBaselineRouter(choose chooseFunc, seed uint64) *baselineRouter {
	return &baselineRouter{
		choose: choose, random: rand.New(rand.NewPCG(seed, 7)),
		inFlight: make(map[fleet.EngineName]int), reported: make(map[fleet.EngineName]int),
		received: make(map[fleet.EngineName]time.Time),
	}
}

// UpdateCandidates implements Router.
func (b *baselineRouter) UpdateCandidates(candidates []routing.Candidate, _ time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.candidates = candidates
	for _, c := range candidates {
		if name := c.Engine.Name; !b.received[name].Equal(c.Summary.ReceivedAt) {
			b.received[name], b.reported[name] = c.Summary.ReceivedAt, b.inFlight[name]
		}
	}
}

// Choose implements dispatch.Router.
func (b *baselineRouter) Choose(q *request.Request, tried []fleet.EngineName) (fleet.EngineName, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	i := b.choose(b, q, tried)
	if i < 0 {
		return "", verdict.NewNotRun(verdict.CodeOverloaded, "every engine was tried or is unreachable")
	}
	name := b.candidates[i].Engine.Name
	b.inFlight[name]++
	return name, nil
}

// Again counts another request on an engine.
func (b *baselineRouter) Again(engine fleet.EngineName) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.inFlight[engine]++
}

// Done implements dispatch.Router.
func (b *baselineRouter) Done(engine fleet.EngineName) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.inFlight[engine]--
}

// estimatedLoad returns the estimated number of requests on a candidate: those of its
// latest summary, corrected by the change of this host's own requests since then.
func (b *baselineRouter) estimatedLoad(i int) int {
	c := &b.candidates[i]
	own := b.inFlight[c.Engine.Name]
	return max(c.Summary.Running+c.Summary.Waiting+own-b.reported[c.Engine.Name], own, 0)
}

// untried returns the indexes of the candidates whose engines were not tried.
func (b *baselineRouter) untried(tried []fleet.EngineName) []int {
	var left []int
	for i := range b.candidates {
		if !slices.Contains(tried, b.candidates[i].Engine.Name) {
			left = append(left, i)
		}
	}
	return left
}

// chooseRandom chooses an untried engine at random.
func chooseRandom(b *baselineRouter, _ *request.Request, tried []fleet.EngineName) int {
	left := b.untried(tried)
	if len(left) == 0 {
		return -1
	}
	return left[b.random.IntN(len(left))]
}

// chooseLeastLoaded chooses an untried engine with the fewest requests, at random
// among equals.
func chooseLeastLoaded(b *baselineRouter, _ *request.Request, tried []fleet.EngineName) int {
	left := b.untried(tried)
	b.random.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
	best := -1
	for _, i := range left {
		if best < 0 || b.estimatedLoad(i) < b.estimatedLoad(best) {
			best = i
		}
	}
	return best
}

// chooseHashed returns a rule of rendezvous hashing with bounded loads: it chooses
// the first untried engine in the adapter's rendezvous order whose load is below
// factor times the mean, or the first one if all are above.
func chooseHashed(factor float64) chooseFunc {
	return func(b *baselineRouter, q *request.Request, tried []fleet.EngineName) int {
		left := b.untried(tried)
		if len(left) == 0 {
			return -1
		}
		total := 1
		for i := range b.candidates {
			total += b.estimatedLoad(i)
		}
		limit := int(math.Ceil(factor * float64(total) / float64(len(b.candidates))))
		slices.SortFunc(left, func(i, j int) int {
			if b.rendezvousHash(i, q) > b.rendezvousHash(j, q) {
				return -1
			}
			return 1
		})
		for _, i := range left {
			if b.estimatedLoad(i) < limit {
				return i
			}
		}
		return left[0]
	}
}

// rendezvousHash returns the hash of a candidate's engine and a request's adapter.
func (b *baselineRouter) rendezvousHash(i int, q *request.Request) uint64 {
	return xxhash.Sum64String(string(b.candidates[i].Engine.Name) + "/" + q.Adapter.String())
}
