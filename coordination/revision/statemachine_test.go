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

// TestDistributorMachine makes machineRuns runs of machineSteps steps each,
// which gives more than 20,000 steps.
// historyRuns is the number of histories that are checked for linearizability.
const (
	machineRuns  = 70
	machineSteps = 300
	historyRuns  = 100
)

var historySeed = flag.Uint64("history-seed", 0, "seed of TestConfigurationHistories; 0 uses the current time")

// failer ends a test with an error. Both *rapid.T and *testing.T implement it.
type failer interface {
	Fatalf(format string, arguments ...any)
}

// machine applies random faults and actions to a deployment of distributors and
// monitors, and checks the invariants after every step. The mutex guards
// returnedRevisions and history.
type machine struct {
	deployment *deployment.Deployment
	lastStart  fleet.StartNumber
	// highestSeen is the highest revision seen at each process, or stoppedMark.
	highestSeen map[*deployment.Member]configuration.Revision
	// acceptedOperations has the operation that led to each revision, as found
	// in the changes that the hosts have.
	acceptedOperations map[configuration.Revision]configuration.OperationID
	calls              sync.WaitGroup
	mutex              sync.Mutex
	operationCount     int
	// returnedRevisions has the revisions that calls of each operation returned.
	returnedRevisions map[configuration.OperationID]map[configuration.Revision]bool
	// operationIDs are the operations that step can repeat, and
	// expectedRevisions the revision that each of them expected first.
	operationIDs      []configuration.OperationID
	expectedRevisions map[configuration.OperationID]configuration.Revision
	history           []porcupine.Operation
}

func (m *machine) running() []*deployment.Member {
	var running []*deployment.Member
	for _, member := range m.deployment.Members {
		if m.highestSeen[member] != stoppedMark {
			running = append(running, member)
		}
	}
	return running
}

// stoppedMark is the entry in highestSeen of a process that ended.
const stoppedMark = configuration.Revision(1 << 62)

// operationChange returns a change that adds an adapter with the name of its
// operation, so that a configuration shows which operations led to it.
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

// startAccept calls accept on a goroutine of its own.
func (m *machine) startAccept(member *deployment.Member, operation configuration.OperationID, expected configuration.Revision) {
	m.calls.Go(func() { m.accept(member, operation, expected) })
}

// accept calls Accept and records the outcome in the history.
func (m *machine) accept(member *deployment.Member, operation configuration.OperationID, expected configuration.Revision) {
	began := time.Now()
	got, err := member.Distributor.Accept(context.Background(), expected, operationChange(operation))
	ended := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	output := acceptOutput{revision: got}
	var conflict *revision.ConflictError
	switch {
	case err == nil:
		if m.returnedRevisions[operation] == nil {
			m.returnedRevisions[operation] = make(map[configuration.Revision]bool)
		}
		m.returnedRevisions[operation][got] = true
	case errors.As(err, &conflict):
		output = acceptOutput{conflict: true, revision: conflict.Actual}
	case verdict.FromError(err).Verdict == verdict.NotRun:
		return
	default:
		// A change with an unknown outcome may be accepted at any later time.
		output, ended = acceptOutput{unknown: true}, time.Now().Add(24*time.Hour)
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
	revision          configuration.Revision
	conflict, unknown bool
}

// readInput is the input of a read of the revision applied at a host, as
// operators see it. The read may lag, so only a revision that has not been
// accepted yet is an error.
type readInput struct{}

// configurationModel is a model of the accepted changes. Its state is the list of
// their operations in the order of revisions.
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

// stepAccept returns the states that an answer of Accept can lead to from a
// state, or none if the answer is wrong.
func stepAccept(state string, accepted []string, in acceptInput, out acceptOutput) []any {
	earlier := slices.Index(accepted, string(in.operation))
	canApply := earlier < 0 && in.expected == configuration.Revision(len(accepted))
	next := state + string(in.operation) + "\n"
	switch {
	case out.conflict && earlier < 0 && !canApply && out.revision == configuration.Revision(len(accepted)):
		return []any{state}
	case out.conflict:
		return nil
	case earlier >= 0 && out.revision == configuration.Revision(earlier+1):
		return []any{state}
	case canApply && out.revision == in.expected+1:
		return []any{next}
	}
	return nil
}

// operationsOf splits a state of configurationModel into its operations, each of
// which ends with a line feed.
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

// check fails if a running host has a lower revision than at the last check, if
// two hosts have different operations for one revision, if a configuration lacks
// one of the operations that led to it, or if an operation was accepted for two
// revisions.
func (m *machine) check(t failer) {
	for _, member := range m.running() {
		changes, snapshot, _, _ := member.Distributor.PullChanges(context.Background(), 0)
		current := member.Distributor.Current()
		if current == nil {
			continue
		}
		if current.Revision < m.highestSeen[member] {
			t.Fatalf("%s returned from revision %d to the earlier revision %d", member.Host.Name, m.highestSeen[member], current.Revision)
		}
		m.highestSeen[member] = current.Revision
		if snapshot == nil {
			for _, change := range changes {
				if known, ok := m.acceptedOperations[change.Revision]; ok && known != change.Operation {
					t.Fatalf("revision %d has two operations, %s and %s", change.Revision, known, change.Operation)
				}
				m.acceptedOperations[change.Revision] = change.Operation
			}
		}
		if len(current.Adapters) != int(current.Revision) {
			t.Fatalf("revision %d at %s contains %d operations, expected one for each revision", current.Revision, member.Host.Name, len(current.Adapters))
		}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for operation, revisions := range m.returnedRevisions {
		if len(revisions) > 1 {
			t.Fatalf("operation %s was accepted for several revisions: %v", operation, revisions)
		}
	}
}

// staleReadPrefixes are the key prefixes of the records whose reads lag: all
// records, or only the operation records or the head, so that these disagree with
// the others.
var staleReadPrefixes = []table.Key{"", "configuration/operation/", "configuration/head"}

// step takes one random step.
func (m *machine) step(t *rapid.T) {
	running := m.running()
	member := rapid.SampledFrom(running).Draw(t, "member")
	other := rapid.SampledFrom(running).Draw(t, "other")
	probability := func(label string) float64 {
		return rapid.SampledFrom([]float64{0, 0, 0.3, 0.8}).Draw(t, label)
	}
	switch action := rapid.IntRange(0, 19).Draw(t, "action"); {
	case action < 4:
		m.operationCount++
		operation := configuration.OperationID(fmt.Sprintf("o%d", m.operationCount))
		m.operationIDs = append(m.operationIDs, operation)
		m.expectedRevisions[operation] = member.Distributor.Revision()
		m.startAccept(member, operation, m.expectedRevisions[operation])
	case action < 6 && len(m.operationIDs) > 0:
		operation := rapid.SampledFrom(m.operationIDs).Draw(t, "operation")
		m.startAccept(member, operation, max(m.expectedRevisions[operation], member.Distributor.Revision()))
	case action < 8:
		m.deployment.Table.SetFaults(platform.TableFaults{
			Unavailable: rapid.IntRange(0, 4).Draw(t, "unavailable") == 0,
			LostReply:   probability("lost reply"), LostRequest: probability("lost request"),
			LateWrite: probability("late"), LateDelay: 3 * time.Second, Delay: 5 * time.Millisecond,
		})
	case action == 8:
		m.deployment.Table.SetFaults(platform.TableFaults{})
	case action == 9:
		member.Table.StartStaleReads(rapid.SampledFrom(staleReadPrefixes).Draw(t, "prefix"))
	case action == 10:
		member.Table.StopStaleReads()
	case action == 11:
		member.Table.SetUnavailable(rapid.Bool().Draw(t, "cut"))
	case action < 14:
		m.deployment.Network.SetPartitioned(member.Host.PeerAddress, other.Host.PeerAddress, rapid.Bool().Draw(t, "cut"))
	case action == 14:
		m.deployment.Network.SetFaults(peernetwork.Faults{LostRequest: probability("request"), LostReply: probability("reply")})
	case action == 15:
		m.replace(member)
	default:
		time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(t, "milliseconds")) * time.Millisecond)
	}
}

// replace ends a process and starts another one under its name and address.
func (m *machine) replace(member *deployment.Member) {
	m.highestSeen[member] = stoppedMark
	m.deployment.Stop(member)
	m.lastStart++
	host := member.Host
	host.Start = m.lastStart
	m.deployment.Start(host)
}

// heal ends all faults and checks that every host gets the highest revision and
// that the revisions which calls returned are those of their operations.
func (m *machine) heal(t failer) {
	m.deployment.Table.SetFaults(platform.TableFaults{})
	m.deployment.Network.Heal()
	for _, member := range m.running() {
		member.Table.StopStaleReads()
		member.Table.SetUnavailable(false)
	}
	m.calls.Wait()
	time.Sleep(30 * time.Second)
	m.check(t)
	highest := configuration.Revision(0)
	for _, member := range m.running() {
		highest = max(highest, member.Distributor.Revision())
	}
	for _, member := range m.running() {
		if got := member.Distributor.Revision(); got != highest {
			t.Fatalf("%s stays at revision %d, but the highest is %d", member.Host.Name, got, highest)
		}
		if applied := len(member.Distributor.RolloutStatus(highest).Applied); applied != len(m.running()) {
			t.Fatalf("%s shows %d of %d hosts with revision %d", member.Host.Name, applied, len(m.running()), highest)
		}
	}
	for operation, revisions := range m.returnedRevisions {
		for revision := range revisions {
			if m.acceptedOperations[revision] != operation && revision <= highest {
				t.Fatalf("operation %s was accepted at revision %d, which is operation %s", operation, revision, m.acceptedOperations[revision])
			}
			if revision > highest {
				t.Fatalf("operation %s was accepted at revision %d, but the highest is %d", operation, revision, highest)
			}
		}
	}
}

// resolvedHistory returns the history with the revisions of calls whose outcome
// was unknown, as found at the end. Such a call has no effect if its operation
// was never accepted, and is then left out, because each such call would double
// the number of orders that the check has to search.
func (m *machine) resolvedHistory() []porcupine.Operation {
	revisions := make(map[configuration.OperationID]configuration.Revision)
	for revision, operation := range m.acceptedOperations {
		revisions[operation] = revision
	}
	var settled []porcupine.Operation
	for _, operation := range m.history {
		if output, ok := operation.Output.(acceptOutput); ok && output.unknown {
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

// readRevision reads the revision at a host and records it in the history.
func (m *machine) readRevision(member *deployment.Member) configuration.Revision {
	began := time.Now()
	read := member.Distributor.Revision()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.history = append(m.history, porcupine.Operation{
		ClientId: len(m.history), Input: readInput{}, Output: read, Call: began.UnixNano(), Return: time.Now().UnixNano(),
	})
	return read
}

// newMachine returns a machine with three failure domains of two hosts each.
func newMachine(seed uint64, relays bool) *machine {
	d := deployment.New(seed)
	if relays {
		d.DirectPushHostLimit, d.FullMeshHostLimit = -1, 1
	}
	d.StartAll(3, 2)
	time.Sleep(2 * time.Second)
	return &machine{
		deployment: d, lastStart: 1,
		highestSeen:        make(map[*deployment.Member]configuration.Revision),
		acceptedOperations: make(map[configuration.Revision]configuration.OperationID),
		returnedRevisions:  make(map[configuration.OperationID]map[configuration.Revision]bool),
		expectedRevisions:  make(map[configuration.OperationID]configuration.Revision),
	}
}

// runOperator acts as one operator, who reads and changes the configuration in
// turn and repeats some of the operations.
func (m *machine) runOperator(client int, random *rand.Rand) {
	for i := range 12 {
		member := m.deployment.Members[random.IntN(len(m.deployment.Members))]
		expected := m.readRevision(member)
		operation := configuration.OperationID(fmt.Sprintf("c%d-%d", client, i))
		m.accept(m.deployment.Members[random.IntN(len(m.deployment.Members))], operation, expected)
		if again := m.deployment.Members[random.IntN(len(m.deployment.Members))]; random.IntN(2) == 0 {
			// An operator who learned of a higher revision expects that one in
			// the repeated call.
			m.accept(again, operation, max(expected, m.readRevision(again)))
		}
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
}

// injectFaults sets random faults of the table, and lagging reads of single hosts,
// until stop is closed.
func (m *machine) injectFaults(random *rand.Rand, stop <-chan struct{}) {
	for {
		m.deployment.Table.SetFaults(platform.TableFaults{
			LostReply: random.Float64() / 3, LostRequest: random.Float64() / 4,
			LateWrite: random.Float64() / 4, LateDelay: time.Second, Delay: 5 * time.Millisecond,
		})
		member := m.deployment.Members[random.IntN(len(m.deployment.Members))]
		if random.IntN(2) == 0 {
			member.Table.StartStaleReads(staleReadPrefixes[random.IntN(len(staleReadPrefixes))])
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

// TestConfigurationHistories guards against answers to concurrent operators that
// no order of the accepted changes explains: two changes for one revision, a
// revision that was never accepted, or a conflict with a revision that was not
// the head. The table loses requests and answers, writes late and lags meanwhile.
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
			defer m.deployment.Close()
			stop := make(chan struct{})
			m.calls.Go(func() { m.injectFaults(rand.New(rand.NewPCG(base+run, 100)), stop) })
			var clients sync.WaitGroup
			for client := range 4 {
				clients.Go(func() { m.runOperator(client, rand.New(rand.NewPCG(base+run, uint64(client)))) })
			}
			clients.Wait()
			close(stop)
			m.heal(t)
			operations += len(m.history)
			if result := porcupine.CheckOperations(configurationModel, m.resolvedHistory()); !result {
				t.Fatalf("run %d: history of %d operations is not linearizable", run, len(m.history))
			}
		})
	}
	t.Logf("%d histories with %d operations", historyRuns, operations)
}

// TestDistributorMachine guards against failures under some order of concurrent
// changes, lost and late answers, lagging reads, partitions and replaced hosts: a
// host that returns to an earlier revision, an operation that is accepted twice,
// a revision with two contents, and a host that stays behind after the faults
// have ended.
func TestDistributorMachine(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(flag.Set("rapid.checks", fmt.Sprint(machineRuns)), quicktest.IsNil)
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		// A fixed seed gives the same result in every run; make explore draws others.
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
			defer m.deployment.Close()
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
