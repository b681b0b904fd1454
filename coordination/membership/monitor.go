// Package membership tracks the entry hosts and their states, the engines that
// they own and the backend servers that are leaving. Hosts exchange this state
// in heartbeats.
package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

const (
	// heartbeatInterval is the time between two heartbeat exchanges of a pair
	// of hosts.
	heartbeatInterval = time.Second
	// unreachableTimeout is the time without a heartbeat after which a host is
	// unreachable.
	unreachableTimeout = 3 * time.Second
	// defaultFullMeshHostLimit is used when Monitor.FullMeshHostLimit is 0.
	defaultFullMeshHostLimit = 32
	// relaysPerPair is the number of hosts of a failure domain that are relays
	// to one other failure domain.
	relaysPerPair = 2
	// relayedLoadInterval is the shortest time between two updates that pass on
	// only a changed load of an engine of another host. Traffic between regions
	// is paid for by volume.
	relayedLoadInterval = 5 * time.Second
	// fullMeshCountWindow is the time after the last heartbeat or listing of a
	// host during which the host is counted against the full-mesh host limit.
	fullMeshCountWindow = time.Minute
	// retentionDuration is the time after the last heartbeat or listing of a
	// host, or after a process was found to be leaving, for which its record is
	// kept.
	retentionDuration = 24 * time.Hour
	// maxHeartbeatItems bounds the number of changes in one heartbeat; the
	// remaining changes follow in the next one.
	maxHeartbeatItems = 512
	// loadPublishInterval is the shortest time between two views when only
	// the load of engines or the revisions of hosts changed.
	loadPublishInterval = 250 * time.Millisecond
	// ringCapacity is the number of messages to the loop that can wait. It holds
	// several seconds of heartbeats of a failure domain.
	ringCapacity = 1024
)

// PeerClient sends heartbeats to other hosts.
type PeerClient interface {
	// Exchange sends a heartbeat to a peer address and returns the heartbeat
	// that the peer answers with.
	Exchange(ctx context.Context, address string, heartbeat fleet.Heartbeat) (fleet.Heartbeat, error)
}

// A HostList is the platform's list of hosts. It lags behind reality and can be
// unavailable.
type HostList interface {
	// Listing reads the list; it fails while the platform is unavailable.
	Listing(ctx context.Context) (fleet.HostList, error)
}

// RevisionTracker holds the revision of the configuration applied at this host
// and learns of higher revisions at other hosts.
type RevisionTracker interface {
	// Revision returns the applied revision, or 0 before the first one.
	Revision() configuration.Revision
	// ObserveRevision reports that another host has applied a higher revision.
	// It does not block.
	ObserveRevision(host fleet.Host, revision configuration.Revision)
}

// A Monitor exchanges heartbeats with the other hosts, reads the platform's host
// list and publishes the resulting View. One loop owns its state. The exported
// fields are set before Run and not changed afterwards.
type Monitor struct {
	// Self describes this host. Its State is ignored; the monitor sets it to
	// live, or to leaving once this host is leaving.
	Self fleet.Host
	// Seeds are the peer addresses of some other hosts. They are contacted
	// while no host is reachable, so that a host can start while the host list
	// is unavailable.
	Seeds []string
	// Peers sends the heartbeats.
	Peers PeerClient
	// HostList is the platform's list; nil means that there is none.
	HostList HostList
	// Revisions supplies the revision for the heartbeats and is notified of
	// higher revisions at peers.
	Revisions RevisionTracker
	// Events are the rings that receive every Event. An event is dropped for a
	// ring that is full.
	Events []*ring.Ring[Event]
	// FullMeshHostLimit is the number of hosts up to which all of them exchange
	// heartbeats directly; 0 means 32.
	FullMeshHostLimit int

	lifecycle duty.Lifecycle
	once      sync.Once
	messages  *ring.Ring[message]
	done      chan struct{}
	running   atomic.Bool
	leaving   atomic.Bool
	current   atomic.Pointer[View]

	// The fields below are used by the loop only, except that workers clear the
	// flags in inFlight and isReadingList. inFlight and lastAttempts have the
	// peer address as their key.
	roster        *roster
	inFlight      map[string]*atomic.Bool
	lastAttempts  map[string]time.Time
	lastPublished time.Time
	lastListRead  time.Time
	isReadingList *atomic.Bool
}

// A message is an input of the loop: a heartbeat, the summaries of this
// host's engines, a host list, or the request to leave. Only one of them is set.
type message struct {
	heartbeat *fleet.Heartbeat
	// reply receives the answer to a heartbeat of a peer. It is nil when the
	// heartbeat is itself an answer.
	reply   chan fleet.Heartbeat
	engines []fleet.EngineSummary
	listing *fleet.HostList
	isLeave bool
}

// prepare creates the channels, so that methods can be called before Run.
func (m *Monitor) prepare() {
	m.once.Do(func() {
		m.messages = ring.New[message](ringCapacity)
		m.done = make(chan struct{})
	})
}

// View returns the view that was published last. Before the first one, it
// returns a view of this host alone; it never returns nil.
func (m *Monitor) View() *View {
	if v := m.current.Load(); v != nil {
		return v
	}
	return &View{
		Hosts:    map[fleet.HostName]HostStatus{m.Self.Name: {Host: m.self(), Reachable: true, Revision: m.Revisions.Revision()}},
		FullMesh: true,
	}
}

// ReceiveHeartbeat processes a heartbeat of a peer and returns the answer. When
// the loop is not running or its ring is full, the answer contains only this
// host and its revision.
func (m *Monitor) ReceiveHeartbeat(heartbeat fleet.Heartbeat) fleet.Heartbeat {
	m.prepare()
	reply := make(chan fleet.Heartbeat, 1)
	if m.running.Load() && m.messages.Offer(message{heartbeat: &heartbeat, reply: reply}) {
		select {
		case answer := <-reply:
			return answer
		case <-m.done:
		}
	}
	return fleet.Heartbeat{Host: m.self(), Revision: uint64(m.Revisions.Revision())}
}

// SetEngines sets the summaries of engines that this host owns, for the view and
// the heartbeats. The caller increments the Version of a summary with each
// change of its instances; a change of the load needs no new Version. SetEngines
// returns false, and has no effect, when the ring is full.
func (m *Monitor) SetEngines(summaries []fleet.EngineSummary) bool {
	m.prepare()
	return m.messages.Offer(message{engines: summaries})
}

// Leave marks this host as leaving and sends a heartbeat that says so to all
// peers at once. It returns false, and has no effect, when the ring is full; the
// caller then calls it again.
func (m *Monitor) Leave() bool {
	m.prepare()
	return m.messages.Offer(message{isLeave: true})
}

// RejectedMessages returns the number of messages that were dropped because the
// ring was full.
func (m *Monitor) RejectedMessages() uint64 {
	m.prepare()
	return m.messages.RejectedCount()
}

// Run exchanges heartbeats and publishes views until ctx ends or Close is called.
func (m *Monitor) Run(ctx context.Context) error {
	m.prepare()
	return m.lifecycle.Run(ctx, m.loop)
}

// Close ends Run and waits until the loop and its workers have ended.
func (m *Monitor) Close() error {
	return m.lifecycle.Close()
}

// self returns this host with its present state, live or leaving.
func (m *Monitor) self() fleet.Host {
	self := m.Self
	self.State = fleet.HostLive
	if m.leaving.Load() {
		self.State = fleet.HostLeaving
	}
	return self
}

func (m *Monitor) loop(ctx context.Context) error {
	limit := m.FullMeshHostLimit
	if limit == 0 {
		limit = defaultFullMeshHostLimit
	}
	m.roster = newRoster(m.self(), limit)
	m.inFlight = make(map[string]*atomic.Bool)
	m.lastAttempts = make(map[string]time.Time)
	m.isReadingList = new(atomic.Bool)
	m.running.Store(true)
	// Closing done ends the waiting ReceiveHeartbeat calls before Close waits
	// for the workers. Otherwise two hosts that stop at the same time could wait
	// for each other's answer.
	defer close(m.done)
	defer m.running.Store(false)
	m.startExchanges(ctx, false)
	m.publish(true)
	// Each host begins its exchanges at its own fixed offset within the
	// interval, so that in each pair of hosts the same one always begins.
	phase := time.Duration(xxhash.Sum64String(string(m.Self.Name)) % uint64(heartbeatInterval))
	timer := time.NewTimer(phase)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			timer.Reset(heartbeatInterval)
			m.roster.tick(time.Now())
			m.pruneAddresses()
			m.startExchanges(ctx, false)
			m.publish(true)
		case received := <-m.messages.Messages():
			m.handle(ctx, received)
			m.publish(false)
		}
	}
}

func (m *Monitor) handle(ctx context.Context, received message) {
	now := time.Now()
	m.roster.self = m.self()
	switch {
	case received.heartbeat != nil:
		m.handleHeartbeat(received, now)
	case received.listing != nil:
		m.roster.applyHostList(*received.listing, now)
	case received.isLeave:
		m.roster.markLeaving(string(m.Self.Name), m.Self.Start, now)
	default:
		m.roster.setOwnEngines(received.engines, now)
	}
	// The platform's list, or a peer that has read it, may say that this host is
	// leaving before Leave is called.
	if m.roster.isLeaving(string(m.Self.Name), m.Self.Start) && m.leaving.CompareAndSwap(false, true) {
		m.roster.self = m.self()
		m.roster.events = append(m.roster.events, Event{Kind: EventHost, Host: m.self()})
		m.startExchanges(ctx, true)
	}
}

func (m *Monitor) handleHeartbeat(received message, now time.Time) {
	h := received.heartbeat
	newest := m.roster.receive(*h, now)
	revision := m.Revisions.Revision()
	if newest && configuration.Revision(h.Revision) > revision {
		m.Revisions.ObserveRevision(h.Host, configuration.Revision(h.Revision))
	}
	if received.reply == nil {
		return
	}
	if !newest {
		received.reply <- m.roster.header(revision)
		return
	}
	received.reply <- m.roster.heartbeatFor(h.Host.Name, revision)
}

// publish builds and stores a new view and sends the pending events. Unless
// always is set, it does nothing when only loads or revisions changed and the
// last view is younger than loadPublishInterval.
func (m *Monitor) publish(always bool) {
	now := time.Now()
	if !always && !m.roster.publishNow && now.Sub(m.lastPublished) < loadPublishInterval {
		return
	}
	m.lastPublished = now
	m.current.Store(m.roster.view(m.current.Load(), m.Revisions.Revision()))
	for _, event := range m.roster.events {
		for _, events := range m.Events {
			events.Offer(event)
		}
	}
	m.roster.events = nil
}
