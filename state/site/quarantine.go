package site

import "time"

// A Process is one process of an entry host.
type Process struct {
	// Host is the name of the host.
	Host string
	// Start is the start number of the process; a later process of the host has a higher one.
	Start int64
}

// An Observation is what a process has seen of a request that may or may not crash engines:
// an engine that ended before the answer had begun, or an answer that has begun.
type Observation struct {
	// Number numbers the observations of the process, from 1.
	Number uint64
	// Age is the time since the observation was made. It lacks the time that reports took to
	// arrive.
	Age time.Duration
	// Clock is what a clock of the process showed when the observation was made. The times
	// between the observations of a process follow from it exactly. It is positive, and 0 in
	// observations of hosts of earlier versions.
	Clock time.Duration
	// Service is the service that the request was for.
	Service ServiceName
	// Engine is the engine that ended. It is the zero value for an answer that has begun.
	Engine Incarnation
	// Traits are what the request may share with others: its adapter, the parts of its prompt
	// and its content.
	Traits []string
}

// ProcessObservations are observations that one process has made.
type ProcessObservations struct {
	Process Process
	// Observations are sorted by their numbers. Those that no longer matter are left out.
	Observations []Observation
	// CompleteThrough is the number up to which the sender knows the observations.
	CompleteThrough uint64
}

// A QuarantineReport has observations from which hosts decide which requests crash engines.
// Hosts exchange what the other one does not know yet, because a report of everything takes
// tens of kilobytes after some ends of engines.
type QuarantineReport struct {
	// Known has, for each process, the number up to which the sender knows its observations.
	Known map[Process]uint64
	// Clocks has, for each process in Known whose clock the sender knows, what it shows when
	// the report is made.
	Clocks map[Process]time.Duration
	// Observations are what the sender knows and the receiver did not when it last told.
	Observations []ProcessObservations
}
