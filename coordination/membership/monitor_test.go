package membership

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/standin/peernetwork"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// fixedRevision is a RevisionTracker whose revision the test sets. It records
// the last revision that ObserveRevision got.
type fixedRevision struct {
	revision atomic.Uint64
	seen     atomic.Uint64
}

func (f *fixedRevision) Revision() configuration.Revision {
	return configuration.Revision(f.revision.Load())
}

func (f *fixedRevision) ObserveRevision(_ fleet.Host, revision configuration.Revision) {
	f.seen.Store(uint64(revision))
}

// hostList is a HostList with content that the test sets. It counts its reads
// and can be made unavailable.
type hostList struct {
	mutex       sync.Mutex
	listing     fleet.HostList
	unavailable bool
	reads       int
}

func (l *hostList) Listing(context.Context) (fleet.HostList, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reads++
	if l.unavailable {
		return fleet.HostList{}, errors.New("host list is unavailable")
	}
	return l.listing, nil
}

func (l *hostList) setUnavailable() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unavailable = true
}

func (l *hostList) set(listing fleet.HostList) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.listing = listing
}

// member is a host under test, with the revision and the events of its monitor.
type member struct {
	*Monitor
	revision *fixedRevision
	events   *ring.Ring[Event]
}

// deployment runs the monitors of several hosts on an in-memory network.
type deployment struct {
	network           *peernetwork.Network
	list              *hostList
	members           []*member
	fullMeshHostLimit int
	// cancels end the contexts of the members.
	cancels []context.CancelFunc
	done    sync.WaitGroup
}

func testHost(domain, index int, start fleet.StartNumber) fleet.Host {
	return fleet.Host{
		Name:          fleet.HostName(fmt.Sprintf("host-%d-%02d", domain, index)),
		Start:         start,
		FailureDomain: fleet.FailureDomainName(fmt.Sprintf("domain-%d", domain)),
		Region:        "region",
		PeerAddress:   fmt.Sprintf("10.0.%d.%d:7000", domain, index),
		State:         fleet.HostLive,
	}
}

func newDeployment(domains, hosts, limit int) *deployment {
	d := &deployment{network: peernetwork.NewNetwork(1), list: &hostList{}, fullMeshHostLimit: limit}
	var listing fleet.HostList
	for domain := range domains {
		for index := range hosts {
			listing.Hosts = append(listing.Hosts, testHost(domain, index, 1))
		}
	}
	d.list.set(listing)
	for _, host := range listing.Hosts {
		d.start(host)
	}
	return d
}

func (d *deployment) start(host fleet.Host, seeds ...string) *member {
	m := &member{revision: &fixedRevision{}, events: ring.New[Event](4096)}
	m.Monitor = &Monitor{
		Self: host, Peers: d.network.NewClient(host), HostList: d.list, Revisions: m.revision,
		Events: []*ring.Ring[Event]{m.events}, FullMeshHostLimit: d.fullMeshHostLimit, Seeds: seeds,
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancels = append(d.cancels, cancel)
	d.members = append(d.members, m)
	d.network.Add(&peernetwork.Endpoint{Host: host, Heartbeats: m.Monitor})
	d.done.Go(func() { _ = m.Run(ctx) })
	return m
}

// stop ends one member without Leave, so that its peers notice only that its
// heartbeats end.
func (d *deployment) stop(m *member) {
	d.network.Remove(m.Self.PeerAddress)
	_ = m.Close()
}

func (d *deployment) close() {
	for _, cancel := range d.cancels {
		cancel()
	}
	d.done.Wait()
}

// inDeployment runs a test in virtual time on a new deployment, after 6 s in
// which the hosts discover each other.
func inDeployment(t *testing.T, domains, hosts, limit int, test func(*quicktest.C, *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		d := newDeployment(domains, hosts, limit)
		defer d.close()
		time.Sleep(6 * time.Second)
		test(c, d)
	})
}

func (d *deployment) stateAt(observer *member, host fleet.Host) fleet.HostState {
	return observer.View().Hosts[host.Name].Host.State
}

// assertAll checks the state of one host at all other running members.
func (d *deployment) assertAll(c *quicktest.C, of *member, state fleet.HostState) {
	c.Helper()
	for _, observer := range d.members {
		if observer != of && observer.running.Load() {
			c.Assert(d.stateAt(observer, of.Self), quicktest.Equals, state,
				quicktest.Commentf("%s at %s", of.Self.Name, observer.Self.Name))
		}
	}
}

// layouts are a deployment in full mesh and one with relays.
var layouts = []struct {
	name           string
	domains, hosts int
	limit          int
}{
	{name: "full mesh", domains: 3, hosts: 3},
	{name: "relays", domains: 3, hosts: 4, limit: 4},
}

// TestPartitionedHostBecomesUnreachableAndRecovers guards against a host that
// stays live at its peers although a partition separates it from all of them,
// and against one that stays unreachable after the partition has healed.
func TestPartitionedHostBecomesUnreachableAndRecovers(t *testing.T) {
	for _, layout := range layouts {
		t.Run(layout.name, func(t *testing.T) {
			inDeployment(t, layout.domains, layout.hosts, layout.limit, func(c *quicktest.C, d *deployment) {
				for _, m := range d.members {
					d.assertAll(c, m, fleet.HostLive)
					c.Assert(m.View().FullMesh, quicktest.Equals, layout.limit == 0)
				}
				victim := d.members[0]
				for _, m := range d.members[1:] {
					d.network.SetPartitioned(victim.Self.PeerAddress, m.Self.PeerAddress, true)
				}
				time.Sleep(7 * time.Second)
				d.assertAll(c, victim, fleet.HostUnreachable)
				d.network.Heal()
				time.Sleep(5 * time.Second)
				d.assertAll(c, victim, fleet.HostLive)
				d.assertAll(c, d.members[1], fleet.HostLive)
			})
		})
	}
}

// TestStoppedPeerIsUnreachableAfterThreeSeconds guards against a host that its
// direct peers still show as live more than three seconds after its last
// heartbeat, or show as unreachable too early.
func TestStoppedPeerIsUnreachableAfterThreeSeconds(t *testing.T) {
	inDeployment(t, 1, 3, 0, func(c *quicktest.C, d *deployment) {
		d.stop(d.members[0])
		time.Sleep(1900 * time.Millisecond)
		d.assertAll(c, d.members[0], fleet.HostLive)
		time.Sleep(2200 * time.Millisecond)
		d.assertAll(c, d.members[0], fleet.HostUnreachable)
	})
}

// TestLeavingHostIsSharedAtOnceAndStaysLeaving guards against requests to a host
// that is leaving: peers that learn of it late, and peers that show it as live
// again after a delayed heartbeat or a host list from before it left.
func TestLeavingHostIsSharedAtOnceAndStaysLeaving(t *testing.T) {
	for _, layout := range layouts {
		t.Run(layout.name, func(t *testing.T) {
			inDeployment(t, layout.domains, layout.hosts, layout.limit, func(c *quicktest.C, d *deployment) {
				leaver := d.members[2]
				c.Assert(leaver.Leave(), quicktest.IsTrue)
				if layout.limit == 0 {
					time.Sleep(10 * time.Millisecond)
				} else {
					time.Sleep(3 * time.Second)
				}
				d.assertAll(c, leaver, fleet.HostLeaving)
				// A heartbeat from before Leave arrives late, and the list still says
				// that the host is live.
				for _, m := range d.members {
					if m != leaver {
						m.ReceiveHeartbeat(fleet.Heartbeat{Host: leaver.Self})
					}
				}
				time.Sleep(12 * time.Second)
				d.assertAll(c, leaver, fleet.HostLeaving)
				d.stop(leaver)
				time.Sleep(10 * time.Second)
				d.assertAll(c, leaver, fleet.HostLeaving)
			})
		})
	}
}

// TestReplacedHost guards against a new process that gets the state of the
// earlier process under its name or address, for example leaving, and against
// late heartbeats of the earlier process that replace the new one's state.
func TestReplacedHost(t *testing.T) {
	for _, layout := range layouts {
		for _, renamed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s renamed %v", layout.name, renamed), func(t *testing.T) {
				inDeployment(t, layout.domains, layout.hosts, layout.limit, func(c *quicktest.C, d *deployment) {
					old := d.members[1]
					old.Leave()
					time.Sleep(time.Second)
					d.stop(old)
					host := old.Self
					host.Start = 2
					if renamed {
						host.Name = "another-name"
					}
					replacement := d.start(host)
					time.Sleep(6 * time.Second)
					d.assertAll(c, replacement, fleet.HostLive)
					for _, m := range d.members {
						if m != old && m != replacement {
							m.ReceiveHeartbeat(fleet.Heartbeat{Host: old.Self, Revision: 99})
							c.Assert(m.View().Hosts[host.Name].Host.Start, quicktest.Equals, fleet.StartNumber(2))
						}
					}
					time.Sleep(2 * time.Second)
					d.assertAll(c, replacement, fleet.HostLive)
					c.Assert(len(replacement.View().Hosts) >= layout.domains*layout.hosts, quicktest.IsTrue)
				})
			})
		}
	}
}

// TestNewHostJoinsThroughSeedsWithoutHostList guards against a new host that
// finds no other hosts, and is not found, while the host list is unavailable.
func TestNewHostJoinsThroughSeedsWithoutHostList(t *testing.T) {
	for _, layout := range layouts {
		t.Run(layout.name, func(t *testing.T) {
			inDeployment(t, layout.domains, layout.hosts, layout.limit, func(c *quicktest.C, d *deployment) {
				d.list.setUnavailable()
				m := d.start(testHost(2, 50, 5), d.members[0].Self.PeerAddress)
				time.Sleep(8 * time.Second)
				d.assertAll(c, m, fleet.HostLive)
				for _, other := range d.members {
					c.Assert(d.stateAt(m, other.Self), quicktest.Equals, fleet.HostLive, quicktest.Commentf("%s", other.Self.Name))
				}
			})
		})
	}
}

// TestLeavingServerWithoutStart guards against requests to an engine that the
// host list names as leaving without its start number, when they are checked
// with the start number that the engine's owner knows.
func TestLeavingServerWithoutStart(t *testing.T) {
	for _, layout := range layouts {
		t.Run(layout.name, func(t *testing.T) {
			inDeployment(t, layout.domains, layout.hosts, layout.limit, func(c *quicktest.C, d *deployment) {
				listing := d.list.listing
				listing.Servers = []fleet.ListedServer{{Name: "engine-1", State: fleet.HostLeaving}}
				d.list.set(listing)
				time.Sleep(3 * time.Second)
				for _, m := range d.members {
					c.Assert(m.View().ServerLeaving("engine-1", 7), quicktest.IsTrue, quicktest.Commentf("%s", m.Self.Name))
				}
			})
		})
	}
}

// TestLeavingServer guards against requests to a backend server more than 3 s
// after the host list names it as leaving, and against a server that counts as
// live again because a later list calls the same process live. A newer process
// of the server is not leaving.
func TestLeavingServer(t *testing.T) {
	for _, layout := range layouts {
		t.Run(layout.name, func(t *testing.T) {
			inDeployment(t, layout.domains, layout.hosts, layout.limit, func(c *quicktest.C, d *deployment) {
				listing := d.list.listing
				listing.Servers = []fleet.ListedServer{{Name: "engine-1", Start: 7, State: fleet.HostLeaving}}
				d.list.set(listing)
				time.Sleep(3 * time.Second)
				check := func(start fleet.StartNumber, leaving bool) {
					for _, m := range d.members {
						c.Assert(m.View().ServerLeaving("engine-1", start), quicktest.Equals, leaving, quicktest.Commentf("%s", m.Self.Name))
					}
				}
				check(7, true)
				check(8, false)
				listing.Servers = []fleet.ListedServer{{Name: "engine-1", Start: 7, State: fleet.HostLive}}
				d.list.set(listing)
				time.Sleep(15 * time.Second)
				check(7, true)
				listing.Servers = []fleet.ListedServer{{Name: "engine-1", Start: 8, State: fleet.HostLive}}
				d.list.set(listing)
				time.Sleep(15 * time.Second)
				check(8, false)
			})
		})
	}
}

// TestEngineDirectory guards against a view that keeps a former owner of an
// engine, loses the instances when a summary has only the load, or lacks engines
// of other failure domains.
func TestEngineDirectory(t *testing.T) {
	for _, layout := range layouts {
		t.Run(layout.name, func(t *testing.T) {
			inDeployment(t, layout.domains, layout.hosts, layout.limit, func(c *quicktest.C, d *deployment) {
				owner, next := d.members[0], d.members[len(d.members)-1]
				instances := []fleet.Instance{{Adapter: fleet.AdapterReference{Name: "a", Version: 1}, Epoch: 1}}
				summary := fleet.EngineSummary{Engine: "e", Epoch: 1, Version: 1, Start: 3, Instances: instances}
				check := func(epoch fleet.Epoch, owner fleet.HostName, running int) {
					c.Helper()
					for _, m := range d.members {
						got := m.View().Engines["e"]
						comment := quicktest.Commentf("%s", m.Self.Name)
						c.Assert(got.Epoch, quicktest.Equals, epoch, comment)
						c.Assert(got.Owner, quicktest.Equals, owner, comment)
						c.Assert(got.Running, quicktest.Equals, running, comment)
						c.Assert(got.Instances, quicktest.DeepEquals, instances, comment)
					}
				}
				owner.SetEngines([]fleet.EngineSummary{summary})
				time.Sleep(5 * time.Second)
				check(1, owner.Self.Name, 0)
				summary.Running = 5
				owner.SetEngines([]fleet.EngineSummary{summary})
				time.Sleep(10 * time.Second)
				check(1, owner.Self.Name, 5)
				// The next owner takes over while the former one still sends its load.
				taken := summary
				taken.Epoch, taken.Running = 2, 1
				next.SetEngines([]fleet.EngineSummary{taken})
				summary.Running = 6
				owner.SetEngines([]fleet.EngineSummary{summary})
				time.Sleep(10 * time.Second)
				check(2, next.Self.Name, 1)
			})
		})
	}
}

// TestRevisionsReachAllHosts guards against a view without the revision of a
// host, which operators then do not see, and against a higher revision at a peer
// that is not reported to the RevisionTracker, so that nobody pulls it.
func TestRevisionsReachAllHosts(t *testing.T) {
	for _, layout := range layouts {
		t.Run(layout.name, func(t *testing.T) {
			inDeployment(t, layout.domains, layout.hosts, layout.limit, func(c *quicktest.C, d *deployment) {
				ahead := d.members[0]
				ahead.revision.revision.Store(4)
				time.Sleep(5 * time.Second)
				for _, m := range d.members[1:] {
					c.Assert(m.View().Hosts[ahead.Self.Name].Revision, quicktest.Equals, configuration.Revision(4))
				}
				c.Assert(d.members[1].revision.seen.Load(), quicktest.Equals, uint64(4))
			})
		})
	}
}

// TestEventIsSentAfterTheViewIsPublished guards against an event that arrives
// before the view shows its change, and against a change without an event.
func TestEventIsSentAfterTheViewIsPublished(t *testing.T) {
	inDeployment(t, 1, 2, 0, func(c *quicktest.C, d *deployment) {
		for d.members[0].events.Len() > 0 {
			<-d.members[0].events.Messages()
		}
		d.members[1].Leave()
		event := <-d.members[0].events.Messages()
		c.Assert(event.Kind, quicktest.Equals, EventHost)
		c.Assert(event.Host.State, quicktest.Equals, fleet.HostLeaving)
		d.assertAll(c, d.members[1], fleet.HostLeaving)
	})
}

// TestReceiveWithoutLoop guards against ReceiveHeartbeat blocking forever before
// Run and after Close, when no loop answers.
func TestReceiveWithoutLoop(t *testing.T) {
	c := quicktest.New(t)
	m := &Monitor{Self: testHost(0, 0, 1), Revisions: &fixedRevision{}}
	c.Assert(m.ReceiveHeartbeat(fleet.Heartbeat{}).Host.Name, quicktest.Equals, m.Self.Name)
	c.Assert(m.Close(), quicktest.IsNil)
	c.Assert(m.ReceiveHeartbeat(fleet.Heartbeat{}).Host.Name, quicktest.Equals, m.Self.Name)
}
