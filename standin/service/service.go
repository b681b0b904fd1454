// Package service is a small stand-in for a plain service, whose calls may not
// be repeated, with faults that follow a seed.
package service

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// HeaderRequestID carries the request id; it is echoed.
const HeaderRequestID = "X-Request-Id"

// Faults are the faults of a Service. All probabilities are from 0 to 1 and are
// drawn once for each request.
type Faults struct {
	// DieBeforeRun closes the connection after the request was read and before
	// it runs.
	DieBeforeRun float64 `long:"die-before-run" json:"die-before-run"`
	// DieAfterRun closes the connection after the request ran.
	DieAfterRun float64 `long:"die-after-run" json:"die-after-run"`
	// HangAfterRun runs the request and sends no byte of its answer.
	HangAfterRun float64 `long:"hang-after-run" json:"hang-after-run"`
	// Refuse answers with RefusalStatus without running the request.
	Refuse        float64 `long:"refuse" json:"refuse"`
	RefusalStatus int     `long:"refusal-status" json:"refusal-status"`
	// Truncate closes the connection in the middle of the answer.
	Truncate float64 `long:"truncate" json:"truncate"`
	// Delay is the time of each run.
	Delay time.Duration `long:"delay" json:"delay"`
}

// A Response is the body of an answer. It depends on the whole request.
type Response struct {
	Server  string `json:"server"`
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// A Service is a stand-in service behind http.Handler. It is safe for concurrent use.
type Service struct {
	name string

	mutex  sync.Mutex
	random *rand.Rand
	faults Faults
	runs   map[string]int
}

// New returns a service whose faults follow seed.
func New(name string, seed uint64) *Service {
	return &Service{name: name, random: rand.New(rand.NewPCG(seed, 3)), runs: make(map[string]int)}
}

// SetFaults replaces the faults from now on.
func (s *Service) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Runs returns how often the request was run.
func (s *Service) Runs(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[id]
}

// RepeatedRuns returns the requests that ran more than once, with their counts.
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

// ServeHTTP answers one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET " + PathRecord:
		s.serveRecord(w)
	case "PUT " + PathFaults:
		s.serveFaults(w, r)
	default:
		s.answer(w, r)
	}
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(HeaderRequestID)
	planned := s.plan()
	if planned.dieBeforeRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderRequestID, id)
	if planned.refuse > 0 {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused", planned.refuse)
		return
	}
	s.run(id, planned.delay)
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

func (s *Service) run(id string, delay time.Duration) {
	s.mutex.Lock()
	s.runs[id]++
	s.mutex.Unlock()
	time.Sleep(delay)
}

// A plan is what the faults do to one request.
type plan struct {
	dieBeforeRun, dieAfterRun, hangAfterRun, truncate bool
	// refuse is the status of a refusal; zero means none.
	refuse int
	delay  time.Duration
}

func (s *Service) plan() plan {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	draw := func(probability float64) bool { return s.random.Float64() < probability }
	planned := plan{
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
