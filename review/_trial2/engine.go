package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An engineServer is a small model engine. It holds one base model and adapters, runs streams and
// refuses what does not fit its memory, as the pages say.
type engineServer struct {
	id, model string
	born      int64
	// kvTokens is the memory for prompts, and tokensPerMilli the speed at which they are read.
	kvTokens       int
	tokensPerMilli float64
	slots          int
	// deadlyPart is the part of a prompt on which the engine crashes when it begins the answer.
	deadlyPart string
	// loadTime is how long the load of the base model takes.
	loadTime time.Duration
	record   func(format string, args ...any)

	mutex    sync.Mutex
	running  int
	seq      int
	adapters map[string]int
	// isLoaded says that the base model is loaded, and isLoading that it is being loaded.
	isLoaded, isLoading bool
}

// runEngine is the main function of an engine process.
func runEngine(arguments []string) error {
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	e := &engineServer{adapters: make(map[string]int), record: func(format string, args ...any) {
		fmt.Printf("%d "+format+"\n", append([]any{time.Now().UnixMilli()}, args...)...)
	}}
	listen := flags.String("listen", "", "address")
	flags.StringVar(&e.id, "id", "", "id of the engine")
	flags.StringVar(&e.model, "model", "m0", "base model")
	flags.Int64Var(&e.born, "born", 0, "start in Unix milliseconds")
	flags.IntVar(&e.kvTokens, "kv", 157037, "memory in tokens")
	flags.Float64Var(&e.tokensPerMilli, "read", 38.1, "prompt tokens read in a millisecond")
	flags.IntVar(&e.slots, "slots", 64, "requests at once")
	flags.StringVar(&e.deadlyPart, "deadly-part", "", "part of a prompt that crashes the engine")
	flags.DurationVar(&e.loadTime, "load", 840*time.Millisecond, "time of the load of the base model")
	isEmpty := flags.Bool("empty", false, "begin without the base model")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	e.isLoaded = !*isEmpty
	return http.ListenAndServe(*listen, e)
}

// ServeHTTP serves orders, reports and requests.
func (e *engineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /healthz":
		w.Header().Set("X-Instance-Id", e.id)
	case "GET /report":
		e.report(w)
	case "POST /order":
		e.order(w, r)
	default:
		e.run(w, r)
	}
}

// report answers a report call.
func (e *engineServer) report(w http.ResponseWriter) {
	e.mutex.Lock()
	held := []string{}
	for name, version := range e.adapters {
		held = append(held, fmt.Sprintf("%s@%d", name, version))
	}
	models := []any{}
	if e.isLoaded {
		models = append(models, map[string]any{"name": e.model, "version": 1, "adapters": held})
	}
	content := map[string]any{
		"stage": "colocated", "models": models, "busy": e.isLoading,
		"seq": e.seq, "queued": 0, "active": e.running, "kvUsed": 0, "kvTotal": e.kvTokens, "handles": 0, "born": e.born,
	}
	e.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(content)
}

// order carries an order out.
func (e *engineServer) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		OpType, Model, Adapter, Holder string
		Version                        int
		FencingToken                   uint64
		Expect                         *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.FencingToken == 0 || o.Model != e.model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	status := http.StatusAccepted
	_, held := e.adapters[o.Adapter]
	switch {
	case o.Adapter == "" && e.isLoaded || o.OpType == "load" && held:
		status = http.StatusOK
	case o.Adapter == "" && e.isLoading:
	case e.isLoading:
		status = http.StatusConflict
	case o.Expect != nil && *o.Expect != e.seq:
		status = http.StatusConflict
	case o.Adapter == "":
		e.seq++
		e.isLoading = true
		time.AfterFunc(e.loadTime, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			e.isLoading, e.isLoaded = false, true
		})
	case o.OpType == "load":
		e.seq++
		e.adapters[o.Adapter] = max(o.Version, 1)
	default:
		e.seq++
		delete(e.adapters, o.Adapter)
		status = http.StatusOK
	}
	e.record("order %s %s %s holder %s epoch %d status %d", e.id, o.OpType, o.Adapter, o.Holder, o.FencingToken, status)
	w.WriteHeader(status)
}

// run runs a request, or refuses it.
func (e *engineServer) run(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	first, _, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	tokens, _ := strconv.Atoi(first)
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	e.mutex.Lock()
	_, held := e.adapters[adapter]
	if model != e.model || !e.isLoaded || adapter != "" && !held {
		e.mutex.Unlock()
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d,100", e.running, e.slots))
	if e.running >= e.slots || tokens > e.kvTokens {
		e.mutex.Unlock()
		e.record("refused %s %s of %d tokens", e.id, attempt, tokens)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.mutex.Unlock()
	defer func() {
		e.mutex.Lock()
		e.running--
		e.mutex.Unlock()
	}()
	e.record("ran %s %s of %d tokens", e.id, attempt, tokens)
	time.Sleep(20*time.Millisecond + time.Duration(float64(tokens)/e.tokensPerMilli*float64(time.Millisecond)))
	if e.deadlyPart != "" && strings.Contains(","+r.Header.Get("X-Prompt-Prefix"), ","+e.deadlyPart+":") {
		e.record("crashed %s %s", e.id, attempt)
		os.Exit(3)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "signed-"+attempt)
	w.Header().Set("X-Weight-Versions", "1")
	for number := 1; number <= 10; number++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", number, attempt, number); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}
