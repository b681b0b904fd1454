package revision

import (
	"context"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/membership"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// startPull starts a worker that pulls from a host with a higher revision. While a
// pull is in flight, another one begins only after pullRetryDelay. So a host that
// does not answer delays the recovery only briefly, and a snapshot is not
// fetched many times.
func (d *Distributor) startPull(ctx context.Context, s peerRevision) {
	if s.revision <= d.Revision() {
		return
	}
	inFlight := 0
	for _, busy := range d.pullsInFlight {
		if busy.Load() {
			inFlight++
		}
	}
	if inFlight >= maxConcurrentPulls || (inFlight > 0 && time.Since(d.lastPullStart) < pullRetryDelay) {
		return
	}
	busy := reserveAddress(d.pullsInFlight, s.host.PeerAddress)
	if busy == nil {
		return
	}
	d.lastPullStart = time.Now()
	d.lifecycle.Go(func() {
		defer busy.Store(false)
		d.pullFrom(ctx, s.host)
	})
}

// pullFrom pulls from a host and passes the result to the loop.
func (d *Distributor) pullFrom(ctx context.Context, host fleet.Host) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	changes, snapshot, _, err := d.Peers.PullChanges(ctx, host.PeerAddress, d.Revision())
	if err != nil || (len(changes) == 0 && snapshot == nil) {
		return
	}
	d.messages.Offer(message{origin: originPeer, senderDomain: host.FailureDomain, changes: changes, snapshot: snapshot})
}

// startHeadRead starts a worker that reads the head, if this host is the first
// live one of its failure domain in the rendezvous-hashing order.
func (d *Distributor) startHeadRead(ctx context.Context) {
	live := d.Members.View().LiveHosts(d.Self.FailureDomain)
	if len(live) == 0 || membership.RendezvousOrder("configuration-head", live)[0].Name != d.Self.Name {
		return
	}
	if !d.isReadingHead.CompareAndSwap(false, true) {
		return
	}
	busy := d.isReadingHead
	d.lifecycle.Go(func() {
		defer busy.Store(false)
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		d.catchUpToHead(ctx)
	})
}

// catchUpToHead reads the head and gets the missing revisions from a reachable
// host that has them, or else from the table. A head that lags has no effect.
func (d *Distributor) catchUpToHead(ctx context.Context) {
	records, err := d.Table.Read(ctx, []table.Key{headKey})
	if err != nil {
		return
	}
	var head headRecord
	if decodeRecord(records[0], &head) != nil || head.Revision <= d.Revision() {
		return
	}
	for _, status := range d.Members.View().Hosts {
		if status.Reachable && status.Host.Name != d.Self.Name && status.Revision >= head.Revision {
			d.pullFrom(ctx, status.Host)
			return
		}
	}
	_ = d.fetch(ctx, head.Revision)
}

// fetch brings this host up to a revision with the changes in the table, after
// a stored snapshot if more than maxChangesPerBatch revisions are missing.
func (d *Distributor) fetch(ctx context.Context, target configuration.Revision) error {
	if target > d.Revision()+maxChangesPerBatch && d.Snapshots != nil {
		if snapshot, err := d.Snapshots.Latest(ctx); err == nil && snapshot != nil {
			d.submit(ctx, message{origin: originTable, snapshot: snapshot})
		}
	}
	for d.Revision() < target {
		from := d.Revision()
		changes, err := d.readChanges(ctx, from, min(target, from+maxChangesPerBatch))
		if err != nil {
			return err
		}
		if d.submit(ctx, message{origin: originTable, changes: changes}) <= from {
			return verdict.NewNotRun(verdict.CodeTableUnavailable, "configuration change %d cannot be read from the table yet", from+1)
		}
	}
	return nil
}

// readChanges reads the changes after one revision up to and including another
// one. It ends at the first change that is absent, because a read that lags may
// not return it yet.
func (d *Distributor) readChanges(ctx context.Context, after, last configuration.Revision) ([]configuration.Change, error) {
	var keys []table.Key
	for revision := after + 1; revision <= last; revision++ {
		keys = append(keys, changeKey(revision))
	}
	records, err := d.Table.Read(ctx, keys)
	if err != nil {
		return nil, err
	}
	var changes []configuration.Change
	for _, record := range records {
		if record.Version == 0 {
			break
		}
		var change configuration.Change
		if err := decodeRecord(record, &change); err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}
