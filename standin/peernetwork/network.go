// Package peernetwork is an in-memory stand-in for the network between entry hosts,
// with delays, cuts and losses. It works in virtual time.
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

// HeartbeatHandler answers heartbeats.
type HeartbeatHandler interface {
	ReceiveHeartbeat(heartbeat fleet.Heartbeat) fleet.Heartbeat
}

// ConfigurationHandler takes and gives changes.
type ConfigurationHandler interface {
	PushChanges(ctx context.Context, from fleet.FailureDomainName, changes []configuration.Change) (configuration.Revision, error)
	PullChanges(ctx context.Context, after configuration.Revision) ([]configuration.Change, *configuration.Configuration, configuration.Revision, error)
}

// An Endpoint is a process on the network.
type Endpoint struct {
	Host           fleet.Host
	Heartbeats     HeartbeatHandler
	Configurations ConfigurationHandler
}

// Faults are the faults of the network.
type Faults struct {
	// LostRequest and LostReply are probabilities. A lost message keeps the
	// caller waiting until its context ends.
	LostRequest, LostReply float64
}

// A Network joins endpoints by address. Its exported fields are set before use.
type Network struct {
	// Delay returns the one-way delay between two hosts; nil means none.
	Delay func(from, to fleet.Host) time.Duration
	// Observe is called with each message that is sent; it may be nil. It may
	// be called by many goroutines.
	Observe func(from, to fleet.Host, call string, message any)

	mutex     sync.Mutex
	random    *rand.Rand
	faults    Faults
	endpoints map[string]*Endpoint
	cut       map[[2]string]bool
}

// NewNetwork returns a network without endpoints whose faults follow seed.
func NewNetwork(seed uint64) *Network {
	return &Network{
		random:    rand.New(rand.NewPCG(seed, 2)),
		endpoints: make(map[string]*Endpoint),
		cut:       make(map[[2]string]bool),
	}
}

// Add puts a process at its address, in the place of an earlier one.
func (n *Network) Add(endpoint *Endpoint) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.endpoints[endpoint.Host.PeerAddress] = endpoint
}

// Remove takes the process at an address away. Calls to it are then refused.
func (n *Network) Remove(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.endpoints, address)
}

// SetFaults replaces the faults from now on.
func (n *Network) SetFaults(faults Faults) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.faults = faults
}

// SetPartitioned sets whether messages between two addresses are lost, in both directions.
func (n *Network) SetPartitioned(one, other string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[[2]string{min(one, other), max(one, other)}] = cut
}

// Heal ends all cuts and faults.
func (n *Network) Heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.cut)
	n.faults = Faults{}
}

// ClientOf returns the links of a host.
func (n *Network) ClientOf(host fleet.Host) *Client {
	return &Client{network: n, host: host}
}

// Client are the network as one host uses it.
type Client struct {
	network *Network
	host    fleet.Host
}

// Exchange sends a heartbeat and returns the answer.
func (l *Client) Exchange(ctx context.Context, address string, heartbeat fleet.Heartbeat) (fleet.Heartbeat, error) {
	return call(ctx, l, address, "exchange", heartbeat, func(e *Endpoint) (fleet.Heartbeat, error) {
		return e.Heartbeats.ReceiveHeartbeat(heartbeat), nil
	})
}

// PushChanges sends changes and returns the revision in force at the peer.
func (l *Client) PushChanges(ctx context.Context, address string, changes []configuration.Change) (configuration.Revision, error) {
	return call(ctx, l, address, "push", changes, func(e *Endpoint) (configuration.Revision, error) {
		return e.Configurations.PushChanges(ctx, l.host.FailureDomain, changes)
	})
}

// A PullReply is the answer to a pull.
type PullReply struct {
	Changes  []configuration.Change
	Snapshot *configuration.Configuration
	Revision configuration.Revision
}

// PullChanges returns the peer's changes after a revision, or a snapshot.
func (l *Client) PullChanges(ctx context.Context, address string, after configuration.Revision) ([]configuration.Change, *configuration.Configuration, configuration.Revision, error) {
	pulled, err := call(ctx, l, address, "pull", after, func(e *Endpoint) (PullReply, error) {
		changes, snapshot, revision, err := e.Configurations.PullChanges(ctx, after)
		return PullReply{Changes: changes, Snapshot: snapshot, Revision: revision}, err
	})
	return pulled.Changes, pulled.Snapshot, pulled.Revision, err
}

var errLost = errors.New("message lost")

func call[Request, Reply any](ctx context.Context, l *Client, address, name string, request Request, serve func(*Endpoint) (Reply, error)) (Reply, error) {
	var none Reply
	endpoint, err := l.network.travel(ctx, l.host.PeerAddress, address)
	if err != nil {
		return none, fmt.Errorf("%s at %s: %w", name, address, err)
	}
	l.network.observe(l.host, endpoint.Host, name, request)
	if err := l.network.delay(ctx, l.host, endpoint.Host, false); err != nil {
		return none, fmt.Errorf("%s at %s: %w", name, address, err)
	}
	reply, err := serve(endpoint)
	if err != nil {
		return none, fmt.Errorf("%s at %s: %w", name, address, err)
	}
	l.network.observe(endpoint.Host, l.host, name, reply)
	if err := l.network.delay(ctx, endpoint.Host, l.host, true); err != nil {
		return none, fmt.Errorf("%s at %s: %w", name, address, err)
	}
	return reply, nil
}

func (n *Network) travel(ctx context.Context, from, to string) (*Endpoint, error) {
	n.mutex.Lock()
	lost := n.cut[[2]string{min(from, to), max(from, to)}] || n.random.Float64() < n.faults.LostRequest
	endpoint := n.endpoints[to]
	n.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", errLost, ctx.Err())
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

// delay waits for the one-way delay, or until ctx ends when the message is lost.
func (n *Network) delay(ctx context.Context, from, to fleet.Host, reply bool) error {
	n.mutex.Lock()
	lost := reply && (n.cut[[2]string{min(from.PeerAddress, to.PeerAddress), max(from.PeerAddress, to.PeerAddress)}] ||
		n.random.Float64() < n.faults.LostReply)
	n.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", errLost, ctx.Err())
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
