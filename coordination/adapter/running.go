package adapter

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// hostMemory is how long the requests of a host count after its last word.
	hostMemory = 4 * time.Second
	// unreportedLimit is how long a request counts as running without being in a
	// report of its host. Hosts of the region report every 0.6 s.
	unreportedLimit = 800 * time.Millisecond
)

// runningCounts are the requests that run on one engine, as hosts tell of them. The
// duty owns it.
type runningCounts struct {
	// hosts has the requests of each host by adapter, as it told last and with
	// the turns since.
	hosts map[string]map[site.Adapter]int
	// heard is when each host was heard of last.
	heard map[string]time.Time
	// adapters sums hosts by adapter, and total over all of them.
	adapters map[site.Adapter]int
	total    int
	// began is when the last request of each adapter had its turn, and turned when
	// the last one of each host had.
	began  map[site.Adapter]time.Time
	turned map[string]time.Time
}

func newRuns() *runningCounts {
	return &runningCounts{
		hosts:    make(map[string]map[site.Adapter]int),
		heard:    make(map[string]time.Time),
		adapters: make(map[site.Adapter]int),
		began:    make(map[site.Adapter]time.Time),
		turned:   make(map[string]time.Time),
	}
}

// begin counts a request that had its turn.
func (r *runningCounts) begin(host string, adapter site.Adapter, now time.Time) {
	if r.hosts[host] == nil {
		r.hosts[host] = make(map[site.Adapter]int)
	}
	r.hosts[host][adapter]++
	r.add(adapter, 1)
	r.began[adapter] = now
	r.turned[host] = now
	if _, ok := r.heard[host]; !ok {
		// A host that dies before its first report is forgotten like any other.
		r.heard[host] = now
	}
}

// report replaces the requests of a host.
func (r *runningCounts) report(host string, adapters map[site.Adapter]int) {
	for adapter, count := range r.hosts[host] {
		r.add(adapter, -count)
	}
	told := make(map[site.Adapter]int, len(adapters))
	for adapter, count := range adapters {
		told[adapter] = count
		r.add(adapter, count)
	}
	r.hosts[host] = told
}

// unmentioned takes over that a host's report had nothing about the engine. Turns
// that the host never learned of end with it.
func (r *runningCounts) unmentioned(host string, now time.Time) {
	if len(r.hosts[host]) > 0 && now.Sub(r.turned[host]) >= unreportedLimit {
		r.report(host, nil)
	}
}

func (r *runningCounts) add(adapter site.Adapter, count int) {
	r.total += count
	r.adapters[adapter] += count
	if r.adapters[adapter] == 0 {
		delete(r.adapters, adapter)
	}
}

// inUse says whether requests for the adapter run, or began so lately that
// their host may not have told.
func (r *runningCounts) inUse(adapter site.Adapter, now time.Time) bool {
	return r.adapters[adapter] > 0 || now.Sub(r.began[adapter]) < unreportedLimit
}

// forget drops the requests of hosts that are silent: they have ended, or can no
// longer report their ends.
func (r *runningCounts) forget(now time.Time) {
	for host, at := range r.heard {
		if now.Sub(at) > hostMemory {
			r.report(host, nil)
			delete(r.heard, host)
			delete(r.hosts, host)
			delete(r.turned, host)
		}
	}
	for adapter, at := range r.began {
		if now.Sub(at) > hostMemory {
			delete(r.began, adapter)
		}
	}
}
