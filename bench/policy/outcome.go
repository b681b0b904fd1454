package policy

import (
	"math"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/bench/bound"
)

// An Outcome holds the measured results of one policy in one scenario, as written to
// the JSON lines. Times are in seconds.
type Outcome struct {
	Scenario
	// Policy is the name of the policy; "bound" is the clairvoyant one.
	Policy string `json:"policy"`
	// Requests is the number of arrivals in the counted time.
	Requests int `json:"requests"`
	// StallP50, StallP95 and StallP99 are percentiles of Sample.Stall over all counted
	// requests.
	StallP50 float64 `json:"stall-p50"`
	StallP95 float64 `json:"stall-p95"`
	StallP99 float64 `json:"stall-p99"`
	// LoadStall is the share of requests that waited for their adapter.
	LoadStall float64 `json:"stalled"`
	// BatchUse is the mean share of the batch size that is used while an engine runs
	// at least one request.
	BatchUse float64 `json:"batch-use"`
	// InTime is the share of requests answered by their deadline, and ByClass this
	// share for each class by its name.
	InTime  float64            `json:"in-time"`
	ByClass map[string]float64 `json:"in-time-by-class"`
	// Goodput is the number per second of answers that came by their deadline and
	// within the counted time.
	Goodput float64 `json:"goodput"`
	// Loads is the number of loads per second, and Wasted the number per second of
	// instances that were unloaded unused.
	Loads  float64 `json:"loads"`
	Wasted float64 `json:"wasted"`
	// Bound and BoundP95 are LoadStall and StallP95 of the clairvoyant policy with
	// the same arrivals.
	Bound    float64 `json:"bound-stalled"`
	BoundP95 float64 `json:"bound-stall-p95"`
	// Recovery is the time from the start of a disturbance until the mean stall over
	// 30 s is at most 10% above the mean before the disturbance; -1 if it stays above.
	Recovery float64 `json:"recovery"`
	// Codes holds the number of failed requests by error code.
	Codes map[string]int `json:"codes"`
}

// summarize computes an Outcome from the samples and engine statistics of a run.
func summarize(s Scenario, policy string, samples []Sample, stats []EngineStats) Outcome {
	o := Outcome{Scenario: s, Policy: policy, ByClass: make(map[string]float64), Codes: make(map[string]int)}
	w := s.Workload()
	var stalls []time.Duration
	counts := make([]int, len(w.Classes))
	served := make([]int, len(w.Classes))
	for _, x := range samples {
		if x.InTime && x.Ended >= s.Warmup && x.Ended < s.Warmup+s.Length {
			o.Goodput++
		}
		if x.At < s.Warmup {
			continue
		}
		stalls = append(stalls, x.Stall)
		counts[x.Class]++
		if x.Stall > 0 {
			o.LoadStall++
		}
		if x.InTime {
			o.InTime++
			served[x.Class]++
		}
		if x.Code != "" {
			o.Codes[string(x.Code)]++
		}
	}
	o.Requests = len(stalls)
	slices.Sort(stalls)
	all := bound.Result{Stalls: stalls}
	o.StallP50, o.StallP95, o.StallP99 = all.Percentile(50).Seconds(), all.Percentile(95).Seconds(), all.Percentile(99).Seconds()
	o.LoadStall /= float64(max(o.Requests, 1))
	o.InTime /= float64(max(o.Requests, 1))
	for i, class := range w.Classes {
		o.ByClass[string(class.Kind.Name)] = float64(served[i]) / float64(max(counts[i], 1))
	}
	o.Goodput /= s.Length.Seconds()
	var busy, used time.Duration
	for _, f := range stats {
		busy, used = busy+f.Busy, used+f.Used
		o.Loads += float64(f.Loads) / s.Length.Seconds()
		o.Wasted += float64(f.Wasted) / s.Length.Seconds()
	}
	o.BatchUse = used.Seconds() / max(busy.Seconds(), 1) / batchSize
	if s.Disturbance != Steady && s.Disturbance != Bursts {
		o.Recovery = recoveryTime(s, samples)
	}
	return o
}

const (
	// recoveryWindow is the time over which stalls are averaged, and
	// recoveryStepInterval the time between the ends of two such windows.
	// recoveryFactor is the highest mean that counts as recovered, divided by the
	// mean before the disturbance.
	recoveryWindow       = 30 * time.Second
	recoveryStepInterval = 5 * time.Second
	recoveryFactor       = 1.1
)

// recoveryTime returns the time in seconds from the start of the disturbance to the
// end of the first window whose mean stall is at most recoveryFactor times the mean
// before the disturbance, or -1 if there is none. Windows begin after the end of a
// disturbance that lasts for disturbanceDuration.
func recoveryTime(s Scenario, samples []Sample) float64 {
	mean := func(from, to time.Duration) float64 {
		sum, count := 0.0, 0
		for _, x := range samples {
			if x.At >= from && x.At < to {
				sum += x.Stall.Seconds()
				count++
			}
		}
		return sum / float64(max(count, 1))
	}
	start := s.DisturbanceStart()
	steady := mean(s.Warmup, start)
	from := start
	if s.Disturbance == Outage || s.Disturbance == Slow || s.Disturbance == Cut {
		from += disturbanceDuration
	}
	for end := from + recoveryWindow; end <= s.Warmup+s.Length; end += recoveryStepInterval {
		if mean(end-recoveryWindow, end) <= steady*recoveryFactor {
			return (end - start).Seconds()
		}
	}
	return -1
}

// boundOutcome returns the outcome of the clairvoyant policy. Its BatchUse is NaN,
// because its simulation has no batches.
func boundOutcome(s Scenario) Outcome {
	w := s.Workload()
	result := s.Clairvoyant().Run(&w, w.Arrivals())
	total := float64(max(result.Requests, 1))
	return Outcome{
		Scenario: s, Policy: "bound", Requests: result.Requests,
		StallP50: result.Percentile(50).Seconds(), StallP95: result.Percentile(95).Seconds(), StallP99: result.Percentile(99).Seconds(),
		LoadStall: float64(result.LoadStall) / total, InTime: result.InTime(), BatchUse: math.NaN(),
		Goodput: float64(result.Requests-result.Late) / w.Duration.Seconds(),
		Loads:   float64(result.Loads) / w.Duration.Seconds(),
	}
}
