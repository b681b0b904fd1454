// Package engine is a small stand-in for a model engine: slots for adapters, a
// continuous batch, streams that can be resumed, and faults that follow a seed.
package engine

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// keptRuns is the number of runs whose streams can still be resumed.
const keptRuns = 4096

// A WeightStore provides the weights of adapters.
type WeightStore interface {
	// Fetch returns after the weights of the adapter version were transferred.
	Fetch(ctx context.Context, adapter string) error
}

// Settings are the settings of an Engine.
type Settings struct {
	// Slots is the number of adapters that the engine holds; at least 1.
	Slots int
	// BatchSize is the number of requests that run at the same time; at least 1.
	BatchSize int
	// TokenInterval is the time between the tokens of a request; more than zero.
	TokenInterval time.Duration
	// Tokens is the length of an answer without max_tokens.
	Tokens int
	// Fencing says what the engine does with old fencing numbers.
	Fencing fleet.FencingMode
	// ReportLag is the age of the load figures in reports.
	ReportLag time.Duration
	// KeepAlive is the interval of comments in a stream without tokens; zero
	// means none.
	KeepAlive time.Duration
	// Weights is shared by the engines of a deployment; nil loads at once.
	Weights WeightStore
	// Seed decides which loads and completions meet a fault.
	Seed uint64
}

// An Engine is a stand-in engine behind http.Handler. It is safe for concurrent use.
type Engine struct {
	Settings

	mux   *http.ServeMux
	batch chan struct{}
	group sync.WaitGroup
	// closing ends with Close; stop ends it.
	closing context.Context
	stop    context.CancelFunc

	mutex      sync.Mutex
	closed     bool
	start      uint64
	fencing    uint64
	faults     Faults
	random     *rand.Rand
	instances  map[string]*residency
	runs       map[string]*run
	recent     []string
	counts     map[string]int
	running    int
	waiting    int
	samples    []sample
	violations []string
}

// A residency is a slot in use.
type residency struct {
	// ready is false while the adapter loads.
	ready bool
	// loaded is closed when the load ended; failure is then set or nil.
	loaded  chan struct{}
	failure error
	// unloaded says that the slot was freed; runs may still hold the residency.
	unloaded bool
}

// A sample is the load at one time.
type sample struct {
	at               time.Time
	running, waiting int
}

// New returns an engine with no adapter loaded.
func New(settings Settings) *Engine {
	e := &Engine{
		Settings:  settings,
		batch:     make(chan struct{}, settings.BatchSize),
		start:     uint64(time.Now().UnixNano()),
		random:    rand.New(rand.NewPCG(settings.Seed, 2)),
		instances: make(map[string]*residency),
		runs:      make(map[string]*run),
		counts:    make(map[string]int),
	}
	e.closing, e.stop = context.WithCancel(context.Background())
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST "+engineapi.PathLoad, e.handleLoad)
	e.mux.HandleFunc("POST "+engineapi.PathUnload, e.handleUnload)
	e.mux.HandleFunc("POST "+engineapi.PathCancel, e.handleCancel)
	e.mux.HandleFunc("GET "+engineapi.PathModels, e.handleModels)
	e.mux.HandleFunc("GET "+engineapi.PathReport, e.handleReport)
	e.mux.HandleFunc("POST "+engineapi.PathCompletions, e.handleCompletion)
	e.mux.HandleFunc("GET "+PathRecord, e.handleRecord)
	e.mux.HandleFunc("PUT "+PathFaults, e.handleFaults)
	return e
}

// ServeHTTP answers one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engineapi.HeaderEngineStart, fmt.Sprint(e.Start()))
	e.mux.ServeHTTP(w, r)
}

// Start returns the start number.
func (e *Engine) Start() fleet.StartNumber {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return fleet.StartNumber(e.start)
}

// SetFaults replaces the faults from now on.
func (e *Engine) SetFaults(faults Faults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = faults
}

// Restart loses all adapters, runs and fencing numbers, cuts off the open
// answers and raises the start number.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.start = max(e.start+1, uint64(time.Now().UnixNano()))
	e.fencing = 0
	for _, held := range e.instances {
		held.unloaded = true
	}
	clear(e.instances)
	for _, r := range e.runs {
		r.aborted = true
		r.cancel()
		r.notify()
	}
	clear(e.runs)
	e.recent = nil
}

// Runs returns how often the request was run.
func (e *Engine) Runs(id string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.counts[id]
}

// Load returns the present number of requests in the batch and in the queue.
func (e *Engine) Load() (running, waiting int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.running, e.waiting
}

// Instances returns the names of the loaded instances in rising order.
func (e *Engine) Instances() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.loaded()
}

// Violations returns the broken promises so far: requests that ran on an
// instance that was unloaded while they ran, or on another instance than asked.
func (e *Engine) Violations() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.violations)
}

// Close ends all runs and loads and waits for them.
func (e *Engine) Close() error {
	e.mutex.Lock()
	e.closed = true
	e.mutex.Unlock()
	e.stop()
	e.Restart()
	e.group.Wait()
	return nil
}

func (e *Engine) loaded() []string {
	names := []string{}
	for _, name := range slices.Sorted(maps.Keys(e.instances)) {
		if e.instances[name].ready {
			names = append(names, name)
		}
	}
	return names
}

// sample notes the load for lagging reports. The mutex is held.
func (e *Engine) sample() {
	now := time.Now()
	e.samples = append(e.samples, sample{at: now, running: e.running, waiting: e.waiting})
	e.lagging(now)
}

// lagging returns the load as it was one lag ago and drops older samples. The
// mutex is held.
func (e *Engine) lagging(now time.Time) (running, waiting int) {
	old := now.Add(-e.ReportLag)
	for len(e.samples) > 1 && !e.samples[1].at.After(old) {
		e.samples = e.samples[1:]
	}
	if len(e.samples) == 0 || e.samples[0].at.After(old) {
		return 0, 0
	}
	return e.samples[0].running, e.samples[0].waiting
}

// plan draws the faults of one completion. The mutex is held.
func (e *Engine) plan() plan {
	draw := func(probability float64) bool { return e.random.Float64() < probability }
	return plan{
		closeAfterRequest: draw(e.faults.CloseAfterRequest),
		closeInStream:     draw(e.faults.CloseInStream),
		silentAnswer:      draw(e.faults.SilentAnswer),
		silentInStream:    draw(e.faults.SilentInStream),
		noClosingMark:     draw(e.faults.NoClosingMark),
		skipChunk:         draw(e.faults.SkipChunk),
		otherInstance:     draw(e.faults.OtherInstance),
		otherRequest:      draw(e.faults.OtherRequest),
	}
}
