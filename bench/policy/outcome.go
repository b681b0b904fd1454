package policy

import (
	"math"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/bench/bound"
)

// An Outcome is what one policy reached in one scenario. Times are in seconds.
type Outcome struct {
	Scenario
	Policy string `json:"policy"`
	// Requests is the number of arrivals in the counted time.
	Requests int `json:"requests"`
	// StallP50, StallP95 and StallP99 are percentiles over all requests.
	StallP50 float64 `json:"stall-p50"`
	StallP95 float64 `json:"stall-p95"`
	StallP99 float64 `json:"stall-p99"`
	// LoadStall is the share of requests that waited for their adapter.
	LoadStall float64 `json:"stalled"`
	// BatchUse is the mean share of the batch that is used while an engine is busy.
	BatchUse float64 `json:"batch-use"`
	// InTime is the share of requests answered by their deadline, and ByClass
	// the same for each class.
	InTime  float64            `json:"in-time"`
	ByClass map[string]float64 `json:"in-time-by-class"`
	// Goodput is the number of answers in time per second that ended in the
	// counted time.
	Goodput float64 `json:"goodput"`
	// Loads and Wasted are loads per second, and those evicted unused.
	Loads  float64 `json:"loads"`
	Wasted float64 `json:"wasted"`
	// Bound is the share of stalled requests and BoundP95 the percentile of the
	// stall that the clairvoyant run reached with the same arrivals.
	Bound    float64 `json:"bound-stalled"`
	BoundP95 float64 `json:"bound-stall-p95"`
	// Recovery is the time from a disturbance until the mean stall over 30 s
	// is back within 10% of the mean before it; -1 when it did not come back.
	Recovery float64 `json:"recovery"`
	// Codes counts failures by their codes.
	Codes map[string]int `json:"codes"`
}

// summarize computes an Outcome from the samples and figures of a run.
func summarize(s Scenario, policy string, samples []Sample, figures []EngineStats) Outcome {
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
	for _, f := range figures {
		busy, used = busy+f.Busy, used+f.Used
		o.Loads += float64(f.Loads) / s.Length.Seconds()
		o.Wasted += float64(f.Wasted) / s.Length.Seconds()
	}
	o.BatchUse = used.Seconds() / max(busy.Seconds(), 1) / batchSize
	if s.Disturbance != Steady && s.Disturbance != Bursts {
		o.Recovery = recovery(s, samples)
	}
	return o
}

const (
	// recoveryWindow is the time over which stalls are averaged.
	recoveryWindow = 30 * time.Second
	recoveryStep   = 5 * time.Second
	recoveryMargin = 1.1
)

// recovery returns the time in seconds from the disturbance to the end of the
// first window whose mean stall is within the margin of the steady state.
func recovery(s Scenario, samples []Sample) float64 {
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
	middle := s.DisturbanceStart()
	steady := mean(s.Warmup, middle)
	from := middle
	if s.Disturbance == Outage || s.Disturbance == Slow || s.Disturbance == Cut {
		from += disturbanceLength
	}
	for end := from + recoveryWindow; end <= s.Warmup+s.Length; end += recoveryStep {
		if mean(end-recoveryWindow, end) <= steady*recoveryMargin {
			return (end - middle).Seconds()
		}
	}
	return -1
}

// boundOutcome is the outcome of the clairvoyant run, which has no batch.
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
