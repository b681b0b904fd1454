package claim

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// machineSteps is the least number of steps of the state machine in one test run.
const machineSteps = 20_000

// A link is the connection of one process to the table. A cut link stands for
// the death of the process.
type link struct {
	*platform.Table
	dead atomic.Bool
}

func (l *link) Read(ctx context.Context, keys []table.Key) ([]table.Record, error) {
	if l.dead.Load() {
		return nil, table.ErrUnavailable
	}
	return l.Table.Read(ctx, keys)
}

func (l *link) Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error) {
	if l.dead.Load() {
		return nil, table.ErrOutcomeUnknown
	}
	return l.Table.Commit(ctx, transaction)
}

// A process is one start of a host.
type process struct {
	registry *Registry
	link     *link
	// tried are the requests that the process was called with.
	tried map[fleet.RequestID]bool
}

// A tried is what one try came to, as porcupine sees it.
type tried struct {
	// kind is one of the kinds below.
	kind string
	text string
	// sent is the outcome that was on its way to the table at a crash.
	sent verdict.Verdict
}

// The kinds of tries.
const (
	triedRefused    = "refused"
	triedRan        = "ran"
	triedDoubt      = "doubt"
	triedNotRun     = "granted, not run"
	triedCrashed    = "granted, crashed"
	triedReplayed   = "replayed"
	triedReplayed2  = "replayed doubt"
	triedUnresolved = "unresolved"
	triedLost       = "connection lost"
)

// historyModel says which tries of one request may follow each other. The state
// is "" while the request may still run.
var historyModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		switch kind := output.(tried).kind; kind {
		case triedRan, triedDoubt:
			return state == "", kind
		case triedCrashed:
			// The outcome on its way may have been recorded or not.
			after := map[verdict.Verdict]string{"": triedCrashed, verdict.Ran: triedRan, verdict.MayHaveRun: triedDoubt, verdict.NotRun: ""}
			return state == "", after[output.(tried).sent]
		case triedNotRun:
			return state == "", state
		case triedReplayed:
			return state == triedRan, state
		case triedReplayed2:
			return state == triedDoubt, state
		default:
			return true, state
		}
	},
}

// A machine is one run of the state machine.
type machine struct {
	table     *platform.Table
	hosts     *hosts
	processes map[fleet.HostName]*process
	starts    fleet.StartNumber
	requests  []fleet.RequestID
	tries     sync.WaitGroup
	// stops says that processes crash and restart.
	stops bool
	// orphans counts the processes that ended with claims on their hands.
	orphans int
	// orphaned are the requests of these processes.
	orphaned map[fleet.RequestID]bool

	mutex   sync.Mutex
	clock   int64
	runs    map[fleet.RequestID]int
	history map[fleet.RequestID][]porcupine.Operation
}

func newMachine(seed uint64, stops bool) *machine {
	m := &machine{
		table:     platform.NewTable(seed),
		stops:     stops,
		hosts:     newHosts(),
		processes: make(map[fleet.HostName]*process),
		runs:      make(map[fleet.RequestID]int),
		orphaned:  make(map[fleet.RequestID]bool),
		history:   make(map[fleet.RequestID][]porcupine.Operation),
	}
	for i := range uint64(3) {
		m.start(fleet.HostName(fmt.Sprintf("host-%d", i)))
		m.requests = append(m.requests, identifierAt(time.Now(), i))
	}
	return m
}

func (m *machine) start(name fleet.HostName) {
	m.starts++
	l := &link{Table: m.table}
	settings := Settings{CloseTimeout: 3 * time.Second}
	m.processes[name] = &process{registry: m.hosts.start(name, m.starts, l, settings), link: l, tried: make(map[fleet.RequestID]bool)}
}

// crash ends a process without a word and starts another one under its name.
func (m *machine) crash(name fleet.HostName) {
	p := m.processes[name]
	m.orphan(p)
	p.link.dead.Store(true)
	m.hosts.stopped.Go(func() { _ = p.registry.Close() })
	m.start(name)
}

// restart is a planned stop and start.
func (m *machine) restart(name fleet.HostName) {
	p := m.processes[name]
	_ = p.registry.Close()
	m.orphan(p)
	m.start(name)
}

// orphan notes the requests whose claims may be left to a process that ends
// with work on its hands. Nobody can tell then that such a claim never ran.
func (m *machine) orphan(p *process) {
	if p.registry.Counts().Entries == 0 {
		return
	}
	m.orphans++
	for id := range p.tried {
		m.orphaned[id] = true
	}
}

func (m *machine) tick() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.clock++
	return m.clock
}

// try is one call of a caller, as a dispatcher makes it.
func (m *machine) try(id fleet.RequestID, p *process, maxWait, work time.Duration, ends verdict.Verdict, runs bool) tried {
	began := m.tick()
	result := m.claimed(p, id, maxWait, work, ends, runs)
	if p.link.dead.Load() && result.kind == triedRefused {
		result.kind = triedLost
	}
	ended := m.tick()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.history[id] = append(m.history[id], porcupine.Operation{
		ClientId: len(m.history[id]), Input: p.registry.Start, Output: result, Call: began, Return: ended,
	})
	return result
}

func (m *machine) claimed(p *process, id fleet.RequestID, maxWait, work time.Duration, ends verdict.Verdict, runs bool) tried {
	ticket, outcome, err := p.registry.Claim(context.Background(), newRequest(id, maxWait))
	switch {
	case err != nil && verdict.FromError(err).Verdict == verdict.NotRun:
		return tried{kind: triedRefused, text: err.Error()}
	case err != nil:
		return tried{kind: triedUnresolved, text: err.Error()}
	case outcome != nil && outcome.Verdict == verdict.Ran:
		return tried{kind: triedReplayed}
	case outcome != nil:
		return tried{kind: triedReplayed2}
	case p.link.dead.Load():
		return tried{kind: triedCrashed}
	}
	if runs {
		m.mutex.Lock()
		m.runs[id]++
		m.mutex.Unlock()
	}
	time.Sleep(work)
	if p.link.dead.Load() {
		return tried{kind: triedCrashed}
	}
	result := booking.Outcome{Verdict: ends}
	if ends == verdict.Ran {
		result = ran
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err = p.registry.Resolve(ctx, ticket, result)
	text := fmt.Sprintf("%s %v", ticket.Token, err)
	switch {
	case p.link.dead.Load():
		return tried{kind: triedCrashed, text: text, sent: ends}
	case ends == verdict.Ran:
		return tried{kind: triedRan, text: text}
	case ends == verdict.MayHaveRun:
		return tried{kind: triedDoubt, text: text}
	default:
		return tried{kind: triedNotRun, text: text}
	}
}

// An ending is how a dispatched request ends.
type ending struct {
	verdict verdict.Verdict
	runs    bool
}

var endings = []ending{
	{verdict.Ran, true}, {verdict.MayHaveRun, true}, {verdict.MayHaveRun, false},
	{verdict.NotRun, false}, {verdict.NotRun, false}, {verdict.NotRun, false},
}

// actions are the steps of the state machine.
func (m *machine) actions(steps *int) map[string]func(*rapid.T) {
	names := []fleet.HostName{"host-0", "host-1", "host-2"}
	duration := func(t *rapid.T, label string, choices ...time.Duration) time.Duration {
		return rapid.SampledFrom(choices).Draw(t, label)
	}
	try := func(t *rapid.T) {
		*steps++
		id := rapid.SampledFrom(m.requests).Draw(t, "request")
		name := rapid.SampledFrom(names).Draw(t, "host")
		maxWait := duration(t, "patience", time.Millisecond, 30*time.Millisecond, time.Second, 10*time.Second)
		work := duration(t, "work", 0, 10*time.Millisecond, 2*time.Second)
		e := rapid.SampledFrom(endings).Draw(t, "ending")
		p := m.processes[name]
		p.tried[id] = true
		m.tries.Go(func() { m.try(id, p, maxWait, work, e.verdict, e.runs) })
	}
	advance := func(t *rapid.T) {
		*steps++
		time.Sleep(duration(t, "time", time.Millisecond, 5*time.Millisecond, 100*time.Millisecond, 3*time.Second, time.Minute))
	}
	return map[string]func(*rapid.T){
		"try":        try,
		"try again":  try,
		"try more":   try,
		"advance":    advance,
		"advance on": advance,
		"faults": func(t *rapid.T) {
			*steps++
			chance := func(label string) float64 { return rapid.SampledFrom([]float64{0, 0, 0.3, 1}).Draw(t, label) / 2 }
			m.table.SetFaults(platform.TableFaults{
				Unavailable: rapid.IntRange(0, 4).Draw(t, "unavailable") == 0,
				LostReply:   chance("lost reply"),
				LostRequest: chance("lost request"),
				LateWrite:   chance("late write"),
				LateDelay:   duration(t, "late", time.Millisecond, 50*time.Millisecond, 3*time.Second, 5*time.Minute),
				Delay:       duration(t, "delay", 0, 2*time.Millisecond, 200*time.Millisecond, 1500*time.Millisecond),
			})
		},
		"heal": func(*rapid.T) {
			*steps++
			m.table.SetFaults(platform.TableFaults{})
		},
		"crash": func(t *rapid.T) {
			*steps++
			if m.stops && rapid.IntRange(0, 2).Draw(t, "crash") == 0 {
				m.crash(rapid.SampledFrom(names).Draw(t, "host"))
			}
		},
		"restart": func(t *rapid.T) {
			*steps++
			if m.stops {
				m.restart(rapid.SampledFrom(names).Draw(t, "host"))
			}
		},
		"": func(t *rapid.T) {
			m.mutex.Lock()
			defer m.mutex.Unlock()
			for id, runs := range m.runs {
				if runs > 1 {
					t.Fatalf("request %s ran %d times: %v", id, runs, m.history[id])
				}
			}
		},
	}
}

// finish heals the table, lets late writes arrive and checks what is left.
func (m *machine) finish(t *rapid.T) {
	m.table.SetFaults(platform.TableFaults{})
	m.tries.Wait()
	time.Sleep(6 * time.Minute)
	for name, p := range m.processes {
		if entries := p.registry.Counts().Entries; entries > 0 && m.orphans == 0 {
			t.Fatalf("%s keeps %d entries after the table was healed", name, entries)
		}
	}
	for i, id := range m.requests {
		last := m.try(id, m.processes[fleet.HostName(fmt.Sprintf("host-%d", i))], 5*time.Second, 0, verdict.Ran, true)
		if m.runs[id] > 1 {
			t.Fatalf("request %s ran %d times: %v", id, m.runs[id], m.history[id])
		}
		if (last.kind == triedRefused || last.kind == triedUnresolved) && !m.orphaned[id] {
			t.Fatalf("last try of request %s failed for good with %v: %v", id, last, m.history[id])
		}
		if !porcupine.CheckOperations(historyModel, m.history[id]) {
			t.Fatalf("history of request %s has no order: %v", id, m.history[id])
		}
	}
	m.hosts.close()
}

// A bubble hides testing.T.Deadline, which rapid calls and synctest forbids.
type bubble struct{ rapid.TB }

// TestMachine guards against a request that runs twice, a wrong replay, and an
// honest retry that fails for good, under lost replies, late writes, outages,
// crashes and restarts. The seed is set with -rapid.seed.
func TestMachine(t *testing.T) {
	c := quicktest.New(t)
	seed, err := strconv.ParseUint(flag.Lookup("rapid.seed").Value.String(), 10, 64)
	c.Assert(err, quicktest.IsNil)
	if seed == 0 {
		// A fixed seed gives the same verdict in every run; make soak draws others.
		seed = 7
	}
	fmt.Fprintf(os.Stderr, "TestMachine: -rapid.seed=%d\n", seed)
	for name, value := range map[string]string{"rapid.checks": "100", "rapid.steps": "90", "rapid.nofailfile": "true"} {
		c.Assert(flag.Set(name, value), quicktest.IsNil)
	}
	steps, runs, tries, orphaned := 0, 0, 0, 0
	// rapid ends a test after 24 h, which 100 checks do not reach in virtual time.
	for part := range uint64(5) {
		c.Assert(flag.Set("rapid.seed", fmt.Sprint(seed+part)), quicktest.IsNil)
		t.Run(fmt.Sprintf("seed %d", seed+part), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rapid.Check(bubble{t}, func(t *rapid.T) {
					m := newMachine(rapid.Uint64().Draw(t, "table seed"), rapid.Bool().Draw(t, "stops"))
					defer m.hosts.close()
					t.Repeat(m.actions(&steps))
					m.finish(t)
					for _, id := range m.requests {
						runs += m.runs[id]
						tries += len(m.history[id])
						if m.orphaned[id] {
							orphaned++
						}
					}
				})
			})
		})
	}
	t.Logf("%d steps, %d tries, %d runs, %d orphaned requests", steps, tries, runs, orphaned)
	c.Assert(steps >= machineSteps || t.Failed(), quicktest.IsTrue, quicktest.Commentf("%d steps", steps))
}
