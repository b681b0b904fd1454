package revision_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/coordination/revision"
	"github.com/persimmonmux/persimmonmux/standin/deployment"
	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// inDeployment runs a test in virtual time on 3 failure domains with 2 hosts
// each, after 3 s in which the hosts discover each other.
func inDeployment(t *testing.T, directPushHostLimit int, test func(*quicktest.C, *deployment.Deployment)) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		d := deployment.New(1)
		d.DirectPushHostLimit = directPushHostLimit
		defer d.Close()
		d.StartAll(3, 2)
		time.Sleep(3 * time.Second)
		test(c, d)
	})
}

// adapterChange returns a change that sets the adapter "a" to a version.
func adapterChange(operation string, version int) configuration.Change {
	return configuration.Change{
		Operation: configuration.OperationID(operation),
		Adapters: map[fleet.AdapterName]configuration.Adapter{
			"a": {Name: "a", Versions: []fleet.AdapterVersion{fleet.AdapterVersion(version)}, Current: fleet.AdapterVersion(version)},
		},
	}
}

func accept(c *quicktest.C, m *deployment.Member, expected configuration.Revision, operation string) {
	c.Helper()
	got, err := m.Distributor.Accept(context.Background(), expected, adapterChange(operation, int(expected)+1))
	c.Assert(err, quicktest.IsNil)
	c.Assert(got, quicktest.Equals, expected+1)
}

func assertRevision(c *quicktest.C, d *deployment.Deployment, want configuration.Revision) {
	c.Helper()
	for _, m := range d.Members {
		c.Assert(m.Distributor.Revision(), quicktest.Equals, want, quicktest.Commentf("%s", m.Host.Name))
		c.Assert(m.Distributor.Current().Adapters["a"].Current, quicktest.Equals, fleet.AdapterVersion(want))
	}
}

// TestChangeReachesEveryHost guards against a host that no push reaches, when the
// accepting host pushes to all hosts and when relays do so, and against a
// rollout status that lists the wrong hosts.
func TestChangeReachesEveryHost(t *testing.T) {
	for _, directPushHostLimit := range []int{0, -1} {
		t.Run(fmt.Sprintf("direct push host limit %d", directPushHostLimit), func(t *testing.T) {
			inDeployment(t, directPushHostLimit, func(c *quicktest.C, d *deployment.Deployment) {
				c.Assert(d.Members[0].Distributor.Current(), quicktest.IsNil)
				for expected := range configuration.Revision(3) {
					accept(c, d.Members[expected], expected, fmt.Sprint(expected))
					time.Sleep(50 * time.Millisecond)
					assertRevision(c, d, expected+1)
				}
				time.Sleep(2 * time.Second)
				rollout := d.Members[0].Distributor.RolloutStatus(3)
				c.Assert(len(rollout.Applied), quicktest.Equals, 6)
				c.Assert(d.Members[0].Distributor.RolloutStatus(4).Pending, quicktest.HasLen, 6)
			})
		})
	}
}

// TestConcurrentChangesConflict guards against two changes that are accepted for
// the same revision when two operators change the configuration at the same
// time, and against a conflict error without the expected and the actual revision.
func TestConcurrentChangesConflict(t *testing.T) {
	inDeployment(t, 0, func(c *quicktest.C, d *deployment.Deployment) {
		d.Table.SetFaults(platform.TableFaults{Delay: 10 * time.Millisecond})
		results := make(chan error, 2)
		for i := range 2 {
			go func() {
				_, err := d.Members[i].Distributor.Accept(context.Background(), 0, adapterChange(fmt.Sprint(i), 1))
				results <- err
			}()
		}
		first, second := <-results, <-results
		if first != nil {
			first, second = second, first
		}
		c.Assert(first, quicktest.IsNil)
		var conflict *revision.ConflictError
		c.Assert(errors.As(second, &conflict), quicktest.IsTrue, quicktest.Commentf("%v", second))
		c.Assert(*conflict, quicktest.Equals, revision.ConflictError{Expected: 0, Actual: 1})
		c.Assert(verdict.FromError(second).Verdict, quicktest.Equals, verdict.NotRun)
		time.Sleep(time.Second)
		assertRevision(c, d, 1)
	})
}

// TestLostOrLateTableWrites guards against a change that is accepted twice, or
// refused although it is applied, when the table loses the answer or the request
// of a transaction, or applies it late. The repeated call has the same operation.
func TestLostOrLateTableWrites(t *testing.T) {
	tests := []struct {
		name   string
		faults platform.TableFaults
	}{
		{name: "lost after the write", faults: platform.TableFaults{LostReply: 1}},
		{name: "lost before the write", faults: platform.TableFaults{LostRequest: 1}},
		{name: "written late", faults: platform.TableFaults{LateWrite: 1, LateDelay: 3 * time.Second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inDeployment(t, 0, func(c *quicktest.C, d *deployment.Deployment) {
				d.Table.SetFaults(test.faults)
				time.AfterFunc(time.Second, func() { d.Table.SetFaults(platform.TableFaults{}) })
				accept(c, d.Members[0], 0, "operation")
				time.Sleep(5 * time.Second)
				assertRevision(c, d, 1)
				accept(c, d.Members[3], 0, "operation")
				time.Sleep(5 * time.Second)
				assertRevision(c, d, 1)
			})
		})
	}
}

// TestUnknownOutcomeIsResolvedByRepeating guards against verdict not-run for a
// change that may have been accepted because the table applies it after the call
// has ended, and against a second acceptance when the operator repeats the call.
func TestUnknownOutcomeIsResolvedByRepeating(t *testing.T) {
	inDeployment(t, 0, func(c *quicktest.C, d *deployment.Deployment) {
		d.Table.SetFaults(platform.TableFaults{LateWrite: 1, LateDelay: time.Minute})
		_, err := d.Members[0].Distributor.Accept(context.Background(), 0, adapterChange("operation", 1))
		c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.MayHaveRun)
		d.Table.SetFaults(platform.TableFaults{})
		accept(c, d.Members[1], 0, "operation")
		accept(c, d.Members[1], 1, "next")
		time.Sleep(2 * time.Minute)
		assertRevision(c, d, 2)
	})
}

// TestUnavailableTableIsNotRun guards against verdict may-have-run although the
// table was unavailable and nothing was written.
func TestUnavailableTableIsNotRun(t *testing.T) {
	inDeployment(t, 0, func(c *quicktest.C, d *deployment.Deployment) {
		d.Table.SetFaults(platform.TableFaults{Unavailable: true})
		_, err := d.Members[0].Distributor.Accept(context.Background(), 0, adapterChange("operation", 1))
		c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
		c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeTableUnavailable)
	})
}

// TestInvalidChangeIsRejected guards against changes that are accepted without
// validation, and against an operation ID that is accepted for two changes.
func TestInvalidChangeIsRejected(t *testing.T) {
	inDeployment(t, 0, func(c *quicktest.C, d *deployment.Deployment) {
		refused := func(expected configuration.Revision, change configuration.Change, path string) {
			c.Helper()
			_, err := d.Members[0].Distributor.Accept(context.Background(), expected, change)
			var field *configuration.FieldError
			c.Assert(errors.As(err, &field), quicktest.IsTrue, quicktest.Commentf("%v", err))
			c.Assert(field.Path, quicktest.Equals, path)
			c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
			c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeMalformed)
		}
		refused(0, configuration.Change{}, "operation")
		refused(0, adapterChange("o", 0), "adapters.a.versions.0")
		accept(c, d.Members[0], 0, "operation")
		refused(1, adapterChange("operation", 9), "operation")
		time.Sleep(time.Second)
		assertRevision(c, d, 1)
	})
}

// TestLaggingRead guards against reads that lag: they must not return a host to
// an earlier revision, cause a conflict with an applied revision, or hide that an
// operation was accepted.
func TestLaggingRead(t *testing.T) {
	inDeployment(t, 0, func(c *quicktest.C, d *deployment.Deployment) {
		accept(c, d.Members[0], 0, "first")
		for _, m := range d.Members {
			m.Table.StartStaleReads("")
		}
		accept(c, d.Members[1], 1, "second")
		time.Sleep(5 * time.Second)
		assertRevision(c, d, 2)
		// The head that is read is older than the applied configuration.
		time.AfterFunc(time.Second, d.Members[0].Table.StopStaleReads)
		accept(c, d.Members[0], 2, "third")
		time.Sleep(time.Second)
		assertRevision(c, d, 3)
		// The read still lacks the operation record, and the head is not the
		// expected revision.
		accept(c, d.Members[1], 1, "second")
	})
}

// TestNewHostPullsFromPeersWithoutPlatform guards against a new host that gets no
// configuration while the table, the host list and the snapshots are unavailable,
// although a peer has it.
func TestNewHostPullsFromPeersWithoutPlatform(t *testing.T) {
	inDeployment(t, 0, func(c *quicktest.C, d *deployment.Deployment) {
		accept(c, d.Members[0], 0, "operation")
		d.Table.SetFaults(platform.TableFaults{Unavailable: true})
		d.HostList.Set(fleet.HostList{}, true)
		d.Snapshots.SetUnavailable(true)
		d.Start(deployment.Host(1, 9, 4), d.Members[0].Host.PeerAddress)
		time.Sleep(3 * time.Second)
		assertRevision(c, d, 1)
	})
}

// TestIsolatedDomainLoadsFromPlatform guards against a host without any reachable
// peer that does not get the configuration from the table and the snapshots.
func TestIsolatedDomainLoadsFromPlatform(t *testing.T) {
	inDeployment(t, 0, func(c *quicktest.C, d *deployment.Deployment) {
		for expected := range configuration.Revision(230) {
			accept(c, d.Members[0], expected, fmt.Sprint(expected))
			// Workers store snapshots. Without waiting for them, they would run
			// rarely on one processor and store one snapshot for many changes.
			synctest.Wait()
		}
		c.Assert(d.Snapshots.StoreCount(), quicktest.Equals, 2)
		d.HostList.Set(fleet.HostList{}, true)
		newHost := d.Start(deployment.Host(7, 1, 4))
		time.Sleep(3 * time.Second)
		c.Assert(newHost.Monitor.View().Hosts, quicktest.HasLen, 1)
		assertRevision(c, d, 230)
	})
}

// TestPartitionDuringChangeHeals guards against hosts that stay behind after a
// partition during which a change was accepted, and against a change that is
// accepted by hosts without access to the table.
func TestPartitionDuringChangeHeals(t *testing.T) {
	for _, directPushHostLimit := range []int{0, -1} {
		t.Run(fmt.Sprintf("direct push host limit %d", directPushHostLimit), func(t *testing.T) {
			inDeployment(t, directPushHostLimit, func(c *quicktest.C, d *deployment.Deployment) {
				accept(c, d.Members[0], 0, "before")
				time.Sleep(time.Second)
				isolated := d.Members[4:]
				for _, m := range isolated {
					m.Table.SetUnavailable(true)
					for _, other := range d.Members[:4] {
						d.Network.SetPartitioned(m.Host.PeerAddress, other.Host.PeerAddress, true)
					}
				}
				accept(c, d.Members[0], 1, "during")
				_, err := isolated[0].Distributor.Accept(context.Background(), 1, adapterChange("other side", 1))
				c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
				time.Sleep(10 * time.Second)
				c.Assert(isolated[0].Distributor.Revision(), quicktest.Equals, configuration.Revision(1))
				c.Assert(d.Members[0].Distributor.RolloutStatus(2).Unreachable, quicktest.HasLen, 2)
				d.Network.Heal()
				time.Sleep(4 * time.Second)
				assertRevision(c, d, 2)
			})
		})
	}
}

// TestHostPullsSnapshotAfterManyMissedChanges guards against a host that gets
// nothing because it missed more changes than its peers keep; it has to get a
// snapshot. It also checks that exactly the last 1000 changes can be pulled.
func TestHostPullsSnapshotAfterManyMissedChanges(t *testing.T) {
	inDeployment(t, 0, func(c *quicktest.C, d *deployment.Deployment) {
		isolated := d.Members[5]
		isolated.Table.SetUnavailable(true)
		for _, m := range d.Members[:5] {
			d.Network.SetPartitioned(isolated.Host.PeerAddress, m.Host.PeerAddress, true)
		}
		time.Sleep(4 * time.Second)
		const count = 2300
		for expected := range configuration.Revision(count) {
			accept(c, d.Members[0], expected, fmt.Sprint(expected))
		}
		time.Sleep(time.Second)
		changes, snapshot, _, err := d.Members[1].Distributor.PullChanges(context.Background(), count-1000)
		c.Assert(err, quicktest.IsNil)
		c.Assert(len(changes), quicktest.Equals, 1000)
		c.Assert(snapshot, quicktest.IsNil)
		_, snapshot, _, err = d.Members[1].Distributor.PullChanges(context.Background(), count-1001)
		c.Assert(err, quicktest.IsNil)
		c.Assert(snapshot, quicktest.IsNotNil)
		d.Network.Heal()
		time.Sleep(4 * time.Second)
		assertRevision(c, d, count)
	})
}

// TestOneHostPerDomainReadsHead guards against load on the table from every host
// reading the head, instead of one host per failure domain each second.
func TestOneHostPerDomainReadsHead(t *testing.T) {
	inDeployment(t, 0, func(c *quicktest.C, d *deployment.Deployment) {
		// Reads happen at whole seconds; the window begins between two of them.
		time.Sleep(500 * time.Millisecond)
		_, before := d.Table.OperationCounts()
		time.Sleep(10 * time.Second)
		_, after := d.Table.OperationCounts()
		c.Assert(after-before, quicktest.Equals, uint64(30))
	})
}

// TestCloseDoesNotWaitForPushes guards against Close waiting for pushes whose
// messages are lost in a partition, and against PushChanges blocking after Close.
func TestCloseDoesNotWaitForPushes(t *testing.T) {
	inDeployment(t, 0, func(c *quicktest.C, d *deployment.Deployment) {
		for _, m := range d.Members[1:] {
			d.Network.SetPartitioned(d.Members[0].Host.PeerAddress, m.Host.PeerAddress, true)
		}
		accept(c, d.Members[0], 0, "operation")
		began := time.Now()
		d.Stop(d.Members[0])
		c.Assert(time.Since(began), quicktest.Equals, time.Duration(0))
		got, err := d.Members[0].Distributor.PushChanges(context.Background(), "domain-1", []configuration.Change{{Revision: 2}})
		c.Assert(err, quicktest.IsNil)
		c.Assert(got, quicktest.Equals, configuration.Revision(1))
	})
}
