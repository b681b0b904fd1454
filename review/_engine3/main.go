// Command engine is a small model engine for the scripts of the third review. It holds one base model
// and adapters, answers with streams, and crashes when it begins an answer on a given part of a prompt.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// slots is the number of requests that run at once.
	slots = 64
	// adapterSlots is the number of adapters that the engine holds.
	adapterSlots = 26
	// adapterLoadTime and modelLoadTime are the times of loads.
	adapterLoadTime = 250 * time.Millisecond
	modelLoadTime   = 840 * time.Millisecond
	// events is the number of events of a stream.
	events = 10
)

// An engine is the state of the process.
type engine struct {
	id, model string
	born      int64
	// deadlyPart crashes the engine from deadlyFrom on.
	deadlyPart string
	deadlyFrom time.Time

	mutex    sync.Mutex
	running  int
	orders   int
	isLoaded bool
	// adapters has the version of each loaded adapter, or 0 while it is being loaded.
	adapters map[string]int
}

func main() {
	e := &engine{adapters: make(map[string]int)}
	listen := flag.String("listen", "", "address")
	flag.StringVar(&e.id, "id", "", "id of the engine")
	flag.StringVar(&e.model, "model", "m0", "base model")
	flag.Int64Var(&e.born, "born", 0, "start in Unix milliseconds")
	flag.StringVar(&e.deadlyPart, "deadly-part", "", "part of a prompt that crashes the engine")
	from := flag.Int64("deadly-from", 0, "Unix milliseconds from which it does")
	isEmpty := flag.Bool("empty", false, "begin without the base model")
	flag.Parse()
	e.deadlyFrom, e.isLoaded = time.UnixMilli(*from), !*isEmpty
	fmt.Fprintln(os.Stderr, http.ListenAndServe(*listen, e))
	os.Exit(2)
}

// say writes a line of the engine's record.
func (e *engine) say(kind, attempt string) {
	fmt.Printf("{\"kind\":%q,\"at\":%q,\"server\":%q,\"attempt\":%q}\n", kind, time.Now().Format(time.RFC3339Nano), e.id, attempt)
}

// ServeHTTP serves orders, reports and requests.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		e.misdirected(w)
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

// misdirected answers that the engine does not run the request.
func (e *engine) misdirected(w http.ResponseWriter) {
	w.Header().Set("X-Instance-Id", e.id)
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// report answers a report call.
func (e *engine) report(w http.ResponseWriter) {
	e.mutex.Lock()
	held, coming, models := []string{}, []string{}, []any{}
	for name, version := range e.adapters {
		if version == 0 {
			coming = append(coming, e.model+"/"+name+"@1")
		} else {
			held = append(held, name+"@"+strconv.Itoa(version))
		}
	}
	if e.isLoaded {
		models = append(models, map[string]any{"name": e.model, "version": 1, "adapters": held})
	}
	content := map[string]any{
		"stage": "colocated", "models": models, "coming": coming, "busy": false, "seq": e.orders, "queued": 0, "active": e.running,
		"kvUsed": 0, "kvTotal": 157037, "handles": 0, "born": e.born,
	}
	e.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(content)
}

// order carries an order out, or refuses it.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		OpType, Model, Adapter, Holder string
		FencingToken                   uint64
		Expect                         *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.FencingToken == 0 || o.Model != e.model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	version, known := e.adapters[o.Adapter]
	switch {
	case o.Adapter == "" && e.isLoaded, o.OpType == "load" && version > 0, o.OpType == "unload" && !known:
		w.WriteHeader(http.StatusOK)
	case o.OpType == "load" && known:
		w.WriteHeader(http.StatusAccepted)
	case o.Expect != nil && *o.Expect != e.orders, o.Adapter != "" && !e.isLoaded:
		w.WriteHeader(http.StatusConflict)
	case o.OpType == "unload":
		e.orders++
		delete(e.adapters, o.Adapter)
		w.WriteHeader(http.StatusOK)
	case o.Adapter == "":
		e.orders++
		time.AfterFunc(modelLoadTime, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			e.isLoaded = true
		})
		w.WriteHeader(http.StatusAccepted)
	case len(e.adapters) >= adapterSlots:
		e.say("overfull", "")
		os.Exit(4)
	default:
		e.orders++
		e.adapters[o.Adapter] = 0
		time.AfterFunc(adapterLoadTime, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			e.adapters[o.Adapter] = 1
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// run runs a request, or refuses it.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	e.mutex.Lock()
	if model != e.model || !e.isLoaded || adapter != "" && e.adapters[adapter] == 0 {
		e.mutex.Unlock()
		e.misdirected(w)
		return
	}
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", e.running, slots))
	if e.running >= slots {
		e.mutex.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.mutex.Unlock()
	defer func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.running--
	}()
	e.say("ran", attempt)
	time.Sleep(40 * time.Millisecond)
	isPart := func(part string) bool { return e.deadlyPart != "" && strings.HasPrefix(part, e.deadlyPart+":") }
	if time.Now().After(e.deadlyFrom) && slices.ContainsFunc(strings.Split(r.Header.Get("X-Prompt-Prefix"), ","), isPart) {
		e.say("crashed", attempt)
		os.Exit(3)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "signed-"+attempt)
	w.Header().Set("X-Weight-Versions", "1")
	for number := 1; number <= events; number++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", number, attempt, number); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}
