package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// errLoad is the cause of an injected load failure.
var errLoad = errors.New("weights do not match the base model")

func (e *Engine) handleLoad(w http.ResponseWriter, r *http.Request) {
	var order engineapi.LoadRequest
	if !decode(w, r, &order) || !e.delay(r) || !e.fence(w, r) {
		return
	}
	held, leader, found := e.reserve(order.LoraName)
	if !found {
		fail(w, http.StatusConflict, engineapi.CodeNoFreeSlot, "every slot is taken")
		return
	}
	if leader {
		e.group.Go(func() { e.load(order, held) })
	}
	select {
	case <-held.loaded:
	case <-r.Context().Done():
		return
	}
	if held.failure != nil {
		fail(w, http.StatusInternalServerError, engineapi.CodeLoadFailed, held.failure.Error())
		return
	}
	reply(w, struct{}{})
}

// reserve takes a slot. Of several orders for one instance the first one loads.
func (e *Engine) reserve(name string) (held *residency, leader, found bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if held, ok := e.instances[name]; ok {
		return held, false, true
	}
	if len(e.instances) >= e.Slots || e.closed {
		return nil, false, false
	}
	held = &residency{loaded: make(chan struct{})}
	e.instances[name] = held
	return held, true, true
}

// load fetches the weights. It goes on when the sender of the order is gone.
func (e *Engine) load(order engineapi.LoadRequest, held *residency) {
	var err error
	if e.Weights != nil {
		err = e.Weights.Fetch(e.closing, order.LoraPath)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err == nil && e.random.Float64() < e.faults.LoadFailure {
		err = errLoad
	}
	if err == nil && held.unloaded {
		err = errors.New("instance was unloaded while it loaded")
	}
	held.failure = err
	held.ready = err == nil
	if err != nil && e.instances[order.LoraName] == held {
		delete(e.instances, order.LoraName)
	}
	close(held.loaded)
}

func (e *Engine) handleUnload(w http.ResponseWriter, r *http.Request) {
	var order engineapi.UnloadRequest
	if !decode(w, r, &order) || !e.delay(r) || !e.fence(w, r) {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	held, ok := e.instances[order.LoraName]
	if !ok {
		fail(w, http.StatusNotFound, engineapi.CodeUnknownInstance, "instance "+order.LoraName+" is not loaded")
		return
	}
	for id, running := range e.runs {
		if running.residency == held && running.started && !running.ended {
			e.violations = append(e.violations, "request "+id+" ran on "+order.LoraName+", which was unloaded")
		}
	}
	held.unloaded = true
	delete(e.instances, order.LoraName)
	reply(w, struct{}{})
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var order engineapi.CancelRequest
	if !decode(w, r, &order) {
		return
	}
	e.mutex.Lock()
	running := e.runs[order.RequestID]
	e.mutex.Unlock()
	if running != nil {
		running.cancel()
		select {
		case <-running.done:
		case <-r.Context().Done():
			return
		}
	}
	reply(w, struct{}{})
}

func (e *Engine) handleModels(w http.ResponseWriter, _ *http.Request) {
	list := engineapi.ModelList{Object: "list", Data: []engineapi.Model{}}
	for _, name := range e.Instances() {
		list.Data = append(list.Data, engineapi.Model{ID: name, Object: "model"})
	}
	reply(w, list)
}

func (e *Engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	running, waiting := e.lagging(time.Now())
	report := engineapi.EngineReport{Start: e.start, Instances: e.loaded(), Running: running, Waiting: waiting}
	e.mutex.Unlock()
	reply(w, report)
}

// delay holds an order back and reports whether its sender still waits.
func (e *Engine) delay(r *http.Request) bool {
	e.mutex.Lock()
	pause := e.faults.OrderDelay
	e.mutex.Unlock()
	// A late order is carried out even when its sender is gone.
	time.Sleep(pause)
	return pause > 0 || r.Context().Err() == nil
}

// fence refuses an order with an old fencing number if the engine is of the
// kind that does.
func (e *Engine) fence(w http.ResponseWriter, r *http.Request) bool {
	number, err := strconv.ParseUint(r.Header.Get(engineapi.HeaderFencingNumber), 10, 64)
	if e.Fencing != fleet.FencingEnforced {
		return true
	}
	if err != nil {
		fail(w, http.StatusBadRequest, engineapi.CodeMalformed, "fencing number is missing")
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if number < e.fencing {
		fail(w, http.StatusConflict, engineapi.CodeStaleFencingNumber, "fencing number is old")
		return false
	}
	e.fencing = number
	return true
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		fail(w, http.StatusBadRequest, engineapi.CodeMalformed, err.Error())
		return false
	}
	return true
}

func fail(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(engineapi.ErrorBody{Error: engineapi.ErrorDetail{Message: message, Code: code}})
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
