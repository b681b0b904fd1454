// Package deployment runs the membership monitor and the configuration distributor of
// many entry hosts in one process, on an in-memory network and the stand-in platform.
package deployment

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/persimmonmux/persimmonmux/coordination/membership"
	"github.com/persimmonmux/persimmonmux/coordination/revision"
	"github.com/persimmonmux/persimmonmux/standin/peernetwork"
	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A Member is one entry host of a deployment. Deployment.Start creates it, and it stays
// in Deployment.Members after it was stopped.
type Member struct {
	Host        fleet.Host
	Monitor     *membership.Monitor
	Distributor *revision.Distributor
	// Table is this host's access to the shared table.
	Table *FaultyTable

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// A Deployment is a set of entry hosts that share a network and a platform. The caller
// may change its exported fields, except Members, until the first host starts. Start and
// Stop must not be called concurrently.
type Deployment struct {
	Network   *peernetwork.Network
	Table     *platform.Table
	HostList  *HostList
	Snapshots *SnapshotStore
	// FullMeshHostLimit and DirectPushHostLimit are given to the monitor and the
	// distributor of every host.
	FullMeshHostLimit, DirectPushHostLimit int
	// Members are all hosts that were started, in the order of their starts.
	Members []*Member
}

// New returns a deployment without hosts. The faults of its network and its table are
// drawn at random from seed.
func New(seed uint64) *Deployment {
	return &Deployment{
		Network:   peernetwork.NewNetwork(seed),
		Table:     platform.NewTable(seed),
		HostList:  &HostList{},
		Snapshots: &SnapshotStore{},
	}
}

// Host returns the live host with an index in a failure domain, with a name and an
// address made from both. Two successive failure domains form a region.
func Host(domain, index int, start fleet.StartNumber) fleet.Host {
	return fleet.Host{
		Name:          fleet.HostName(fmt.Sprintf("host-%d-%d", domain, index)),
		Start:         start,
		FailureDomain: fleet.FailureDomainName(fmt.Sprintf("domain-%d", domain)),
		Region:        fleet.RegionName(fmt.Sprintf("region-%d", domain/2)),
		PeerAddress:   fmt.Sprintf("10.%d.0.%d:7000", domain, index),
		State:         fleet.HostLive,
	}
}

// StartAll sets the host list to the given number of hosts in each of the failure
// domains and starts them.
func (d *Deployment) StartAll(domains, hosts int) {
	var listing fleet.HostList
	for domain := range domains {
		for index := range hosts {
			listing.Hosts = append(listing.Hosts, Host(domain, index, 1))
		}
	}
	d.HostList.Set(listing, false)
	for _, host := range listing.Hosts {
		d.Start(host)
	}
}

// Start starts a host without adding it to the host list. The seeds are peer addresses of
// other hosts, which the host contacts while it cannot read the host list.
func (d *Deployment) Start(host fleet.Host, seeds ...string) *Member {
	m := &Member{Host: host, Table: &FaultyTable{Inner: d.Table}}
	m.Distributor = &revision.Distributor{
		Self: host, Table: m.Table, Snapshots: d.Snapshots, Peers: d.Network.NewClient(host), DirectPushHostLimit: d.DirectPushHostLimit,
	}
	m.Monitor = &membership.Monitor{
		Self: host, Seeds: seeds, Peers: d.Network.NewClient(host), HostList: d.HostList,
		Revisions: m.Distributor, FullMeshHostLimit: d.FullMeshHostLimit,
	}
	m.Distributor.Members = m.Monitor
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	d.Network.Add(&peernetwork.Endpoint{Host: host, Heartbeats: m.Monitor, Configurations: m.Distributor})
	m.goroutines.Go(func() { _ = m.Monitor.Run(ctx) })
	m.goroutines.Go(func() { _ = m.Distributor.Run(ctx) })
	d.Members = append(d.Members, m)
	return m
}

// Stop ends a host as a crash does: the other hosts get no notice. It returns after the
// host's goroutines have ended.
func (d *Deployment) Stop(m *Member) {
	d.Network.Remove(m.Host.PeerAddress)
	m.cancel()
	m.goroutines.Wait()
}

// Close ends all hosts and waits for their goroutines.
func (d *Deployment) Close() {
	for _, m := range d.Members {
		m.cancel()
	}
	for _, m := range d.Members {
		m.goroutines.Wait()
	}
}

// errUnavailable is returned by a host list or a snapshot store that was set unavailable.
var errUnavailable = errors.New("platform is unavailable")

// A HostList is a host list whose content and availability a test sets. It is safe for
// concurrent use.
type HostList struct {
	mutex       sync.Mutex
	listing     fleet.HostList
	unavailable bool
}

// Set replaces the list, and sets whether reading it fails.
func (l *HostList) Set(listing fleet.HostList, unavailable bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.listing, l.unavailable = listing, unavailable
}

// Listing returns the list that was last set, or an error while it is unavailable.
func (l *HostList) Listing(context.Context) (fleet.HostList, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.unavailable {
		return fleet.HostList{}, errUnavailable
	}
	return l.listing, nil
}

// A SnapshotStore is an in-memory store of the latest configuration snapshot. It is safe
// for concurrent use.
type SnapshotStore struct {
	mutex       sync.Mutex
	latest      *configuration.Configuration
	unavailable bool
	storeCount  int
}

// SetUnavailable sets whether reads and writes of the store fail.
func (s *SnapshotStore) SetUnavailable(unavailable bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unavailable = unavailable
}

// StoreCount returns how often a snapshot was stored.
func (s *SnapshotStore) StoreCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.storeCount
}

// Latest returns the snapshot that was stored last, or nil if there is none.
func (s *SnapshotStore) Latest(context.Context) (*configuration.Configuration, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unavailable {
		return nil, errUnavailable
	}
	return s.latest, nil
}

// Store replaces the stored snapshot.
func (s *SnapshotStore) Store(_ context.Context, snapshot *configuration.Configuration) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unavailable {
		return errUnavailable
	}
	s.latest = snapshot
	s.storeCount++
	return nil
}
