// Package peernetwork is an in-memory stand-in for the network between entry hosts,
// with delays, partitions and lost messages. It can run in the virtual time of
// testing/synctest.
package peernetwork

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A HeartbeatHandler is the part of an entry host that receives heartbeats. It returns
// its own heartbeat as the answer.
type HeartbeatHandler interface {
	ReceiveHeartbeat(heartbeat fleet.Heartbeat) fleet.Heartbeat
}

// A ConfigurationHandler is the part of an entry host that receives pushed configuration
// changes and serves pulls.
type ConfigurationHandler interface {
	PushChanges(ctx context.Context, from fleet.FailureDomainName, changes []configuration.Change) (configuration.Revision, error)
	PullChanges(ctx context.Context, after configuration.Revision) ([]configuration.Change, *configuration.Configuration, configuration.Revision, error)
}

// An Endpoint is an entry host process on the network, at the peer address of Host.
type Endpoint struct {
	Host           fleet.Host
	Heartbeats     HeartbeatHandler
	Configurations ConfigurationHandler
}

// Faults are the random faults of the network. The zero value injects none.
type Faults struct {
	// LostRequest and LostReply are the probabilities, from 0 to 1, that a request
	// or a reply is lost. The sender of the request then waits until its context ends.
	LostRequest, LostReply float64
}

// A Network delivers calls between endpoints by peer address. The caller sets its
// exported fields before use; the methods are safe for concurrent use.
type Network struct {
	// Delay returns the one-way delay between two hosts; nil means none.
	Delay func(from, to fleet.Host) time.Duration
	// Observe is called with each request that is sent and each reply; nil means
	// no observer. Several goroutines may call it at the same time.
	Observe func(from, to fleet.Host, call string, message any)

	mutex       sync.Mutex
	random      *rand.Rand
	faults      Faults
	endpoints   map[string]*Endpoint
	partitioned map[[2]string]bool
}

// NewNetwork returns a network without endpoints and faults. Faults that are set later
// are drawn at random from seed.
func NewNetwork(seed uint64) *Network {
	return &Network{
		random:      rand.New(rand.NewPCG(seed, 2)),
		endpoints:   make(map[string]*Endpoint),
		partitioned: make(map[[2]string]bool),
	}
}

// Add puts an endpoint at its host's peer address. It replaces an earlier endpoint there.
func (n *Network) Add(endpoint *Endpoint) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.endpoints[endpoint.Host.PeerAddress] = endpoint
}

// Remove removes the endpoint at an address. Later calls to the address fail with
// fleet.ErrConnectionRefused.
func (n *Network) Remove(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.endpoints, address)
}

// SetFaults replaces the random faults. Messages that were sent before are not affected.
func (n *Network) SetFaults(faults Faults) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.faults = faults
}

// SetPartitioned sets whether messages between two addresses are lost, in both directions.
func (n *Network) SetPartitioned(one, other string, partitioned bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.partitioned[[2]string{min(one, other), max(one, other)}] = partitioned
}

// Heal ends all partitions and random faults.
func (n *Network) Heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.partitioned)
	n.faults = Faults{}
}

// NewClient returns a client whose calls come from a host.
func (n *Network) NewClient(host fleet.Host) *Client {
	return &Client{network: n, host: host}
}

// A Client makes one host's calls to its peers. It is safe for concurrent use.
type Client struct {
	network *Network
	host    fleet.Host
}

// Exchange sends a heartbeat to the peer at an address and returns the peer's heartbeat.
func (l *Client) Exchange(ctx context.Context, address string, heartbeat fleet.Heartbeat) (fleet.Heartbeat, error) {
	return roundTrip(ctx, l, address, "exchange", heartbeat, func(e *Endpoint) (fleet.Heartbeat, error) {
		return e.Heartbeats.ReceiveHeartbeat(heartbeat), nil
	})
}

// PushChanges sends configuration changes to the peer at an address and returns the
// revision that is then applied there.
func (l *Client) PushChanges(ctx context.Context, address string, changes []configuration.Change) (configuration.Revision, error) {
	return roundTrip(ctx, l, address, "push", changes, func(e *Endpoint) (configuration.Revision, error) {
		return e.Configurations.PushChanges(ctx, l.host.FailureDomain, changes)
	})
}

// A PullReply is a peer's reply to PullChanges, as Network.Observe receives it: changes or
// a snapshot, and the revision that the peer returned with them.
type PullReply struct {
	Changes  []configuration.Change
	Snapshot *configuration.Configuration
	Revision configuration.Revision
}

// PullChanges returns the configuration changes after a revision from the peer at an
// address, or a snapshot, and the peer's revision.
func (l *Client) PullChanges(ctx context.Context, address string, after configuration.Revision) ([]configuration.Change, *configuration.Configuration, configuration.Revision, error) {
	pulled, err := roundTrip(ctx, l, address, "pull", after, func(e *Endpoint) (PullReply, error) {
		changes, snapshot, revision, err := e.Configurations.PullChanges(ctx, after)
		return PullReply{Changes: changes, Snapshot: snapshot, Revision: revision}, err
	})
	return pulled.Changes, pulled.Snapshot, pulled.Revision, err
}

// errMessageLost means that a partition or a random fault dropped a request or a reply.
var errMessageLost = errors.New("message lost")

// roundTrip sends a request to the endpoint at an address, serves it there and returns the
// reply. Either message can be lost; then it returns when ctx ends.
func roundTrip[Request, Reply any](ctx context.Context, l *Client, address, name string, request Request, serve func(*Endpoint) (Reply, error)) (Reply, error) {
	var none Reply
	endpoint, err := l.network.routeRequest(ctx, l.host.PeerAddress, address)
	if err != nil {
		return none, fmt.Errorf("%s at %s: %w", name, address, err)
	}
	l.network.observe(l.host, endpoint.Host, name, request)
	if err := l.network.deliver(ctx, l.host, endpoint.Host, false); err != nil {
		return none, fmt.Errorf("%s at %s: %w", name, address, err)
	}
	reply, err := serve(endpoint)
	if err != nil {
		return none, fmt.Errorf("%s at %s: %w", name, address, err)
	}
	l.network.observe(endpoint.Host, l.host, name, reply)
	if err := l.network.deliver(ctx, endpoint.Host, l.host, true); err != nil {
		return none, fmt.Errorf("%s at %s: %w", name, address, err)
	}
	return reply, nil
}

// routeRequest returns the endpoint at an address, unless the request is lost on its way.
func (n *Network) routeRequest(ctx context.Context, from, to string) (*Endpoint, error) {
	n.mutex.Lock()
	lost := n.partitioned[[2]string{min(from, to), max(from, to)}] || n.random.Float64() < n.faults.LostRequest
	endpoint := n.endpoints[to]
	n.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", errMessageLost, ctx.Err())
	}
	if endpoint == nil {
		return nil, fleet.ErrConnectionRefused
	}
	return endpoint, nil
}

func (n *Network) observe(from, to fleet.Host, call string, message any) {
	if n.Observe != nil {
		n.Observe(from, to, call, message)
	}
}

// deliver waits for the one-way delay of a message. A lost reply makes it wait until ctx
// ends and fail; the loss of requests is decided by routeRequest.
func (n *Network) deliver(ctx context.Context, from, to fleet.Host, reply bool) error {
	n.mutex.Lock()
	lost := reply && (n.partitioned[[2]string{min(from.PeerAddress, to.PeerAddress), max(from.PeerAddress, to.PeerAddress)}] ||
		n.random.Float64() < n.faults.LostReply)
	n.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", errMessageLost, ctx.Err())
	}
	if n.Delay == nil {
		return ctx.Err()
	}
	timer := time.NewTimer(n.Delay(from, to))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
