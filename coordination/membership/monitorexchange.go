package membership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

const (
	// recentHeartbeatAge is the age of a peer's last heartbeat below which this
	// host does not begin an exchange with the peer. An exchange carries a
	// heartbeat in both directions, so one of the two hosts beginning it is
	// enough.
	recentHeartbeatAge = 900 * time.Millisecond
	// listPollerCount is the number of hosts of a failure domain that read the
	// host list each listPollInterval. The other hosts read it each
	// listSlowPollInterval and learn from the heartbeats of the pollers which
	// hosts and servers are leaving.
	listPollerCount      = 2
	listPollInterval     = time.Second
	listSlowPollInterval = 10 * time.Second
	// listTimeout bounds one read of the host list.
	listTimeout = 2 * time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// slowRetryAge is the time without a heartbeat of a host and without a host
	// list that names it, after which an exchange with it is tried only each
	// slowRetryInterval.
	slowRetryAge      = time.Minute
	slowRetryInterval = 10 * time.Second
)

// startExchanges begins the heartbeat exchanges that are due, or one with each
// target if force is set. It also contacts the seeds and reads the host list
// when that is due.
func (m *Monitor) startExchanges(ctx context.Context, force bool) {
	now := time.Now()
	m.roster.self = m.self()
	revision := m.Revisions.Revision()
	for _, record := range m.roster.exchangeTargets(now) {
		age := now.Sub(record.lastHeartbeat)
		if !force && age < recentHeartbeatAge {
			continue
		}
		if !force && now.Sub(record.lastUpdate) >= slowRetryAge && age >= slowRetryAge &&
			now.Sub(m.lastAttempts[record.host.PeerAddress]) < slowRetryInterval {
			continue
		}
		m.exchange(ctx, record.host.PeerAddress, m.roster.heartbeatFor(record.host.Name, revision), now)
	}
	m.contactSeeds(ctx, revision, now)
	m.readList(ctx, now)
}

// contactSeeds sends heartbeats to the seeds while no host has sent a recent
// heartbeat.
func (m *Monitor) contactSeeds(ctx context.Context, revision configuration.Revision, now time.Time) {
	for _, record := range m.roster.hosts {
		if m.roster.hasRecentHeartbeat(record, now) {
			return
		}
	}
	for _, address := range m.Seeds {
		if address != m.Self.PeerAddress {
			m.exchange(ctx, address, m.roster.header(revision), now)
		}
	}
}

// exchange sends a heartbeat to an address on a worker and passes the answer to
// the loop, unless an exchange with the address is in flight.
func (m *Monitor) exchange(ctx context.Context, address string, heartbeat fleet.Heartbeat, now time.Time) {
	busy := m.inFlight[address]
	if busy == nil {
		busy = new(atomic.Bool)
		m.inFlight[address] = busy
	}
	if !busy.CompareAndSwap(false, true) {
		return
	}
	m.lastAttempts[address] = now
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

// pruneAddresses deletes the bookkeeping of addresses that no known host has any
// more, once there are about twice as many addresses as hosts.
func (m *Monitor) pruneAddresses() {
	if len(m.inFlight) <= 2*len(m.roster.hosts)+len(m.Seeds) {
		return
	}
	used := make(map[string]bool, len(m.roster.hosts))
	for _, record := range m.roster.hosts {
		used[record.host.PeerAddress] = true
	}
	for address, busy := range m.inFlight {
		if !used[address] && !busy.Load() {
			delete(m.inFlight, address)
			delete(m.lastAttempts, address)
		}
	}
}

// readList reads the host list on a worker when that is due, and passes it to
// the loop.
func (m *Monitor) readList(ctx context.Context, now time.Time) {
	if m.HostList == nil || now.Sub(m.lastListRead) < m.listReadInterval() || !m.isReadingList.CompareAndSwap(false, true) {
		return
	}
	m.lastListRead = now
	m.lifecycle.Go(func() {
		defer m.isReadingList.Store(false)
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		listing, err := m.HostList.Listing(ctx)
		if err == nil {
			m.messages.Offer(message{listing: &listing})
		}
	})
}

// listReadInterval returns the time between two reads of the host list by this
// host. For a poller it is a tenth of a heartbeat interval less than
// listPollInterval, so that no read is skipped when two timer events are a little
// less than an interval apart.
func (m *Monitor) listReadInterval() time.Duration {
	own := []fleet.Host{m.roster.self}
	for _, record := range m.roster.hosts {
		if record.host.FailureDomain == m.Self.FailureDomain && record.status.Host.State == fleet.HostLive {
			own = append(own, record.host)
		}
	}
	ranked := RendezvousOrder("host-list", own)
	for _, host := range ranked[:min(listPollerCount, len(ranked))] {
		if host.Name == m.Self.Name {
			return listPollInterval - heartbeatInterval/10
		}
	}
	return listSlowPollInterval
}
