package adapter

import (
	"maps"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// coldLoadDuration is the expected time of loading an adapter from the weight
	// store, and warmLoadDuration that of loading it from the engine's own
	// memory.
	coldLoadDuration = 250 * time.Millisecond
	warmLoadDuration = 25 * time.Millisecond
	// loadPollInterval is the time between two checks whether an adapter load is
	// complete.
	loadPollInterval = 30 * time.Millisecond
	// modelPollInterval is the time between two checks whether a base model load
	// is complete.
	modelPollInterval = 150 * time.Millisecond
	// typicalReportAge is how far the values of an engine's report usually lag
	// behind the engine's state.
	typicalReportAge = 500 * time.Millisecond
	// staleReportTimeout is how long reports with fewer orders than the engine
	// has accepted are ignored as outdated. After it they mean that the engine
	// has restarted.
	staleReportTimeout = 1500 * time.Millisecond
	// After maxUnansweredOrders consecutive orders without an answer a report is
	// read to check whether the engine is alive. After maxFailedReports
	// consecutive failed reports the engine counts as unreachable and refuses its
	// requests.
	maxUnansweredOrders = 3
	maxFailedReports    = 2
	// loadTimeout is the age of a load from which a refused status check no
	// longer means that the engine is still loading: the load is dropped and the
	// engine's report read again.
	loadTimeout = 4 * time.Second
)

// An engine is the Controller's record of one controlled engine. Only the
// goroutine of Run uses it.
type engine struct {
	server *site.Server
	region string
	epoch  uint64
	// stateKnown means that a report was applied since the engine's start, and
	// reportCurrent that no new report is needed before the next order.
	// reportedAt is the time of the last applied report.
	stateKnown    bool
	reportCurrent bool
	reportedAt    time.Time
	// acceptedOrders is the number of orders that the engine has accepted since
	// its start, as far as known. Each order states it as the expected count.
	acceptedOrders int
	// loaded holds the version of each loaded adapter and base model; loads are the
	// ones being loaded.
	loaded map[site.Adapter]int
	loads  map[site.Adapter]*load
	// cached holds the adapters that the engine has held since its start. It can
	// load them again from its own memory.
	cached map[site.Adapter]bool
	// lastUsed is the time of the last request or load of each adapter.
	lastUsed map[site.Adapter]time.Time
	// unconfirmedLoads are load orders without an answer. The engine may still
	// carry them out, so each occupies a slot until the engine has accepted
	// another order.
	unconfirmedLoads map[site.Adapter]bool
	// orderToRepeat is the last order if it got no answer. Sending it again
	// either gets an answer or, because it raises the count of accepted orders,
	// makes the engine refuse a late copy of the first one.
	orderToRepeat *site.Order
	// staleSince is the time of the first of the latest consecutive reports with
	// fewer orders than the engine has accepted; zero if the last report was not
	// stale.
	staleSince time.Time
	// pending are the requests that wait for a load or an admission, in the order
	// in which they are considered.
	pending []*pendingRequest
	running *runningCounts
	// uses counts the uses of adapters by region, to decide on replicas.
	uses map[adapterUse]int
	// limit admits requests at the rate that the engine states.
	limit requestLimit
	// admissions are the prompts admitted within the last loadWindow, by ascending time.
	admissions []admission
	readRate   readRate
	// lessUrgentDue is when the next less urgent request may go before more urgent ones.
	lessUrgentDue time.Time
	// slots measures how long requests wait for an adapter slot. capacity is the number of
	// adapters that fit, as of the last request.
	slots    slotTurnover
	capacity int
	// unansweredOrders counts the consecutive orders without an answer, and
	// failedReports the consecutive failed reports.
	unansweredOrders, failedReports int
	// callInFlight means that an order or the reading of a report is in progress.
	callInFlight bool
	// nextOrderAt is the earliest time of the next order or report after one that
	// was refused or failed.
	nextOrderAt time.Time
}

// A load is an accepted load order that is not yet known to be complete.
type load struct {
	version int
	// warm means that the engine loads the adapter from its own memory.
	warm      bool
	startedAt time.Time
	pollAt    time.Time
}

func newEngine(server *site.Server, region string, epoch uint64) *engine {
	return &engine{
		server:           server,
		region:           region,
		epoch:            epoch,
		loaded:           make(map[site.Adapter]int),
		loads:            make(map[site.Adapter]*load),
		cached:           make(map[site.Adapter]bool),
		lastUsed:         make(map[site.Adapter]time.Time),
		unconfirmedLoads: make(map[site.Adapter]bool),
		running:          newRunningCounts(),
		uses:             make(map[adapterUse]int),
		readRate:         readRate{tokensPerMilli: initialReadRate},
		slots:            slotTurnover{interval: initialSlotInterval},
	}
}

func (e *engine) residency(sequence uint64) site.Residency {
	return site.Residency{Server: e.server.Incarnation, Epoch: e.epoch, Sequence: sequence, Adapters: maps.Clone(e.loaded)}
}

// applyReport replaces the recorded state by the engine's report. A report with
// fewer orders than the engine has accepted is outdated and ignored until
// staleReportTimeout.
func (e *engine) applyReport(report site.EngineReport, now time.Time) {
	if report.AcceptedOrderCount < e.acceptedOrders {
		if e.staleSince.IsZero() {
			e.staleSince = now
		}
		if now.Sub(e.staleSince) < staleReportTimeout {
			e.nextOrderAt = now.Add(orderRetryDelay)
			return
		}
	}
	e.staleSince = time.Time{}
	if report.AcceptedOrderCount != e.acceptedOrders {
		clear(e.unconfirmedLoads)
		e.orderToRepeat = nil
	}
	e.acceptedOrders = report.AcceptedOrderCount
	e.stateKnown, e.reportCurrent, e.reportedAt = true, true, now
	e.loaded = make(map[site.Adapter]int)
	for _, m := range report.LoadedModels {
		e.loaded[site.Adapter{Model: m.Name}] = m.Version
		for name, version := range m.Adapters {
			adapter := site.Adapter{Model: m.Name, Name: name}
			e.loaded[adapter] = version
			e.cached[adapter] = true
		}
	}
	for adapter, l := range e.loads {
		if version, ok := e.loaded[adapter]; ok && version >= l.version || report.LoadingAdapters[adapter] == 0 && adapter.Name != "" {
			delete(e.loads, adapter)
		}
	}
	for adapter, version := range report.LoadingAdapters {
		if e.loads[adapter] == nil {
			e.loads[adapter] = &load{version: version, startedAt: now, pollAt: now.Add(coldLoadDuration)}
		}
	}
	e.admitPending(now)
}

// occupiedSlots returns the number of adapter slots that are or may be in use.
func (e *engine) occupiedSlots() int {
	count := 0
	for adapter := range e.loaded {
		if adapter.Name != "" {
			count++
		}
	}
	for adapter := range e.loads {
		if _, held := e.loaded[adapter]; adapter.Name != "" && !held {
			count++
		}
	}
	for adapter := range e.unconfirmedLoads {
		if _, held := e.loaded[adapter]; !held && e.loads[adapter] == nil {
			count++
		}
	}
	return count
}

// loadCounts returns the number of adapters that are being loaded, and how many
// of them come from the weight store.
func (e *engine) loadCounts() (all, cold int) {
	for adapter, l := range e.loads {
		if adapter.Name == "" {
			continue
		}
		all++
		if !l.warm {
			cold++
		}
	}
	return all, cold
}

// modelLoadCount returns the number of base models that are being loaded.
func (e *engine) modelLoadCount() int {
	count := 0
	for adapter := range e.loads {
		if adapter.Name == "" {
			count++
		}
	}
	return count
}

// canProvide reports whether the adapter is loaded or being loaded, or would get
// a slot in addition to those that earlier pending requests need. capacity is the
// number of adapters that fit on the engine.
func (e *engine) canProvide(r site.PlaceRequest, capacity int, now time.Time) bool {
	_, held := e.loaded[r.Adapter]
	if held || e.loads[r.Adapter] != nil {
		return true
	}
	missing := make(map[site.Adapter]bool)
	for _, d := range e.pending {
		if _, held := e.loaded[d.request.Adapter]; !held && e.loads[d.request.Adapter] == nil {
			missing[d.request.Adapter] = true
		}
	}
	if missing[r.Adapter] {
		return true
	}
	free := capacity - e.occupiedSlots()
	for adapter := range e.loaded {
		if adapter.Name != "" && e.loads[adapter] == nil && !e.running.inUse(adapter, now) {
			free++
		}
	}
	return free > len(missing)
}

// evictionCandidate returns the least recently used adapter among those that are
// not in use. The unload of an adapter in use would wait for its requests and
// keep the slot meanwhile.
func (e *engine) evictionCandidate(now time.Time) (site.Adapter, bool) {
	var best site.Adapter
	found := false
	for adapter := range e.loaded {
		if adapter.Name == "" || e.loads[adapter] != nil || e.running.inUse(adapter, now) {
			continue
		}
		if !found || e.lastUsed[adapter].Before(e.lastUsed[best]) {
			best, found = adapter, true
		}
	}
	return best, found
}
