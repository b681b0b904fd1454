package service

import (
	"encoding/json"
	"maps"
	"net/http"
)

// PathRecord returns the Record of a service that runs as a process.
const PathRecord = "/standin/record"

// PathFaults replaces the Faults of a service that runs as a process.
const PathFaults = "/standin/faults"

// A Record is what a test checks at its end.
type Record struct {
	// Runs is the number of runs of each request.
	Runs map[string]int `json:"runs"`
}

func (s *Service) serveRecord(w http.ResponseWriter) {
	s.mutex.Lock()
	record := Record{Runs: maps.Clone(s.runs)}
	s.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(record)
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}
