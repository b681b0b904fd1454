package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
)

// A run is one run of a request. The fields inBatch, progress and changed are guarded by
// the mutex of the engine; the other fields do not change.
type run struct {
	id       string
	instance string
	text     Text
	cancel   context.CancelFunc
	// residency is the loaded instance on which the run executes.
	residency *residency
	// inBatch is set when the run enters the batch and stays set after it has left.
	inBatch bool
	progress
	// changed is closed and replaced at each change of the progress.
	changed chan struct{}
	// done is closed when the run has left the batch or the queue.
	done chan struct{}
}

// progress holds the chunks that a run has produced so far, and whether it has ended.
type progress struct {
	// chunks are the encoded chunks so far.
	chunks [][]byte
	// ended is set when no further chunk follows, and failed if the answer is then
	// incomplete.
	ended, failed bool
	// aborted is set when the engine restarted during the run or after it.
	aborted bool
}

// execute waits for a place in the batch, produces one token per TokenInterval and ends
// the run.
func (e *Engine) execute(ctx context.Context, r *run) {
	defer close(r.done)
	defer r.cancel()
	select {
	case e.batchSlots <- struct{}{}:
		defer func() { <-e.batchSlots }()
	case <-ctx.Done():
		e.endRun(r, true)
		return
	}
	if !e.enterBatch(r) {
		return
	}
	ticker := time.NewTicker(e.TokenInterval)
	defer ticker.Stop()
	for i := range r.text.Length {
		select {
		case <-ticker.C:
			e.appendChunk(r, engineapi.Choice{Delta: &engineapi.Message{Content: r.text.Word(i)}})
		case <-ctx.Done():
			e.endRun(r, true)
			return
		}
	}
	stop := "stop"
	e.appendChunk(r, engineapi.Choice{Delta: &engineapi.Message{}, FinishReason: &stop})
	e.endRun(r, false)
}

// enterBatch moves a run from the queue into the batch. If its instance was unloaded, it
// ends the run and returns false.
func (e *Engine) enterBatch(r *run) bool {
	e.mutex.Lock()
	if r.residency.unloaded {
		e.mutex.Unlock()
		e.endRun(r, true)
		return false
	}
	r.inBatch = true
	e.waiting--
	e.running++
	e.recordLoad()
	e.mutex.Unlock()
	e.appendChunk(r, engineapi.Choice{Delta: &engineapi.Message{Role: "assistant"}})
	return true
}

// appendChunk adds a chunk with one choice to the answer of a run.
func (e *Engine) appendChunk(r *run, choice engineapi.Choice) {
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

// endRun takes a run out of the batch or the queue and marks it as ended.
func (e *Engine) endRun(r *run, failed bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if r.inBatch {
		e.running--
	} else {
		e.waiting--
	}
	e.recordLoad()
	r.ended, r.failed = true, failed
	r.notify()
}

// notify wakes the handlers that wait for progress of the run. The mutex is held.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
