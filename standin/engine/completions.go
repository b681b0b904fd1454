package engine

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
)

// longestRun bounds a run whose request names no limit.
const longestRun = 10 * time.Minute

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(engineapi.HeaderRequestID)
	w.Header().Set(engineapi.HeaderRequestID, id)
	var order engineapi.CompletionRequest
	if !decode(w, r, &order) {
		return
	}
	if last := r.Header.Get(engineapi.HeaderLastEventID); last != "" {
		e.resume(w, r, id, last)
		return
	}
	if start := r.Header.Get(engineapi.HeaderEngineStart); start != "" && start != fmt.Sprint(e.Start()) {
		fail(w, http.StatusNotFound, engineapi.CodeUnknownInstance, "the engine has restarted since start "+start)
		return
	}
	timeout, _ := strconv.Atoi(r.Header.Get(engineapi.HeaderTimeout))
	running, planned := e.accept(id, order, time.Duration(timeout)*time.Millisecond)
	if running == nil {
		fail(w, http.StatusNotFound, engineapi.CodeUnknownInstance, "instance "+order.Model+" is not loaded")
		return
	}
	if planned.closeAfterRequest {
		panic(http.ErrAbortHandler)
	}
	if planned.silentAnswer {
		<-r.Context().Done()
		return
	}
	if planned.otherRequest {
		w.Header().Set(engineapi.HeaderRequestID, id+"-other")
	}
	if order.Stream {
		e.stream(w, r, running, 0, planned)
		return
	}
	e.whole(w, r, running)
}

// resume sends the chunks after the position last.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request, id, last string) {
	e.mutex.Lock()
	running := e.runs[id]
	planned := e.plan()
	e.mutex.Unlock()
	position, err := strconv.Atoi(last)
	if running == nil || err != nil {
		fail(w, http.StatusNotFound, engineapi.CodeUnknownStream, "stream "+id+" is not held")
		return
	}
	e.stream(w, r, running, position+1, planned)
}

// accept starts a run. It returns nil when the instance is not loaded.
func (e *Engine) accept(id string, order engineapi.CompletionRequest, timeout time.Duration) (*run, plan) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	planned := e.plan()
	name := order.Model
	if planned.otherInstance {
		name = e.other(name)
	}
	held, ok := e.instances[name]
	if !ok || !held.ready || e.closed {
		return nil, planned
	}
	if name != order.Model {
		e.violations = append(e.violations, "request "+id+" asked for "+order.Model+" and ran on "+name)
	}
	if timeout <= 0 {
		timeout = longestRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	count := order.MaxTokens
	if count == 0 {
		count = e.Tokens
	}
	running := &run{
		id:        id,
		instance:  name,
		text:      Text{Request: id, Instance: name, Prompt: prompt(order), Length: count},
		cancel:    cancel,
		residency: held,
		changed:   make(chan struct{}),
		done:      make(chan struct{}),
	}
	e.counts[id]++
	e.waiting++
	e.sample()
	e.keep(running)
	e.group.Go(func() { e.execute(ctx, running) })
	return running, planned
}

// keep holds the run for a resume and forgets the oldest ended one.
func (e *Engine) keep(running *run) {
	e.runs[running.id] = running
	e.recent = append(e.recent, running.id)
	if len(e.recent) <= keptRuns {
		return
	}
	oldest := e.recent[0]
	e.recent = e.recent[1:]
	if r := e.runs[oldest]; r != nil && r.ended {
		delete(e.runs, oldest)
	}
}

// other returns a loaded instance that is not name, or name.
func (e *Engine) other(name string) string {
	for _, candidate := range e.loaded() {
		if candidate != name {
			return candidate
		}
	}
	return name
}

// stream sends the chunks from position on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, running *run, position int, planned plan) {
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", engineapi.EventStreamType)
	w.WriteHeader(http.StatusOK)
	middle := position + max(running.text.Length/2, 1)
	for {
		now, changed := e.state(running)
		if now.aborted {
			panic(http.ErrAbortHandler)
		}
		chunks := now.chunks
		for ; position < len(chunks); position++ {
			if position == middle && planned.closeInStream {
				panic(http.ErrAbortHandler)
			}
			if position == middle && planned.silentInStream {
				<-r.Context().Done()
				return
			}
			if position == middle && planned.skipChunk {
				continue
			}
			event := engineapi.Event{Position: position, Data: chunks[position]}
			if _, err := w.Write(engineapi.AppendEvent(nil, event)); err != nil {
				return
			}
		}
		if now.ended {
			e.finish(w, now.failed, planned)
			return
		}
		if control.Flush() != nil {
			return
		}
		if !e.wait(w, r, changed) {
			return
		}
	}
}

func (e *Engine) finish(w http.ResponseWriter, failed bool, planned plan) {
	last := engineapi.Done
	if failed {
		last = `{"error":{"message":"the run was ended","code":"` + engineapi.CodeCanceled + `"}}`
	}
	if failed || !planned.noClosingMark {
		_, _ = w.Write(engineapi.AppendEvent(nil, engineapi.Event{Position: -1, Data: []byte(last)}))
	}
}

// wait returns true when the run changed, and sends comments meanwhile.
func (e *Engine) wait(w http.ResponseWriter, r *http.Request, changed <-chan struct{}) bool {
	var comments <-chan time.Time
	if e.KeepAlive > 0 {
		ticker := time.NewTicker(e.KeepAlive)
		defer ticker.Stop()
		comments = ticker.C
	}
	for {
		select {
		case <-changed:
			return true
		case <-comments:
			_, _ = w.Write([]byte(": waiting\n\n"))
			if http.NewResponseController(w).Flush() != nil {
				return false
			}
		case <-r.Context().Done():
			return false
		}
	}
}

// whole sends the answer after the run has ended.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, running *run) {
	select {
	case <-running.done:
	case <-r.Context().Done():
		return
	}
	now, _ := e.state(running)
	if now.aborted {
		panic(http.ErrAbortHandler)
	}
	if now.failed {
		fail(w, http.StatusServiceUnavailable, engineapi.CodeCanceled, "the run was ended")
		return
	}
	stop := "stop"
	reply(w, engineapi.Completion{
		ID:     running.id,
		Object: "chat.completion",
		Model:  running.instance,
		Choices: []engineapi.Choice{{
			Message:      &engineapi.Message{Role: "assistant", Content: running.text.String()},
			FinishReason: &stop,
		}},
	})
}

// state returns the progress of the run, which stays valid without the mutex
// because chunks are only appended, and a channel that is closed at its next change.
func (e *Engine) state(running *run) (progress, <-chan struct{}) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return running.progress, running.changed
}

func prompt(order engineapi.CompletionRequest) string {
	var text strings.Builder
	for _, message := range order.Messages {
		text.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return text.String()
}
