package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// A plainServer is a backend server of the plain service. It runs a request for workTime
// and echoes its attempt id.
type plainServer struct {
	environment *environment
	store       *store
	id, zone    string
	address     string
	workTime    time.Duration
	leaving     atomic.Bool
	server      *http.Server
	born        int64

	mutex sync.Mutex
	// arrivals are the times at which requests arrived, by attempt id.
	arrivals map[string]time.Time
}

// addPlainServer starts a server and writes its entry.
func (e *environment) addPlainServer(s *store, id, zone string, workTime time.Duration) (*plainServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &plainServer{environment: e, store: s, id: id, zone: zone, address: listener.Addr().String(), workTime: workTime,
		born: time.Now().UnixMilli(), arrivals: make(map[string]time.Time)}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	e.closes = append(e.closes, func() { _ = p.server.Close() })
	s.set("servers", id, map[string]any{
		"backend": plainService, "address": p.address, "zone": zone, "version": "1", "slots": 6, "state": "ready", "seq": 1, "born": p.born,
	})
	return p, nil
}

// ServeHTTP runs a request.
func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if p.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != p.id {
		w.Header().Set("X-Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.mutex.Lock()
	p.arrivals[attempt] = time.Now()
	p.mutex.Unlock()
	p.environment.note("server %s runs %s", p.id, attempt)
	time.Sleep(p.workTime)
	w.Header().Set("X-Response-Signature", "signed-"+attempt)
	_, _ = fmt.Fprintf(w, "%s ran at %s", attempt, p.id)
}

// arrivedAfter returns the attempts that arrived after a time.
func (p *plainServer) arrivedAfter(at time.Time) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var list []string
	for attempt, arrived := range p.arrivals {
		if arrived.After(at) {
			list = append(list, attempt)
		}
	}
	return list
}

// exit ends the server at once, with the requests that it runs.
func (p *plainServer) exit() {
	p.environment.note("server %s exits", p.id)
	_ = p.server.Close()
}
