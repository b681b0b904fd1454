package adapter

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const testModel = "base"

// A fakeEngine carries out orders as the engines of the platform do. The mutex of
// its fakeSite guards it.
type fakeEngine struct {
	slots             int
	acceptedOrders    int
	loaded            map[site.Adapter]int
	readyAt           map[site.Adapter]time.Time
	requestedVersions map[site.Adapter]int
	inUse             map[site.Adapter]bool
	// ordersToIgnore is the number of next orders that are not carried out. Their outcome is
	// ignoredOutcome, or OrderUnknown if that is empty.
	ordersToIgnore int
	ignoredOutcome site.OrderOutcome
	// ignoredOrders are the ignored orders, which a test may carry out later.
	ignoredOrders []site.Order
	// crashed means that more adapters were loaded than fit.
	crashed bool
	// coldLoads counts the loads from the weight store, and warmLoads those from
	// the engine's own memory.
	coldLoads, warmLoads int
	orders               []site.Order
	loadedBefore         map[site.Adapter]bool
}

func newFakeEngine(slots int) *fakeEngine {
	return &fakeEngine{
		slots:             slots,
		loaded:            map[site.Adapter]int{{Model: testModel}: 1},
		readyAt:           map[site.Adapter]time.Time{},
		requestedVersions: map[site.Adapter]int{},
		inUse:             map[site.Adapter]bool{},
		loadedBefore:      map[site.Adapter]bool{},
	}
}

// finishLoads marks the adapters as loaded whose loading time has passed.
func (f *fakeEngine) finishLoads() {
	for adapter, at := range f.readyAt {
		if !time.Now().Before(at) {
			f.loaded[adapter] = max(f.requestedVersions[adapter], 1)
			delete(f.readyAt, adapter)
		}
	}
}

// execute carries out an order and returns its outcome.
func (f *fakeEngine) execute(o site.Order) site.OrderOutcome {
	f.finishLoads()
	_, held := f.loaded[o.Adapter]
	switch {
	case o.Unload && !held, !o.Unload && held && f.loaded[o.Adapter] >= max(o.Version, f.requestedVersions[o.Adapter]):
		return site.OrderAlreadySatisfied
	case o.ExpectedOrderCount != f.acceptedOrders:
		return site.OrderConflict
	}
	if _, coming := f.readyAt[o.Adapter]; coming {
		return site.OrderConflict
	}
	f.acceptedOrders++
	if o.Unload {
		delete(f.loaded, o.Adapter)
		return site.OrderAlreadySatisfied
	}
	f.requestedVersions[o.Adapter] = max(o.Version, f.requestedVersions[o.Adapter])
	duration := coldLoadDuration
	if f.loadedBefore[o.Adapter] {
		duration = warmLoadDuration
		f.warmLoads++
	} else {
		f.coldLoads++
	}
	f.loadedBefore[o.Adapter] = true
	f.readyAt[o.Adapter] = time.Now().Add(duration)
	if len(f.loaded)-1+len(f.readyAt) > f.slots {
		f.crashed = true
	}
	return site.OrderAccepted
}

// A fakeSite stands in for the engines, the view, the zone leases and the
// balancer of a Controller.
type fakeSite struct {
	mutex     sync.Mutex
	engines   map[site.ServerID]*fakeEngine
	view      *site.View
	epoch     uint64
	leaseHeld bool
	// reportsFail makes the reading of reports fail.
	reportsFail bool
	residencies map[site.ServerID]site.Residency
}

var errNoAnswer = errors.New("no answer")

func (f *fakeSite) SendOrder(_ context.Context, server *site.Server, o site.Order) (site.OrderOutcome, error) {
	time.Sleep(time.Millisecond)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	e := f.engines[server.ID]
	e.orders = append(e.orders, o)
	if e.ordersToIgnore > 0 {
		e.ordersToIgnore--
		e.ignoredOrders = append(e.ignoredOrders, o)
		return cmp.Or(e.ignoredOutcome, site.OrderUnknown), errNoAnswer
	}
	return e.execute(o), nil
}

func (f *fakeSite) ReadReport(_ context.Context, server *site.Server) (site.EngineReport, error) {
	time.Sleep(time.Millisecond)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.reportsFail {
		return site.EngineReport{}, errNoAnswer
	}
	e := f.engines[server.ID]
	e.finishLoads()
	model := site.LoadedModel{Name: testModel, Version: 1, Adapters: map[string]int{}}
	for adapter, version := range e.loaded {
		if adapter.Name != "" {
			model.Adapters[adapter.Name] = version
		}
	}
	report := site.EngineReport{AcceptedOrderCount: e.acceptedOrders, LoadingAdapters: map[site.Adapter]int{}}
	if _, ok := e.loaded[site.Adapter{Model: testModel}]; ok {
		report.LoadedModels = []site.LoadedModel{model}
	}
	for adapter := range e.readyAt {
		report.LoadingAdapters[adapter] = max(e.requestedVersions[adapter], 1)
	}
	return report, nil
}

func (f *fakeSite) OrderEpoch(string) (uint64, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.epoch, f.leaseHeld
}

func (f *fakeSite) View() *site.View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view
}

func (f *fakeSite) UpdateRunningCounts(map[site.ServerID]int) {}

func (f *fakeSite) IsAvailable(*site.Server) bool            { return true }
func (f *fakeSite) InFlight(map[string]bool) []site.InFlight { return nil }

func (f *fakeSite) UpdateResidency(r site.Residency) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.residencies[r.Server.ID] = r
	return true
}

// newFakeSite returns a site with one service that has the given number of
// engines, each with the given number of adapter slots.
func newFakeSite(engines, slots int) *fakeSite {
	f := &fakeSite{engines: map[site.ServerID]*fakeEngine{}, epoch: 1, leaseHeld: true, residencies: map[site.ServerID]site.Residency{}}
	f.view = &site.View{
		Desired: &site.DesiredState{Version: 1, Services: map[site.ServiceName]*site.Service{
			"writers": {Name: "writers", Engines: &site.EngineSpec{
				BatchSize: 8, MemoryMegabytes: 1000, AdapterSlots: slots,
				Models: []site.Model{{Name: testModel, WeightMegabytes: 500, AdapterMegabytes: 1, LoadTime: 2 * time.Second}},
			}},
		}},
		Servers:  map[site.ServerID]*site.Server{},
		Versions: map[site.Adapter]int{},
	}
	for i := range engines {
		id := site.ServerID(fmt.Sprintf("engine-%d", i))
		f.engines[id] = newFakeEngine(slots)
		f.view.Servers[id] = &site.Server{
			Incarnation: site.Incarnation{ID: id, StartUnixMilli: 1}, Service: "writers", Zone: "zone", State: site.Ready, MaxConcurrency: 8,
		}
	}
	f.view.BuildIndex()
	return f
}

// lora returns the adapter with the given number.
func lora(i int) site.Adapter {
	return site.Adapter{Model: testModel, Name: fmt.Sprintf("a%d", i)}
}

// runWithController runs a test with a running Controller of the site, in virtual
// time.
func runWithController(t *testing.T, f *fakeSite, test func(c *quicktest.C, o *Controller)) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		o := &Controller{Host: "host", Engines: f, Leases: f, Views: f, Balancer: f, Log: zerolog.Nop()}
		done := make(chan error, 1)
		go func() { done <- o.Run(context.Background()) }()
		time.Sleep(2 * loopInterval)
		test(c, o)
		c.Assert(o.Close(), quicktest.IsNil)
		c.Assert(<-done, quicktest.IsNil)
	})
}

// place requests that an adapter is loaded on an engine, and waits at most
// maxWait for it.
func place(o *Controller, f *fakeSite, id site.ServerID, adapter site.Adapter, maxWait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	_, err := o.Place(ctx, site.PlaceRequest{Server: f.View().Servers[id].Incarnation, Adapter: adapter, MaxWait: maxWait, Prefetch: true})
	return err
}
