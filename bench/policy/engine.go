package policy

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// tokenInterval is the time between two tokens of an answer. It does not depend on
// the number of running requests, so that an answer needs a single timer.
const tokenInterval = 40 * time.Millisecond

// engineCallDuration is the duration of an unload or of a report.
const engineCallDuration = 2 * time.Millisecond

// An Engine is a stand-in for a model engine in virtual time, with adapter slots and
// continuous batching. Its exported fields are set before use.
type Engine struct {
	Engine fleet.Engine
	// Store delivers the weights of each load.
	Store *WeightStore
	// Tokens returns the number of tokens of a request's answer.
	Tokens func(fleet.RequestID) int
	// From and To are the start and the end of the time that Stats counts.
	From, To time.Time

	mutex sync.Mutex
	start fleet.StartNumber
	// restarted is closed and replaced at each restart.
	restarted chan struct{}
	// instances holds the number of requests that each resident instance has served.
	instances map[string]int
	running   int
	// queue holds a channel for each request that waits for a place in the batch.
	// Closing the channel lets the request run.
	queue []chan struct{}
	// updatedAt is the time up to which stats includes the running requests.
	updatedAt time.Time
	stats     EngineStats
}

// EngineStats are the statistics of an Engine between its From and To.
type EngineStats struct {
	// Busy is the time with at least one running request, and Used the sum of the
	// times of all running requests.
	Busy, Used time.Duration
	// Loads is the number of successful loads, and Wasted the number of instances
	// that were unloaded before they served a request.
	Loads, Wasted int
}

// NewEngine returns an engine without adapters that loads from the store.
func NewEngine(engine fleet.Engine, store *WeightStore) *Engine {
	return &Engine{Engine: engine, Store: store, start: 1, restarted: make(chan struct{}), instances: make(map[string]int)}
}

// Stats returns the statistics up to now.
func (e *Engine) Stats() EngineStats {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.updateBusyTime(time.Now())
	return e.stats
}

// updateBusyTime adds the time since the last call to Busy and Used. It is called
// before running changes.
func (e *Engine) updateBusyTime(now time.Time) {
	from, to := e.updatedAt, now
	e.updatedAt = now
	if from.Before(e.From) {
		from = e.From
	}
	if to.After(e.To) {
		to = e.To
	}
	if e.running > 0 && to.After(from) {
		e.stats.Busy += to.Sub(from)
		e.stats.Used += time.Duration(e.running) * to.Sub(from)
	}
}

// isCounted reports whether a time is between From and To.
func (e *Engine) isCounted(now time.Time) bool {
	return !now.Before(e.From) && now.Before(e.To)
}

// Restart removes all instances and fails the running requests.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.start++
	close(e.restarted)
	e.restarted = make(chan struct{})
	clear(e.instances)
}

// Load takes a free slot for an instance and returns when the store has delivered
// its weights. It fails if no slot is free or the engine restarts meanwhile.
func (e *Engine) Load(ctx context.Context, instance fleet.Instance) error {
	e.mutex.Lock()
	start := e.start
	full := len(e.instances) >= e.Engine.AdapterSlots
	if !full {
		e.instances[instance.String()] = 0
	}
	e.mutex.Unlock()
	if full {
		return verdict.NewNotRun(verdict.CodeBackendRefused, "engine %s has no free slot", e.Engine.Name)
	}
	err := e.Store.Fetch(ctx)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.start != start {
		return verdict.NewNotRun(verdict.CodeBackendRefused, "engine %s restarted", e.Engine.Name)
	}
	if err != nil {
		delete(e.instances, instance.String())
		return &verdict.Error{Verdict: verdict.Ran, Code: verdict.CodeStoreUnavailable, Message: "load failed", Cause: err}
	}
	if e.isCounted(time.Now()) {
		e.stats.Loads++
	}
	return nil
}

// Unload removes a resident instance and frees its slot.
func (e *Engine) Unload(instance fleet.Instance) error {
	time.Sleep(engineCallDuration)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	uses, ok := e.instances[instance.String()]
	if !ok {
		return verdict.NewNotRun(verdict.CodeUnknownInstance, "engine %s has no instance %s", e.Engine.Name, instance)
	}
	if uses == 0 && e.isCounted(time.Now()) {
		e.stats.Wasted++
	}
	delete(e.instances, instance.String())
	return nil
}

// Report returns the engine's start number, instances and request counts.
func (e *Engine) Report() fleet.EngineReport {
	time.Sleep(engineCallDuration)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := fleet.EngineReport{Start: e.start, Running: e.running, Waiting: len(e.queue)}
	for name := range e.instances {
		r.Instances = append(r.Instances, name)
	}
	return r
}

// Complete waits for a place in the batch and runs the request there.
func (e *Engine) Complete(ctx context.Context, grant fleet.Grant, r *request.Request) (request.Response, error) {
	e.mutex.Lock()
	name := grant.Instance.String()
	if _, ok := e.instances[name]; !ok || grant.EngineStart != e.start {
		e.mutex.Unlock()
		return request.Response{}, verdict.NewNotRun(verdict.CodeUnknownInstance, "engine %s has no instance %s", e.Engine.Name, name)
	}
	e.instances[name]++
	restarted := e.restarted
	if e.running >= e.Engine.BatchSize {
		admitted := make(chan struct{})
		e.queue = append(e.queue, admitted)
		e.mutex.Unlock()
		<-admitted
		e.mutex.Lock()
	}
	e.updateBusyTime(time.Now())
	e.running++
	e.mutex.Unlock()
	timer := time.NewTimer(time.Duration(e.Tokens(r.ID)) * tokenInterval)
	defer timer.Stop()
	var err error
	select {
	case <-timer.C:
	case <-ctx.Done():
		err = verdict.NewMayHaveRun(verdict.CodeDeadline, ctx.Err(), "request %s", r.ID)
	case <-restarted:
		err = verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "engine %s restarted", e.Engine.Name)
	}
	e.mutex.Lock()
	e.updateBusyTime(time.Now())
	e.running--
	if len(e.queue) > 0 {
		close(e.queue[0])
		e.queue = e.queue[1:]
	}
	e.mutex.Unlock()
	return request.Response{Status: 200}, err
}

// Engines holds the engines of a simulation by name and passes calls to them. It
// implements ownership.EngineClient and dispatch.EngineClient.
type Engines map[fleet.EngineName]*Engine

// Load implements ownership.EngineClient.
func (s Engines) Load(ctx context.Context, engine fleet.Engine, instance fleet.Instance, _ fleet.Epoch) error {
	return s[engine.Name].Load(ctx, instance)
}

// Unload implements ownership.EngineClient.
func (s Engines) Unload(_ context.Context, engine fleet.Engine, instance fleet.Instance, _ fleet.Epoch) error {
	return s[engine.Name].Unload(instance)
}

// Cancel implements ownership.EngineClient. It does nothing, because a running
// request ends with its context.
func (s Engines) Cancel(context.Context, fleet.Engine, fleet.RequestID) error {
	return nil
}

// ReadReport implements ownership.EngineClient.
func (s Engines) ReadReport(_ context.Context, engine fleet.Engine) (fleet.EngineReport, error) {
	return s[engine.Name].Report(), nil
}

// Complete implements dispatch.EngineClient.
func (s Engines) Complete(ctx context.Context, grant fleet.Grant, r *request.Request, _ int, _ dispatch.Sink) (request.Response, error) {
	return s[grant.Engine].Complete(ctx, grant, r)
}

// requestID returns the ID of the request with the given index in the arrivals.
func requestID(number int) fleet.RequestID {
	return fleet.RequestID(strconv.Itoa(number))
}

// requestNumber returns the index in the arrivals of the request with an ID.
func requestNumber(id fleet.RequestID) int {
	// The IDs of runs after the first one have a suffix that begins with a hyphen.
	first, _, _ := strings.Cut(string(id), "-")
	number, err := strconv.Atoi(first)
	if err != nil {
		panic(err)
	}
	return number
}
