package adapter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	overloadEngines      = 3
	overloadPromptTokens = 1000
	overloadDuration     = 20 * time.Second
	// lessUrgentBudget is how long a less urgent request may wait for its turn in all, and
	// urgentBudget an urgent one.
	lessUrgentBudget = 2600 * time.Millisecond
	urgentBudget     = 1800 * time.Millisecond
)

// An overloadOutcome is how one request ended.
type overloadOutcome struct {
	served   bool
	took     time.Duration
	endedAt  time.Time
	failure  *verdict.Error
	attempts int
}

// An overload sends more prompts to engines than they read.
type overload struct {
	site       *fakeSite
	controller *Controller
	// statesTimeLeft means that requests state the time after which a turn is of no use.
	statesTimeLeft bool

	mutex    sync.Mutex
	outcomes map[int][]overloadOutcome
}

// send asks engines for a turn, one after the other, as coordination/forward does.
func (l *overload) send(priority int, budget time.Duration) {
	began := time.Now()
	until := began.Add(budget)
	var outcome overloadOutcome
	for time.Until(until) > 0 && !outcome.served && !outcome.isFinal() {
		id := site.ServerID(fmt.Sprintf("engine-%d", rand.IntN(overloadEngines)))
		request := site.PlaceRequest{
			Server: l.site.View().Servers[id].Incarnation, Host: "other", Adapter: site.Adapter{Model: testModel}, Priority: priority,
			PromptTokens: overloadPromptTokens, SlackTime: 600*time.Millisecond - time.Since(began),
			MaxWait: min(time.Until(until), 400*time.Millisecond), MayQueue: outcome.attempts >= 2,
		}
		if l.statesTimeLeft {
			request.TimeLeft = time.Until(until)
		}
		ctx, cancel := context.WithTimeout(context.Background(), request.MaxWait)
		_, err := l.controller.Place(ctx, request)
		cancel()
		outcome.attempts++
		outcome.served, outcome.failure = err == nil, verdict.FromError(err)
		if err != nil {
			time.Sleep(20*time.Millisecond + rand.N(40*time.Millisecond))
		}
	}
	outcome.took, outcome.endedAt = time.Since(began), time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.outcomes[priority] = append(l.outcomes[priority], outcome)
}

// isFinal reports whether no further engine is asked: three have refused, the last one with the
// time at which the request could be served.
func (o *overloadOutcome) isFinal() bool {
	return o.attempts >= 3 && o.failure != nil && o.failure.RetryAfter > 0
}

// run sends requests of the priority at the given part of what the engines can read.
func (l *overload) run(priority int, part float64, budget time.Duration) {
	var requests sync.WaitGroup
	perSecond := part * overloadEngines * initialReadRate * 1000 / overloadPromptTokens
	for end := time.Now().Add(overloadDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		requests.Go(func() { l.send(priority, budget) })
	}
	requests.Wait()
}

// TestLessUrgentRequestsAreRefusedInTime replays urgent requests beyond what engines read, beside
// less urgent ones. It guards against requests that wait for most of their time although no turn
// comes, and against less urgent ones that are never served.
func TestLessUrgentRequestsAreRefusedInTime(t *testing.T) {
	const urgent, lessUrgent = 0, 3
	for _, statesTimeLeft := range []bool{false, true} {
		t.Run(fmt.Sprintf("time left is stated: %v", statesTimeLeft), func(t *testing.T) {
			f := newFakeSite(overloadEngines, 4)
			for _, server := range f.View().Servers {
				server.MaxConcurrency = 10000
			}
			runWithController(t, f, func(c *quicktest.C, o *Controller) {
				l := &overload{site: f, controller: o, statesTimeLeft: statesTimeLeft, outcomes: make(map[int][]overloadOutcome)}
				var loads sync.WaitGroup
				loads.Go(func() { l.run(urgent, 1.3, urgentBudget) })
				loads.Go(func() { l.run(lessUrgent, 0.3, lessUrgentBudget) })
				loads.Wait()
				servedUrgent := 0
				for _, outcome := range l.outcomes[urgent] {
					if outcome.served {
						servedUrgent++
					}
				}
				// The engines read 1,500 prompts in the time, of which others get a twentieth.
				c.Check(servedUrgent >= 1300, quicktest.IsTrue, quicktest.Commentf("%d urgent requests served", servedUrgent))
				var refusedAfter []time.Duration
				servedAt := make(map[int64]int)
				served := 0
				for _, outcome := range l.outcomes[lessUrgent] {
					if outcome.served {
						served++
						servedAt[outcome.endedAt.Unix()/5]++
						continue
					}
					refusedAfter = append(refusedAfter, outcome.took)
					if statesTimeLeft {
						c.Check(outcome.failure.RetryAfter > 0, quicktest.IsTrue, quicktest.Commentf("%v", outcome.failure))
					}
				}
				slices.Sort(refusedAfter)
				median := refusedAfter[len(refusedAfter)/2]
				c.Logf("%d of %d less urgent requests served, %v in periods of 5 s; refused after %s", served, len(l.outcomes[lessUrgent]), servedAt, median)
				if !statesTimeLeft {
					// As before: the requests are held for all of their time.
					c.Check(median >= lessUrgentBudget-100*time.Millisecond, quicktest.IsTrue)
					return
				}
				c.Check(median < 300*time.Millisecond, quicktest.IsTrue)
				c.Check(len(servedAt) >= 4, quicktest.IsTrue)
				c.Check(served >= 40, quicktest.IsTrue)
			})
		})
	}
}
