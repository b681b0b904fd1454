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

// A choice returns the index of the engine for a request, or -1.
type choice func(b *baselineRouter, q *request.Request, tried []fleet.EngineName) int

// A baselineRouter chooses engines by one simple rule. It knows the same
// summaries as a routing.Router.
type baselineRouter struct {
	choose choice

	mutex      sync.Mutex
	random     *rand.Rand
	candidates []routing.Candidate
	inFlight   map[fleet.EngineName]int
	// reported is inFlight when the summary was received.
	reported map[fleet.EngineName]int
	received map[fleet.EngineName]time.Time
}

func newBaselineRouter(choose choice, seed uint64) *baselineRouter {
	return &baselineRouter{
		choose: choose, random: rand.New(rand.NewPCG(seed, 7)),
		inFlight: make(map[fleet.EngineName]int), reported: make(map[fleet.EngineName]int),
		received: make(map[fleet.EngineName]time.Time),
	}
}

// UpdateCandidates replaces the candidates.
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

// Again implements dispatch.Router.
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

func (b *baselineRouter) load(i int) int {
	c := &b.candidates[i]
	own := b.inFlight[c.Engine.Name]
	return max(c.Summary.Running+c.Summary.Waiting+own-b.reported[c.Engine.Name], own, 0)
}

// untried returns the indexes of the engines that were not tried.
func (b *baselineRouter) untried(tried []fleet.EngineName) []int {
	var left []int
	for i := range b.candidates {
		if !slices.Contains(tried, b.candidates[i].Engine.Name) {
			left = append(left, i)
		}
	}
	return left
}

// chooseRandom takes any engine.
func chooseRandom(b *baselineRouter, _ *request.Request, tried []fleet.EngineName) int {
	left := b.untried(tried)
	if len(left) == 0 {
		return -1
	}
	return left[b.random.IntN(len(left))]
}

// chooseLeastLoaded takes one of the engines with the fewest requests.
func chooseLeastLoaded(b *baselineRouter, _ *request.Request, tried []fleet.EngineName) int {
	left := b.untried(tried)
	b.random.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
	best := -1
	for _, i := range left {
		if best < 0 || b.load(i) < b.load(best) {
			best = i
		}
	}
	return best
}

// chooseHashed takes the first engine on the adapter's list in rendezvous order
// whose load is at most factor times the mean.
func chooseHashed(factor float64) choice {
	return func(b *baselineRouter, q *request.Request, tried []fleet.EngineName) int {
		left := b.untried(tried)
		if len(left) == 0 {
			return -1
		}
		total := 1
		for i := range b.candidates {
			total += b.load(i)
		}
		limit := int(math.Ceil(factor * float64(total) / float64(len(b.candidates))))
		slices.SortFunc(left, func(i, j int) int {
			if b.hash(i, q) > b.hash(j, q) {
				return -1
			}
			return 1
		})
		for _, i := range left {
			if b.load(i) < limit {
				return i
			}
		}
		return left[0]
	}
}

func (b *baselineRouter) hash(i int, q *request.Request) uint64 {
	return xxhash.Sum64String(string(b.candidates[i].Engine.Name) + "/" + q.Adapter.String())
}
