package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"golang.org/x/time/rate"

	"github.com/persimmonmux/persimmonmux/protocol/hostlist"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// maximumObject bounds a request body, in bytes.
const maximumObject = 16 << 20

// A Server offers the parts of the platform behind http.Handler. Its fields are
// set before use.
type Server struct {
	Table   *Table
	Objects *ObjectStore
	Hosts   *HostList
	Weights *WeightStore
	// Reads and Writes limit the reading and writing calls for rows and objects
	// each second; nil means no limit. Calls beyond get 429.
	Reads, Writes *rate.Limiter
}

// throttle takes one call from the rate and reports whether it was left.
func throttle(w http.ResponseWriter, _ *http.Request, limiter *rate.Limiter) bool {
	if limiter == nil || limiter.Allow() {
		return true
	}
	http.Error(w, "the rate of calls is spent", http.StatusTooManyRequests)
	return false
}

// PathFaults replaces the ServerFaults of a platform that runs as a process.
const PathFaults = "/standin/faults"

// PathRows writes rows of any table as the platform's operator and the backend
// servers do. Its body is that of a transaction.
const PathRows = "/standin/rows"

// ServerFaults are the faults of all parts of the platform.
type ServerFaults struct {
	Table   TableFaults  `json:"table" group:"table" namespace:"table"`
	Objects ObjectFaults `json:"objects" group:"objects" namespace:"objects"`
	Weights WeightFaults `json:"weights" group:"weights" namespace:"weights"`
	// HostsUnavailable makes the host list fail.
	HostsUnavailable bool `json:"hosts-unavailable" long:"hosts-unavailable"`
}

// SetFaults replaces the faults of all parts from now on.
func (s *Server) SetFaults(faults ServerFaults) {
	s.Table.SetFaults(faults.Table)
	s.Objects.SetFaults(faults.Objects)
	s.Weights.SetFaults(faults.Weights)
	s.Hosts.SetUnavailable(faults.HostsUnavailable)
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	method, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch r.Method + " /" + method {
	case "GET /rows-get":
		s.getRows(w, r)
	case "POST /rows-tx":
		s.commitRows(w, r)
	case "GET /rows-feed":
		s.feedRows(w, r)
	case "PUT /blob-put":
		s.put(w, r, name)
	case "GET /blob-get":
		s.get(w, r, name)
	case "GET /blob-list":
		s.list(w, r)
	default:
		s.serveOthers(w, r)
	}
}

// serveOthers answers what is not a call to the store.
func (s *Server) serveOthers(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET " + hostlist.PathHosts:
		hosts, err := s.Hosts.Hosts()
		if err != nil {
			fail(w, err)
			return
		}
		reply(w, hostlist.HostsResponse{Hosts: hosts})
	case "PUT " + hostlist.PathHosts:
		s.setHost(w, r)
	case "DELETE " + hostlist.PathHosts:
		s.Hosts.Remove(r.URL.Query().Get("name"))
		reply(w, struct{}{})
	case "POST " + hostlist.PathWeights:
		s.fetch(w, r)
	case "PUT " + PathFaults:
		s.setFaults(w, r)
	case "PUT " + PathRows:
		s.setRows(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, name string) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maximumObject))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !throttle(w, r, s.Writes) {
		return
	}
	if err := s.Objects.Put(r.Context(), name, value); err != nil {
		fail(w, err)
		return
	}
	reply(w, struct{}{})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, name string) {
	if !throttle(w, r, s.Reads) {
		return
	}
	value, found, err := s.Objects.Get(r.Context(), name)
	switch {
	case err != nil:
		fail(w, err)
	case !found:
		http.Error(w, "object does not exist", http.StatusNotFound)
	default:
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(value)
	}
}

// namesPerResponse is the most names of objects in one answer.
const namesPerResponse = 1000

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if !throttle(w, r, s.Reads) {
		return
	}
	query := r.URL.Query()
	names, err := s.Objects.List(r.Context(), query.Get("prefix"), query.Get("after"), namesPerResponse+1)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, struct {
		Names     []string `json:"names"`
		Truncated bool     `json:"truncated"`
	}{names[:min(namesPerResponse, len(names))], len(names) > namesPerResponse})
}

// setHost serves the operator of a test deployment, who marks hosts as leaving.
func (s *Server) setHost(w http.ResponseWriter, r *http.Request) {
	var host fleet.ListedHost
	if !decode(w, r, &host) {
		return
	}
	s.Hosts.Set(host)
	reply(w, struct{}{})
}

// setRows writes rows without faults and rates, as their writers are not under test.
func (s *Server) setRows(w http.ResponseWriter, r *http.Request) {
	var body rowsTransaction
	if !decode(w, r, &body) {
		return
	}
	s.Table.apply(body.writes())
	reply(w, answerOf(s.Table.version(), nil))
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults ServerFaults
	if !decode(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	reply(w, struct{}{})
}

func (s *Server) fetch(w http.ResponseWriter, r *http.Request) {
	var request hostlist.WeightsRequest
	if !decode(w, r, &request) {
		return
	}
	if err := s.Weights.Fetch(r.Context(), request.Adapter); err != nil {
		fail(w, err)
		return
	}
	reply(w, struct{}{})
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumObject)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encode(w, value)
}

func encode(w http.ResponseWriter, value any) {
	_ = json.NewEncoder(w).Encode(value)
}

// fail answers an operation that failed. 503 says that it had no effect; where
// the outcome is not known, the connection ends without an answer.
func fail(w http.ResponseWriter, err error) {
	if errors.Is(err, table.ErrUnavailable) || errors.Is(err, ErrStoreUnavailable) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	panic(http.ErrAbortHandler)
}
