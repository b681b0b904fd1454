package adapter

import (
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

// A fakeEngine carries orders out as engines of the platform do.
type fakeEngine struct {
	slots    int
	accepted int
	held     map[site.Adapter]int
	ready    map[site.Adapter]time.Time
	versions map[site.Adapter]int
	inUse    map[site.Adapter]bool
	// mute makes the next orders go unanswered and not carried out.
	mute int
	// late keeps the unanswered orders, to be carried out later.
	late []site.Order
	// crashed says that more was loaded than fits.
	crashed bool
	// cold and warm count the loads by their source.
	cold, warm int
	orders     []site.Order
	seen       map[site.Adapter]bool
}

func newFakeEngine(slots int) *fakeEngine {
	return &fakeEngine{
		slots:    slots,
		held:     map[site.Adapter]int{{Model: testModel}: 1},
		ready:    map[site.Adapter]time.Time{},
		versions: map[site.Adapter]int{},
		inUse:    map[site.Adapter]bool{},
		seen:     map[site.Adapter]bool{},
	}
}

func (f *fakeEngine) settle() {
	for adapter, at := range f.ready {
		if !time.Now().Before(at) {
			f.held[adapter] = max(f.versions[adapter], 1)
			delete(f.ready, adapter)
		}
	}
}

// carry does what the order asks for.
func (f *fakeEngine) carry(o site.Order) site.OrderOutcome {
	f.settle()
	_, held := f.held[o.Adapter]
	switch {
	case o.Unload && !held, !o.Unload && held && f.held[o.Adapter] >= max(o.Version, f.versions[o.Adapter]):
		return site.OrderAlreadySatisfied
	case o.ExpectedOrderCount != f.accepted:
		return site.OrderConflict
	}
	if _, coming := f.ready[o.Adapter]; coming {
		return site.OrderConflict
	}
	f.accepted++
	if o.Unload {
		delete(f.held, o.Adapter)
		return site.OrderAlreadySatisfied
	}
	f.versions[o.Adapter] = max(o.Version, f.versions[o.Adapter])
	duration := coldLoad
	if f.seen[o.Adapter] {
		duration = warmLoad
		f.warm++
	} else {
		f.cold++
	}
	f.seen[o.Adapter] = true
	f.ready[o.Adapter] = time.Now().Add(duration)
	if len(f.held)-1+len(f.ready) > f.slots {
		f.crashed = true
	}
	return site.OrderAccepted
}

// A fakeSite has engines, a view and a tenure.
type fakeSite struct {
	mutex   sync.Mutex
	engines map[site.ServerID]*fakeEngine
	view    *site.View
	epoch   uint64
	held    bool
	// silent makes reports fail.
	silent  bool
	learned map[site.ServerID]site.Residency
}

var errMute = errors.New("no answer")

func (f *fakeSite) SendOrder(_ context.Context, server *site.Server, o site.Order) (site.OrderOutcome, error) {
	time.Sleep(time.Millisecond)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	e := f.engines[server.ID]
	e.orders = append(e.orders, o)
	if e.mute > 0 {
		e.mute--
		e.late = append(e.late, o)
		return site.OrderUnknown, errMute
	}
	return e.carry(o), nil
}

func (f *fakeSite) ReadReport(_ context.Context, server *site.Server) (site.EngineReport, error) {
	time.Sleep(time.Millisecond)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.silent {
		return site.EngineReport{}, errMute
	}
	e := f.engines[server.ID]
	e.settle()
	model := site.LoadedModel{Name: testModel, Version: 1, Adapters: map[string]int{}}
	for adapter, version := range e.held {
		if adapter.Name != "" {
			model.Adapters[adapter.Name] = version
		}
	}
	report := site.EngineReport{AcceptedOrderCount: e.accepted, LoadingAdapters: map[site.Adapter]int{}}
	if _, ok := e.held[site.Adapter{Model: testModel}]; ok {
		report.LoadedModels = []site.LoadedModel{model}
	}
	for adapter := range e.ready {
		report.LoadingAdapters[adapter] = max(e.versions[adapter], 1)
	}
	return report, nil
}

func (f *fakeSite) OrderEpoch(string) (uint64, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.epoch, f.held
}

func (f *fakeSite) View() *site.View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view
}

func (f *fakeSite) UpdateRunningCounts(map[site.ServerID]int) {}

func (f *fakeSite) InFlight(map[string]bool) []site.InFlight { return nil }

func (f *fakeSite) UpdateResidency(r site.Residency) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.learned[r.Server.ID] = r
	return true
}

// newFakeSite returns a site with one service of engines of the given slots.
func newFakeSite(engines, slots int) *fakeSite {
	f := &fakeSite{engines: map[site.ServerID]*fakeEngine{}, epoch: 1, held: true, learned: map[site.ServerID]site.Residency{}}
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

func lora(i int) site.Adapter {
	return site.Adapter{Model: testModel, Name: fmt.Sprintf("a%d", i)}
}

// with runs a test against a Controller of the site in virtual time.
func with(t *testing.T, f *fakeSite, test func(c *quicktest.C, o *Controller)) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		o := &Controller{Host: "host", Engines: f, Leases: f, Views: f, Balancer: f, Log: zerolog.Nop()}
		done := make(chan error, 1)
		go func() { done <- o.Run(context.Background()) }()
		time.Sleep(2 * tick)
		test(c, o)
		c.Assert(o.Close(), quicktest.IsNil)
		c.Assert(<-done, quicktest.IsNil)
	})
}

// place asks for an adapter on an engine.
func place(o *Controller, f *fakeSite, id site.ServerID, adapter site.Adapter, maxWait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	_, err := o.Place(ctx, site.PlaceRequest{Server: f.View().Servers[id].Incarnation, Adapter: adapter, MaxWait: maxWait, Prefetch: true})
	return err
}
