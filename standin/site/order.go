package site

import (
	"encoding/json"
	"net/http"
	"time"
)

// An order is the body of an order.
type order struct {
	OpType       string `json:"opType"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Version      int    `json:"version"`
	Expect       *int   `json:"expect"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fencingToken"`
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&o) != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.checkHolder(o)
	// Giving an order again that is being carried out changes nothing.
	if a := s.adapters[o.Adapter]; o.OpType == "load" && a != nil && !a.leaving && a.version >= s.wanted(o) {
		if a.ready {
			w.WriteHeader(http.StatusOK)
		} else {
			w.WriteHeader(http.StatusAccepted)
		}
		return
	}
	if o.OpType == "load" && o.Adapter == "" && s.model {
		w.WriteHeader(http.StatusOK)
		return
	}
	if s.loading || o.Expect != nil && *o.Expect != s.accepted {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(s.carryOut(o))
}

// checkHolder records orders that two holders give in turns. The mutex is held.
func (s *Server) checkHolder(o order) {
	if o.FencingToken < s.fence || o.FencingToken == s.fence && o.Holder != s.holder {
		s.Record(Record{Kind: Fault, Server: s.ID, Born: s.Born, Reason: "order of " + o.Holder + " after one of " + s.holder + " with a higher or the same epoch"})
	}
	if o.FencingToken > s.fence {
		s.fence, s.holder = o.FencingToken, o.Holder
	}
}

// wanted returns the version that an order asks for.
func (s *Server) wanted(o order) int {
	if o.Version > 0 {
		return o.Version
	}
	return s.Versions(o.Adapter)
}

// carryOut carries an order out and returns the status. The mutex is held.
func (s *Server) carryOut(o order) int {
	switch {
	case o.Model != s.Model || o.OpType != "load" && o.OpType != "unload":
		return http.StatusBadRequest
	case o.Adapter == "" && o.OpType == "load":
		s.accepted++
		s.loading = true
		time.AfterFunc(s.ModelLoad, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.loading, s.model = false, true
		})
		return http.StatusAccepted
	case !s.model || o.Adapter == "":
		return http.StatusMisdirectedRequest
	case o.OpType == "unload":
		return s.unload(o.Adapter)
	}
	return s.load(o)
}

// load begins a load. An order beyond the slots crashes an engine; here it is
// recorded and refused.
func (s *Server) load(o order) int {
	coming := 0
	for _, a := range s.adapters {
		if !a.ready {
			coming++
		}
	}
	if coming >= transit {
		return http.StatusConflict
	}
	former := s.adapters[o.Adapter]
	if former == nil && len(s.adapters) >= s.AdapterSlots {
		s.Record(Record{Kind: Fault, Server: s.ID, Born: s.Born, Reason: "load of " + o.Adapter + " beyond the slots"})
		return http.StatusConflict
	}
	s.accepted++
	loaded := &adapter{version: s.wanted(o)}
	if former != nil {
		// A replacement takes the slot at once; runs on the former one go on.
		loaded.runs = former.runs
	}
	s.adapters[o.Adapter] = loaded
	time.AfterFunc(s.AdapterLoad, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		loaded.ready = true
	})
	return http.StatusAccepted
}

func (s *Server) unload(name string) int {
	a := s.adapters[name]
	if a == nil {
		return http.StatusOK
	}
	s.accepted++
	if a.runs > 0 {
		a.leaving = true
		return http.StatusAccepted
	}
	delete(s.adapters, name)
	return http.StatusOK
}
