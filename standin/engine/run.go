package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
)

// A run is one run of a request. Its fields are guarded by the mutex of the engine.
type run struct {
	id       string
	instance string
	text     Text
	cancel   context.CancelFunc
	// residency is the loaded instance that the run is on.
	residency *residency
	// started says that the run is in the batch.
	started bool
	progress
	// changed is closed and replaced at each change.
	changed chan struct{}
	// done is closed when the run has left the batch.
	done chan struct{}
}

// progress is how far a run has come.
type progress struct {
	// chunks are the encoded chunks so far.
	chunks [][]byte
	// ended says that no further chunk follows; failed that the answer is not whole.
	ended, failed bool
	// aborted says that the engine restarted.
	aborted bool
}

// execute waits for a place in the batch and makes one token per interval.
func (e *Engine) execute(ctx context.Context, r *run) {
	defer close(r.done)
	defer r.cancel()
	select {
	case e.batch <- struct{}{}:
		defer func() { <-e.batch }()
	case <-ctx.Done():
		e.end(r, true)
		return
	}
	if !e.begin(r) {
		return
	}
	ticker := time.NewTicker(e.TokenInterval)
	defer ticker.Stop()
	for i := range r.text.Length {
		select {
		case <-ticker.C:
			e.emit(r, engineapi.Choice{Delta: &engineapi.Message{Content: r.text.Word(i)}})
		case <-ctx.Done():
			e.end(r, true)
			return
		}
	}
	stop := "stop"
	e.emit(r, engineapi.Choice{Delta: &engineapi.Message{}, FinishReason: &stop})
	e.end(r, false)
}

// begin moves the run into the batch, unless its instance is gone.
func (e *Engine) begin(r *run) bool {
	e.mutex.Lock()
	if r.residency.unloaded {
		e.mutex.Unlock()
		e.end(r, true)
		return false
	}
	r.started = true
	e.waiting--
	e.running++
	e.sample()
	e.mutex.Unlock()
	e.emit(r, engineapi.Choice{Delta: &engineapi.Message{Role: "assistant"}})
	return true
}

func (e *Engine) emit(r *run, choice engineapi.Choice) {
	chunk, err := json.Marshal(engineapi.Completion{
		ID:      r.id,
		Object:  "chat.completion.chunk",
		Model:   r.instance,
		Choices: []engineapi.Choice{choice},
	})
	if err != nil {
		panic(err)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r.chunks = append(r.chunks, chunk)
	r.notify()
}

// end takes the run out of the batch or out of the queue.
func (e *Engine) end(r *run, failed bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if r.started {
		e.running--
	} else {
		e.waiting--
	}
	e.sample()
	r.ended, r.failed = true, failed
	r.notify()
}

// notify wakes the handlers that wait for the run. The mutex is held.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
