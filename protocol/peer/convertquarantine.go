package peer

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// FromQuarantineReport converts a quarantine report to its message.
func FromQuarantineReport(r site.QuarantineReport) *QuarantineReport {
	message := &QuarantineReport{}
	for process, number := range r.Known {
		known := &ProcessObservations{Process: fromProcess(process), CompleteThrough: number, ClockNanoseconds: int64(r.Clocks[process])}
		message.Known = append(message.Known, known)
	}
	for _, list := range r.Observations {
		encoded := &ProcessObservations{Process: fromProcess(list.Process), CompleteThrough: list.CompleteThrough}
		for _, o := range list.Observations {
			encoded.Observations = append(encoded.Observations, fromObservation(o))
		}
		message.Observations = append(message.Observations, encoded)
	}
	return message
}

// ToQuarantineReport converts a message to a quarantine report.
func ToQuarantineReport(message *QuarantineReport) site.QuarantineReport {
	r := site.QuarantineReport{Known: make(map[site.Process]uint64, len(message.GetKnown()))}
	for _, known := range message.GetKnown() {
		process := toProcess(known.GetProcess())
		r.Known[process] = known.GetCompleteThrough()
		if clock := known.GetClockNanoseconds(); clock > 0 {
			if r.Clocks == nil {
				r.Clocks = make(map[site.Process]time.Duration)
			}
			r.Clocks[process] = time.Duration(clock)
		}
	}
	for _, encoded := range message.GetObservations() {
		list := site.ProcessObservations{Process: toProcess(encoded.GetProcess()), CompleteThrough: encoded.GetCompleteThrough()}
		for _, o := range encoded.GetObservations() {
			list.Observations = append(list.Observations, toObservation(o))
		}
		r.Observations = append(r.Observations, list)
	}
	return r
}

func fromObservation(o site.Observation) *Observation {
	message := &Observation{
		Number:           o.Number,
		AgeNanoseconds:   int64(o.Age),
		ClockNanoseconds: int64(o.Clock),
		Service:          string(o.Service),
		Traits:           o.Traits,
	}
	if o.Engine != (site.Incarnation{}) {
		message.Engine = fromIncarnation(o.Engine)
	}
	return message
}

func toObservation(message *Observation) site.Observation {
	return site.Observation{
		Number:  message.GetNumber(),
		Age:     time.Duration(message.GetAgeNanoseconds()),
		Clock:   time.Duration(message.GetClockNanoseconds()),
		Service: site.ServiceName(message.GetService()),
		Engine:  toIncarnation(message.GetEngine()),
		Traits:  message.GetTraits(),
	}
}

func fromProcess(p site.Process) *Process {
	return &Process{Host: p.Host, Start: p.Start}
}

func toProcess(message *Process) site.Process {
	return site.Process{Host: message.GetHost(), Start: message.GetStart()}
}
