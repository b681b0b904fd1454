package site

import (
	"encoding/json"
	"net/http"
	"time"
)

// maxOrderBytes bounds the body of an order.
const maxOrderBytes = 1 << 16

// An order is the JSON body of an order to load or unload a model or an adapter.
type order struct {
	OpType       string `json:"opType"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Version      int    `json:"version"`
	Expect       *int   `json:"expect"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fencingToken"`
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&o) != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.checkHolder(o)
	// A repeated order for a load that is under way or done changes nothing.
	if a := s.adapters[o.Adapter]; o.OpType == "load" && a != nil && !a.unloading && a.version >= s.requestedVersion(o) {
		if a.ready {
			w.WriteHeader(http.StatusOK)
		} else {
			w.WriteHeader(http.StatusAccepted)
		}
		return
	}
	if o.OpType == "load" && o.Adapter == "" && s.modelLoaded {
		w.WriteHeader(http.StatusOK)
		return
	}
	if s.modelLoading || o.Expect != nil && *o.Expect != s.acceptedOrders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(s.execute(o))
}

// checkHolder records an order with a fencing token below the highest one so far, and
// one whose token another holder has used: only one host at a time may send orders. The
// mutex is held.
func (s *Server) checkHolder(o order) {
	if o.FencingToken < s.fencingToken || o.FencingToken == s.fencingToken && o.Holder != s.holder {
		s.Record(Record{Kind: Fault, Server: s.ID, Born: s.Born, Reason: "order of " + o.Holder + " after one of " + s.holder + " with a higher or the same epoch"})
	}
	if o.FencingToken > s.fencingToken {
		s.fencingToken, s.holder = o.FencingToken, o.Holder
	}
}

// requestedVersion returns the adapter version that an order loads: its own, or the
// newest declared one if it names none.
func (s *Server) requestedVersion(o order) int {
	if o.Version > 0 {
		return o.Version
	}
	return s.Versions(o.Adapter)
}

// execute carries out an order and returns the HTTP status of the answer. The mutex is
// held.
func (s *Server) execute(o order) int {
	switch {
	case o.Model != s.Model || o.OpType != "load" && o.OpType != "unload":
		return http.StatusBadRequest
	case o.Adapter == "" && o.OpType == "load":
		s.acceptedOrders++
		s.modelLoading = true
		time.AfterFunc(s.ModelLoadDuration, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.modelLoading, s.modelLoaded = false, true
		})
		return http.StatusAccepted
	case !s.modelLoaded || o.Adapter == "":
		return http.StatusMisdirectedRequest
	case o.OpType == "unload":
		return s.unloadAdapter(o.Adapter)
	}
	return s.loadAdapter(o)
}

// loadAdapter starts the load of an adapter and returns the HTTP status of the answer.
// A load without a free slot crashes a real engine; here it is recorded and refused. The
// mutex is held.
func (s *Server) loadAdapter(o order) int {
	loading := 0
	for _, a := range s.adapters {
		if !a.ready {
			loading++
		}
	}
	if loading >= maxConcurrentAdapterLoads {
		return http.StatusConflict
	}
	previous := s.adapters[o.Adapter]
	if previous == nil && len(s.adapters) >= s.AdapterSlots {
		s.Record(Record{Kind: Fault, Server: s.ID, Born: s.Born, Reason: "load of " + o.Adapter + " beyond the slots"})
		return http.StatusConflict
	}
	s.acceptedOrders++
	loaded := &adapter{version: s.requestedVersion(o)}
	if previous != nil {
		// The new version takes over the slot at once. Requests on the previous
		// version go on and are counted on the new one.
		loaded.activeRequests = previous.activeRequests
	}
	s.adapters[o.Adapter] = loaded
	time.AfterFunc(s.AdapterLoadDuration, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		loaded.ready = true
	})
	return http.StatusAccepted
}

// unloadAdapter removes an adapter, or marks it for removal after its last request, and
// returns the HTTP status of the answer. The mutex is held.
func (s *Server) unloadAdapter(name string) int {
	a := s.adapters[name]
	if a == nil {
		return http.StatusOK
	}
	s.acceptedOrders++
	if a.activeRequests > 0 {
		a.unloading = true
		return http.StatusAccepted
	}
	delete(s.adapters, name)
	return http.StatusOK
}
