// Package workload generates the request arrivals of the deployments on the
// design page from a seed.
package workload

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Class is one kind of request in a mix.
type Class struct {
	// Kind has the rules of the class.
	Kind configuration.Kind
	// Share is the share of arrivals; the shares of a mix sum to 1.
	Share float64
	// Tokens is the mean number of tokens of an answer.
	Tokens int
}

// A Workload describes arrivals.
type Workload struct {
	// Name appears in reports.
	Name string
	// Classes is the mix.
	Classes []Class
	// Adapters is the number of adapters.
	Adapters int
	// Exponent is the exponent of the Zipf popularity; more than zero.
	Exponent float64
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Duration is the span of arrivals.
	Duration time.Duration
	// BurstFactor is the rate within a burst relative to the mean; 1 means no bursts.
	BurstFactor float64
	// BurstLength and BurstEvery are the length of a burst and the time between starts.
	BurstLength, BurstEvery time.Duration
	// ShiftAt is when ShiftShare of the adapters change their popularity
	// ranks; zero means never.
	ShiftAt    time.Duration
	ShiftShare float64
	// Seed determines everything.
	Seed uint64
}

// An Arrival is one request.
type Arrival struct {
	// At is the time since the start.
	At time.Duration
	// Adapter is the adapter that is asked for.
	Adapter fleet.AdapterReference
	// Class is the index into Classes.
	Class int
	// Tokens is the number of tokens of the answer; at least 1.
	Tokens int
	// FailureDomain picks the failure domain of the caller, from 0 to 1.
	FailureDomain float64
}

// Kurswerk returns the mix of Kurswerk: interactive chat, advisers and overnight checks.
func Kurswerk() []Class {
	return []Class{
		{Kind: kind("chat", configuration.UrgencyInteractive, 20*time.Second), Share: 0.6, Tokens: 60},
		{Kind: kind("adviser", configuration.UrgencyPrompt, 2*time.Minute), Share: 0.25, Tokens: 120},
		{Kind: kind("overnight", configuration.UrgencyDeferred, 10*time.Minute), Share: 0.15, Tokens: 120},
	}
}

// MednaPloscha returns the mix of Medna Ploscha: quotes, drafts in volume and stock reads.
func MednaPloscha() []Class {
	return []Class{
		{Kind: kind("quote", configuration.UrgencyInteractive, 20*time.Second), Share: 0.25, Tokens: 60},
		{Kind: kind("draft", configuration.UrgencyDeferred, 5*time.Minute), Share: 0.6, Tokens: 200},
		{Kind: kind("stock", configuration.UrgencyPrompt, time.Minute), Share: 0.15, Tokens: 40},
	}
}

func kind(name configuration.KindName, urgency configuration.Urgency, deadline time.Duration) configuration.Kind {
	return configuration.Kind{
		Name:      name,
		Urgency:   urgency,
		Repeat:    configuration.RepeatAllowed,
		Timeout:   deadline,
		Objective: 0.95,
	}
}

// Arrivals returns the arrivals in rising order of time.
func (w *Workload) Arrivals() []Arrival {
	random := rand.New(rand.NewPCG(w.Seed, 0x70657273696d6d6f))
	cumulative := w.popularity()
	adapters := random.Perm(w.Adapters)
	shifted := w.ShiftAt == 0
	var arrivals []Arrival
	for at := w.next(0, random); at < w.Duration; at = w.next(at, random) {
		if !shifted && at >= w.ShiftAt {
			w.shift(adapters, random)
			shifted = true
		}
		rank, _ := slices.BinarySearch(cumulative, random.Float64()*cumulative[len(cumulative)-1])
		class := w.class(random.Float64())
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

// Adapter returns the reference of the adapter with the given number.
func Adapter(number int) fleet.AdapterReference {
	digits := []byte("adapter-00000")
	for i := len(digits) - 1; number > 0; i-- {
		digits[i] = byte('0' + number%10)
		number /= 10
	}
	return fleet.AdapterReference{Name: fleet.AdapterName(digits), Version: 1}
}

// popularity returns the cumulative weights of the ranks.
func (w *Workload) popularity() []float64 {
	cumulative := make([]float64, w.Adapters)
	total := 0.0
	for rank := range cumulative {
		total += math.Pow(float64(rank+1), -w.Exponent)
		cumulative[rank] = total
	}
	return cumulative
}

// shift gives ShiftShare of the adapters new ranks among themselves.
func (w *Workload) shift(adapters []int, random *rand.Rand) {
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

// next returns the time of the next arrival of a Poisson process whose rate is
// higher within bursts and lower outside, with the mean Rate.
func (w *Workload) next(at time.Duration, random *rand.Rand) time.Duration {
	gap := random.ExpFloat64() / w.rateAt(at)
	return at + time.Duration(gap*float64(time.Second))
}

func (w *Workload) rateAt(at time.Duration) float64 {
	if w.BurstFactor <= 1 || w.BurstEvery == 0 {
		return w.Rate
	}
	share := w.BurstLength.Seconds() / w.BurstEvery.Seconds()
	if at%w.BurstEvery < w.BurstLength {
		return w.Rate * w.BurstFactor
	}
	return w.Rate * max(1-share*w.BurstFactor, 0.05) / (1 - share)
}

func (w *Workload) class(chance float64) int {
	for i, class := range w.Classes {
		if chance < class.Share {
			return i
		}
		chance -= class.Share
	}
	return len(w.Classes) - 1
}
