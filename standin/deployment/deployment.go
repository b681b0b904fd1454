// Package deployment runs the membership and the configuration of many entry
// hosts in one process, on an in-memory network and the stand-in platform.
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

// A Member is one running entry host.
type Member struct {
	Host        fleet.Host
	Monitor     *membership.Monitor
	Distributor *revision.Distributor
	// Table is the way of this host to the table.
	Table *FaultyTable

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// A Deployment is a set of entry hosts. Its exported fields are set before the
// first host starts.
type Deployment struct {
	Network   *peernetwork.Network
	Table     *platform.Table
	List      *HostList
	Snapshots *SnapshotStore
	// FullMeshHostLimit and DirectPushHostLimit are the settings of all hosts.
	FullMeshHostLimit, DirectPushHostLimit int
	// Members are all hosts that were started.
	Members []*Member
}

// New returns a deployment without hosts, whose faults follow seed.
func New(seed uint64) *Deployment {
	return &Deployment{
		Network:   peernetwork.NewNetwork(seed),
		Table:     platform.NewTable(seed),
		List:      &HostList{},
		Snapshots: &SnapshotStore{},
	}
}

// Host returns the description of a host by its place.
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

// StartAll lists and starts hosts in each of the failure domains.
func (d *Deployment) StartAll(domains, hosts int) {
	var listing fleet.HostList
	for domain := range domains {
		for index := range hosts {
			listing.Hosts = append(listing.Hosts, Host(domain, index, 1))
		}
	}
	d.List.Set(listing, false)
	for _, host := range listing.Hosts {
		d.Start(host)
	}
}

// Start starts a host.
func (d *Deployment) Start(host fleet.Host, seeds ...string) *Member {
	m := &Member{Host: host, Table: &FaultyTable{Inner: d.Table}}
	m.Distributor = &revision.Distributor{
		Self: host, Table: m.Table, Snapshots: d.Snapshots, Peers: d.Network.ClientOf(host), DirectPushHostLimit: d.DirectPushHostLimit,
	}
	m.Monitor = &membership.Monitor{
		Self: host, Seeds: seeds, Peers: d.Network.ClientOf(host), HostList: d.List,
		Revisions: m.Distributor, FullMeshHostLimit: d.FullMeshHostLimit,
	}
	m.Distributor.Members = m.Monitor
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	d.Network.Add(&peernetwork.Endpoint{Host: host, Heartbeats: m.Monitor, Configurations: m.Distributor})
	m.done.Go(func() { _ = m.Monitor.Run(ctx) })
	m.done.Go(func() { _ = m.Distributor.Run(ctx) })
	d.Members = append(d.Members, m)
	return m
}

// Stop ends a host without a word to the others.
func (d *Deployment) Stop(m *Member) {
	d.Network.Remove(m.Host.PeerAddress)
	m.cancel()
	m.done.Wait()
}

// Close ends all hosts.
func (d *Deployment) Close() {
	for _, m := range d.Members {
		m.cancel()
	}
	for _, m := range d.Members {
		m.done.Wait()
	}
}

// errAway is the error of a part of the platform that is away.
var errAway = errors.New("platform is away")

// A HostList is a host list that shows what it was set to.
type HostList struct {
	mutex   sync.Mutex
	listing fleet.HostList
	away    bool
}

// Set replaces the list, and whether it is away.
func (l *HostList) Set(listing fleet.HostList, away bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.listing, l.away = listing, away
}

// Listing returns the list.
func (l *HostList) Listing(context.Context) (fleet.HostList, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.away {
		return fleet.HostList{}, errAway
	}
	return l.listing, nil
}

// SnapshotStore is a store of the last snapshot.
type SnapshotStore struct {
	mutex  sync.Mutex
	latest *configuration.Configuration
	away   bool
	stored int
}

// SetUnavailable sets whether the store is away.
func (s *SnapshotStore) SetUnavailable(away bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = away
}

// StoreCount returns the number of snapshots stored.
func (s *SnapshotStore) StoreCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stored
}

// Latest returns the last snapshot, or nil.
func (s *SnapshotStore) Latest(context.Context) (*configuration.Configuration, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return nil, errAway
	}
	return s.latest, nil
}

// Store stores a snapshot.
func (s *SnapshotStore) Store(_ context.Context, snapshot *configuration.Configuration) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return errAway
	}
	s.latest = snapshot
	s.stored++
	return nil
}
