package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/persimmonmux/persimmonmux/standin/platform"
)

// A store is the platform's store: the stand-in of the project, with the operator's and
// the servers' writes.
type store struct {
	environment *environment
	server      *platform.Server
	address     string
	version     int
}

// newStore starts a store. wrap may be nil; otherwise it returns the handler that serves
// the calls.
func (e *environment) newStore(wrap func(http.Handler) http.Handler) (*store, error) {
	s := &store{environment: e, server: &platform.Server{
		Table: platform.NewTable(1), Objects: platform.NewObjectStore(1),
		Hosts: platform.NewHostList(0), Weights: platform.NewWeightStore(0, 1),
	}}
	handler := http.Handler(s.server)
	if wrap != nil {
		handler = wrap(handler)
	}
	var err error
	s.address, err = e.serve(handler)
	return s, err
}

// forgetHistory makes the store discard its history.
func (s *store) forgetHistory() {
	s.server.Table.SetFaults(platform.TableFaults{ForgetHistory: true})
}

// set writes a row of a table, or deletes it if the value is nil. It returns when the store
// has acknowledged the write.
func (s *store) set(table, key string, value any) {
	row := map[string]any{"table": table, "key": key}
	body := map[string]any{"delete": []any{row}}
	if value != nil {
		content, _ := json.Marshal(value)
		row["value"] = content
		body = map[string]any{"setKeys": []any{row}}
	}
	content, _ := json.Marshal(body)
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPut, platform.PathRows, bytes.NewReader(content))
	s.server.ServeHTTP(w, r)
	if w.Code != http.StatusOK {
		panic(fmt.Sprintf("store: status %d", w.Code))
	}
	s.environment.note("store: %s/%s written, deleted=%t", table, key, value == nil)
}

// A route is a route of the desired state.
type route struct {
	name, kind, service string
	priority, attempts  int
	resumable           bool
	timeoutMs, targetMs int
}

const (
	callHost      = "review.example"
	engineService = "sprachmodelle"
	plainService  = "belegung"
	modelName     = "m0"
)

// writeDesiredState writes the next version of the desired state.
func (s *store) writeDesiredState(routes ...route) {
	s.version += 3
	list := []any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "hostname": callHost, "prefix": "/" + r.name + "/", "routeType": r.kind, "backend": r.service,
			"priority": r.priority, "maxAttempts": r.attempts, "resumable": r.resumable,
			"timeoutMs": r.timeoutMs, "targetLatencyMs": r.targetMs, "gapTargetMs": 300,
		})
	}
	s.set("op", "config", map[string]any{
		"version": s.version, "routes": list,
		"backends": []any{
			map[string]any{"name": engineService, "healthPath": "/healthz", "maxConns": 370, "engine": map[string]any{
				"slots": 64, "kvCacheTokens": 157037, "weightsMb": 76000, "adapterSlots": 26, "loadsPerS": 3.1,
				"models": []any{map[string]any{"name": modelName, "weightsMb": 72700, "loadTimeS": 2.1, "adapters": 3000, "adapterMb": 66}},
			}},
			map[string]any{"name": plainService, "healthPath": "/healthz", "maxConns": 110},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
}

// ownerOf returns the host that is registered as the owner of a zone, or nil.
func (s *store) ownerOf(zone string, hosts []*host) *host {
	w := httptest.NewRecorder()
	s.server.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/rows-get?table=hosts&part=", nil))
	var response struct {
		Rows []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"rows"`
	}
	_ = json.Unmarshal(w.Body.Bytes(), &response)
	var owner *host
	var highest uint64
	for _, row := range response.Rows {
		var registration struct {
			Owns map[string]uint64 `json:"owns"`
		}
		_ = json.Unmarshal(row.Value, &registration)
		for _, h := range hosts {
			if epoch := registration.Owns[zone]; h.name == row.Key && epoch > highest {
				owner, highest = h, epoch
			}
		}
	}
	return owner
}
