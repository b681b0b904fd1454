package lease

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// TestMain prints the seed of the state machine test; -rapid.seed repeats a run.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		// A fixed seed gives the same verdict in every run; make soak draws others.
		_ = seed.Value.Set("7")
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// A bubbleTest hides the type of the test, because rapid asks a *testing.T for
// its deadline, which may not be read in virtual time.
type bubbleTest struct {
	*testing.T
}

// A stateMachine runs random actions on hosts that want the same leases over one
// faulty table.
type stateMachine struct {
	t     *rapid.T
	table *platform.Table
	hosts []*testHost
	names []Name
	// tenures holds the process that used each epoch, by lease and epoch.
	tenures map[string]string
	// highest holds the highest epoch that was valid, by lease.
	highest map[Name]fleet.Epoch
	// start is the start number of the process that was started last.
	start fleet.StartNumber
}

// checkValidLeases fails if a lease is valid for two processes, if two processes
// used the same epoch, or if a lower epoch is valid after a higher one.
func (m *stateMachine) checkValidLeases() {
	for _, name := range m.names {
		user := ""
		for _, h := range m.hosts {
			epoch, ok := h.Valid(name)
			if !ok {
				continue
			}
			process := fmt.Sprintf("%s/%d", h.Host, h.Start)
			if user != "" {
				m.t.Fatalf("lease %s is valid for %s and %s", name, user, process)
			}
			user = process
			key := fmt.Sprintf("%s/%d", name, epoch)
			if last, used := m.tenures[key]; used && last != process {
				m.t.Fatalf("epoch %d of lease %s was used by %s and %s", epoch, name, last, process)
			}
			m.tenures[key] = process
			if epoch < m.highest[name] {
				m.t.Fatalf("epoch %d of lease %s is valid after epoch %d", epoch, name, m.highest[name])
			}
			m.highest[name] = epoch
		}
	}
}

// advanceAndCheck lets virtual time pass and checks the leases every 100 ms.
func (m *stateMachine) advanceAndCheck(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		advance(min(100*time.Millisecond, time.Until(end)))
		m.checkValidLeases()
	}
}

// runAction runs one random action on a random host and checks the leases.
func (m *stateMachine) runAction() {
	t := m.t
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
	h := m.hosts[i]
	name := rapid.SampledFrom(m.names).Draw(t, "name")
	switch rapid.SampledFrom([]string{"pass", "long", "want", "want", "release", "transfer", "stall", "resume", "resume", "restart", "faults", "repair", "restore"}).Draw(t, "action") {
	case "pass":
		m.advanceAndCheck(time.Duration(rapid.IntRange(50, 2000).Draw(t, "milliseconds")) * time.Millisecond)
	case "long":
		m.advanceAndCheck(time.Duration(rapid.IntRange(5, 20).Draw(t, "seconds")) * time.Second)
	case "want":
		h.Acquire(name, i)
	case "release":
		h.Release(name)
	case "transfer":
		m.transfer(h, m.hosts[(i+1)%len(m.hosts)], name)
	case "stall":
		h.table.isStalled.Store(true)
	case "resume":
		h.table.isStalled.Store(false)
	case "restart":
		h.table.isDead.Store(true)
		h.table.isStalled.Store(false)
		h.Close()
		m.start++
		m.hosts[i] = startHost(&platform.Client{Table: m.table}, h.Host, m.start)
		for _, n := range m.names {
			m.hosts[i].Acquire(n, i)
		}
	case "faults":
		m.table.SetFaults(platform.TableFaults{
			Unavailable: rapid.IntRange(0, 9).Draw(t, "unavailable") == 0,
			LostReply:   0.2, LostRequest: 0.1, LateWrite: 0.2,
			LateDelay: time.Duration(rapid.IntRange(0, 15000).Draw(t, "late")) * time.Millisecond,
			Delay:     time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond,
		})
	case "repair":
		m.table.SetFaults(platform.TableFaults{})
	case "restore":
		m.table.Restore(time.Duration(rapid.IntRange(0, 20000).Draw(t, "age")) * time.Millisecond)
	}
	synctest.Wait()
	m.checkValidLeases()
}

// transfer passes the lease from one host to another and checks the leases until
// the call ends.
func (m *stateMachine) transfer(from, to *testHost, name Name) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if epoch, err := from.Transfer(ctx, name, to.Host, to.Start); err == nil {
			_ = to.AcceptTransfer(ctx, name, epoch)
		}
	}()
	for {
		select {
		case <-done:
			return
		default:
			m.advanceAndCheck(100 * time.Millisecond)
		}
	}
}

// TestManagerStateMachine guards against two holders, a reused epoch and a lease
// that nobody gains once the table works, under pauses, restarts, table faults and tables that
// come back from an older copy.
func TestManagerStateMachine(t *testing.T) {
	steps, used := 0, 0
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTest{t}, func(t *rapid.T) {
			m := &stateMachine{
				t: t, table: platform.NewTable(rapid.Uint64().Draw(t, "table")), names: []Name{"a", "b", "c"},
				tenures: map[string]string{}, highest: map[Name]fleet.Epoch{}, start: 3,
			}
			for i, host := range []fleet.HostName{"x", "y", "z"} {
				m.hosts = append(m.hosts, startHost(&platform.Client{Table: m.table}, host, fleet.StartNumber(i+1)))
			}
			defer func() {
				for _, h := range m.hosts {
					h.table.isStalled.Store(false)
					h.Close()
				}
			}()
			for range 250 {
				m.runAction()
				steps++
			}
			m.table.SetFaults(platform.TableFaults{})
			for i, h := range m.hosts {
				h.table.isStalled.Store(false)
				for _, name := range m.names {
					h.Acquire(name, i)
				}
			}
			m.advanceAndCheck(45 * time.Second)
			for _, name := range m.names {
				if !isValid(m.hosts[0], name) && !isValid(m.hosts[1], name) && !isValid(m.hosts[2], name) {
					t.Fatalf("lease %s has no holder 45 s after all faults ended", name)
				}
			}
			used += len(m.tenures)
		})
	})
	t.Logf("%d steps, %d tenures", steps, used)
}
