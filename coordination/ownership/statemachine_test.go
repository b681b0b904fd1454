package ownership

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// TestMain sets and prints the seed of the state machine tests. The flag -rapid.seed
// repeats the actions of a run; the order in which goroutines run still varies.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		// A fixed seed draws the same actions in every run. make explore uses new seeds.
		_ = seed.Value.Set("7")
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// A testWithoutDeadline hides that the test is a *testing.T, because rapid reads the
// deadline of a *testing.T, which is not allowed in virtual time.
type testWithoutDeadline struct {
	*testing.T
}

// A deployment is a set of hosts of one failure domain, their lease table and their
// engines.
type deployment struct {
	table   *platform.Table
	engines map[fleet.EngineName]*fakeEngine
	catalog []fleet.Engine
	hosts   []*host
	// mutex guards hosts and catalog, which the goroutines of the hosts read.
	mutex    sync.Mutex
	settings Settings
	// start is the start number of the newest process of all hosts.
	start fleet.StartNumber
}

// A host is one process with a lease.Manager, a Manager and a GrantHolder. It
// implements their interfaces to the table, the engines and the other hosts.
type host struct {
	fleet.Host
	deployment *deployment
	leases     *lease.Manager
	manager    *Manager
	holder     *GrantHolder
	// paused delays table replies and orders until it is false. tableUnreachable
	// makes all table calls fail.
	paused, tableUnreachable atomic.Bool
	// ended says that the process has ended.
	ended atomic.Bool
	// leaving says that other hosts see the host as leaving.
	leaving atomic.Bool
}

// waitWhilePaused returns when the host is not paused or its process has ended.
func (h *host) waitWhilePaused() {
	for h.paused.Load() && !h.ended.Load() {
		time.Sleep(50 * time.Millisecond)
	}
}

func (h *host) Read(ctx context.Context, keys []table.Key) ([]table.Record, error) {
	if h.tableUnreachable.Load() || h.ended.Load() {
		return nil, table.ErrUnavailable
	}
	defer h.waitWhilePaused()
	return h.deployment.table.Read(ctx, keys)
}

func (h *host) Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error) {
	if h.tableUnreachable.Load() || h.ended.Load() {
		return nil, table.ErrUnavailable
	}
	defer h.waitWhilePaused()
	return h.deployment.table.Commit(ctx, transaction)
}

func (h *host) Era() table.Era { return h.deployment.table.Era() }

// Load is delayed while the host is paused. The Owner has checked the lease before,
// so the order may reach the engine after the lease expired.
func (h *host) Load(ctx context.Context, engine fleet.Engine, instance fleet.Instance, epoch fleet.Epoch) error {
	h.waitWhilePaused()
	if h.ended.Load() {
		return errOutcomeUnknown
	}
	return h.deployment.engines[engine.Name].Load(ctx, engine, instance, epoch)
}

// Unload is delayed like Load while the host is paused.
func (h *host) Unload(ctx context.Context, engine fleet.Engine, instance fleet.Instance, epoch fleet.Epoch) error {
	h.waitWhilePaused()
	if h.ended.Load() {
		return errOutcomeUnknown
	}
	return h.deployment.engines[engine.Name].Unload(ctx, engine, instance, epoch)
}

func (h *host) Cancel(ctx context.Context, engine fleet.Engine, request fleet.RequestID) error {
	if h.paused.Load() || h.ended.Load() {
		return errOutcomeUnknown
	}
	return h.deployment.engines[engine.Name].Cancel(ctx, engine, request)
}

func (h *host) ReadReport(ctx context.Context, engine fleet.Engine) (fleet.EngineReport, error) {
	return h.deployment.engines[engine.Name].ReadReport(ctx, engine)
}

func (h *host) Engines() []fleet.Engine {
	h.deployment.mutex.Lock()
	defer h.deployment.mutex.Unlock()
	return slices.Clone(h.deployment.catalog)
}

func (h *host) Hosts() []fleet.Host {
	var hosts []fleet.Host
	for _, other := range h.deployment.allHosts() {
		if !other.ended.Load() && !other.leaving.Load() {
			hosts = append(hosts, other.Host)
		}
	}
	return hosts
}

func (h *host) HandOver(ctx context.Context, to fleet.Host, handOver fleet.HandOver) error {
	other := h.deployment.process(to.Name, to.Start)
	if other == nil || other.paused.Load() {
		return errOutcomeUnknown
	}
	return other.manager.AcceptHandOver(ctx, handOver)
}

// CollectHoldings queries all hosts; a paused host does not answer.
func (h *host) CollectHoldings(ctx context.Context, engine fleet.EngineName, epoch fleet.Epoch, previous PreviousHolder) (Holdings, error) {
	answer := Holdings{Complete: true, PreviousHolderEnded: h.deployment.process(previous.Host, previous.Start) == nil}
	for _, other := range h.deployment.allHosts() {
		if other.paused.Load() {
			answer.Complete = false
			continue
		}
		grants, err := other.holder.Holdings(ctx, engine, epoch)
		answer.Complete = answer.Complete && err == nil
		answer.Grants = append(answer.Grants, grants...)
	}
	return answer, nil
}

// AcquireGrant requests a grant from one host after the other until one does not refuse
// as not the owner. It stands for the calls of the GrantHolder to the owners.
func (h *host) AcquireGrant(ctx context.Context, request dispatch.GrantRequest) (fleet.Grant, error) {
	hosts := h.deployment.allHosts()
	for i := range hosts {
		other := hosts[(i+len(request.RunID))%len(hosts)]
		if other.ended.Load() || other.paused.Load() {
			continue
		}
		grant, err := other.manager.AcquireGrant(ctx, request)
		if _, moved := NotOwnerRefusal(err); !moved {
			return grant, err
		}
	}
	return fleet.Grant{}, verdict.NewNotRun(verdict.CodeNotOwner, "no owner")
}

func (h *host) Release(grant fleet.Grant) {
	for _, other := range h.deployment.allHosts() {
		if o, ok := other.manager.Owner(grant.Engine); ok && o.Epoch >= grant.Epoch && !other.ended.Load() {
			o.Release([]fleet.RequestID{grant.RunID})
			return
		}
	}
}

// allHosts returns a copy of the list of hosts. Any goroutine may call it.
func (d *deployment) allHosts() []*host {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.hosts)
}

// replaceHost sets the host with index i.
func (d *deployment) replaceHost(i int, h *host) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.hosts[i] = h
}

// addHost appends a host.
func (d *deployment) addHost(h *host) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.hosts = append(d.hosts, h)
}

// process returns the running process of a host and start, or nil.
func (d *deployment) process(name fleet.HostName, start fleet.StartNumber) *host {
	for _, h := range d.allHosts() {
		if h.Name == name && h.Start == start && !h.ended.Load() {
			return h
		}
	}
	return nil
}

// newDeployment returns a deployment without hosts, with an engine of 3 slots for each
// fencing mode.
func newDeployment(seed uint64, settings Settings, modes ...fleet.FencingMode) *deployment {
	d := &deployment{table: platform.NewTable(seed), engines: map[fleet.EngineName]*fakeEngine{}, settings: settings}
	for i, mode := range modes {
		f := newFakeEngine(fleet.EngineName(fmt.Sprintf("e%d", i)), mode, 3)
		d.engines[f.engine.Name] = f
		d.catalog = append(d.catalog, f.engine)
	}
	return d
}

// startHost starts a new process of a host, but does not add it to the hosts.
func (d *deployment) startHost(name fleet.HostName) *host {
	d.start++
	h := &host{Host: fleet.Host{Name: name, Start: d.start, FailureDomain: "d", State: fleet.HostLive}, deployment: d}
	events := ring.New[lease.Event](100)
	h.leases = &lease.Manager{Host: name, Start: d.start, Table: h, Events: events}
	h.holder = &GrantHolder{Owners: h}
	h.manager = &Manager{
		Host: h.Host, Leases: h.leases, Events: events, FailureDomain: h, HandOverSender: h,
		Engines: h, Budget: unlimitedBudget{}, Placement: UrgencyLRUPolicy{}, HoldingsCollector: h, Settings: d.settings,
	}
	go h.leases.Run(context.Background())
	go h.holder.Run(context.Background())
	go h.manager.Run(context.Background())
	return h
}

// kill ends a process at once. Its orders that have not reached the engines are lost.
func (h *host) kill() {
	h.ended.Store(true)
	h.manager.Close()
	h.leases.Close()
	h.holder.Close()
}

// A stateMachine is a deployment to which random faults and requests are applied.
type stateMachine struct {
	*deployment
	t *rapid.T
	// next is the number of requests so far, from which request ids are made.
	next int
	// mutex guards the fields below, because a request may begin on another
	// goroutine while finishRequests runs.
	mutex sync.Mutex
	// grants counts the requests that got a valid grant. unknownInstances counts
	// those among them whose instance the engine did not have.
	grants           int
	unknownInstances int
	inFlight         []*grantedRequest
}

// A grantedRequest is a request that runs on an engine under a grant.
type grantedRequest struct {
	grant    fleet.Grant
	holder   *host
	grantEnd time.Time
}

// request acquires a grant and starts the request on the engine, where it runs until
// finishRequests ends it.
func (m *stateMachine) request(h *host, engine fleet.EngineName, name fleet.AdapterName, id fleet.RequestID, duration time.Duration) {
	sent := time.Now()
	grant, err := h.holder.AcquireGrant(context.Background(), dispatch.GrantRequest{
		Engine: engine, Adapter: adapterReference(name), RunID: id, Holder: h.Name, MaxWait: 3 * time.Second,
		Duration: duration, Urgency: string(configuration.UrgencyPrompt),
	})
	if err != nil {
		var refusal *verdict.Error
		if !errors.As(err, &refusal) || refusal.Verdict != verdict.NotRun {
			panic(fmt.Sprintf("error of a grant request has no verdict not-run: %v", err))
		}
		return
	}
	if h.ended.Load() || h.paused.Load() || !time.Now().Before(sent.Add(grant.Duration)) {
		h.holder.Release(grant)
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.grants++
	if !m.engines[engine].run(grant, sent) {
		m.unknownInstances++
		h.holder.Release(grant)
		return
	}
	m.inFlight = append(m.inFlight, &grantedRequest{grant: grant, holder: h, grantEnd: sent.Add(grant.Duration)})
}

// finishRequests ends the request with index finish, if there is one, and all requests
// whose grants or holders have ended. Requests of a paused holder go on. It fails the
// test if an engine has recorded a violation.
func (m *stateMachine) finishRequests(finish int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	kept := m.inFlight[:0]
	for i, r := range m.inFlight {
		ended := !time.Now().Before(r.grantEnd) || i == finish
		if r.holder.paused.Load() || !ended && !r.holder.ended.Load() {
			kept = append(kept, r)
			continue
		}
		m.engines[r.grant.Engine].finish(r.grant.RunID)
		if !r.holder.ended.Load() {
			r.holder.holder.Release(r.grant)
		}
	}
	m.inFlight = kept
	for _, e := range m.engines {
		var violations []string
		e.withLock(func() { violations = slices.Clone(e.violations) })
		if len(violations) > 0 {
			m.t.Fatalf("violation: %s", violations[0])
		}
	}
}

// advance lets virtual time pass and ends the requests that are due.
func (m *stateMachine) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		advance(min(200*time.Millisecond, time.Until(end)))
		m.finishRequests(-1)
	}
}

// runInBackground runs a call on another goroutine and waits for it. For up to limit
// it ends requests that are due while virtual time passes.
func (m *stateMachine) runInBackground(limit time.Duration, call func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		call()
	}()
	for end := time.Now().Add(limit); time.Now().Before(end); {
		select {
		case <-done:
			return
		default:
			m.advance(100 * time.Millisecond)
		}
	}
	<-done
}

// restartHost ends the process of a host, after a hand-over if planned, and starts a
// new one.
func (m *stateMachine) restartHost(i int, planned bool) {
	h := m.hosts[i]
	h.paused.Store(false)
	if planned {
		h.leaving.Store(true)
		m.runInBackground(30*time.Second, func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_ = h.manager.HandOverAll(ctx)
		})
	}
	h.kill()
	m.finishRequests(-1)
	m.replaceHost(i, m.startHost(h.Name))
}

// stateMachineActions are the actions that step draws from. An action that is listed
// several times is drawn more often.
var stateMachineActions = []string{
	"request", "request", "request", "request", "request", "request", "finish", "finish", "pass", "pass", "pass-long",
	"pause", "resume", "resume", "cut-table", "reconnect-table", "kill", "hand-over", "engine-restart", "engine-faults", "engine-repair", "table-faults", "table-repair",
}

func (m *stateMachine) step() {
	t := m.t
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
	engine := rapid.SampledFrom(m.catalog).Draw(t, "engine").Name
	switch rapid.SampledFrom(stateMachineActions).Draw(t, "action") {
	case "request":
		m.next++
		name := rapid.SampledFrom([]fleet.AdapterName{"a", "b", "c", "d", "f"}).Draw(t, "adapter")
		id := fleet.RequestID(fmt.Sprintf("%0*d", 1+m.next%3, m.next))
		duration := time.Duration(rapid.IntRange(1, 25).Draw(t, "seconds")) * time.Second
		m.runInBackground(4*time.Second, func() { m.request(m.hosts[i], engine, name, id, duration) })
	case "finish":
		if len(m.inFlight) > 0 {
			m.finishRequests(rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "finished"))
		}
	case "pass":
		m.advance(time.Duration(rapid.IntRange(50, 3000).Draw(t, "milliseconds")) * time.Millisecond)
	case "pass-long":
		m.advance(time.Duration(rapid.IntRange(10, 40).Draw(t, "seconds")) * time.Second)
	case "pause":
		m.hosts[i].paused.Store(true)
	case "resume":
		m.hosts[i].paused.Store(false)
	case "cut-table":
		m.hosts[i].tableUnreachable.Store(true)
	case "reconnect-table":
		m.hosts[i].tableUnreachable.Store(false)
	case "kill":
		m.restartHost(i, false)
	case "hand-over":
		m.restartHost(i, true)
	case "engine-restart":
		m.engines[engine].restart()
	case "engine-faults":
		e := m.engines[engine]
		faults := engineFaults{
			refuse: 0.1, lose: 0.1, late: 0.2,
			lateDelay: time.Duration(rapid.IntRange(0, 60).Draw(t, "late")) * time.Second,
			delay:     time.Duration(rapid.IntRange(0, 1000).Draw(t, "delay")) * time.Millisecond,
		}
		e.withLock(func() { e.faults = faults })
	case "engine-repair":
		e := m.engines[engine]
		e.withLock(func() { e.faults = engineFaults{} })
	case "table-faults":
		m.table.SetFaults(platform.TableFaults{LostReply: 0.2, LostRequest: 0.1, LateWrite: 0.1, LateDelay: 3 * time.Second, Delay: 100 * time.Millisecond})
	case "table-repair":
		m.table.SetFaults(platform.TableFaults{})
	}
	synctest.Wait()
	m.finishRequests(-1)
}

// endFaults ends all faults of the table and the engines, and resumes and reconnects
// all hosts.
func (m *stateMachine) endFaults() {
	m.table.SetFaults(platform.TableFaults{})
	for _, e := range m.engines {
		e.withLock(func() { e.faults = engineFaults{} })
	}
	for _, h := range m.hosts {
		h.paused.Store(false)
		h.tableUnreachable.Store(false)
	}
}

// TestOwnershipMachine guards against an instance that is unloaded while a request
// with a valid grant runs on it, and against an engine that gives no grants 2 min
// after all faults ended. The faults are paused hosts, an unreachable table, restarts,
// late orders and lost replies.
func TestOwnershipMachine(t *testing.T) {
	var steps, grants, unknown, loads, unloads, overran int
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(testWithoutDeadline{t}, func(t *rapid.T) {
			m := &stateMachine{t: t, deployment: newDeployment(rapid.Uint64().Draw(t, "table"), Settings{
				IsolatedServiceLimit: time.Minute, GrantLimit: 20 * time.Second, OrderTimeout: 3 * time.Second,
			}, fleet.FencingIgnored, fleet.FencingEnforced)}
			for _, name := range []fleet.HostName{"x", "y", "z"} {
				m.addHost(m.startHost(name))
			}
			defer func() {
				m.endFaults()
				for _, h := range m.hosts {
					h.kill()
				}
			}()
			for range 250 {
				m.step()
				steps++
			}
			m.endFaults()
			m.advance(2 * time.Minute)
			for _, engine := range m.catalog {
				before := m.grants
				for range 3 {
					m.next++
					m.runInBackground(4*time.Second, func() {
						m.request(m.hosts[0], engine.Name, "z", fleet.RequestID(fmt.Sprint(m.next)), time.Second)
					})
				}
				if m.grants == before {
					t.Fatalf("engine %s gives no grants 2 min after all faults ended", engine.Name)
				}
			}
			grants, unknown = grants+m.grants, unknown+m.unknownInstances
			for _, e := range m.engines {
				e.withLock(func() { loads, unloads, overran = loads+e.loads, unloads+e.unloads, overran+e.overrunCount })
			}
		})
	})
	t.Logf("%d steps, %d grants, %d grants on instances unknown to the engine, %d loads, %d unloads, %d requests ran past the ends of their grants", steps, grants, unknown, loads, unloads, overran)
}
