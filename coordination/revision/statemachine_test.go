package revision_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/persimmonmux/persimmonmux/coordination/revision"
	"github.com/persimmonmux/persimmonmux/standin/deployment"
	"github.com/persimmonmux/persimmonmux/standin/peernetwork"
	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// machineRuns and machineSteps give at least 20,000 steps.
const (
	machineRuns  = 70
	machineSteps = 300
	historyRuns  = 100
)

var historySeed = flag.Uint64("history-seed", 0, "seed of TestConfigurationHistories; 0 takes the time")

// fataler is the part of rapid.T and testing.T that the checks use.
type fataler interface {
	Fatalf(format string, arguments ...any)
}

// machine drives distributors and monitors through faults and checks what must
// hold after every step.
type machine struct {
	d      *deployment.Deployment
	starts fleet.StartNumber
	// highest is the highest revision seen at each process.
	highest map[*deployment.Member]configuration.Revision
	// operations has the operation that led to each revision, as hosts show it.
	operations map[configuration.Revision]configuration.OperationID
	calls      sync.WaitGroup
	mutex      sync.Mutex
	issued     int
	// accepted has the revisions that calls of each operation returned.
	accepted map[configuration.OperationID]map[configuration.Revision]bool
	pending  []configuration.OperationID
	expected map[configuration.OperationID]configuration.Revision
	history  []porcupine.Operation
}

func (m *machine) live() []*deployment.Member {
	var live []*deployment.Member
	for _, member := range m.d.Members {
		if m.highest[member] != stopped {
			live = append(live, member)
		}
	}
	return live
}

// stopped marks a process that ended.
const stopped = configuration.Revision(1 << 62)

// operationChange is a change that shows its operation in the configuration.
func operationChange(operation configuration.OperationID) configuration.Change {
	return configuration.Change{
		Operation: operation,
		Kinds: map[configuration.KindName]configuration.Kind{"last": {
			Name: "last", Urgency: configuration.UrgencyPrompt, Repeat: configuration.RepeatAllowed, Timeout: time.Second,
		}},
		Adapters: map[fleet.AdapterName]configuration.Adapter{
			fleet.AdapterName(operation): {Name: fleet.AdapterName(operation), Versions: []fleet.AdapterVersion{1}, Current: 1},
		},
	}
}

// accept calls Accept on a goroutine of its own.
func (m *machine) accept(member *deployment.Member, operation configuration.OperationID, expected configuration.Revision) {
	m.calls.Go(func() { m.acceptNow(member, operation, expected) })
}

// acceptNow calls Accept and records the outcome.
func (m *machine) acceptNow(member *deployment.Member, operation configuration.OperationID, expected configuration.Revision) {
	began := time.Now()
	got, err := member.Distributor.Accept(context.Background(), expected, operationChange(operation))
	ended := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	output := acceptOutput{revision: got}
	var conflict *revision.ConflictError
	switch {
	case err == nil:
		if m.accepted[operation] == nil {
			m.accepted[operation] = make(map[configuration.Revision]bool)
		}
		m.accepted[operation][got] = true
	case errors.As(err, &conflict):
		output = acceptOutput{conflict: true, revision: conflict.Actual}
	case verdict.FromError(err).Verdict == verdict.NotRun:
		return
	default:
		// An answer in doubt may take effect at any later time.
		output, ended = acceptOutput{doubt: true}, time.Now().Add(24*time.Hour)
	}
	m.history = append(m.history, porcupine.Operation{
		ClientId: len(m.history), Input: acceptInput{operation, expected}, Output: output,
		Call: began.UnixNano(), Return: ended.UnixNano(),
	})
}

type acceptInput struct {
	operation configuration.OperationID
	expected  configuration.Revision
}

type acceptOutput struct {
	revision        configuration.Revision
	conflict, doubt bool
}

// readInput is a read of a configuration at a host, as operators see it. Reads
// may lag, so that only a revision that does not exist yet is wrong.
type readInput struct{}

// configurationModel is the head with the operation of each revision.
var configurationModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		accepted := operationsOf(state.(string))
		switch in := input.(type) {
		case readInput:
			if output.(configuration.Revision) <= configuration.Revision(len(accepted)) {
				return []any{state}
			}
			return nil
		case acceptInput:
			return stepAccept(state.(string), accepted, in, output.(acceptOutput))
		}
		return nil
	},
}).ToModel()

func stepAccept(state string, accepted []string, in acceptInput, out acceptOutput) []any {
	earlier := slices.Index(accepted, string(in.operation))
	may := earlier < 0 && in.expected == configuration.Revision(len(accepted))
	next := state + string(in.operation) + "\n"
	switch {
	case out.conflict && earlier < 0 && !may && out.revision == configuration.Revision(len(accepted)):
		return []any{state}
	case out.conflict:
		return nil
	case earlier >= 0 && out.revision == configuration.Revision(earlier+1):
		return []any{state}
	case may && out.revision == in.expected+1:
		return []any{next}
	}
	return nil
}

func operationsOf(state string) []string {
	var operations []string
	begin := 0
	for i, r := range state {
		if r == '\n' {
			operations = append(operations, state[begin:i])
			begin = i + 1
		}
	}
	return operations
}

// check holds what must hold after every step.
func (m *machine) check(t fataler) {
	for _, member := range m.live() {
		changes, snapshot, _, _ := member.Distributor.PullChanges(context.Background(), 0)
		current := member.Distributor.Current()
		if current == nil {
			continue
		}
		if current.Revision < m.highest[member] {
			t.Fatalf("%s went back from revision %d to %d", member.Host.Name, m.highest[member], current.Revision)
		}
		m.highest[member] = current.Revision
		if snapshot == nil {
			for _, change := range changes {
				if known, ok := m.operations[change.Revision]; ok && known != change.Operation {
					t.Fatalf("revision %d is operation %s and %s", change.Revision, known, change.Operation)
				}
				m.operations[change.Revision] = change.Operation
			}
		}
		if len(current.Adapters) != int(current.Revision) {
			t.Fatalf("revision %d at %s has %d operations", current.Revision, member.Host.Name, len(current.Adapters))
		}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for operation, revisions := range m.accepted {
		if len(revisions) > 1 {
			t.Fatalf("operation %s was accepted at %v", operation, revisions)
		}
	}
}

// prefixes are the records whose reads lag: all, or those of one sort while
// reads of the others do not.
var prefixes = []table.Key{"", "configuration/operation/", "configuration/head"}

// step makes one random step.
func (m *machine) step(t *rapid.T) {
	live := m.live()
	member := rapid.SampledFrom(live).Draw(t, "member")
	other := rapid.SampledFrom(live).Draw(t, "other")
	probability := func(label string) float64 {
		return rapid.SampledFrom([]float64{0, 0, 0.3, 0.8}).Draw(t, label)
	}
	switch action := rapid.IntRange(0, 19).Draw(t, "action"); {
	case action < 4:
		m.issued++
		operation := configuration.OperationID(fmt.Sprintf("o%d", m.issued))
		m.pending = append(m.pending, operation)
		m.expected[operation] = member.Distributor.Revision()
		m.accept(member, operation, m.expected[operation])
	case action < 6 && len(m.pending) > 0:
		operation := rapid.SampledFrom(m.pending).Draw(t, "operation")
		m.accept(member, operation, max(m.expected[operation], member.Distributor.Revision()))
	case action < 8:
		m.d.Table.SetFaults(platform.TableFaults{
			Unavailable: rapid.IntRange(0, 4).Draw(t, "unavailable") == 0,
			LostReply:   probability("lost reply"), LostRequest: probability("lost request"),
			LateWrite: probability("late"), LateDelay: 3 * time.Second, Delay: 5 * time.Millisecond,
		})
	case action == 8:
		m.d.Table.SetFaults(platform.TableFaults{})
	case action == 9:
		member.Table.StartStaleReads(rapid.SampledFrom(prefixes).Draw(t, "prefix"))
	case action == 10:
		member.Table.StopStaleReads()
	case action == 11:
		member.Table.SetUnavailable(rapid.Bool().Draw(t, "cut"))
	case action < 14:
		m.d.Network.SetPartitioned(member.Host.PeerAddress, other.Host.PeerAddress, rapid.Bool().Draw(t, "cut"))
	case action == 14:
		m.d.Network.SetFaults(peernetwork.Faults{LostRequest: probability("request"), LostReply: probability("reply")})
	case action == 15:
		m.replace(member)
	default:
		time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(t, "milliseconds")) * time.Millisecond)
	}
}

// replace ends a process and starts another one at its address.
func (m *machine) replace(member *deployment.Member) {
	m.highest[member] = stopped
	m.d.Stop(member)
	m.starts++
	host := member.Host
	host.Start = m.starts
	m.d.Start(host)
}

// heal ends all faults and checks that every host gets the highest revision.
func (m *machine) heal(t fataler) {
	m.d.Table.SetFaults(platform.TableFaults{})
	m.d.Network.Heal()
	for _, member := range m.live() {
		member.Table.StopStaleReads()
		member.Table.SetUnavailable(false)
	}
	m.calls.Wait()
	time.Sleep(30 * time.Second)
	m.check(t)
	highest := configuration.Revision(0)
	for _, member := range m.live() {
		highest = max(highest, member.Distributor.Revision())
	}
	for _, member := range m.live() {
		if got := member.Distributor.Revision(); got != highest {
			t.Fatalf("%s stays at revision %d of %d", member.Host.Name, got, highest)
		}
		if missing := len(member.Distributor.RolloutStatus(highest).Applied); missing != len(m.live()) {
			t.Fatalf("%s knows of %d of %d hosts with revision %d", member.Host.Name, missing, len(m.live()), highest)
		}
	}
	for operation, revisions := range m.accepted {
		for revision := range revisions {
			if m.operations[revision] != operation && revision <= highest {
				t.Fatalf("operation %s was accepted at revision %d, which is operation %s", operation, revision, m.operations[revision])
			}
			if revision > highest {
				t.Fatalf("operation %s was accepted at revision %d, but the highest is %d", operation, revision, highest)
			}
		}
	}
}

// settledHistory is the history with the revisions of doubtful calls, which are
// known at the end. A doubtful call whose operation was never accepted had no
// effect and is left out; otherwise each one doubles the orders to be searched.
func (m *machine) settledHistory() []porcupine.Operation {
	revisions := make(map[configuration.OperationID]configuration.Revision)
	for revision, operation := range m.operations {
		revisions[operation] = revision
	}
	var settled []porcupine.Operation
	for _, operation := range m.history {
		if output, ok := operation.Output.(acceptOutput); ok && output.doubt {
			revision := revisions[operation.Input.(acceptInput).operation]
			if revision == 0 {
				continue
			}
			operation.Output = acceptOutput{revision: revision}
		}
		settled = append(settled, operation)
	}
	return settled
}

// read reads the revision at a host and records it.
func (m *machine) read(member *deployment.Member) configuration.Revision {
	began := time.Now()
	read := member.Distributor.Revision()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.history = append(m.history, porcupine.Operation{
		ClientId: len(m.history), Input: readInput{}, Output: read, Call: began.UnixNano(), Return: time.Now().UnixNano(),
	})
	return read
}

// newMachine returns a machine over three failure domains with two hosts.
func newMachine(seed uint64, relays bool) *machine {
	d := deployment.New(seed)
	if relays {
		d.DirectPushHostLimit, d.FullMeshHostLimit = -1, 1
	}
	d.StartAll(3, 2)
	time.Sleep(2 * time.Second)
	return &machine{
		d: d, starts: 1,
		highest:    make(map[*deployment.Member]configuration.Revision),
		operations: make(map[configuration.Revision]configuration.OperationID),
		accepted:   make(map[configuration.OperationID]map[configuration.Revision]bool),
		expected:   make(map[configuration.OperationID]configuration.Revision),
	}
}

// operate is one operator, who reads and changes the configuration in turn and
// repeats some operations.
func (m *machine) operate(client int, random *rand.Rand) {
	for i := range 12 {
		member := m.d.Members[random.IntN(len(m.d.Members))]
		expected := m.read(member)
		operation := configuration.OperationID(fmt.Sprintf("c%d-%d", client, i))
		m.acceptNow(m.d.Members[random.IntN(len(m.d.Members))], operation, expected)
		if again := m.d.Members[random.IntN(len(m.d.Members))]; random.IntN(2) == 0 {
			// An operator who learned of a higher revision repeats for that one.
			m.acceptNow(again, operation, max(expected, m.read(again)))
		}
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
}

// disturb sets faults of the table until stop is closed.
func (m *machine) disturb(random *rand.Rand, stop <-chan struct{}) {
	for {
		m.d.Table.SetFaults(platform.TableFaults{
			LostReply: random.Float64() / 3, LostRequest: random.Float64() / 4,
			LateWrite: random.Float64() / 4, LateDelay: time.Second, Delay: 5 * time.Millisecond,
		})
		member := m.d.Members[random.IntN(len(m.d.Members))]
		if random.IntN(2) == 0 {
			member.Table.StartStaleReads(prefixes[random.IntN(len(prefixes))])
		} else {
			member.Table.StopStaleReads()
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// TestConfigurationHistories guards against answers to operators that no order
// of the accepted changes explains: two changes of one revision, a revision
// that nobody accepted, a conflict with a head that never was.
func TestConfigurationHistories(t *testing.T) {
	base := uint64(time.Now().UnixNano())
	if *historySeed != 0 {
		base = *historySeed
	}
	t.Logf("-history-seed=%d", base)
	operations := 0
	for run := range uint64(historyRuns) {
		synctest.Test(t, func(t *testing.T) {
			m := newMachine(base+run, run%2 == 0)
			defer m.d.Close()
			stop := make(chan struct{})
			m.calls.Go(func() { m.disturb(rand.New(rand.NewPCG(base+run, 100)), stop) })
			var clients sync.WaitGroup
			for client := range 4 {
				clients.Go(func() { m.operate(client, rand.New(rand.NewPCG(base+run, uint64(client)))) })
			}
			clients.Wait()
			close(stop)
			m.heal(t)
			operations += len(m.history)
			if result := porcupine.CheckOperations(configurationModel, m.settledHistory()); !result {
				t.Fatalf("run %d: history of %d operations is not linearizable", run, len(m.history))
			}
		})
	}
	t.Logf("%d histories with %d operations", historyRuns, operations)
}

// TestDistributorMachine guards against any order of races, lost and late
// answers, lagging reads, cuts, losses and replaced hosts that takes a
// configuration back, accepts an operation twice, gives one revision two
// contents, or leaves a host behind after the faults have ended.
func TestDistributorMachine(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(flag.Set("rapid.checks", fmt.Sprint(machineRuns)), quicktest.IsNil)
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		// A fixed seed gives the same verdict in every run; make soak draws others.
		c.Assert(flag.Set("rapid.seed", "7"), quicktest.IsNil)
	}
	t.Logf("-rapid.seed=%s", flag.Lookup("rapid.seed").Value)
	steps := 0
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		seed := rapid.Uint64().Draw(rt, "seed")
		relays := rapid.Bool().Draw(rt, "relays")
		synctest.Test(t, func(*testing.T) {
			defer func() { failure = recover() }()
			m := newMachine(seed, relays)
			defer m.d.Close()
			defer m.calls.Wait()
			for range machineSteps {
				m.step(rt)
				m.check(rt)
				steps++
			}
			m.heal(rt)
		})
		if failure != nil {
			panic(failure)
		}
	})
	t.Logf("%d steps", steps)
}
