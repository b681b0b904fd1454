package engine

import (
	"maps"
	"net/http"
)

// PathRecord is the path at which GET returns the Record of an engine.
const PathRecord = "/standin/record"

// PathFaults is the path at which PUT replaces the Faults of an engine.
const PathFaults = "/standin/faults"

// A Record is the state of an engine that a test in another process reads and checks.
type Record struct {
	// Violations are those of Engine.Violations.
	Violations []string `json:"violations"`
	// Runs is the number of runs of each request, by request id.
	Runs map[string]int `json:"runs"`
}

func (e *Engine) handleRecord(w http.ResponseWriter, _ *http.Request) {
	record := Record{Violations: e.Violations()}
	e.mutex.Lock()
	record.Runs = maps.Clone(e.runCounts)
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
