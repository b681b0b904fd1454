// Package loadgen sends open-loop load to an entry host and measures the answers.
// Requests start at times that do not depend on the answers to earlier ones.
package loadgen

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	// maxInFlight bounds the requests that wait for an answer. A request that is due
	// while so many are in flight is counted as not sent, because open-loop load does
	// not wait.
	maxInFlight = 10_000
	// resultCapacity is the number of results that can wait for the report.
	resultCapacity = 4 * maxInFlight
	// codeNotSent is the code of requests that were not sent because of maxInFlight.
	codeNotSent = verdict.Code("not-sent")
)

// A Plan describes the load to send. Run expects a plan for which Check returns nil.
type Plan struct {
	// Address is the IP address and port of an entry host.
	Address string
	// Rate is the number of requests per second; arrivals are a Poisson process.
	Rate float64
	// Duration is how long requests are started.
	Duration time.Duration
	// Kinds are the kinds of the requests, in equal shares. With none, requests name no
	// kind and the entry host uses the default kind.
	Kinds []string
	// Adapters is the number of adapters; each request names one of them.
	Adapters int
	// AdapterFormat is the fmt format that makes the name of an adapter from its
	// number, counted from 0.
	AdapterFormat string
	// Exponent is the Zipf exponent of the popularity of adapters; zero means
	// that all are equally popular.
	Exponent float64
	// Token is the bearer token of the application that the requests belong to.
	Token string
	// Seed determines arrivals, adapters and kinds. They are the same in each run with
	// the same seed.
	Seed uint64
	// Stream makes all requests request streamed answers.
	Stream bool
	// Timeout is how long a request waits for its answer.
	Timeout time.Duration
}

// Check returns an error that names the first wrong field.
func (p *Plan) Check() error {
	if address, err := netip.ParseAddrPort(p.Address); err != nil || address.Port() == 0 {
		return fmt.Errorf("address %q: expected an IP address and a port", p.Address)
	}
	if !(p.Rate > 0) || math.IsInf(p.Rate, 0) {
		return fmt.Errorf("rate %v: expected more than 0", p.Rate)
	}
	if p.Duration <= 0 {
		return fmt.Errorf("duration %s: expected more than 0", p.Duration)
	}
	if p.Timeout <= 0 {
		return fmt.Errorf("timeout %s: expected more than 0", p.Timeout)
	}
	if p.Adapters < 1 {
		return fmt.Errorf("adapters %d: expected at least 1", p.Adapters)
	}
	if !(p.Exponent >= 0) || math.IsInf(p.Exponent, 0) {
		return fmt.Errorf("zipf %v: expected at least 0", p.Exponent)
	}
	if first, second := fmt.Sprintf(p.AdapterFormat, 0), fmt.Sprintf(p.AdapterFormat, 1); first == second || strings.Contains(first, "%!") {
		return fmt.Errorf("adapter-format %q: expected one whole number, as adapter-%%05d", p.AdapterFormat)
	}
	for _, kind := range p.Kinds {
		if kind == "" {
			return fmt.Errorf("kind: expected a name")
		}
	}
	return nil
}

// Run sends the load, waits for the answers and returns the report. If ctx ends early,
// the report covers the requests until then.
func Run(ctx context.Context, plan Plan) *Report {
	s := &sender{
		plan: plan,
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight, MaxIdleConns: maxInFlight, DisableCompression: true},
		},
		results:       ring.New[result](resultCapacity),
		inFlightSlots: make(chan struct{}, maxInFlight),
	}
	defer s.client.CloseIdleConnections()
	report := newReport(plan)
	sendingEnded, collected := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(collected)
		report.collect(s.results.Messages(), sendingEnded)
	}()
	report.Sent = s.sendAll(ctx)
	close(sendingEnded)
	<-collected
	report.Dropped = s.results.RejectedCount()
	return report
}

// arrivals generates the sequence of requests of a plan from its seed.
type arrivals struct {
	random *rand.Rand
	// cumulativePopularity holds, for each adapter, the sum of the popularities of the
	// adapters up to it.
	cumulativePopularity []float64
	plan                 *Plan
}

func newArrivals(plan *Plan) *arrivals {
	a := &arrivals{
		random:               rand.New(rand.NewPCG(plan.Seed, 0)),
		cumulativePopularity: make([]float64, plan.Adapters),
		plan:                 plan,
	}
	// The Zipf distribution of math/rand supports only exponents above 1. Those of
	// adapter popularity are often lower.
	sum := 0.0
	for i := range a.cumulativePopularity {
		sum += math.Pow(float64(i+1), -plan.Exponent)
		a.cumulativePopularity[i] = sum
	}
	return a
}

// arrival is one request to be sent.
type arrival struct {
	// gap is the time since the previous arrival.
	gap     time.Duration
	adapter string
	kind    string
}

// next returns the next request: an exponentially distributed gap, an adapter drawn by
// popularity and a kind drawn evenly.
func (a *arrivals) next() arrival {
	gap := a.random.ExpFloat64() / a.plan.Rate * float64(time.Second)
	drawn := a.random.Float64() * a.cumulativePopularity[len(a.cumulativePopularity)-1]
	number := min(sort.SearchFloat64s(a.cumulativePopularity, drawn), len(a.cumulativePopularity)-1)
	next := arrival{gap: time.Duration(gap), adapter: fmt.Sprintf(a.plan.AdapterFormat, number)}
	if len(a.plan.Kinds) > 0 {
		next.kind = a.plan.Kinds[a.random.IntN(len(a.plan.Kinds))]
	}
	return next
}

// requestID returns a new UUID version 7, which every kind of request accepts.
func requestID() string {
	return uuid.Must(uuid.NewV7()).String()
}
