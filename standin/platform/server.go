package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/time/rate"

	"github.com/persimmonmux/persimmonmux/protocol/platformstore"
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
	// Reads and Writes limit the records and objects read and the transactions
	// and objects written each second; nil means no limit.
	Reads, Writes *rate.Limiter
}

// throttle waits for the share of n operations and reports whether the sender of
// the request still waits.
func throttle(w http.ResponseWriter, r *http.Request, limiter *rate.Limiter, n int) bool {
	if limiter == nil {
		return true
	}
	if err := limiter.WaitN(r.Context(), min(n, limiter.Burst())); err != nil {
		fail(w, http.StatusServiceUnavailable, platformstore.CodeUnavailable, err)
		return false
	}
	return true
}

// PathFaults replaces the AllFaults of a platform that runs as a process.
const PathFaults = "/standin/faults"

// AllFaults are the faults of all parts of the platform.
type AllFaults struct {
	Table   Faults       `json:"table" group:"table" namespace:"table"`
	Objects ObjectFaults `json:"objects" group:"objects" namespace:"objects"`
	Weights WeightFaults `json:"weights" group:"weights" namespace:"weights"`
	// HostsUnavailable makes the host list fail.
	HostsUnavailable bool `json:"hosts-unavailable" long:"hosts-unavailable"`
}

// SetFaults replaces the faults of all parts from now on.
func (s *Server) SetFaults(faults AllFaults) {
	s.Table.SetFaults(faults.Table)
	s.Objects.SetFaults(faults.Objects)
	s.Weights.SetFaults(faults.Weights)
	s.Hosts.SetUnavailable(faults.HostsUnavailable)
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, object := strings.CutPrefix(r.URL.Path, platformstore.PathObjects+"/")
	switch route := r.Method + " " + r.URL.Path; {
	case object && r.Method == http.MethodPut:
		s.put(w, r, key)
	case object && r.Method == http.MethodGet:
		s.get(w, r, key)
	case route == "GET "+platformstore.PathObjects:
		s.list(w, r)
	case route == "POST "+platformstore.PathRead:
		s.read(w, r)
	case route == "POST "+platformstore.PathScan:
		s.scan(w, r)
	case route == "POST "+platformstore.PathCommit:
		s.commit(w, r)
	case route == "GET "+platformstore.PathHosts:
		hosts, err := s.Hosts.Hosts()
		reply(w, platformstore.HostsAnswer{Hosts: hosts}, err)
	case route == "PUT "+platformstore.PathHosts:
		s.setHost(w, r)
	case route == "DELETE "+platformstore.PathHosts:
		s.Hosts.Remove(r.URL.Query().Get("name"))
		reply(w, struct{}{}, nil)
	case route == "POST "+platformstore.PathWeights:
		s.fetch(w, r)
	case route == "PUT "+PathFaults:
		s.setFaults(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	var request platformstore.ReadRequest
	if !decode(w, r, &request) || !throttle(w, r, s.Reads, len(request.Keys)) {
		return
	}
	records, err := s.Table.Read(r.Context(), request.Keys)
	reply(w, platformstore.RecordsAnswer{Records: records}, err)
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	var request platformstore.ScanRequest
	if !decode(w, r, &request) || !throttle(w, r, s.Reads, max(request.Limit, 1)) {
		return
	}
	records, err := s.Table.Scan(r.Context(), request.Prefix, request.After, request.Limit)
	reply(w, platformstore.RecordsAnswer{Records: records}, err)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var transaction table.Transaction
	if !decode(w, r, &transaction) || !throttle(w, r, s.Writes, 1) {
		return
	}
	results, err := s.Table.Commit(r.Context(), transaction)
	reply(w, platformstore.CommitAnswer{Results: results}, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maximumObject))
	if err != nil {
		fail(w, http.StatusBadRequest, platformstore.CodeMalformed, err)
		return
	}
	if !throttle(w, r, s.Writes, 1) {
		return
	}
	reply(w, struct{}{}, s.Objects.Put(r.Context(), key, value))
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, key string) {
	if !throttle(w, r, s.Reads, 1) {
		return
	}
	value, found, err := s.Objects.Get(r.Context(), key)
	if err != nil {
		reply(w, nil, err)
		return
	}
	if !found {
		fail(w, http.StatusNotFound, platformstore.CodeNotFound, errors.New("object does not exist"))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(value)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		fail(w, http.StatusBadRequest, platformstore.CodeMalformed, err)
		return
	}
	if !throttle(w, r, s.Reads, 1) {
		return
	}
	keys, err := s.Objects.List(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	reply(w, platformstore.ObjectsAnswer{Keys: keys}, err)
}

// setHost serves the operator of a test deployment, who marks hosts as leaving.
func (s *Server) setHost(w http.ResponseWriter, r *http.Request) {
	var host fleet.ListedHost
	if !decode(w, r, &host) {
		return
	}
	s.Hosts.Set(host)
	reply(w, struct{}{}, nil)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults AllFaults
	if !decode(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	reply(w, struct{}{}, nil)
}

func (s *Server) fetch(w http.ResponseWriter, r *http.Request) {
	var request platformstore.WeightsRequest
	if !decode(w, r, &request) {
		return
	}
	reply(w, struct{}{}, s.Weights.Fetch(r.Context(), request.Adapter))
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumObject)).Decode(into); err != nil {
		fail(w, http.StatusBadRequest, platformstore.CodeMalformed, err)
		return false
	}
	return true
}

// reply sends the value, or the failure with its code.
func reply(w http.ResponseWriter, value any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	case errors.Is(err, table.ErrUnavailable), errors.Is(err, ErrStoreUnavailable):
		fail(w, http.StatusServiceUnavailable, platformstore.CodeUnavailable, err)
	default:
		fail(w, http.StatusGatewayTimeout, platformstore.CodeUnknown, err)
	}
}

func fail(w http.ResponseWriter, status int, code string, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(platformstore.Failure{Code: code, Message: err.Error()})
}
