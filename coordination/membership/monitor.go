// Package membership knows the entry hosts, their states, the engines that they
// own and the backend servers that leave.
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
	// heartbeatInterval is the time between two heartbeats on a link.
	heartbeatInterval = time.Second
	// heardEnough is the age of a peer's last heartbeat below which this host
	// does not begin an exchange: one exchange tells both sides, so that one
	// exchange per interval and link is enough.
	heardEnough = 900 * time.Millisecond
	// silenceLimit is the time without a heartbeat after which a host is silent.
	silenceLimit = 3 * time.Second
	// directLimit is the number of hosts up to which all of them exchange
	// heartbeats directly.
	directLimit = 32
	// relaysPerPair is the number of relays of each failure domain towards
	// another one.
	relaysPerPair = 2
	// relayedLoadInterval bounds how often relays pass on a change of load
	// alone, because the link between regions is paid for by volume.
	relayedLoadInterval = 5 * time.Second
	// listPollers is the number of hosts of a failure domain that read the host
	// list each listInterval; the others read it each listSlowInterval and
	// learn leaving from them by heartbeat.
	listPollers      = 2
	listInterval     = time.Second
	listSlowInterval = 10 * time.Second
	// listTimeout bounds one read of the host list.
	listTimeout = 2 * time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// silentRetryAge is the silence after which a host is tried only each
	// silentRetryInterval.
	silentRetryAge      = time.Minute
	silentRetryInterval = 10 * time.Second
	// countedLimit is the age of the last news of a host up to which it counts
	// for directLimit.
	countedLimit = time.Minute
	// forgetLimit is the age of the last news after which a host is forgotten.
	forgetLimit = 24 * time.Hour
	// itemLimit bounds what one heartbeat tells; the rest follows in the next.
	itemLimit = 512
	// publishInterval bounds how often load alone publishes a new view.
	publishInterval = 250 * time.Millisecond
	// ringCapacity is several seconds of heartbeats of a failure domain.
	ringCapacity = 1024
)

// PeerClient exchanges heartbeats with other hosts.
type PeerClient interface {
	// Exchange sends a heartbeat to an address and returns the answer.
	Exchange(ctx context.Context, address string, heartbeat fleet.Heartbeat) (fleet.Heartbeat, error)
}

// A HostList is the platform's list of hosts. It lags and can be away.
type HostList interface {
	// Listing returns the present list.
	Listing(ctx context.Context) (fleet.HostList, error)
}

// RevisionTracker knows the revision in force at this host.
type RevisionTracker interface {
	// Revision returns the revision in force, or 0.
	Revision() configuration.Revision
	// ObserveRevision tells that another host has a higher revision in force. It
	// does not block.
	ObserveRevision(host fleet.Host, revision configuration.Revision)
}

// A Monitor keeps the view of the other hosts. Its fields are set before Run.
type Monitor struct {
	// Self is this host; its State is live.
	Self fleet.Host
	// Seeds are the peer addresses of some other hosts, for a start while the
	// host list is away.
	Seeds []string
	// Peers reaches other hosts.
	Peers PeerClient
	// HostList is the platform's list; nil means none.
	HostList HostList
	// Revisions knows the revision in force.
	Revisions RevisionTracker
	// Events receive every change of the view. A full ring misses events.
	Events []*ring.Ring[Event]
	// FullMeshHostLimit is the number of hosts up to which all exchange heartbeats
	// directly; 0 means 32.
	FullMeshHostLimit int

	lifecycle duty.Lifecycle
	once      sync.Once
	messages  *ring.Ring[message]
	done      chan struct{}
	running   atomic.Bool
	leaving   atomic.Bool
	current   atomic.Pointer[View]

	// The fields below belong to the loop.
	roster    *roster
	busy      map[string]*atomic.Bool
	attempted map[string]time.Time
	published time.Time
	listed    time.Time
	listing   *atomic.Bool
}

// A message is fed to the loop. Exactly one part is set.
type message struct {
	heartbeat *fleet.Heartbeat
	// reply receives the answer to an incoming heartbeat; nil for an answer.
	reply   chan fleet.Heartbeat
	engines []fleet.EngineSummary
	listing *fleet.HostList
	leave   bool
}

func (m *Monitor) prepare() {
	m.once.Do(func() {
		m.messages = ring.New[message](ringCapacity)
		m.done = make(chan struct{})
	})
}

// View returns the present view; it is never nil.
func (m *Monitor) View() *View {
	if v := m.current.Load(); v != nil {
		return v
	}
	return &View{
		Hosts:    map[fleet.HostName]HostStatus{m.Self.Name: {Host: m.self(), Reachable: true, Revision: m.Revisions.Revision()}},
		FullMesh: true,
	}
}

// ReceiveHeartbeat takes a heartbeat of a peer and returns the answer. When the duty is
// not running or its ring is full, the answer says only who this host is.
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

// SetEngines tells the summaries of the engines that this host owns. Version
// must grow with each change of the instances; the load may change without.
// It reports whether the ring had room.
func (m *Monitor) SetEngines(summaries []fleet.EngineSummary) bool {
	m.prepare()
	return m.messages.Offer(message{engines: summaries})
}

// Leave marks this host as leaving and tells all peers at once. It reports
// whether the ring had room; if not, the caller tries again.
func (m *Monitor) Leave() bool {
	m.prepare()
	return m.messages.Offer(message{leave: true})
}

// RejectedMessages returns the number of messages that found the ring full.
func (m *Monitor) RejectedMessages() uint64 {
	m.prepare()
	return m.messages.RejectedCount()
}

// Run keeps the view until ctx ends or Close.
func (m *Monitor) Run(ctx context.Context) error {
	m.prepare()
	return m.lifecycle.Run(ctx, m.loop)
}

// Close ends the duty and waits until it has ended.
func (m *Monitor) Close() error {
	return m.lifecycle.Close()
}

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
		limit = directLimit
	}
	m.roster = newRoster(m.self(), limit)
	m.busy = make(map[string]*atomic.Bool)
	m.attempted = make(map[string]time.Time)
	m.listing = new(atomic.Bool)
	m.running.Store(true)
	// Waiting calls must end before the workers are waited for: two hosts that
	// stop may wait in calls of each other.
	defer close(m.done)
	defer m.running.Store(false)
	m.beat(ctx, false)
	m.publish(true)
	// Hosts beat at different times within the interval, and a host keeps its
	// time, so that each pair settles on one of the two to begin.
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
			m.prune()
			m.beat(ctx, false)
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
		m.roster.list(*received.listing, now)
	case received.leave:
		m.roster.leave(string(m.Self.Name), m.Self.Start, now)
	default:
		m.roster.ownEngines(received.engines, now)
	}
	// The platform or a peer that read its list may know before this host does.
	if m.roster.isLeaving(string(m.Self.Name), m.Self.Start) && m.leaving.CompareAndSwap(false, true) {
		m.roster.self = m.self()
		m.roster.events = append(m.roster.events, Event{Kind: EventHost, Host: m.self()})
		m.beat(ctx, true)
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

// beat begins the exchanges that are due. With force, it begins one with each
// target.
func (m *Monitor) beat(ctx context.Context, force bool) {
	now := time.Now()
	m.roster.self = m.self()
	revision := m.Revisions.Revision()
	for _, record := range m.roster.targets(now) {
		age := now.Sub(record.heard)
		if !force && age < heardEnough {
			continue
		}
		if !force && now.Sub(record.news) >= silentRetryAge && age >= silentRetryAge &&
			now.Sub(m.attempted[record.host.PeerAddress]) < silentRetryInterval {
			continue
		}
		m.exchange(ctx, record.host.PeerAddress, m.roster.heartbeatFor(record.host.Name, revision), now)
	}
	m.seed(ctx, revision, now)
	m.readList(ctx, now)
}

// seed calls the seeds while no host is heard.
func (m *Monitor) seed(ctx context.Context, revision configuration.Revision, now time.Time) {
	for _, record := range m.roster.hosts {
		if m.roster.heardDirectly(record, now) {
			return
		}
	}
	for _, address := range m.Seeds {
		if address != m.Self.PeerAddress {
			m.exchange(ctx, address, m.roster.header(revision), now)
		}
	}
}

// exchange calls an address on a worker, unless a call to it is in flight.
func (m *Monitor) exchange(ctx context.Context, address string, heartbeat fleet.Heartbeat, now time.Time) {
	busy := m.busy[address]
	if busy == nil {
		busy = new(atomic.Bool)
		m.busy[address] = busy
	}
	if !busy.CompareAndSwap(false, true) {
		return
	}
	m.attempted[address] = now
	m.lifecycle.Go(func() {
		defer busy.Store(false)
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		answer, err := m.Peers.Exchange(ctx, address, heartbeat)
		if err == nil {
			m.messages.Offer(message{heartbeat: &answer})
		}
	})
}

// prune forgets the addresses that no host has any more.
func (m *Monitor) prune() {
	if len(m.busy) <= 2*len(m.roster.hosts)+len(m.Seeds) {
		return
	}
	used := make(map[string]bool, len(m.roster.hosts))
	for _, record := range m.roster.hosts {
		used[record.host.PeerAddress] = true
	}
	for address, busy := range m.busy {
		if !used[address] && !busy.Load() {
			delete(m.busy, address)
			delete(m.attempted, address)
		}
	}
}

// readList reads the host list when it is due.
func (m *Monitor) readList(ctx context.Context, now time.Time) {
	if m.HostList == nil || now.Sub(m.listed) < m.listDue() || !m.listing.CompareAndSwap(false, true) {
		return
	}
	m.listed = now
	m.lifecycle.Go(func() {
		defer m.listing.Store(false)
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		listing, err := m.HostList.Listing(ctx)
		if err == nil {
			m.messages.Offer(message{listing: &listing})
		}
	})
}

func (m *Monitor) listDue() time.Duration {
	own := []fleet.Host{m.roster.self}
	for _, record := range m.roster.hosts {
		if record.host.FailureDomain == m.Self.FailureDomain && record.status.Host.State == fleet.HostLive {
			own = append(own, record.host)
		}
	}
	ranked := RendezvousOrder("host-list", own)
	for _, host := range ranked[:min(listPollers, len(ranked))] {
		if host.Name == m.Self.Name {
			return listInterval - heartbeatInterval/10
		}
	}
	return listSlowInterval
}

// publish makes the view visible and sends the events. Changes of load alone
// wait for publishInterval.
func (m *Monitor) publish(always bool) {
	now := time.Now()
	if !always && !m.roster.urgent && now.Sub(m.published) < publishInterval {
		return
	}
	m.published = now
	m.current.Store(m.roster.view(m.current.Load(), m.Revisions.Revision()))
	for _, event := range m.roster.events {
		for _, events := range m.Events {
			events.Offer(event)
		}
	}
	m.roster.events = nil
}
