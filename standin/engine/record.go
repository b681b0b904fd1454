package engine

import (
	"maps"
	"net/http"
)

// PathRecord returns the Record of an engine that runs as a process.
const PathRecord = "/standin/record"

// PathFaults replaces the Faults of an engine that runs as a process.
const PathFaults = "/standin/faults"

// A Record is what a test checks at its end.
type Record struct {
	// Violations are the broken promises.
	Violations []string `json:"violations"`
	// Runs is the number of runs of each request.
	Runs map[string]int `json:"runs"`
}

func (e *Engine) handleRecord(w http.ResponseWriter, _ *http.Request) {
	record := Record{Violations: e.Violations()}
	e.mutex.Lock()
	record.Runs = maps.Clone(e.counts)
	e.mutex.Unlock()
	reply(w, record)
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !decode(w, r, &faults) {
		return
	}
	e.SetFaults(faults)
	reply(w, struct{}{})
}
