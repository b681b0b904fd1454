// Package site is a stand-in for the backend servers of the users' platform: model
// engines with adapters, and plain services. It speaks their published protocol and
// records the requests that it ran, so that a test in another process can check them.
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

	"github.com/persimmonmux/persimmonmux/standin/answer"
)

// Settings are the settings of a Server, as flags of the standin command.
type Settings struct {
	ID      string `long:"id" required:"true" description:"id of the server"`
	Service string `long:"service" required:"true" description:"service that the server belongs to"`
	// Born distinguishes the processes that run under one server id.
	Born int64 `long:"born" required:"true" description:"start of the process in Unix milliseconds"`
	// Slots is the number of requests that run at once; further ones are refused.
	Slots int `long:"slots" default:"8" description:"requests that run at once"`
	// Model is the base model of an engine. It is loaded at the start unless Empty
	// is set. A server without a model is a plain service.
	Model               string        `long:"model" description:"base model of an engine; empty for a plain service"`
	Empty               bool          `long:"empty" description:"begin without the base model"`
	AdapterSlots        int           `long:"adapter-slots" default:"6" description:"adapters that an engine holds at once"`
	AdapterLoadDuration time.Duration `long:"adapter-load" default:"100ms" description:"time of an adapter's load"`
	ModelLoadDuration   time.Duration `long:"model-load" default:"400ms" description:"time of the base model's load"`
	// Events is the number of events of a stream, and EventGap the time between them.
	Events   int           `long:"events" default:"12" description:"events of a stream"`
	EventGap time.Duration `long:"event-gap" default:"20ms" description:"time between two events"`
	// SpoiledOneIn is the number of streams of which an engine spoils one; 0 means none.
	SpoiledOneIn int `long:"spoiled-one-in" description:"number of streams of which one is spoiled; 0 for none"`
	// UnsoundOneIn is the number of requests of which one gets an answer in a random form, which may
	// contradict itself. It concerns the requests whose path begins with one of UnsoundPaths.
	UnsoundOneIn int      `long:"unsound-one-in" description:"number of requests of which one gets a random answer; 0 for none"`
	UnsoundPaths []string `long:"unsound-path" description:"begin of the paths of such requests; may be repeated"`
	// SoundMark is a part of the attempt ids of requests that are answered soundly in any case; empty
	// for none.
	SoundMark   string        `long:"sound-mark" description:"part of the attempt ids of requests that are answered soundly"`
	RunDuration time.Duration `long:"work" default:"20ms" description:"time of a request to a plain service"`
	// VaryingSpeed makes work take up to four times as long, differently many times a second.
	// Load reports then state in a fourth figure how long it takes.
	VaryingSpeed bool `long:"varying-speed" description:"work takes up to four times as long, and load reports state it"`
}

// A Server is one stand-in backend server. It implements http.Handler and is safe for
// concurrent use. The caller sets its exported fields before the first request.
type Server struct {
	Settings

	// Record receives each run and each detected protocol violation, before the
	// server acts on the request. It must be set.
	Record func(Record)
	// Versions returns the version that an order without a version loads, which is
	// the newest declared one of the adapter; nil means version 1.
	Versions func(adapter string) int

	once sync.Once

	mutex   sync.Mutex
	running int
	// acceptedOrders is the number of orders that changed something. Reports carry
	// it, and an order may require its value.
	acceptedOrders int
	modelLoaded    bool
	modelLoading   bool
	adapters       map[string]*adapter
	// fencingToken is the highest fencing token of an order so far, and holder the
	// host that sent it first.
	fencingToken uint64
	holder       string
}

// An adapter is the state of a loading or loaded adapter, which occupies a slot of an
// engine. It is guarded by the mutex of the server.
type adapter struct {
	version int
	ready   bool
	// activeRequests is the number of requests that use the adapter. While unloading
	// is set, the adapter takes no new ones and is removed after the last has ended.
	activeRequests int
	unloading      bool
}

// maxConcurrentAdapterLoads is the number of adapters that an engine loads at once; it
// refuses further loads.
const maxConcurrentAdapterLoads = 4

// Event returns the text of the event with a number, which starts at 1, in the stream
// of an attempt. It depends on both, so that events of other streams are recognized.
func Event(attempt string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %016x\n\n", number, xxhash.Sum64String(attempt+"/"+strconv.Itoa(number)))
}

// isSpared reports whether the request of an attempt is answered soundly in any case.
func (s *Server) isSpared(attempt string) bool {
	return s.SoundMark != "" && strings.Contains(attempt, s.SoundMark)
}

// Body returns the body of a plain service's answer to an attempt.
func Body(attempt string) string {
	return fmt.Sprintf("%s answered %016x", attempt, xxhash.Sum64String(attempt))
}

// initialize sets the defaults and the initial state once.
func (s *Server) initialize() {
	s.once.Do(func() {
		s.modelLoaded = s.Model != "" && !s.Empty
		s.adapters = make(map[string]*adapter)
		if s.Versions == nil {
			s.Versions = func(string) int { return 1 }
		}
	})
}

// ServeHTTP serves orders, reports and health checks, and runs any other request as a
// request to the service.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.initialize()
	onReused := answer.MarkUsed(r.Context())
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.ID {
		s.replyMisdirected(w)
		return
	}
	switch route := r.Method + " " + r.URL.Path; {
	case route == "POST /order":
		s.serveOrder(w, r)
	case route == "GET /report":
		s.serveReport(w)
	case route == "GET /healthz":
		w.Header().Set("X-Instance-Id", s.ID)
	case s.Model != "":
		s.serveStream(w, r, attempt, s.drawAnswer(r, attempt, onReused))
	default:
		s.serveServiceRequest(w, r, attempt, s.drawAnswer(r, attempt, onReused))
	}
}

// replyMisdirected answers with status 421 and the id of this server.
func (s *Server) replyMisdirected(w http.ResponseWriter) {
	w.Header().Set("X-Instance-Id", s.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// newRun returns the record of the start of a run.
func (s *Server) newRun(r *http.Request, attempt string) Record {
	return Record{
		Kind: Ran, Server: s.ID, Service: s.Service, Born: s.Born, Attempt: attempt, Target: r.RequestURI,
		Organisation: r.Header.Get("X-Tenant"), HasKey: r.Header.Get("Authorization") != "",
	}
}

// slownessPeriod is the time after which the slowness of a server is drawn again.
const slownessPeriod = 50 * time.Millisecond

// slowness returns how long work takes now, in percent of the usual time. It changes many
// times a second if VaryingSpeed is set.
func (s *Server) slowness() int {
	const usual = 100
	if !s.VaryingSpeed {
		return usual
	}
	period := time.Now().UnixNano() / int64(slownessPeriod)
	return usual + int(xxhash.Sum64String(fmt.Sprintf("%s/%d", s.ID, period))%(3*usual))
}

// workTime returns how long work takes now that usually takes the given time.
func (s *Server) workTime(usual time.Duration) time.Duration {
	return usual * time.Duration(s.slowness()) / 100
}

// loadReport returns the value of X-Server-Load. The mutex is held.
func (s *Server) loadReport() string {
	report := fmt.Sprintf("%d,0,%d", s.running, s.Slots)
	if s.VaryingSpeed {
		report += fmt.Sprintf(",%d", s.slowness())
	}
	return report
}

// acquireSlot reserves a slot for a request. If all are taken, it answers that the
// request was not executed and returns false.
func (s *Server) acquireSlot(w http.ResponseWriter) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w.Header().Set("X-Server-Load", s.loadReport())
	if s.running >= s.Slots {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	s.running++
	return true
}

func (s *Server) releaseSlot() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
}

// serveServiceRequest runs a request to a plain service, if a slot is free. It sends the drawn
// answer if that is not nil.
func (s *Server) serveServiceRequest(w http.ResponseWriter, r *http.Request, attempt string, drawn *drawnAnswer) {
	if !s.acquireSlot(w) {
		return
	}
	defer s.releaseSlot()
	if drawn.isRefusal() {
		drawn.write(w)
		return
	}
	s.Record(s.newRun(r, attempt))
	time.Sleep(s.workTime(s.RunDuration))
	if drawn != nil {
		drawn.write(w)
		return
	}
	w.Header().Set("X-Response-Signature", "signed-"+attempt)
	body := Body(attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}

// serveStream runs a request to an engine and streams its events, after the last event
// that the client has. It sends the drawn answer if that is not nil.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, attempt string, drawn *drawnAnswer) {
	model, name, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	expected, _ := strconv.Atoi(r.Header.Get("X-Expect-Version"))
	version, ok := s.acquireAdapter(model, name, expected)
	if !ok {
		s.replyMisdirected(w)
		return
	}
	defer s.releaseAdapter(name)
	if !s.acquireSlot(w) {
		return
	}
	defer s.releaseSlot()
	if drawn.isRefusal() {
		drawn.write(w)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := s.newRun(r, attempt)
	run.Adapter, run.Version, run.LastEvent = name, version, last
	s.Record(run)
	defer s.Record(Record{Kind: Ended, Server: s.ID, Service: s.Service, Born: s.Born, Attempt: attempt})
	if drawn != nil {
		drawn.write(w)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "signed-"+attempt)
	w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
	flusher := http.NewResponseController(w)
	for number := last + 1; number <= s.Events; number++ {
		if s.spoil(w, attempt, last, number) {
			return
		}
		if _, err := w.Write([]byte(Event(attempt, number))); err != nil || flusher.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.workTime(s.EventGap)):
		}
	}
}

// acquireAdapter counts a request on an adapter and returns the adapter's version. It
// returns false if the model or the adapter is not ready in the expected version; zero
// expects any. An empty name is the base model.
func (s *Server) acquireAdapter(model, name string, expected int) (int, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.modelLoaded || model != s.Model {
		return 0, false
	}
	if name == "" {
		return 1, true
	}
	a := s.adapters[name]
	if a == nil || !a.ready || a.unloading || expected != 0 && expected != a.version {
		return 0, false
	}
	a.activeRequests++
	return a.version, true
}

// releaseAdapter ends a request on an adapter, and removes the adapter if it was the
// last one on an adapter that is being unloaded.
func (s *Server) releaseAdapter(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := s.adapters[name]
	if a == nil {
		return
	}
	a.activeRequests--
	if a.unloading && a.activeRequests == 0 {
		delete(s.adapters, name)
	}
}

// A reportedModel is a loaded model in a report, with its ready adapters.
type reportedModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (s *Server) serveReport(w http.ResponseWriter) {
	s.mutex.Lock()
	models, loading := []reportedModel{}, []string{}
	if s.modelLoaded {
		held := reportedModel{Name: s.Model, Version: 1, Adapters: []string{}}
		for name, a := range s.adapters {
			if a.ready {
				held.Adapters = append(held.Adapters, fmt.Sprintf("%s@%d", name, a.version))
			} else {
				loading = append(loading, fmt.Sprintf("%s/%s@%d", s.Model, name, a.version))
			}
		}
		models = append(models, held)
	}
	content := map[string]any{
		"models": models, "coming": loading, "busy": s.modelLoading, "seq": s.acceptedOrders, "active": s.running, "queued": 0, "born": s.Born,
	}
	s.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(content)
}
