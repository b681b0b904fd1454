// Package service is a stand-in for a plain service, whose requests must not run
// more than once. It injects faults, which are drawn at random from a seed.
package service

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// HeaderRequestID is the header that carries the request id. The answer repeats it.
const HeaderRequestID = "X-Request-Id"

// Faults are the faults that a Service injects. Each float64 field is a probability
// from 0 to 1 that is drawn once for each request. The zero value injects no fault.
type Faults struct {
	// DieBeforeRun closes the connection after the request was read and before
	// it runs.
	DieBeforeRun float64 `long:"die-before-run" json:"die-before-run"`
	// DieAfterRun closes the connection after the request ran.
	DieAfterRun float64 `long:"die-after-run" json:"die-after-run"`
	// HangAfterRun runs the request and sends no byte of its answer.
	HangAfterRun float64 `long:"hang-after-run" json:"hang-after-run"`
	// Refuse answers with the HTTP status RefusalStatus without running the request.
	Refuse        float64 `long:"refuse" json:"refuse"`
	RefusalStatus int     `long:"refusal-status" json:"refusal-status"`
	// Truncate closes the connection in the middle of the answer.
	Truncate float64 `long:"truncate" json:"truncate"`
	// Delay is the duration of each run.
	Delay time.Duration `long:"delay" json:"delay"`
}

// A Response is the JSON body of an answer. It repeats the whole request, so that the
// answer to another request is recognized.
type Response struct {
	Server  string `json:"server"`
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// A Service is a stand-in service that counts the runs of each request. It implements
// http.Handler and is safe for concurrent use.
type Service struct {
	name string

	mutex  sync.Mutex
	random *rand.Rand
	faults Faults
	runs   map[string]int
}

// New returns a service without faults. Its answers carry name, and seed is the seed
// of the faults that SetFaults enables.
func New(name string, seed uint64) *Service {
	return &Service{name: name, random: rand.New(rand.NewPCG(seed, 3)), runs: make(map[string]int)}
}

// SetFaults replaces the faults. It applies to requests that have not drawn theirs.
func (s *Service) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Runs returns the number of runs of the request with an id.
func (s *Service) Runs(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[id]
}

// RepeatedRuns returns the number of runs of each request that ran more than once, by
// request id.
func (s *Service) RepeatedRuns() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	repeated := make(map[string]int)
	for id, count := range s.runs {
		if count > 1 {
			repeated[id] = count
		}
	}
	return repeated
}

// ServeHTTP serves PathRecord and PathFaults, and runs any other request as a request
// to the service.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET " + PathRecord:
		s.serveRecord(w)
	case "PUT " + PathFaults:
		s.serveFaults(w, r)
	default:
		s.serveRequest(w, r)
	}
}

// serveRequest runs a request with the faults that it draws.
func (s *Service) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(HeaderRequestID)
	planned := s.drawFaults()
	if planned.dieBeforeRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderRequestID, id)
	if planned.refuse > 0 {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused", planned.refuse)
		return
	}
	s.execute(id, planned.delay)
	if planned.dieAfterRun {
		panic(http.ErrAbortHandler)
	}
	if planned.hangAfterRun {
		<-r.Context().Done()
		return
	}
	answer, err := json.Marshal(Response{Server: s.name, Request: id, Method: r.Method, Path: r.URL.Path, Body: string(body)})
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	if planned.truncate {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

func (s *Service) execute(id string, delay time.Duration) {
	s.mutex.Lock()
	s.runs[id]++
	s.mutex.Unlock()
	time.Sleep(delay)
}

// A faultPlan holds the faults that one request meets.
type faultPlan struct {
	dieBeforeRun, dieAfterRun, hangAfterRun, truncate bool
	// refuse is the HTTP status of a refusal; zero means that the request runs.
	refuse int
	delay  time.Duration
}

// drawFaults draws the faults of one request.
func (s *Service) drawFaults() faultPlan {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	draw := func(probability float64) bool { return s.random.Float64() < probability }
	planned := faultPlan{
		dieBeforeRun: draw(s.faults.DieBeforeRun),
		dieAfterRun:  draw(s.faults.DieAfterRun),
		hangAfterRun: draw(s.faults.HangAfterRun),
		truncate:     draw(s.faults.Truncate),
		delay:        s.faults.Delay,
	}
	if draw(s.faults.Refuse) {
		planned.refuse = s.faults.RefusalStatus
	}
	return planned
}
