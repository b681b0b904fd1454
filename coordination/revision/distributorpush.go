package revision

import (
	"context"
	"sync/atomic"

	"github.com/persimmonmux/persimmonmux/coordination/membership"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// propagate pushes new revisions to the hosts that this host is responsible for.
// It pushes nothing that came from a host of the same failure domain, because
// that host pushes to the whole failure domain itself. With few hosts it pushes
// nothing that came from any peer, because the accepting host pushes to all hosts.
func (d *Distributor) propagate(ctx context.Context, m message, first configuration.Revision) {
	if m.origin == originPeer && m.senderDomain == d.Self.FailureDomain {
		return
	}
	view := d.Members.View()
	hosts := view.LiveHosts("")
	limit := d.DirectPushHostLimit
	if limit == 0 {
		limit = defaultDirectPushHostLimit
	}
	direct := len(hosts) <= limit
	if direct && m.origin == originPeer {
		return
	}
	domains := make(map[fleet.FailureDomainName][]fleet.Host)
	for _, host := range hosts {
		if host.FailureDomain == d.Self.FailureDomain || direct {
			d.startPush(ctx, host, first)
			continue
		}
		domains[host.FailureDomain] = append(domains[host.FailureDomain], host)
	}
	if m.origin == originPeer {
		return
	}
	for domain, hosts := range domains {
		for _, relay := range membership.Relays(d.Self.FailureDomain, domain, hosts) {
			d.startPush(ctx, relay, first)
		}
	}
}

// startPush starts a worker that pushes the changes from revision first on to a
// host, until the host has applied the revision that is applied here, unless a worker already does. The worker ends at the first error,
// because the host pulls what it missed.
func (d *Distributor) startPush(ctx context.Context, host fleet.Host, first configuration.Revision) {
	if host.Name == d.Self.Name {
		return
	}
	busy := reserveAddress(d.pushesInFlight, host.PeerAddress)
	if busy == nil {
		return
	}
	d.lifecycle.Go(func() {
		next := first
		for {
			next = d.pushFrom(ctx, host.PeerAddress, next)
			busy.Store(false)
			// The loop skips a push while the address is reserved, so a change
			// that came just before the release is still to be pushed.
			if next == 0 || next > d.Revision() || !busy.CompareAndSwap(false, true) {
				return
			}
		}
	})
}

// pushFrom pushes the changes from revision next on until the peer has applied
// the revision that is applied here. It returns the revision after the last one
// that the peer has. It returns 0 after an error, when the peer applied none of the
// changes, or when this host does not keep the changes any more.
func (d *Distributor) pushFrom(ctx context.Context, address string, next configuration.Revision) configuration.Revision {
	for next <= d.Revision() {
		changes, complete := d.currentReplica().changesAfter(next - 1)
		if !complete {
			return 0
		}
		revision, err := d.pushOnce(ctx, address, changes[:min(len(changes), maxChangesPerBatch)])
		if err != nil || (revision < next && revision+1 >= next) {
			return 0
		}
		next = revision + 1
	}
	return next
}

func (d *Distributor) pushOnce(ctx context.Context, address string, changes []configuration.Change) (configuration.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	return d.Peers.PushChanges(ctx, address, changes)
}

// reserveAddress marks a call to an address as in flight and returns its flag,
// which the caller clears at the end. It returns nil if one is in flight.
func reserveAddress(calls map[string]*atomic.Bool, address string) *atomic.Bool {
	busy := calls[address]
	if busy == nil {
		busy = new(atomic.Bool)
		calls[address] = busy
	}
	if !busy.CompareAndSwap(false, true) {
		return nil
	}
	return busy
}
