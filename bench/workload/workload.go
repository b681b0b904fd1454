// Package workload generates synthetic request arrivals from a seed, in the
// request mixes of the two deployments on the design page.
package workload

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Class is one kind of request in a mix, with its share of the arrivals.
type Class struct {
	// Kind is the configured kind of the class: its urgency, timeout and objective.
	Kind configuration.Kind
	// Share is the share of all arrivals; the shares of a mix sum to 1.
	Share float64
	// Tokens is the mean number of tokens of an answer.
	Tokens int
}

// A Workload holds the parameters from which Arrivals generates requests. The
// caller sets its fields; equal fields give equal arrivals.
type Workload struct {
	// Name is the name of the mix.
	Name string
	// Classes are the request classes of the mix.
	Classes []Class
	// Adapters is the number of adapters that requests can ask for.
	Adapters int
	// Exponent is the exponent of the Zipf distribution of adapter popularity;
	// more than zero.
	Exponent float64
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Duration is the time from the start within which requests arrive.
	Duration time.Duration
	// BurstFactor is the rate within a burst divided by Rate; 1 or less means no bursts.
	BurstFactor float64
	// BurstLength is the duration of a burst, and BurstEvery the time between the
	// starts of two bursts.
	BurstLength, BurstEvery time.Duration
	// ShiftAt is the time from the start at which a share of ShiftShare of the
	// adapters get new popularity ranks; zero means never.
	ShiftAt    time.Duration
	ShiftShare float64
	// Seed seeds the random numbers.
	Seed uint64
}

// An Arrival is one generated request.
type Arrival struct {
	// At is the arrival time, counted from the start of the workload.
	At time.Duration
	// Adapter is the adapter that the request asks for.
	Adapter fleet.AdapterReference
	// Class is the index into Workload.Classes.
	Class int
	// Tokens is the number of tokens of the answer; at least 1.
	Tokens int
	// FailureDomain is a random number in [0, 1). Users of the workload multiply it
	// by their number of failure domains to get the caller's.
	FailureDomain float64
}

// Kurswerk returns the request mix of the deployment Kurswerk: interactive chat,
// advisers and overnight checks.
func Kurswerk() []Class {
	return []Class{
		{Kind: newKind("chat", configuration.UrgencyInteractive, 20*time.Second), Share: 0.6, Tokens: 60},
		{Kind: newKind("adviser", configuration.UrgencyPrompt, 2*time.Minute), Share: 0.25, Tokens: 120},
		{Kind: newKind("overnight", configuration.UrgencyDeferred, 10*time.Minute), Share: 0.15, Tokens: 120},
	}
}

// MednaPloscha returns the request mix of the deployment Medna Ploscha: quotes, a
// large volume of drafts, and stock reads.
func MednaPloscha() []Class {
	return []Class{
		{Kind: newKind("quote", configuration.UrgencyInteractive, 20*time.Second), Share: 0.25, Tokens: 60},
		{Kind: newKind("draft", configuration.UrgencyDeferred, 5*time.Minute), Share: 0.6, Tokens: 200},
		{Kind: newKind("stock", configuration.UrgencyPrompt, time.Minute), Share: 0.15, Tokens: 40},
	}
}

func newKind(name configuration.KindName, urgency configuration.Urgency, timeout time.Duration) configuration.Kind {
	return configuration.Kind{
		Name:      name,
		Urgency:   urgency,
		Repeat:    configuration.RepeatAllowed,
		Timeout:   timeout,
		Objective: 0.95,
	}
}

const (
	// arrivalStream selects the random number stream of the arrivals, apart from
	// the other uses of the same seed.
	arrivalStream = 0x70657273696d6d6f
	// minRateShare bounds from below the rate between bursts, as a share of Rate,
	// because bursts alone could take up the whole mean rate.
	minRateShare = 0.05
)

// Arrivals generates the arrivals, sorted by time.
func (w *Workload) Arrivals() []Arrival {
	random := rand.New(rand.NewPCG(w.Seed, arrivalStream))
	cumulative := w.cumulativePopularity()
	adapters := random.Perm(w.Adapters)
	shifted := w.ShiftAt == 0
	var arrivals []Arrival
	for at := w.nextArrival(0, random); at < w.Duration; at = w.nextArrival(at, random) {
		if !shifted && at >= w.ShiftAt {
			w.shiftRanks(adapters, random)
			shifted = true
		}
		rank, _ := slices.BinarySearch(cumulative, random.Float64()*cumulative[len(cumulative)-1])
		class := w.pickClass(random.Float64())
		arrivals = append(arrivals, Arrival{
			At:            at,
			Adapter:       Adapter(adapters[min(rank, w.Adapters-1)]),
			Class:         class,
			Tokens:        1 + int(random.ExpFloat64()*float64(w.Classes[class].Tokens)),
			FailureDomain: random.Float64(),
		})
	}
	return arrivals
}

// Adapter returns version 1 of the adapter with the given number, which has at
// most five digits.
func Adapter(number int) fleet.AdapterReference {
	digits := []byte("adapter-00000")
	for i := len(digits) - 1; number > 0; i-- {
		digits[i] = byte('0' + number%10)
		number /= 10
	}
	return fleet.AdapterReference{Name: fleet.AdapterName(digits), Version: 1}
}

// cumulativePopularity returns, for each popularity rank, the sum of the
// Zipf weights up to and including that rank.
func (w *Workload) cumulativePopularity() []float64 {
	cumulative := make([]float64, w.Adapters)
	total := 0.0
	for rank := range cumulative {
		total += math.Pow(float64(rank+1), -w.Exponent)
		cumulative[rank] = total
	}
	return cumulative
}

// shiftRanks picks a share of ShiftShare of the ranks and permutes the adapters
// that hold them.
func (w *Workload) shiftRanks(adapters []int, random *rand.Rand) {
	ranks := random.Perm(w.Adapters)[:int(w.ShiftShare*float64(w.Adapters))]
	order := random.Perm(len(ranks))
	values := make([]int, len(ranks))
	for i, rank := range ranks {
		values[i] = adapters[rank]
	}
	for i, rank := range ranks {
		adapters[rank] = values[order[i]]
	}
}

// nextArrival returns the time of the arrival after at, in a Poisson process whose
// rate is higher within bursts and lower between them, with the mean Rate.
func (w *Workload) nextArrival(at time.Duration, random *rand.Rand) time.Duration {
	gap := random.ExpFloat64() / w.rateAt(at)
	return at + time.Duration(gap*float64(time.Second))
}

// rateAt returns the arrivals per second at a time.
func (w *Workload) rateAt(at time.Duration) float64 {
	if w.BurstFactor <= 1 || w.BurstEvery == 0 {
		return w.Rate
	}
	share := w.BurstLength.Seconds() / w.BurstEvery.Seconds()
	if at%w.BurstEvery < w.BurstLength {
		return w.Rate * w.BurstFactor
	}
	return w.Rate * max(1-share*w.BurstFactor, minRateShare) / (1 - share)
}

// pickClass returns the index of the class that a random number in [0, 1) selects.
func (w *Workload) pickClass(random float64) int {
	for i, class := range w.Classes {
		if random < class.Share {
			return i
		}
		random -= class.Share
	}
	return len(w.Classes) - 1
}
