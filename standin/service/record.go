package service

import (
	"encoding/json"
	"maps"
	"net/http"
)

// PathRecord is the path at which GET returns the Record of a service.
const PathRecord = "/standin/record"

// PathFaults is the path at which PUT replaces the Faults of a service.
const PathFaults = "/standin/faults"

// A Record is the state of a service that a test reads from another process to check
// that no request ran more often than allowed.
type Record struct {
	// Runs is the number of runs of each request, by request id.
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
