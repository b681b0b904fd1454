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

// maxBodyBytes bounds the size of a request body.
const maxBodyBytes = 16 << 20

// A Server serves the parts of the platform over HTTP. It implements http.Handler. The
// caller sets its fields before use.
type Server struct {
	Table   *Table
	Objects *ObjectStore
	Hosts   *HostList
	Weights *WeightStore
	// Reads and Writes limit the rates of calls that read and write rows and objects;
	// nil means no limit. Calls beyond the limit are answered with status 429.
	Reads, Writes *rate.Limiter
}

// throttle returns whether a limiter allows one more call now. If not, it answers the call
// with status 429.
func throttle(w http.ResponseWriter, _ *http.Request, limiter *rate.Limiter) bool {
	if limiter == nil || limiter.Allow() {
		return true
	}
	http.Error(w, "rate limit of calls exceeded", http.StatusTooManyRequests)
	return false
}

// PathFaults is the path at which PUT replaces the ServerFaults of a platform.
const PathFaults = "/standin/faults"

// PathRows is the path at which PUT writes rows of any table, as the platform's operator
// and the backend servers do. Its body is that of a transaction.
const PathRows = "/standin/rows"

// ServerFaults are the faults of all parts of the platform. The zero value injects none.
type ServerFaults struct {
	Table   TableFaults  `json:"table" group:"table" namespace:"table"`
	Objects ObjectFaults `json:"objects" group:"objects" namespace:"objects"`
	Weights WeightFaults `json:"weights" group:"weights" namespace:"weights"`
	// HostsUnavailable makes reads of the host list fail.
	HostsUnavailable bool `json:"hosts-unavailable" long:"hosts-unavailable"`
}

// SetFaults replaces the faults of all parts.
func (s *Server) SetFaults(faults ServerFaults) {
	s.Table.SetFaults(faults.Table)
	s.Objects.SetFaults(faults.Objects)
	s.Weights.SetFaults(faults.Weights)
	s.Hosts.SetUnavailable(faults.HostsUnavailable)
}

// ServeHTTP serves the store of rows and objects, the host list, the weight store, and
// PathFaults and PathRows for tests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	method, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if isStoreCall := strings.HasPrefix(method, "rows-") || strings.HasPrefix(method, "blob-"); isStoreCall && s.Table != nil {
		w = newEraWriter(w, s.Table)
	}
	switch r.Method + " /" + method {
	case "GET /rows-get":
		s.getRows(w, r)
	case "POST /rows-tx":
		s.commitRows(w, r)
	case "GET /rows-feed":
		s.feedRows(w, r)
	case "PUT /blob-put":
		s.putObject(w, r, name)
	case "GET /blob-get":
		s.getObject(w, r, name)
	case "GET /blob-list":
		s.listObjects(w, r)
	default:
		s.serveNonStore(w, r)
	}
}

// serveNonStore serves the calls that are not for rows or objects: those for the host list
// and the weight store, and those of tests.
func (s *Server) serveNonStore(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET " + hostlist.PathHosts:
		hosts, err := s.Hosts.Hosts()
		if err != nil {
			replyError(w, err)
			return
		}
		reply(w, hostlist.HostsResponse{Hosts: hosts})
	case "PUT " + hostlist.PathHosts:
		s.setHost(w, r)
	case "DELETE " + hostlist.PathHosts:
		s.Hosts.Remove(r.URL.Query().Get("name"))
		reply(w, struct{}{})
	case "POST " + hostlist.PathWeights:
		s.fetchWeights(w, r)
	case "PUT " + PathFaults:
		s.setFaults(w, r)
	case "PUT " + PathRows:
		s.setRows(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request, name string) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !throttle(w, r, s.Writes) {
		return
	}
	if err := s.Objects.Put(r.Context(), name, value); err != nil {
		replyError(w, err)
		return
	}
	reply(w, struct{}{})
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request, name string) {
	if !throttle(w, r, s.Reads) {
		return
	}
	value, found, err := s.Objects.Get(r.Context(), name)
	switch {
	case err != nil:
		replyError(w, err)
	case !found:
		http.Error(w, "object does not exist", http.StatusNotFound)
	default:
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(value)
	}
}

// maxNamesPerResponse is the highest number of object names in one answer.
const maxNamesPerResponse = 1000

// listObjects answers with object names, and with whether more of them follow.
func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	if !throttle(w, r, s.Reads) {
		return
	}
	query := r.URL.Query()
	names, err := s.Objects.List(r.Context(), query.Get("prefix"), query.Get("after"), maxNamesPerResponse+1)
	if err != nil {
		replyError(w, err)
		return
	}
	reply(w, struct {
		Names     []string `json:"names"`
		Truncated bool     `json:"truncated"`
	}{names[:min(maxNamesPerResponse, len(names))], len(names) > maxNamesPerResponse})
}

// setHost adds or replaces a host in the list. The operator of a test deployment calls it
// to mark hosts as leaving.
func (s *Server) setHost(w http.ResponseWriter, r *http.Request) {
	var host fleet.ListedHost
	if !decode(w, r, &host) {
		return
	}
	s.Hosts.Set(host)
	reply(w, struct{}{})
}

// setRows writes rows without faults and rate limits, because their writers, the operator
// and the backend servers, are not under test.
func (s *Server) setRows(w http.ResponseWriter, r *http.Request) {
	var body rowsTransaction
	if !decode(w, r, &body) {
		return
	}
	s.Table.apply(body.tableTransaction(), numberHolds)
	reply(w, newRowsResponse(s.Table.version(), nil))
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults ServerFaults
	if !decode(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	reply(w, struct{}{})
}

// fetchWeights answers after the weight store has transferred an adapter version.
func (s *Server) fetchWeights(w http.ResponseWriter, r *http.Request) {
	var request hostlist.WeightsRequest
	if !decode(w, r, &request) {
		return
	}
	if err := s.Weights.Fetch(r.Context(), request.Adapter); err != nil {
		replyError(w, err)
		return
	}
	reply(w, struct{}{})
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
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

// replyError answers an operation that failed. Status 503 means that it had no effect. If
// its outcome is unknown, replyError panics so that the connection closes without an answer.
func replyError(w http.ResponseWriter, err error) {
	if errors.Is(err, table.ErrUnavailable) || errors.Is(err, ErrStoreUnavailable) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	panic(http.ErrAbortHandler)
}
