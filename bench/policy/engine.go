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

// tokenInterval is the time between two tokens of an answer. It does not depend
// on the batch, so that an answer costs one timer.
const tokenInterval = 40 * time.Millisecond

// orderTime is the time of an order that loads nothing.
const orderTime = 2 * time.Millisecond

// An Engine is a stand-in of a model engine in virtual time: slots for adapters
// and a continuous batch. Its exported fields are set before use.
type Engine struct {
	Engine fleet.Engine
	Store  *WeightStore
	// Tokens returns the number of tokens of a request's answer.
	Tokens func(fleet.RequestID) int
	// From and To bound the time in which figures are counted.
	From, To time.Time

	mutex     sync.Mutex
	start     fleet.StartNumber
	restarted chan struct{}
	// instances holds the number of requests that used each instance.
	instances map[string]int
	running   int
	queue     []chan struct{}
	changed   time.Time
	figures   EngineStats
}

// EngineStats are what an Engine counted.
type EngineStats struct {
	// Busy is the time with at least one running request, and Used the sum over
	// this time of the running requests.
	Busy, Used time.Duration
	// Loads is the number of loads, and Wasted the number of instances that
	// were unloaded without a request.
	Loads, Wasted int
}

// NewEngine returns an empty engine.
func NewEngine(engine fleet.Engine, store *WeightStore) *Engine {
	return &Engine{Engine: engine, Store: store, start: 1, restarted: make(chan struct{}), instances: make(map[string]int)}
}

// Stats returns what was counted.
func (e *Engine) Stats() EngineStats {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.account(time.Now())
	return e.figures
}

// account adds the time since the last change of running.
func (e *Engine) account(now time.Time) {
	from, to := e.changed, now
	e.changed = now
	if from.Before(e.From) {
		from = e.From
	}
	if to.After(e.To) {
		to = e.To
	}
	if e.running > 0 && to.After(from) {
		e.figures.Busy += to.Sub(from)
		e.figures.Used += time.Duration(e.running) * to.Sub(from)
	}
}

func (e *Engine) counting(now time.Time) bool {
	return !now.Before(e.From) && now.Before(e.To)
}

// Restart empties the engine and breaks its requests off.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.start++
	close(e.restarted)
	e.restarted = make(chan struct{})
	clear(e.instances)
}

// Load loads an instance once the store has delivered it.
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
	if e.counting(time.Now()) {
		e.figures.Loads++
	}
	return nil
}

// Unload removes an instance.
func (e *Engine) Unload(instance fleet.Instance) error {
	time.Sleep(orderTime)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	uses, ok := e.instances[instance.String()]
	if !ok {
		return verdict.NewNotRun(verdict.CodeUnknownInstance, "engine %s has no instance %s", e.Engine.Name, instance)
	}
	if uses == 0 && e.counting(time.Now()) {
		e.figures.Wasted++
	}
	delete(e.instances, instance.String())
	return nil
}

// Report returns the engine's report.
func (e *Engine) Report() fleet.EngineReport {
	time.Sleep(orderTime)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := fleet.EngineReport{Start: e.start, Running: e.running, Waiting: len(e.queue)}
	for name := range e.instances {
		r.Instances = append(r.Instances, name)
	}
	return r
}

// Complete runs a request in the batch.
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
	e.account(time.Now())
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
	e.account(time.Now())
	e.running--
	if len(e.queue) > 0 {
		close(e.queue[0])
		e.queue = e.queue[1:]
	}
	e.mutex.Unlock()
	return request.Response{Status: 200}, err
}

// Engines carries orders and requests to the engines by name. It implements
// ownership.EngineClient and dispatch.EngineClient.
type Engines map[fleet.EngineName]*Engine

// Load implements ownership.EngineClient.
func (s Engines) Load(ctx context.Context, engine fleet.Engine, instance fleet.Instance, _ fleet.Epoch) error {
	return s[engine.Name].Load(ctx, instance)
}

// Unload implements ownership.EngineClient.
func (s Engines) Unload(_ context.Context, engine fleet.Engine, instance fleet.Instance, _ fleet.Epoch) error {
	return s[engine.Name].Unload(instance)
}

// Cancel implements ownership.EngineClient. Requests end with their contexts.
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

// requestID names the request with the given number.
func requestID(number int) fleet.RequestID {
	return fleet.RequestID(strconv.Itoa(number))
}

// requestNumber is the inverse of requestID.
func requestNumber(id fleet.RequestID) int {
	// Runs after the first have their number behind a hyphen.
	first, _, _ := strings.Cut(string(id), "-")
	number, err := strconv.Atoi(first)
	if err != nil {
		panic(err)
	}
	return number
}
