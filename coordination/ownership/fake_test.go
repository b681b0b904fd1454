package ownership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// errOutcomeUnknown is the error of an order whose outcome is not known.
var errOutcomeUnknown = errors.New("order reply lost")

// An engineFaults sets the faults of a fakeEngine: the probabilities, from 0 to 1, that
// an order is refused, loses its reply, or is carried out after lateDelay and loses its
// reply. The delay applies to each order.
type engineFaults struct {
	refuse, lose, late float64
	lateDelay, delay   time.Duration
}

// A runningRequest is a request that runs on an instance under a grant that ends
// at grantEnd.
type runningRequest struct {
	instance string
	grantEnd time.Time
}

// A fakeEngine is a model engine in memory. It records a violation when an instance
// is unloaded while a request with a valid grant runs on it. If the grant of such
// a request has ended, it counts the request in overrunCount instead.
type fakeEngine struct {
	mutex         sync.Mutex
	engine        fleet.Engine
	start         fleet.StartNumber
	fencingNumber fleet.Epoch
	instances     map[string]bool
	running       map[string]runningRequest
	// failing holds the adapters whose loads fail, and hanging those whose load orders
	// get no answer.
	failing      map[fleet.AdapterName]bool
	hanging      map[fleet.AdapterName]bool
	faults       engineFaults
	random       *rand.Rand
	violations   []string
	overrunCount int
	loads        int
	unloads      int
	cancels      int
	orderTimes   []time.Time
}

func newFakeEngine(name fleet.EngineName, mode fleet.FencingMode, slots int) *fakeEngine {
	return &fakeEngine{
		engine: fleet.Engine{Name: name, FailureDomain: "d", AdapterSlots: slots, BatchSize: 8, Fencing: mode},
		start:  1, instances: map[string]bool{}, running: map[string]runningRequest{},
		failing: map[fleet.AdapterName]bool{}, hanging: map[fleet.AdapterName]bool{}, random: rand.New(rand.NewPCG(1, 2)),
	}
}

// order carries out a load or unload order. Depending on faults, it refuses the
// order, loses the reply, or carries the order out late.
func (f *fakeEngine) order(ctx context.Context, epoch fleet.Epoch, effect func() error) error {
	f.mutex.Lock()
	f.orderTimes = append(f.orderTimes, time.Now())
	delay, chance, start := f.faults.delay, f.random.Float64(), f.start
	faults := f.faults
	f.mutex.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	fencedEffect := func() error {
		if f.engine.Fencing == fleet.FencingEnforced {
			if epoch < f.fencingNumber {
				return verdict.NewNotRun(verdict.CodeBackendRefused, "old fencing number")
			}
			f.fencingNumber = epoch
		}
		return effect()
	}
	switch {
	case chance < faults.refuse:
		return verdict.NewNotRun(verdict.CodeBackendRefused, "refused")
	case chance < faults.refuse+faults.lose:
		_ = fencedEffect()
		return errOutcomeUnknown
	case chance < faults.refuse+faults.lose+faults.late:
		time.AfterFunc(faults.lateDelay, func() {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			if f.start == start {
				_ = fencedEffect()
			}
		})
		return errOutcomeUnknown
	}
	return fencedEffect()
}

func (f *fakeEngine) Load(ctx context.Context, _ fleet.Engine, instance fleet.Instance, epoch fleet.Epoch) error {
	f.mutex.Lock()
	hangs := f.hanging[instance.Adapter.Name]
	f.mutex.Unlock()
	if hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	return f.order(ctx, epoch, func() error {
		f.loads++
		if f.failing[instance.Adapter.Name] {
			return &verdict.Error{Verdict: verdict.Ran, Code: verdict.CodeLoadFailed, Message: "load failed"}
		}
		if !f.instances[instance.String()] && len(f.instances) >= f.engine.AdapterSlots {
			return verdict.NewNotRun(verdict.CodeBackendRefused, "no free slot")
		}
		f.instances[instance.String()] = true
		return nil
	})
}

func (f *fakeEngine) Unload(ctx context.Context, _ fleet.Engine, instance fleet.Instance, epoch fleet.Epoch) error {
	return f.order(ctx, epoch, func() error {
		if !f.instances[instance.String()] {
			return verdict.NewNotRun(verdict.CodeUnknownInstance, "unknown instance")
		}
		f.unloads++
		for request, r := range f.running {
			if r.instance != instance.String() {
				continue
			}
			if !time.Now().Before(r.grantEnd) {
				f.overrunCount++
				continue
			}
			f.violations = append(f.violations, fmt.Sprintf("%s unloaded by epoch %d while %s runs", instance, epoch, request))
		}
		delete(f.instances, instance.String())
		return nil
	})
}

func (f *fakeEngine) Cancel(_ context.Context, _ fleet.Engine, request fleet.RequestID) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cancels++
	delete(f.running, string(request))
	return nil
}

func (f *fakeEngine) ReadReport(context.Context, fleet.Engine) (fleet.EngineReport, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := fleet.EngineReport{Start: f.start}
	for name := range f.instances {
		r.Instances = append(r.Instances, name)
	}
	return r, nil
}

// run starts a request and reports whether the instance was resident. sent is when
// the grant request was sent.
func (f *fakeEngine) run(g fleet.Grant, sent time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if g.EngineStart != f.start || !f.instances[g.Instance.String()] {
		return false
	}
	f.running[string(g.RunID)] = runningRequest{instance: g.Instance.String(), grantEnd: sent.Add(g.Duration)}
	return true
}

func (f *fakeEngine) finish(request fleet.RequestID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.running, string(request))
}

// restart starts a new process of the engine without instances.
func (f *fakeEngine) restart() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.start++
	f.fencingNumber = 0
	clear(f.instances)
	clear(f.running)
}

// withLock calls change while the engine is locked.
func (f *fakeEngine) withLock(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

func (f *fakeEngine) hasInstance(instance string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.instances[instance]
}

// A fakeLease is a lease whose validity a test sets.
type fakeLease struct {
	mutex sync.Mutex
	epoch fleet.Epoch
	valid bool
}

func (f *fakeLease) Valid(lease.Name) (fleet.Epoch, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.epoch, f.valid
}

func (f *fakeLease) setValid(valid bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.valid = valid
}

// An unlimitedBudget permits every load at once.
type unlimitedBudget struct{}

func (unlimitedBudget) Acquire(context.Context, fleet.EngineName, fleet.AdapterReference, configuration.Urgency) error {
	return nil
}

// A fakeHolders returns the holdings that a test sets and counts the calls.
type fakeHolders struct {
	mutex    sync.Mutex
	holdings Holdings
	calls    int
}

func (f *fakeHolders) CollectHoldings(context.Context, fleet.EngineName, fleet.Epoch, PreviousHolder) (Holdings, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	return f.holdings, nil
}

// adapterReference returns version 1 of an adapter.
func adapterReference(name fleet.AdapterName) fleet.AdapterReference {
	return fleet.AdapterReference{Name: name, Version: 1}
}

// newGrantRequest returns a request for a grant of 30 s on engine e that waits for
// at most 5 s.
func newGrantRequest(name fleet.AdapterName, request fleet.RequestID) dispatch.GrantRequest {
	return dispatch.GrantRequest{
		Engine: "e", Adapter: adapterReference(name), RunID: request, Holder: "h",
		MaxWait: 5 * time.Second, Duration: 30 * time.Second, Urgency: string(configuration.UrgencyPrompt),
	}
}
