package lease

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
)

// A hostTable is one host's client of the table. While isStalled is set it holds
// replies back, as on a host that is paused; once isDead is set it refuses all
// calls.
type hostTable struct {
	Table
	isStalled atomic.Bool
	isDead    atomic.Bool
	// commits counts transactions, and reads counts records read.
	commits, reads atomic.Int64
}

func (h *hostTable) Read(ctx context.Context, keys []table.Key) ([]table.Record, error) {
	if h.isDead.Load() {
		return nil, table.ErrUnavailable
	}
	h.reads.Add(int64(len(keys)))
	records, err := h.Table.Read(ctx, keys)
	h.waitWhileStalled()
	return records, err
}

func (h *hostTable) Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error) {
	if h.isDead.Load() {
		return nil, table.ErrUnavailable
	}
	h.commits.Add(1)
	results, err := h.Table.Commit(ctx, transaction)
	h.waitWhileStalled()
	return results, err
}

func (h *hostTable) waitWhileStalled() {
	for h.isStalled.Load() {
		time.Sleep(50 * time.Millisecond)
	}
}

type testHost struct {
	*Manager
	table *hostTable
}

// startHost runs a Manager with the default times on the table.
func startHost(t Table, name fleet.HostName, start fleet.StartNumber) *testHost {
	h := &testHost{table: &hostTable{Table: t}}
	h.Manager = &Manager{Host: name, Start: start, Table: h.table, Events: ring.New[Event](1000)}
	go h.Run(context.Background())
	return h
}

// events returns the events since the last call.
func (h *testHost) events() []Event {
	var events []Event
	for {
		select {
		case e := <-h.Events.Messages():
			events = append(events, e)
		default:
			return events
		}
	}
}

// An unavailableTable refuses all calls and counts them.
type unavailableTable struct{ calls atomic.Int64 }

func (a *unavailableTable) Read(context.Context, []table.Key) ([]table.Record, error) {
	a.calls.Add(1)
	return nil, table.ErrUnavailable
}

func (a *unavailableTable) Commit(context.Context, table.Transaction) ([]table.WriteResult, error) {
	a.calls.Add(1)
	return nil, table.ErrUnavailable
}

func (a *unavailableTable) Era() table.Era { return 0 }

// A silentTable answers no read until isAvailable is set.
type silentTable struct {
	Table

	isAvailable atomic.Bool
}

func (s *silentTable) Read(ctx context.Context, keys []table.Key) ([]table.Record, error) {
	if !s.isAvailable.Load() {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", table.ErrUnavailable, ctx.Err())
	}
	return s.Table.Read(ctx, keys)
}

// TestStartDuringOutage guards against a host that starts while the table is
// silent and takes its lease only seconds after the table is back.
func TestStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		silent := &silentTable{Table: platform.NewTable(1)}
		h := &testHost{table: &hostTable{Table: silent}}
		h.Manager = &Manager{Host: "a", Start: 1, Table: h.table, TableTimeout: time.Second, RenewalInterval: 2 * time.Second, Duration: 10 * time.Second}
		go h.Run(context.Background())
		h.Acquire("zone", 0)
		advance(600 * time.Millisecond)
		silent.isAvailable.Store(true)
		advance(700 * time.Millisecond)
		c.Check(isValid(h, "zone"), quicktest.IsTrue)
		c.Assert(h.Close(), quicktest.IsNil)
	})
}

// TestLaterCandidatesCallTableLessOften guards against all candidates of a lease
// calling an unavailable table as often as the first one does.
func TestLaterCandidatesCallTableLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		var calls [4]int64
		for rank := range calls {
			unavailable := &unavailableTable{}
			h := startHost(unavailable, "a", 1)
			h.Acquire("zone", rank)
			advance(time.Minute)
			calls[rank] = unavailable.calls.Load()
			c.Assert(h.Close(), quicktest.IsNil)
		}
		c.Check(calls[0] >= 20, quicktest.IsTrue, quicktest.Commentf("%v", calls))
		c.Check(calls[3]*3 <= calls[0], quicktest.IsTrue, quicktest.Commentf("%v", calls))
	})
}

// advance lets virtual time pass and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func isValid(h *testHost, name Name) bool {
	_, ok := h.Valid(name)
	return ok
}

// TestLeaseIsNotTakenWhileHolderMayUseIt guards against a second holder after
// each way in which the first one stops renewing.
func TestLeaseIsNotTakenWhileHolderMayUseIt(t *testing.T) {
	for _, test := range []struct {
		name string
		stop func(h *testHost, p *platform.Table)
		// earliest and latest bound the time until the other host's lease is valid.
		// The other host has rank 1: 6.6 s between reads, 11 s with an unchanged
		// record, 3 s for its rank. A paused holder's last renewal may come 3.3 s
		// after the stop.
		earliest, latest time.Duration
	}{
		{"released", func(h *testHost, _ *platform.Table) { h.Release("e") }, 0, 10 * time.Second},
		{"closed", func(h *testHost, _ *platform.Table) { h.Close() }, 0, 10 * time.Second},
		{"dead", func(h *testHost, _ *platform.Table) { h.table.isDead.Store(true) }, 7 * time.Second, 21 * time.Second},
		{"paused", func(h *testHost, _ *platform.Table) { h.table.isStalled.Store(true) }, 7 * time.Second, 24 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				p := platform.NewTable(1)
				a, b := startHost(p, "a", 1), startHost(p, "b", 1)
				defer b.Close()
				defer a.Close()
				defer a.table.isStalled.Store(false)
				a.Acquire("e", 0)
				advance(time.Second)
				b.Acquire("e", 1)
				advance(time.Minute)
				c.Assert(isValid(a, "e"), quicktest.IsTrue)
				c.Assert(isValid(b, "e"), quicktest.IsFalse)
				test.stop(a, p)
				stopped := time.Now()
				for !isValid(b, "e") {
					advance(10 * time.Millisecond)
					c.Assert(isValid(a, "e") && isValid(b, "e"), quicktest.IsFalse)
					c.Assert(time.Since(stopped) < test.latest, quicktest.IsTrue)
				}
				c.Assert(time.Since(stopped) >= test.earliest, quicktest.IsTrue)
				epoch, _ := b.Valid("e")
				c.Assert(epoch, quicktest.Equals, fleet.Epoch(2))
			})
		})
	}
}

// TestLostReplies guards against a lease that its holder drops when replies are
// lost or writes take effect late, and against a new epoch for the same holder.
func TestLostReplies(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults platform.TableFaults
	}{
		{"lost reply", platform.TableFaults{LostReply: 1}},
		{"late write", platform.TableFaults{LateWrite: 1, LateDelay: time.Second}},
		{"lost request sometimes", platform.TableFaults{LostRequest: 0.3}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				p := platform.NewTable(1)
				p.SetFaults(test.faults)
				a := startHost(p, "a", 1)
				defer a.Close()
				a.Acquire("e", 0)
				advance(20 * time.Second)
				epoch, ok := a.Valid("e")
				c.Assert(ok, quicktest.IsTrue)
				c.Assert(epoch, quicktest.Equals, fleet.Epoch(1))
			})
		})
	}
}

// TestTransfer guards against a transfer that leaves two holders or none when the
// reply or the request is lost, the write takes effect late or the table is
// unavailable.
func TestTransfer(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults platform.TableFaults
		moved  bool
	}{
		{"no faults", platform.TableFaults{}, true},
		{"lost reply", platform.TableFaults{LostReply: 1}, true},
		{"unavailable", platform.TableFaults{Unavailable: true}, false},
		{"lost request", platform.TableFaults{LostRequest: 1}, false},
		{"late write", platform.TableFaults{LateWrite: 1, LateDelay: 500 * time.Millisecond}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				p := platform.NewTable(1)
				a, b := startHost(p, "a", 1), startHost(p, "b", 7)
				defer a.Close()
				defer b.Close()
				a.Acquire("e", 0)
				advance(time.Second)
				b.Acquire("e", 1)
				advance(time.Second)
				p.SetFaults(test.faults)
				epoch, err := a.Transfer(context.Background(), "e", "b", 7)
				c.Assert(err == nil, quicktest.Equals, test.moved)
				c.Assert(isValid(a, "e") && errors.Is(err, ErrUnresolved), quicktest.IsFalse)
				p.SetFaults(platform.TableFaults{})
				if test.moved {
					c.Assert(b.AcceptTransfer(context.Background(), "e", epoch+1), quicktest.ErrorIs, ErrNotHeld)
					c.Assert(b.AcceptTransfer(context.Background(), "e", epoch), quicktest.IsNil)
					c.Assert(isValid(b, "e"), quicktest.IsTrue)
				}
				advance(10 * time.Second)
				c.Assert(isValid(a, "e"), quicktest.Equals, !isValid(b, "e"))
			})
		})
	}
}

// TestAcceptedLeaseIsValidWithTheReply guards against a caller of AcceptTransfer that
// gets its reply before the lease is valid.
func TestAcceptedLeaseIsValidWithTheReply(t *testing.T) {
	c := quicktest.New(t)
	k := &Manager{Host: "b", Start: 7, Table: &unavailableTable{}}
	k.setup()
	l := k.markWanted("e", 0)
	k.pendingOperations++
	record := Record{Holder: "b", Start: 7, Epoch: 2, DurationMilliseconds: k.Duration.Milliseconds(), WriteNumber: k.nextWriteNumber()}
	// The channel has no room, so that nothing after the reply runs before the check.
	reply := make(chan operationReply)
	result := operationResult{
		operation:   operation{name: "e", acceptedEpoch: 2, reply: reply},
		lease:       l,
		observation: &observation{record: table.Record{Key: Name("e").Key(), Version: 2, Value: record.encode()}, at: time.Now()},
	}
	valid := make(chan bool)
	go func() {
		r := <-reply
		_, isValid := k.Valid("e")
		valid <- isValid && r.err == nil
	}()
	result.handle(context.Background(), k)
	c.Assert(<-valid, quicktest.IsTrue)
}

// TestExpiredLeaseIsRegainedWithItsEpoch guards against a new epoch, and so new
// names for all instances, after an outage of the table in which no other host
// took the lease.
func TestExpiredLeaseIsRegainedWithItsEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		p := platform.NewTable(1)
		a := startHost(p, "a", 1)
		defer a.Close()
		a.Acquire("e", 0)
		advance(time.Second)
		p.SetFaults(platform.TableFaults{Unavailable: true})
		advance(9 * time.Second)
		c.Assert(isValid(a, "e"), quicktest.IsFalse)
		advance(time.Minute)
		p.SetFaults(platform.TableFaults{})
		advance(5 * time.Second)
		c.Assert(isValid(a, "e"), quicktest.IsTrue)
		var changes []EventType
		for _, e := range a.events() {
			c.Assert(e.Epoch, quicktest.Equals, fleet.Epoch(1))
			changes = append(changes, e.Type)
		}
		c.Assert(changes, quicktest.DeepEquals, []EventType{Gained, Expired, Gained})
	})
}

// TestRestartedHostWaits guards against a new process that uses the lease while
// the earlier process of the same host, which may only be paused, could still use
// it.
func TestRestartedHostWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		p := platform.NewTable(1)
		old := startHost(p, "a", 1)
		old.Acquire("e", 0)
		advance(time.Second)
		old.table.isDead.Store(true)
		a := startHost(p, "a", 2)
		a.Acquire("e", 0)
		advance(7 * time.Second)
		c.Assert(isValid(a, "e"), quicktest.IsFalse)
		advance(7 * time.Second)
		c.Assert(isValid(a, "e"), quicktest.IsTrue)
		c.Assert(isValid(old, "e"), quicktest.IsFalse)
		old.Close()
		a.Close()
	})
}

// TestRenewalsShareATransaction guards against a number of writes that grows with
// the number of leases. It logs the writes and reads per host and second.
func TestRenewalsShareATransaction(t *testing.T) {
	for _, test := range []struct {
		name          string
		duration      time.Duration
		renewal       time.Duration
		held, watched int
		// limit is the highest permitted number of writes in 1000 s.
		limit int64
	}{
		{"1 lease", 10 * time.Second, 3 * time.Second, 1, 0, 345},
		{"100 leases", 10 * time.Second, 3 * time.Second, 100, 0, 345},
		{"13 leases, 13 watched", 10 * time.Second, 3 * time.Second, 13, 13, 345},
		{"13 leases, 13 watched, 930 hosts", 33 * time.Second, 10 * time.Second, 13, 13, 105},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				p := platform.NewTable(1)
				other := startHost(p, "b", 1)
				defer other.Close()
				other.Acquire("other", 0)
				a := &testHost{table: &hostTable{Table: p}}
				a.Manager = &Manager{Host: "a", Start: 1, Table: a.table, Duration: test.duration, RenewalInterval: test.renewal}
				go a.Run(context.Background())
				defer a.Close()
				for i := range test.held {
					a.Acquire(Name(fmt.Sprint("held-", i)), 0)
				}
				for i := range test.watched {
					other.Acquire(Name(fmt.Sprint("watched-", i)), 0)
				}
				advance(10 * time.Second)
				for i := range test.watched {
					a.Acquire(Name(fmt.Sprint("watched-", i)), 1)
				}
				advance(10 * time.Second)
				commits, reads := a.table.commits.Load(), a.table.reads.Load()
				advance(1000 * time.Second)
				commits, reads = a.table.commits.Load()-commits, a.table.reads.Load()-reads
				t.Logf("%.3f writes and %.3f records read per second", float64(commits)/1000, float64(reads)/1000)
				c.Assert(commits <= test.limit, quicktest.IsTrue)
			})
		})
	}
}

// TestLeaseDurationStartsBeforeWrite guards against a holder that counts the
// duration from a late reply, while other hosts count from when they saw the
// record.
func TestLeaseDurationStartsBeforeWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		a := startHost(platform.NewTable(1), "a", 1)
		defer a.Close()
		a.Acquire("e", 0)
		advance(time.Second)
		a.table.isStalled.Store(true)
		// The renewal at 3 s takes effect; its reply comes 8 s later.
		advance(10500 * time.Millisecond)
		c.Assert(isValid(a, "e"), quicktest.IsFalse)
		a.table.isDead.Store(true)
		a.table.isStalled.Store(false)
		// Sent 2.7 to 3.3 s after the start, the renewal ends 9 s after that.
		advance(1300 * time.Millisecond)
		c.Assert(isValid(a, "e"), quicktest.IsFalse)
	})
}

// TestRestartedHostTakesItsLeaseAtOnce guards against a restarted host that waits
// for the lease of its earlier process, although it holds the same sockets and so
// knows that this process has ended.
func TestRestartedHostTakesItsLeaseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		p := platform.NewTable(1)
		first := startHost(p, "host", 1)
		first.Acquire("e", 0)
		advance(time.Second)
		c.Assert(isValid(first, "e"), quicktest.IsTrue)
		epoch, _ := first.Valid("e")
		first.table.isDead.Store(true)

		second := &testHost{table: &hostTable{Table: p}}
		second.Manager = &Manager{Host: "host", Start: 2, PredecessorsEnded: true, Table: second.table, Events: ring.New[Event](10)}
		go second.Run(context.Background())
		second.Acquire("e", 2)
		other := startHost(p, "other", 1)
		other.Acquire("e", 0)
		advance(time.Second)
		c.Assert(isValid(second, "e"), quicktest.IsTrue)
		next, _ := second.Valid("e")
		c.Assert(next, quicktest.Equals, epoch+1)
		c.Assert(isValid(other, "e"), quicktest.IsFalse)
		first.Close()
		second.Close()
		other.Close()
	})
}

// TestSuspendedHolderStopsUsingLease guards against a holder that was suspended
// and trusts a lease while another host holds it, because the monotonic clock
// left the time of the suspension out.
func TestSuspendedHolderStopsUsingLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		p := platform.NewTable(1)
		var suspended atomic.Int64
		h := &testHost{table: &hostTable{Table: p}}
		h.Manager = &Manager{
			Host: "a", Start: 1, Table: h.table, Events: ring.New[Event](1000),
			SuspendedDuration: func() time.Duration { return time.Duration(suspended.Load()) },
		}
		go h.Run(context.Background())
		h.Acquire("e", 0)
		advance(2 * DefaultRenewalInterval)
		c.Check(isValid(h, "e"), quicktest.IsTrue)
		// The table does not answer while the machine wakes.
		h.table.isDead.Store(true)
		suspended.Store(int64(DefaultDuration))
		c.Check(isValid(h, "e"), quicktest.IsFalse)
		h.table.isDead.Store(false)
		advance(3 * DefaultRenewalInterval)
		c.Check(isValid(h, "e"), quicktest.IsTrue)
		h.Close()
	})
}
