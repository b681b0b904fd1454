package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An engine is a model engine that holds the base model and some adapters from its start.
// It streams events with rising ids, one every eventGap.
type engine struct {
	environment *environment
	id, zone    string
	address     string
	eventGap    time.Duration
	events      int
	// spoil returns after how many events a stream is truncated inside the next one, or 0
	// for a whole stream. number counts the streams of the engine.
	spoil func(number int) int
	// firstEvent is the time until the first event. If it is set and pause is not, the head of
	// the answer is sent at once.
	firstEvent time.Duration
	// pause waits while the engine is down and reports whether it was; it may be nil.
	pause func(r *http.Request) bool

	// loadTime is how long the load of an adapter takes; 0 means that it is there at once.
	loadTime time.Duration

	mutex    sync.Mutex
	streams  int
	accepted int
	// held are the adapters that are there, and coming those on their way.
	held, coming map[string]bool
}

// addEngine starts an engine and writes its entry.
func (e *environment) addEngine(s *store, g *engine) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	g.environment, g.address = e, listener.Addr().String()
	server := &http.Server{Handler: g}
	go func() { _ = server.Serve(listener) }()
	e.closes = append(e.closes, func() { _ = server.Close() })
	s.set("servers", g.id, map[string]any{
		"backend": engineService, "address": g.address, "zone": g.zone, "version": "1", "slots": 64, "state": "ready", "seq": 1,
		"born": time.Now().UnixMilli(), "models": g.models(),
	})
	return nil
}

// models returns what the engine holds, as its entry and reports say it.
func (g *engine) models() []any {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	adapters := []string{}
	for name := range g.held {
		adapters = append(adapters, name+"@1")
	}
	return []any{map[string]any{"name": modelName, "version": 1, "adapters": adapters}}
}

// ServeHTTP serves orders, reports and streams.
func (g *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	if attempt != "" {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != g.id {
		w.Header().Set("X-Instance-Id", g.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /order":
		g.serveOrder(w, r)
	case "GET /report":
		models := g.models()
		g.mutex.Lock()
		accepted, coming := g.accepted, []string{}
		for name := range g.coming {
			coming = append(coming, modelName+"/"+name+"@1")
		}
		g.mutex.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "colocated", "models": models, "busy": false, "seq": accepted, "coming": coming, "queued": 0, "active": 0})
	default:
		g.serveStream(w, r, attempt)
	}
}

// serveOrder carries out an order.
func (g *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		OpType, Adapter string
		Expect          *int
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if o.OpType == "load" && (o.Adapter == "" || g.held[o.Adapter]) {
		w.WriteHeader(http.StatusOK)
		return
	}
	if o.OpType == "load" && g.coming[o.Adapter] {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if o.Expect != nil && *o.Expect != g.accepted {
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.accepted++
	if o.OpType == "unload" {
		delete(g.held, o.Adapter)
		w.WriteHeader(http.StatusOK)
		return
	}
	if g.coming == nil {
		g.coming = make(map[string]bool)
	}
	g.coming[o.Adapter] = true
	time.AfterFunc(g.loadTime, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		delete(g.coming, o.Adapter)
		g.held[o.Adapter] = true
	})
	w.WriteHeader(http.StatusAccepted)
}

// holds reports whether the engine holds the adapter that a request asks for.
func (g *engine) holds(model string) bool {
	_, name, _ := strings.Cut(model, "/")
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return name == "" || g.held[name]
}

// eventText returns an event of an attempt.
func eventText(attempt string, number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, attempt)
}

// serveStream streams the events after the last one that the client has.
func (g *engine) serveStream(w http.ResponseWriter, r *http.Request, attempt string) {
	if !g.holds(r.Header.Get("X-Model")) {
		w.Header().Set("X-Instance-Id", g.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	g.mutex.Lock()
	g.streams++
	truncateAfter := 0
	if g.spoil != nil {
		truncateAfter = g.spoil(g.streams)
	}
	g.mutex.Unlock()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	g.environment.note("engine %s runs %s after event %d", g.id, attempt, last)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "signed-"+attempt)
	w.Header().Set("X-Weight-Versions", "1")
	flusher := http.NewResponseController(w)
	if g.firstEvent > 0 {
		if g.pause == nil {
			_ = flusher.Flush()
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(g.firstEvent):
		}
	}
	for number := last + 1; number <= g.events; number++ {
		text := eventText(attempt, number)
		if g.pause != nil && g.pause(r) {
			panic(http.ErrAbortHandler)
		}
		if truncateAfter > 0 && number > truncateAfter {
			g.environment.note("engine %s ends the answer to %s inside event %d", g.id, attempt, number)
			_, _ = w.Write([]byte(text[:len(text)/2]))
			return
		}
		if _, err := w.Write([]byte(text)); err != nil || flusher.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(g.eventGap):
		}
	}
}
