// Package site is a small stand-in for the servers of the users' platform: model
// engines with adapters, and plain services. It speaks their published protocol
// and records what it ran, so that promises can be checked from outside.
package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings describe a server.
type Settings struct {
	ID      string `long:"id" required:"true" description:"id of the server"`
	Service string `long:"service" required:"true" description:"service that the server belongs to"`
	// Born tells the processes of a server apart.
	Born int64 `long:"born" required:"true" description:"start of the process in Unix milliseconds"`
	// Slots is the number of requests that run at once.
	Slots int `long:"slots" default:"8" description:"requests that run at once"`
	// Model makes the server an engine that begins with the model.
	Model        string        `long:"model" description:"base model of an engine; empty for a plain service"`
	Empty        bool          `long:"empty" description:"begin without the base model"`
	AdapterSlots int           `long:"adapter-slots" default:"6" description:"adapters that an engine holds at once"`
	AdapterLoad  time.Duration `long:"adapter-load" default:"100ms" description:"time of an adapter's load"`
	ModelLoad    time.Duration `long:"model-load" default:"400ms" description:"time of the base model's load"`
	// Events and EventGap are the length of a stream and its pace.
	Events   int           `long:"events" default:"12" description:"events of a stream"`
	EventGap time.Duration `long:"event-gap" default:"20ms" description:"time between two events"`
	Work     time.Duration `long:"work" default:"20ms" description:"time of a request to a plain service"`
}

// A Server is one server. Its exported fields are set before it serves.
type Server struct {
	Settings

	// Record is called with each thing worth checking, before it takes effect.
	Record func(Record)
	// Versions returns the newest declared version of an adapter; nil means 1.
	Versions func(adapter string) int

	once sync.Once

	mutex   sync.Mutex
	running int
	// accepted is the number of accepted orders.
	accepted int
	model    bool
	loading  bool
	adapters map[string]*adapter
	fence    uint64
	holder   string
}

// An adapter is one that takes a slot.
type adapter struct {
	version int
	ready   bool
	// runs is the number of requests that use it, and leaving says that it is
	// unloaded when they have ended.
	runs    int
	leaving bool
}

// transit is the number of adapters that an engine loads at once.
const transit = 4

// Event returns the text of an event of a stream, counted from 1.
func Event(attempt string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %016x\n\n", number, xxhash.Sum64String(attempt+"/"+strconv.Itoa(number)))
}

// Body returns the answer of a plain service.
func Body(attempt string) string {
	return fmt.Sprintf("%s answered %016x", attempt, xxhash.Sum64String(attempt))
}

func (s *Server) prepare() {
	s.once.Do(func() {
		s.model = s.Model != "" && !s.Empty
		s.adapters = make(map[string]*adapter)
		if s.Versions == nil {
			s.Versions = func(string) int { return 1 }
		}
	})
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.prepare()
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.ID {
		s.misdirected(w)
		return
	}
	switch route := r.Method + " " + r.URL.Path; {
	case route == "POST /order":
		s.order(w, r)
	case route == "GET /report":
		s.report(w)
	case route == "GET /healthz":
		w.Header().Set("X-Instance-Id", s.ID)
	case s.Model != "":
		s.stream(w, r, attempt)
	default:
		s.answer(w, r, attempt)
	}
}

func (s *Server) misdirected(w http.ResponseWriter) {
	w.Header().Set("X-Instance-Id", s.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// enter takes a slot, or says that the server is full.
func (s *Server) enter(w http.ResponseWriter) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", s.running, s.Slots))
	if s.running >= s.Slots {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	s.running++
	return true
}

func (s *Server) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
}

// answer runs a request to a plain service.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, attempt string) {
	if !s.enter(w) {
		return
	}
	defer s.leave()
	s.Record(Record{Kind: Ran, Server: s.ID, Service: s.Service, Born: s.Born, Attempt: attempt, Target: r.RequestURI})
	time.Sleep(s.Work)
	w.Header().Set("X-Response-Signature", "signed-"+attempt)
	body := Body(attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}

// stream runs a request to an engine.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, attempt string) {
	model, name, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	expected, _ := strconv.Atoi(r.Header.Get("X-Expect-Version"))
	version, ok := s.use(model, name, expected)
	if !ok {
		s.misdirected(w)
		return
	}
	defer s.release(name)
	if !s.enter(w) {
		return
	}
	defer s.leave()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.Record(Record{
		Kind: Ran, Server: s.ID, Service: s.Service, Born: s.Born, Attempt: attempt, Target: r.RequestURI,
		Adapter: name, Version: version, After: last,
	})
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "signed-"+attempt)
	w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
	flusher := http.NewResponseController(w)
	for number := last + 1; number <= s.Events; number++ {
		if _, err := w.Write([]byte(Event(attempt, number))); err != nil || flusher.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.EventGap):
		}
	}
}

// use counts a run on an adapter and returns its version.
func (s *Server) use(model, name string, expected int) (int, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.model || model != s.Model {
		return 0, false
	}
	if name == "" {
		return 1, true
	}
	a := s.adapters[name]
	if a == nil || !a.ready || a.leaving || expected != 0 && expected != a.version {
		return 0, false
	}
	a.runs++
	return a.version, true
}

func (s *Server) release(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := s.adapters[name]
	if a == nil {
		return
	}
	a.runs--
	if a.leaving && a.runs == 0 {
		delete(s.adapters, name)
	}
}

// heldModel is a model in a report.
type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (s *Server) report(w http.ResponseWriter) {
	s.mutex.Lock()
	models, coming := []heldModel{}, []string{}
	if s.model {
		held := heldModel{Name: s.Model, Version: 1, Adapters: []string{}}
		for name, a := range s.adapters {
			if a.ready {
				held.Adapters = append(held.Adapters, fmt.Sprintf("%s@%d", name, a.version))
			} else {
				coming = append(coming, fmt.Sprintf("%s/%s@%d", s.Model, name, a.version))
			}
		}
		models = append(models, held)
	}
	content := map[string]any{
		"models": models, "coming": coming, "busy": s.loading, "seq": s.accepted, "active": s.running, "queued": 0, "born": s.Born,
	}
	s.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(content)
}
