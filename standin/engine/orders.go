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

// errInjectedLoadFailure is the error of a load that the fault LoadFailure made fail.
var errInjectedLoadFailure = errors.New("weights do not match the base model")

func (e *Engine) handleLoad(w http.ResponseWriter, r *http.Request) {
	var order engineapi.LoadRequest
	if !decode(w, r, &order) || !e.applyOrderDelay(r) || !e.checkFencing(w, r) {
		return
	}
	held, isNew, found := e.reserveSlot(order.LoraName)
	if !found {
		replyError(w, http.StatusConflict, engineapi.CodeNoFreeSlot, "all adapter slots are taken")
		return
	}
	if isNew {
		e.goroutines.Go(func() { e.load(order, held) })
	}
	select {
	case <-held.loaded:
	case <-r.Context().Done():
		return
	}
	if held.failure != nil {
		replyError(w, http.StatusInternalServerError, engineapi.CodeLoadFailed, held.failure.Error())
		return
	}
	reply(w, struct{}{})
}

// reserveSlot returns the residency of an instance, and reserves a slot if it has none.
// isNew is set for the first order for an instance, which has to load it; later ones wait
// for that load. found is false if no slot is free or the engine is closed.
func (e *Engine) reserveSlot(name string) (held *residency, isNew, found bool) {
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

// load fetches the weights of an instance and makes it ready, or frees its slot. It goes
// on when the client that sent the order has disconnected.
func (e *Engine) load(order engineapi.LoadRequest, held *residency) {
	var err error
	if e.Weights != nil {
		err = e.Weights.Fetch(e.lifetime, order.LoraPath)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err == nil && e.random.Float64() < e.faults.LoadFailure {
		err = errInjectedLoadFailure
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
	if !decode(w, r, &order) || !e.applyOrderDelay(r) || !e.checkFencing(w, r) {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	held, ok := e.instances[order.LoraName]
	if !ok {
		replyError(w, http.StatusNotFound, engineapi.CodeUnknownInstance, "instance "+order.LoraName+" is not loaded")
		return
	}
	for id, running := range e.runs {
		if running.residency == held && running.inBatch && !running.ended {
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
	running, waiting := e.laggedLoad(time.Now())
	report := engineapi.EngineReport{Start: e.start, Instances: e.loadedInstances(), Running: running, Waiting: waiting}
	e.mutex.Unlock()
	reply(w, report)
}

// applyOrderDelay waits for the fault OrderDelay and returns whether to carry out the
// order.
func (e *Engine) applyOrderDelay(r *http.Request) bool {
	e.mutex.Lock()
	pause := e.faults.OrderDelay
	e.mutex.Unlock()
	// A delayed order is carried out even if its client has disconnected, as a
	// request that arrives late is.
	time.Sleep(pause)
	return pause > 0 || r.Context().Err() == nil
}

// checkFencing returns whether to carry out an order. An engine that enforces fencing
// refuses an order without a fencing number, and one whose number is below the highest so
// far.
func (e *Engine) checkFencing(w http.ResponseWriter, r *http.Request) bool {
	number, err := strconv.ParseUint(r.Header.Get(engineapi.HeaderFencingNumber), 10, 64)
	if e.Fencing != fleet.FencingEnforced {
		return true
	}
	if err != nil {
		replyError(w, http.StatusBadRequest, engineapi.CodeMalformed, "fencing number is missing or malformed")
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if number < e.highestFencingNumber {
		replyError(w, http.StatusConflict, engineapi.CodeStaleFencingNumber, "fencing number is below the highest one so far")
		return false
	}
	e.highestFencingNumber = number
	return true
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		replyError(w, http.StatusBadRequest, engineapi.CodeMalformed, err.Error())
		return false
	}
	return true
}

func replyError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(engineapi.ErrorBody{Error: engineapi.ErrorDetail{Message: message, Code: code}})
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
