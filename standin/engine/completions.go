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

// defaultRunTimeout bounds a run whose request has no timeout.
const defaultRunTimeout = 10 * time.Minute

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(engineapi.HeaderRequestID)
	w.Header().Set(engineapi.HeaderRequestID, id)
	var request engineapi.CompletionRequest
	if !decode(w, r, &request) {
		return
	}
	if last := r.Header.Get(engineapi.HeaderLastEventID); last != "" {
		e.resume(w, r, id, last)
		return
	}
	if start := r.Header.Get(engineapi.HeaderEngineStart); start != "" && start != fmt.Sprint(e.Start()) {
		replyError(w, http.StatusNotFound, engineapi.CodeUnknownInstance, "the engine has restarted since start "+start)
		return
	}
	timeout, _ := strconv.Atoi(r.Header.Get(engineapi.HeaderTimeout))
	running, planned := e.startRun(id, request, time.Duration(timeout)*time.Millisecond)
	if running == nil {
		replyError(w, http.StatusNotFound, engineapi.CodeUnknownInstance, "instance "+request.Model+" is not loaded")
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
	if request.Stream {
		e.sendStream(w, r, running, 0, planned)
		return
	}
	e.sendCompletion(w, r, running)
}

// resume continues the stream of a run with the chunks after the position that the client
// gives as last.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request, id, last string) {
	e.mutex.Lock()
	running := e.runs[id]
	planned := e.drawFaults()
	e.mutex.Unlock()
	position, err := strconv.Atoi(last)
	if running == nil || err != nil {
		replyError(w, http.StatusNotFound, engineapi.CodeUnknownStream, "stream of request "+id+" cannot be resumed")
		return
	}
	e.sendStream(w, r, running, position+1, planned)
}

// startRun starts a run of a request and returns it with the faults of its answer. It
// returns a nil run if the instance is not loaded or the engine is closed.
func (e *Engine) startRun(id string, request engineapi.CompletionRequest, timeout time.Duration) (*run, faultPlan) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	planned := e.drawFaults()
	name := request.Model
	if planned.otherInstance {
		name = e.otherInstance(name)
	}
	held, ok := e.instances[name]
	if !ok || !held.ready || e.closed {
		return nil, planned
	}
	if name != request.Model {
		// checkInstances in internal/demo finds this violation by the text "asked for".
		e.violations = append(e.violations, "request "+id+" asked for "+request.Model+" and ran on "+name)
	}
	if timeout <= 0 {
		timeout = defaultRunTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	tokens := request.MaxTokens
	if tokens == 0 {
		tokens = e.Tokens
	}
	running := &run{
		id:        id,
		instance:  name,
		text:      Text{Request: id, Instance: name, Prompt: prompt(request), Length: tokens},
		cancel:    cancel,
		residency: held,
		changed:   make(chan struct{}),
		done:      make(chan struct{}),
	}
	e.runCounts[id]++
	e.waiting++
	e.recordLoad()
	e.retainRun(running)
	e.goroutines.Go(func() { e.execute(ctx, running) })
	return running, planned
}

// retainRun keeps a run so that its stream can be resumed. Beyond maxRetainedRuns it drops
// the oldest run, if that has ended. The mutex is held.
func (e *Engine) retainRun(running *run) {
	e.runs[running.id] = running
	e.runOrder = append(e.runOrder, running.id)
	if len(e.runOrder) <= maxRetainedRuns {
		return
	}
	oldest := e.runOrder[0]
	e.runOrder = e.runOrder[1:]
	if r := e.runs[oldest]; r != nil && r.ended {
		delete(e.runs, oldest)
	}
}

// otherInstance returns the name of a loaded instance other than name, or name if there is
// none. The mutex is held.
func (e *Engine) otherInstance(name string) string {
	for _, candidate := range e.loadedInstances() {
		if candidate != name {
			return candidate
		}
	}
	return name
}

// sendStream sends the chunks of a run from a position on, as the run produces them, with
// the planned faults.
func (e *Engine) sendStream(w http.ResponseWriter, r *http.Request, running *run, position int, planned faultPlan) {
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", engineapi.EventStreamType)
	w.WriteHeader(http.StatusOK)
	middle := position + max(running.text.Length/2, 1)
	for {
		current, changed := e.progressOf(running)
		if current.aborted {
			panic(http.ErrAbortHandler)
		}
		chunks := current.chunks
		for ; position < len(chunks); position++ {
			if position == middle && (planned.closeInStream || planned.silentInStream) {
				// The chunks before the middle reach the caller.
				if control.Flush() != nil || planned.closeInStream {
					panic(http.ErrAbortHandler)
				}
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
		if current.ended {
			e.sendStreamEnd(w, current.failed, planned)
			return
		}
		if control.Flush() != nil {
			return
		}
		if !e.waitForChange(w, r, changed) {
			return
		}
	}
}

// sendStreamEnd sends the last event of a stream: an error if the run failed, or else the
// mark of a whole answer.
func (e *Engine) sendStreamEnd(w http.ResponseWriter, failed bool, planned faultPlan) {
	last := engineapi.Done
	if failed {
		last = `{"error":{"message":"the run was ended","code":"` + engineapi.CodeCanceled + `"}}`
	}
	if failed || !planned.noClosingMark {
		_, _ = w.Write(engineapi.AppendEvent(nil, engineapi.Event{Position: -1, Data: []byte(last)}))
	}
}

// waitForChange waits until a run has made progress, and sends a comment every KeepAlive
// meanwhile. It returns false if the client has disconnected.
func (e *Engine) waitForChange(w http.ResponseWriter, r *http.Request, changed <-chan struct{}) bool {
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

// sendCompletion waits for the end of a run and sends the whole answer in one body.
func (e *Engine) sendCompletion(w http.ResponseWriter, r *http.Request, running *run) {
	select {
	case <-running.done:
	case <-r.Context().Done():
		return
	}
	current, _ := e.progressOf(running)
	if current.aborted {
		panic(http.ErrAbortHandler)
	}
	if current.failed {
		replyError(w, http.StatusServiceUnavailable, engineapi.CodeCanceled, "the run was ended")
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

// progressOf returns the progress of a run and a channel that is closed at its next
// change. The progress may be read without the mutex, because chunks are only appended.
func (e *Engine) progressOf(running *run) (progress, <-chan struct{}) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return running.progress, running.changed
}

// prompt returns the messages of a request as the prompt of its Text.
func prompt(request engineapi.CompletionRequest) string {
	var text strings.Builder
	for _, message := range request.Messages {
		text.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return text.String()
}
