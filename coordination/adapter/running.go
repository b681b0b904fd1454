package adapter

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// hostReportTimeout is how long the requests of a host count as running after
	// the host's last report.
	hostReportTimeout = 4 * time.Second
	// unreportedTimeout is how long an admitted request counts as running without
	// being in a report of its host. Hosts of the same region report every 0.6 s.
	unreportedTimeout = 800 * time.Millisecond
)

// A runningCounts counts the requests that run on one engine, from admissions and
// from the reports of hosts. The goroutine of the Controller's Run owns it.
type runningCounts struct {
	// byHost counts the requests of each host by adapter: those of the host's last
	// report and those admitted since.
	byHost map[string]map[site.Adapter]int
	// lastHeard is the time of the last report of each host, or of its first
	// admission if it has not reported yet.
	lastHeard map[string]time.Time
	// byAdapter is the sum of byHost by adapter, and total the sum over all
	// adapters.
	byAdapter map[site.Adapter]int
	total     int
	// lastAdmitted is the time of the last admission of a request for each adapter.
	// lastAdmittedFrom is the time of the last admission of a request from each
	// host.
	lastAdmitted     map[site.Adapter]time.Time
	lastAdmittedFrom map[string]time.Time
	// open is the number of admissions for each adapter whose ends have not been reported.
	// A lost report leaves it too high until the adapter has not been used for a while.
	open map[site.Adapter]int
}

func newRunningCounts() *runningCounts {
	return &runningCounts{
		byHost:           make(map[string]map[site.Adapter]int),
		lastHeard:        make(map[string]time.Time),
		byAdapter:        make(map[site.Adapter]int),
		lastAdmitted:     make(map[site.Adapter]time.Time),
		lastAdmittedFrom: make(map[string]time.Time),
		open:             make(map[site.Adapter]int),
	}
}

// recordAdmission counts an admitted request as running.
func (r *runningCounts) recordAdmission(host string, adapter site.Adapter, now time.Time) {
	if r.byHost[host] == nil {
		r.byHost[host] = make(map[site.Adapter]int)
	}
	if !r.inUse(adapter, now) {
		delete(r.open, adapter)
	}
	r.open[adapter]++
	r.byHost[host][adapter]++
	r.add(adapter, 1)
	r.lastAdmitted[adapter] = now
	r.lastAdmittedFrom[host] = now
	if _, ok := r.lastHeard[host]; !ok {
		// A host that fails before its first report times out like any other.
		r.lastHeard[host] = now
	}
}

// recordEnds records that requests for the adapter have ended. When the ends of all admissions
// are known, the adapter is free without waiting for reports. Before that the counts are left
// to the reports, which may include the same ends.
func (r *runningCounts) recordEnds(adapter site.Adapter, count int) {
	if _, ok := r.open[adapter]; !ok {
		return
	}
	r.open[adapter] -= count
	if r.open[adapter] > 0 {
		return
	}
	delete(r.open, adapter)
	delete(r.lastAdmitted, adapter)
	for _, adapters := range r.byHost {
		if known := adapters[adapter]; known > 0 {
			delete(adapters, adapter)
			r.add(adapter, -known)
		}
	}
}

// replaceHost replaces the running requests of a host.
func (r *runningCounts) replaceHost(host string, adapters map[site.Adapter]int) {
	for adapter, count := range r.byHost[host] {
		r.add(adapter, -count)
	}
	copied := make(map[site.Adapter]int, len(adapters))
	for adapter, count := range adapters {
		copied[adapter] = count
		r.add(adapter, count)
	}
	r.byHost[host] = copied
}

// dropUnreported handles a report of a host that did not mention the engine. Once
// unreportedTimeout has passed since the host's last admission, its requests no
// longer count as running. This includes admissions whose replies never reached
// the host.
func (r *runningCounts) dropUnreported(host string, now time.Time) {
	if len(r.byHost[host]) > 0 && now.Sub(r.lastAdmittedFrom[host]) >= unreportedTimeout {
		r.replaceHost(host, nil)
	}
}

func (r *runningCounts) add(adapter site.Adapter, count int) {
	r.total += count
	r.byAdapter[adapter] += count
	if r.byAdapter[adapter] == 0 {
		delete(r.byAdapter, adapter)
	}
}

// inUse reports whether requests for the adapter run, or were admitted so
// recently that their host may not have reported them yet.
func (r *runningCounts) inUse(adapter site.Adapter, now time.Time) bool {
	return r.byAdapter[adapter] > 0 || now.Sub(r.lastAdmitted[adapter]) < unreportedTimeout
}

// dropSilentHosts removes the requests of hosts that have not reported for
// hostReportTimeout: the requests have ended, or the hosts can no longer report
// their end.
func (r *runningCounts) dropSilentHosts(now time.Time) {
	for host, at := range r.lastHeard {
		if now.Sub(at) > hostReportTimeout {
			r.replaceHost(host, nil)
			delete(r.lastHeard, host)
			delete(r.byHost, host)
			delete(r.lastAdmittedFrom, host)
		}
	}
	for adapter, at := range r.lastAdmitted {
		if now.Sub(at) > hostReportTimeout {
			delete(r.lastAdmitted, adapter)
		}
	}
}
