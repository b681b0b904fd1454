package adapter

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	// coldLoad is the expected time of a load from the weight store, and warmLoad
	// that of one from the engine's own memory.
	coldLoad = 250 * time.Millisecond
	warmLoad = 25 * time.Millisecond
	// pollPause is the time between two looks whether a load is complete.
	pollPause = 30 * time.Millisecond
	// modelPoll is the same for a base model.
	modelPoll = 150 * time.Millisecond
	// reportLag is how old the values of a report are in most cases.
	reportLag = 500 * time.Millisecond
	// staleLimit is the time after which a report with fewer orders than were
	// accepted is believed: the engine has restarted.
	staleLimit = 1500 * time.Millisecond
	// unansweredOrders is the number of orders in a row without an answer after
	// which a report shows whether the engine lives, and silentReports the number
	// of failed reports from which it gets no demands.
	unansweredOrders = 3
	silentReports    = 2
	// loadLimit is the time after which the state of a load is read anew.
	loadLimit = 4 * time.Second
)

// An engine is what the duty knows of one engine. The duty owns it.
type engine struct {
	server *site.Server
	region string
	epoch  uint64
	// known says that a report was taken over since the engine's start, and read
	// that none is needed before the next order.
	known    bool
	read     bool
	readAt   time.Time
	accepted int
	held     map[site.Adapter]int
	loads    map[site.Adapter]*load
	// recent has the adapters that the engine held since its start, which it can
	// load again from its own memory.
	recent map[site.Adapter]bool
	used   map[site.Adapter]time.Time
	// doubts are loads without an answer. They may be carried out, and take a
	// slot, until the engine has accepted another order.
	doubts map[site.Adapter]bool
	// again is an order without an answer. Giving it again either gets an answer
	// or makes the engine refuse the first one, should that be carried out later.
	again *site.Order
	// stale is when the first report came that was older than an accepted order.
	stale  time.Time
	wanted []*demand
	runs   *runningCounts
	// asked counts the uses of adapters by region, for copies.
	asked map[asking]int
	// turns are the prompts that were let in within the window.
	turns []turn
	// unanswered counts the orders in a row without an answer, and silent the
	// reports.
	unanswered, silent int
	// busy says that an order or a report is in flight.
	busy bool
	// notBefore is when the next order may be given after a refused one.
	notBefore time.Time
}

// A load is an accepted order that is not known to be complete.
type load struct {
	version int
	// warm says that the adapter comes from the engine's own memory.
	warm  bool
	began time.Time
	due   time.Time
}

func newEngine(server *site.Server, region string, epoch uint64) *engine {
	return &engine{
		server: server,
		region: region,
		epoch:  epoch,
		held:   make(map[site.Adapter]int),
		loads:  make(map[site.Adapter]*load),
		recent: make(map[site.Adapter]bool),
		used:   make(map[site.Adapter]time.Time),
		doubts: make(map[site.Adapter]bool),
		runs:   newRuns(),
		asked:  make(map[asking]int),
	}
}

func (e *engine) residency(sequence uint64) site.Residency {
	return site.Residency{Server: e.server.Incarnation, Epoch: e.epoch, Sequence: sequence, Adapters: maps.Clone(e.held)}
}

// takeReport replaces what is believed by what the engine said. A report that is
// older than the last accepted order is left out.
func (e *engine) takeReport(report site.EngineReport, now time.Time) {
	if report.AcceptedOrderCount < e.accepted {
		if e.stale.IsZero() {
			e.stale = now
		}
		if now.Sub(e.stale) < staleLimit {
			e.notBefore = now.Add(refusedPause)
			return
		}
	}
	e.stale = time.Time{}
	if report.AcceptedOrderCount != e.accepted {
		clear(e.doubts)
		e.again = nil
	}
	e.accepted = report.AcceptedOrderCount
	e.known, e.read, e.readAt = true, true, now
	e.held = make(map[site.Adapter]int)
	for _, m := range report.LoadedModels {
		e.held[site.Adapter{Model: m.Name}] = m.Version
		for name, version := range m.Adapters {
			adapter := site.Adapter{Model: m.Name, Name: name}
			e.held[adapter] = version
			e.recent[adapter] = true
		}
	}
	for adapter, l := range e.loads {
		if version, ok := e.held[adapter]; ok && version >= l.version || report.LoadingAdapters[adapter] == 0 && adapter.Name != "" {
			delete(e.loads, adapter)
		}
	}
	for adapter, version := range report.LoadingAdapters {
		if e.loads[adapter] == nil {
			e.loads[adapter] = &load{version: version, began: now, due: now.Add(coldLoad)}
		}
	}
	e.serve(now)
}

// demand answers at once if the adapter is loaded, refuses at once if no turn can
// be had soon and the request can be tried elsewhere, and queues otherwise. room is
// the number of adapters that fit on the engine.
func (e *engine) demand(d *demand, room int, now time.Time) {
	if d.request.AdapterMissing && e.read && now.Sub(e.readAt) > reportLag {
		// The engine denied what is believed here, so the belief is read anew.
		if _, ok := e.held[d.request.Adapter]; ok {
			e.read = false
		}
	}
	if e.unreachable() {
		d.reply <- answer{err: e.notAnswering()}
		return
	}
	e.used[d.request.Adapter] = now
	if !d.request.MayQueue && !d.request.Prefetch && e.known && e.full() {
		d.reply <- answer{err: verdict.NewNotRun(verdict.CodeOverloaded, "engine %s is full", e.server.ID)}
		return
	}
	if !d.request.MayQueue && !d.request.Prefetch && e.known && !e.reachable(d.request, room, now) {
		d.reply <- answer{err: verdict.NewNotRun(verdict.CodeOverloaded, "all adapter slots of engine %s are in use", e.server.ID)}
		return
	}
	e.wanted = append(e.wanted, d)
	e.sort(now)
	e.serve(now)
}

// sort puts the demands in the order in which they are met: by priority, and those
// that can still be answered in time before those that are late anyway. In order
// of arrival alone, all are late once more arrive than can be met.
func (e *engine) sort(now time.Time) {
	slices.SortStableFunc(e.wanted, func(a, b *demand) int {
		if by := a.request.Priority - b.request.Priority; by != 0 {
			return by
		}
		return a.late(now) - b.late(now)
	})
}

// late is 1 if the request is late whatever happens, and 0 otherwise.
func (d *demand) late(now time.Time) int {
	if now.After(d.due) {
		return 1
	}
	return 0
}

// has says whether the adapter is loaded in a version that will do.
func (e *engine) has(r site.PlaceRequest) bool {
	version, ok := e.held[r.Adapter]
	return ok && version >= r.MinVersion && e.loads[r.Adapter] == nil
}

// serve answers the demands whose adapters are loaded, in order, while the
// engine has room to read their prompts.
func (e *engine) serve(now time.Time) {
	if !e.known {
		return
	}
	full := false
	e.wanted = slices.DeleteFunc(e.wanted, func(d *demand) bool {
		if full || d.dead(now) || !e.has(d.request) {
			return false
		}
		if d.request.Prefetch {
			d.reply <- answer{}
			return true
		}
		if e.full() || !e.turn(d.request.PromptTokens, now) {
			full = true
			return false
		}
		e.used[d.request.Adapter] = now
		e.runs.begin(d.request.Host, d.request.Adapter, now)
		d.reply <- answer{placement: site.Placement{ReplicaWanted: e.worthCopy(d.request)}}
		return true
	})
}

// expire drops the demands that nobody waits for, so that no load is spent on them.
func (e *engine) expire(now time.Time) {
	e.wanted = slices.DeleteFunc(e.wanted, func(d *demand) bool {
		if !d.dead(now) {
			return false
		}
		d.reply <- answer{err: verdict.NewNotRun(verdict.CodeDeadline, "no turn on %s for adapter %s in time: %s", e.server.ID, d.request.Adapter.Name, e.obstacle(d.request, now))}
		return true
	})
}

// obstacle says what a demand waits for, for the log.
func (e *engine) obstacle(r site.PlaceRequest, now time.Time) string {
	_, idle := e.victim(now)
	l := e.loads[r.Adapter]
	switch {
	case !e.known:
		return "the engine's state is not known"
	case e.has(r) && e.full():
		return "the engine is full"
	case e.has(r):
		return "other prompts are being read"
	case l != nil:
		return fmt.Sprintf("its load began %d ms ago", now.Sub(l.began).Milliseconds())
	case !e.read:
		return "a report is due before the next order"
	case !idle:
		return "all adapter slots are in use"
	case e.again != nil:
		return "an order has no answer"
	default:
		return "its load was not ordered"
	}
}

// unreachable says whether the engine has left reports without an answer.
func (e *engine) unreachable() bool {
	return e.silent >= silentReports
}

func (e *engine) notAnswering() error {
	return verdict.NewNotRun(verdict.CodeBackendRefused, "engine %s does not answer", e.server.ID)
}

// accept counts an accepted order. Orders without an answer from before are void,
// because they expect an earlier number.
func (e *engine) accept() {
	e.accepted++
	e.again = nil
	clear(e.doubts)
}

func (e *engine) refuseAll(err error) {
	for _, d := range e.wanted {
		d.reply <- answer{err: err}
	}
	e.wanted = nil
}

// taken is the number of adapter slots that are in use or may be.
func (e *engine) taken() int {
	count := 0
	for adapter := range e.held {
		if adapter.Name != "" {
			count++
		}
	}
	for adapter := range e.loads {
		if _, held := e.held[adapter]; adapter.Name != "" && !held {
			count++
		}
	}
	for adapter := range e.doubts {
		if _, held := e.held[adapter]; !held && e.loads[adapter] == nil {
			count++
		}
	}
	return count
}

// transit is the number of adapters that are being loaded, and cold the number
// of those that come from the weight store.
func (e *engine) transit() (all, cold int) {
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

// modelLoads is the number of base models that are being loaded.
func (e *engine) modelLoads() int {
	count := 0
	for adapter := range e.loads {
		if adapter.Name == "" {
			count++
		}
	}
	return count
}

// reachable says whether the adapter is loaded or on its way, or a slot can be had
// for it beside those that earlier demands need.
func (e *engine) reachable(r site.PlaceRequest, room int, now time.Time) bool {
	_, held := e.held[r.Adapter]
	if held || e.loads[r.Adapter] != nil {
		return true
	}
	missing := make(map[site.Adapter]bool)
	for _, d := range e.wanted {
		if _, held := e.held[d.request.Adapter]; !held && e.loads[d.request.Adapter] == nil {
			missing[d.request.Adapter] = true
		}
	}
	if missing[r.Adapter] {
		return true
	}
	free := room - e.taken()
	for adapter := range e.held {
		if adapter.Name != "" && e.loads[adapter] == nil && !e.runs.inUse(adapter, now) {
			free++
		}
	}
	return free > len(missing)
}

// victim returns the adapter that was not used for the longest time. An unload of
// an adapter in use would wait for its runs and keep its slot meanwhile.
func (e *engine) victim(now time.Time) (site.Adapter, bool) {
	var best site.Adapter
	found := false
	for adapter := range e.held {
		if adapter.Name == "" || e.loads[adapter] != nil || e.runs.inUse(adapter, now) {
			continue
		}
		if !found || e.used[adapter].Before(e.used[best]) {
			best, found = adapter, true
		}
	}
	return best, found
}
