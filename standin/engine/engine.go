// Package engine is a stand-in for a model engine, with slots for adapters, a continuous
// batch, and streams that can be resumed. It injects faults, which are drawn at random
// from a seed, and records violations of its protocol.
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

// maxRetainedRuns is the number of newest runs whose streams can be resumed.
const maxRetainedRuns = 4096

// A WeightStore transfers the weights of adapters to an engine.
type WeightStore interface {
	// Fetch returns after the weights of an adapter version, which its path names,
	// were transferred. Otherwise the load fails with the error.
	Fetch(ctx context.Context, adapter string) error
}

// Settings are the settings of an Engine. They do not change while it runs.
type Settings struct {
	// Slots is the highest number of adapters that are loaded or being loaded; at least 1.
	Slots int
	// BatchSize is the number of requests that run at the same time; at least 1.
	// Further requests wait in a queue.
	BatchSize int
	// TokenInterval is the time between two tokens of a request; more than zero.
	TokenInterval time.Duration
	// Tokens is the length of the answer to a request without max_tokens, in tokens.
	Tokens int
	// Fencing sets whether the engine refuses orders with a fencing number below the
	// highest one that it has seen.
	Fencing fleet.FencingMode
	// ReportLag is the age of the numbers of running and waiting requests in reports.
	ReportLag time.Duration
	// KeepAlive is the interval at which a stream without new tokens sends comments;
	// zero means that it sends none.
	KeepAlive time.Duration
	// Weights transfers the weights of each load. The engines of a deployment share
	// it. Nil means that loads take no time.
	Weights WeightStore
	// Seed is the seed from which the faults of loads and completions are drawn.
	Seed uint64
}

// An Engine is a stand-in model engine. It implements http.Handler and is safe for
// concurrent use. Close ends it.
type Engine struct {
	Settings

	mux *http.ServeMux
	// batchSlots holds an element for each request in the batch.
	batchSlots chan struct{}
	// goroutines counts the loads and runs under way.
	goroutines sync.WaitGroup
	// lifetime is the context of loads. Close ends it with endLifetime.
	lifetime    context.Context
	endLifetime context.CancelFunc

	mutex                sync.Mutex
	closed               bool
	start                uint64
	highestFencingNumber uint64
	faults               Faults
	random               *rand.Rand
	// instances holds the loading and loaded instances by name.
	instances map[string]*residency
	// runs holds the runs whose streams can be resumed by request id, and runOrder
	// their ids in the order of their starts.
	runs     map[string]*run
	runOrder []string
	// runCounts is the number of runs by request id. A restart does not reset it.
	runCounts map[string]int
	// running and waiting are the numbers of requests in the batch and in the queue.
	running int
	waiting int
	// samples holds the load over the last ReportLag, oldest first.
	samples    []loadSample
	violations []string
}

// A residency is an adapter instance that occupies a slot, from the order that loads it
// until it is unloaded. Its fields are guarded by the mutex of the engine, except that
// failure may be read after loaded was closed.
type residency struct {
	// ready is set when the load has succeeded.
	ready bool
	// loaded is closed when the load has ended, and failure is then its error or nil.
	loaded  chan struct{}
	failure error
	// unloaded is set when the slot was freed. Runs may still refer to the residency.
	unloaded bool
}

// A loadSample is the number of requests in the batch and in the queue from a time on.
type loadSample struct {
	at               time.Time
	running, waiting int
}

// New returns an engine with no adapter loaded and no faults.
func New(settings Settings) *Engine {
	e := &Engine{
		Settings:   settings,
		batchSlots: make(chan struct{}, settings.BatchSize),
		start:      uint64(time.Now().UnixNano()),
		random:     rand.New(rand.NewPCG(settings.Seed, 2)),
		instances:  make(map[string]*residency),
		runs:       make(map[string]*run),
		runCounts:  make(map[string]int),
	}
	e.lifetime, e.endLifetime = context.WithCancel(context.Background())
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

// ServeHTTP serves the engine's API, and PathRecord and PathFaults for tests in another
// process. Each answer carries the start number.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engineapi.HeaderEngineStart, fmt.Sprint(e.Start()))
	e.mux.ServeHTTP(w, r)
}

// Start returns the start number, which rises with each restart of the engine.
func (e *Engine) Start() fleet.StartNumber {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return fleet.StartNumber(e.start)
}

// SetFaults replaces the faults. Loads and completions that have drawn theirs keep them.
func (e *Engine) SetFaults(faults Faults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = faults
}

// Restart acts as a restart of the engine's process: it drops all adapters, runs and the
// highest fencing number, breaks off the open answers and raises the start number. The
// counts of runs and the violations stay.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.start = max(e.start+1, uint64(time.Now().UnixNano()))
	e.highestFencingNumber = 0
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
	e.runOrder = nil
}

// Runs returns the number of runs of the request with an id.
func (e *Engine) Runs(id string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.runCounts[id]
}

// Load returns the current number of requests in the batch and in the queue.
func (e *Engine) Load() (running, waiting int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.running, e.waiting
}

// Instances returns the names of the loaded instances in ascending order.
func (e *Engine) Instances() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.loadedInstances()
}

// Violations describes the protocol violations so far: requests whose instance was
// unloaded while they ran, and requests that ran on another instance than they named.
func (e *Engine) Violations() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.violations)
}

// Close refuses further loads and completions, ends those under way and waits for them.
// It returns nil.
func (e *Engine) Close() error {
	e.mutex.Lock()
	e.closed = true
	e.mutex.Unlock()
	e.endLifetime()
	e.Restart()
	e.goroutines.Wait()
	return nil
}

// loadedInstances returns the names of the loaded instances in ascending order. The mutex
// is held.
func (e *Engine) loadedInstances() []string {
	names := []string{}
	for _, name := range slices.Sorted(maps.Keys(e.instances)) {
		if e.instances[name].ready {
			names = append(names, name)
		}
	}
	return names
}

// recordLoad adds the current load to the samples, from which reports take the load as
// it was ReportLag ago. The mutex is held.
func (e *Engine) recordLoad() {
	now := time.Now()
	e.samples = append(e.samples, loadSample{at: now, running: e.running, waiting: e.waiting})
	e.laggedLoad(now)
}

// laggedLoad returns the load as it was ReportLag before now, and drops the samples that
// are no longer needed. The mutex is held.
func (e *Engine) laggedLoad(now time.Time) (running, waiting int) {
	old := now.Add(-e.ReportLag)
	for len(e.samples) > 1 && !e.samples[1].at.After(old) {
		e.samples = e.samples[1:]
	}
	if len(e.samples) == 0 || e.samples[0].at.After(old) {
		return 0, 0
	}
	return e.samples[0].running, e.samples[0].waiting
}

// drawFaults draws the faults of one completion. The mutex is held.
func (e *Engine) drawFaults() faultPlan {
	draw := func(probability float64) bool { return e.random.Float64() < probability }
	return faultPlan{
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
