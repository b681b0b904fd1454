// Package revision accepts changes of the configuration and spreads them to all
// entry hosts.
package revision

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/membership"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

const (
	// headInterval is the time between two reads of the head by the first live
	// host of a failure domain.
	headInterval = time.Second
	// tableTimeout bounds one operation of the table or the snapshot store.
	tableTimeout = 5 * time.Second
	// pushTimeout bounds one push. What it misses is pulled.
	pushTimeout = 2 * time.Second
	// pullTimeout bounds one pull, which may carry a snapshot.
	pullTimeout = 10 * time.Second
	// pullAgain is the age of a pull without a result after which another host
	// is asked, and pullsAtOnce is the most pulls in flight.
	pullAgain   = time.Second
	pullsAtOnce = 3
	// pushBatch is the most changes in one push and in one read of the table.
	pushBatch = 100
	// snapshotEvery is the number of revisions between two stored snapshots.
	snapshotEvery = 100
	// pushDirectly is the number of hosts up to which an accepting host pushes
	// to all of them; beyond, relays push within their failure domains.
	pushDirectly = 32
	// ringCapacity is more than a minute of changes and sightings.
	ringCapacity = 1024
)

// A Table is the platform's transactional table.
type Table interface {
	// Read returns the records of keys in their order. It may lag.
	Read(ctx context.Context, keys []table.Key) ([]table.Record, error)
	// Commit carries out a transaction. Its results never lag.
	Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error)
}

// SnapshotStore stores whole configurations for new hosts.
type SnapshotStore interface {
	// Latest returns a stored configuration, preferably the last one, or nil.
	Latest(ctx context.Context) (*configuration.Configuration, error)
	// Store stores a configuration. It may be called more than once for one
	// revision, always with the same configuration.
	Store(ctx context.Context, snapshot *configuration.Configuration) error
}

// PeerClient reaches other hosts.
type PeerClient interface {
	// PushChanges sends changes and returns the revision in force at the peer.
	PushChanges(ctx context.Context, address string, changes []configuration.Change) (configuration.Revision, error)
	// PullChanges returns the peer's changes after a revision or a snapshot,
	// and the revision in force there.
	PullChanges(ctx context.Context, address string, after configuration.Revision) ([]configuration.Change, *configuration.Configuration, configuration.Revision, error)
}

// MembershipSource knows the other hosts.
type MembershipSource interface {
	// View returns the present view.
	View() *membership.View
}

// A Distributor holds the configuration in force at this host, accepts changes
// and spreads them. Its fields are set before Run.
type Distributor struct {
	// Self is this host.
	Self fleet.Host
	// Table holds the head, the changes and the operation records.
	Table Table
	// Snapshots holds whole configurations; nil means none.
	Snapshots SnapshotStore
	// Peers reaches other hosts.
	Peers PeerClient
	// Members knows the other hosts.
	Members MembershipSource
	// DirectPushHostLimit is the number of hosts up to which an accepting host pushes
	// to all of them; 0 means 32, and a negative number always uses relays.
	DirectPushHostLimit int

	lifecycle duty.Lifecycle
	once      sync.Once
	messages  *ring.Ring[message]
	done      chan struct{}
	running   atomic.Bool
	held      atomic.Pointer[replica]
	// unstored says that a snapshot is due, and storing that one is being stored.
	unstored, storing atomic.Bool

	// The fields below belong to the loop.
	pushing     map[string]*atomic.Bool
	pulling     map[string]*atomic.Bool
	pulled      time.Time
	readingHead *atomic.Bool
}

// An origin says where changes came from.
type origin string

const (
	originAccepted origin = "accepted"
	originTable    origin = "table"
	originPeer     origin = "peer"
)

// A message is fed to the loop: a sighting of a higher revision, or changes.
type message struct {
	seen     *sighting
	origin   origin
	domain   fleet.FailureDomainName
	changes  []configuration.Change
	snapshot *configuration.Configuration
	// reply receives the revision in force afterwards; nil where nobody waits.
	reply chan configuration.Revision
}

// A sighting is a host with a higher revision.
type sighting struct {
	host     fleet.Host
	revision configuration.Revision
}

func (d *Distributor) prepare() {
	d.once.Do(func() {
		d.messages = ring.New[message](ringCapacity)
		d.done = make(chan struct{})
	})
}

func (d *Distributor) holding() *replica {
	if h := d.held.Load(); h != nil {
		return h
	}
	return &replica{}
}

// Current returns the configuration in force, or nil before the first one.
func (d *Distributor) Current() *configuration.Configuration {
	return d.holding().configuration
}

// Revision returns the revision in force, or 0.
func (d *Distributor) Revision() configuration.Revision {
	return d.holding().revision()
}

// ObserveRevision tells that a host has a higher revision. It does not block.
func (d *Distributor) ObserveRevision(host fleet.Host, revision configuration.Revision) {
	d.prepare()
	if revision > d.Revision() {
		d.messages.Offer(message{seen: &sighting{host: host, revision: revision}})
	}
}

// PushChanges takes changes from a host of the failure domain from and returns
// the revision in force afterwards.
func (d *Distributor) PushChanges(ctx context.Context, from fleet.FailureDomainName, changes []configuration.Change) (configuration.Revision, error) {
	d.prepare()
	if len(changes) == 0 || changes[len(changes)-1].Revision <= d.Revision() {
		return d.Revision(), nil
	}
	return d.feed(ctx, message{origin: originPeer, domain: from, changes: changes}), nil
}

// feed gives changes to the loop, waits until they are taken, and returns the
// revision in force.
func (d *Distributor) feed(ctx context.Context, m message) configuration.Revision {
	m.reply = make(chan configuration.Revision, 1)
	if d.running.Load() && d.messages.Offer(m) {
		select {
		case revision := <-m.reply:
			return revision
		case <-ctx.Done():
		case <-d.done:
		}
	}
	return d.Revision()
}

// PullChanges returns the changes after a revision, or a snapshot when they are
// not kept any more, and the revision in force.
func (d *Distributor) PullChanges(_ context.Context, after configuration.Revision) ([]configuration.Change, *configuration.Configuration, configuration.Revision, error) {
	h := d.holding()
	changes, reaches := h.after(after)
	if !reaches {
		return nil, h.configuration, h.revision(), nil
	}
	return changes, nil, h.revision(), nil
}

// A RolloutStatus says which hosts have a revision in force, by name.
type RolloutStatus struct {
	// Applied lists the hosts that have the revision or a higher one.
	Applied []fleet.HostName
	// Pending lists the hosts that are heard and do not have it yet.
	Pending []fleet.HostName
	// Unreachable lists the hosts that are not heard.
	Unreachable []fleet.HostName
}

// RolloutStatus returns which hosts have a revision, as heard from heartbeats. Hosts
// that are gone are left out.
func (d *Distributor) RolloutStatus(revision configuration.Revision) RolloutStatus {
	var spread RolloutStatus
	for name, status := range d.Members.View().Hosts {
		switch {
		case name == d.Self.Name:
			if d.Revision() >= revision {
				spread.Applied = append(spread.Applied, name)
			} else {
				spread.Pending = append(spread.Pending, name)
			}
		case status.Host.State == fleet.HostGone:
		case !status.Reachable:
			spread.Unreachable = append(spread.Unreachable, name)
		case status.Revision >= revision:
			spread.Applied = append(spread.Applied, name)
		default:
			spread.Pending = append(spread.Pending, name)
		}
	}
	for _, names := range [][]fleet.HostName{spread.Applied, spread.Pending, spread.Unreachable} {
		slices.SortFunc(names, func(a, b fleet.HostName) int { return strings.Compare(string(a), string(b)) })
	}
	return spread
}

// RejectedMessages returns the number of messages that found the ring full.
func (d *Distributor) RejectedMessages() uint64 {
	d.prepare()
	return d.messages.RejectedCount()
}

// Run spreads configurations until ctx ends or Close.
func (d *Distributor) Run(ctx context.Context) error {
	d.prepare()
	return d.lifecycle.Run(ctx, d.loop)
}

// Close ends the duty and waits until it has ended.
func (d *Distributor) Close() error {
	return d.lifecycle.Close()
}

func (d *Distributor) loop(ctx context.Context) error {
	d.pushing = make(map[string]*atomic.Bool)
	d.pulling = make(map[string]*atomic.Bool)
	d.readingHead = new(atomic.Bool)
	d.running.Store(true)
	// Waiting calls must end before the workers are waited for: two hosts that
	// stop may wait in calls of each other.
	defer close(d.done)
	defer d.running.Store(false)
	d.readHead(ctx)
	timer := time.NewTimer(headInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			timer.Reset(headInterval)
			d.prune()
			d.readHead(ctx)
		case m := <-d.messages.Messages():
			if m.seen != nil {
				d.pull(ctx, *m.seen)
				continue
			}
			d.take(ctx, m)
		}
	}
}

// prune forgets the addresses without a call in flight.
func (d *Distributor) prune() {
	for _, calls := range []map[string]*atomic.Bool{d.pushing, d.pulling} {
		for address, busy := range calls {
			if !busy.Load() {
				delete(calls, address)
			}
		}
	}
}

// take puts changes or a snapshot in force and spreads what is new.
func (d *Distributor) take(ctx context.Context, m message) {
	before := d.holding()
	after := before.with(m.changes, m.snapshot)
	if after != before {
		d.held.Store(after)
		d.spread(ctx, m, before.revision()+1)
	}
	if m.origin == originAccepted {
		// A change may have come back from the table or a peer before this message,
		// so that a snapshot is due by what was accepted here, not by what is new.
		for _, change := range m.changes {
			if change.Revision%snapshotEvery == 0 {
				d.unstored.Store(true)
			}
		}
		d.store(ctx)
	}
	if m.reply != nil {
		m.reply <- after.revision()
	}
}

// store stores a snapshot when one is due, and another one if that becomes due
// meanwhile. After a failure it is tried again with the next accepted change.
func (d *Distributor) store(ctx context.Context) {
	if d.Snapshots == nil || !d.unstored.Load() || !d.storing.CompareAndSwap(false, true) {
		return
	}
	d.lifecycle.Go(func() {
		defer d.storing.Store(false)
		for d.unstored.Swap(false) {
			bounded, cancel := context.WithTimeout(ctx, tableTimeout)
			err := d.Snapshots.Store(bounded, d.holding().configuration)
			cancel()
			if err != nil {
				d.unstored.Store(true)
				return
			}
		}
	})
}

// spread pushes what is new to the hosts that this host is responsible for.
// What came from the same failure domain was pushed to all of it by its sender.
func (d *Distributor) spread(ctx context.Context, m message, first configuration.Revision) {
	if m.origin == originPeer && m.domain == d.Self.FailureDomain {
		return
	}
	view := d.Members.View()
	hosts := view.LiveHosts("")
	limit := d.DirectPushHostLimit
	if limit == 0 {
		limit = pushDirectly
	}
	direct := len(hosts) <= limit
	if direct && m.origin == originPeer {
		return
	}
	domains := make(map[fleet.FailureDomainName][]fleet.Host)
	for _, host := range hosts {
		if host.FailureDomain == d.Self.FailureDomain || direct {
			d.push(ctx, host, first)
			continue
		}
		domains[host.FailureDomain] = append(domains[host.FailureDomain], host)
	}
	if m.origin == originPeer {
		return
	}
	for domain, hosts := range domains {
		for _, relay := range membership.Relays(d.Self.FailureDomain, domain, hosts) {
			d.push(ctx, relay, first)
		}
	}
}

// push brings a host up to the revision in force on a worker, unless one is at
// it. It ends at the first error, because the host pulls what it missed.
func (d *Distributor) push(ctx context.Context, host fleet.Host, first configuration.Revision) {
	if host.Name == d.Self.Name {
		return
	}
	busy := reserve(d.pushing, host.PeerAddress)
	if busy == nil {
		return
	}
	d.lifecycle.Go(func() {
		next := first
		for {
			next = d.pushFrom(ctx, host.PeerAddress, next)
			busy.Store(false)
			// A change that came while the worker ended found it busy.
			if next == 0 || next > d.Revision() || !busy.CompareAndSwap(false, true) {
				return
			}
		}
	})
}

// pushFrom pushes changes from a revision on until the peer has all. It returns
// the revision after the last one that the peer has, or 0 when it gave up.
func (d *Distributor) pushFrom(ctx context.Context, address string, next configuration.Revision) configuration.Revision {
	for next <= d.Revision() {
		changes, reaches := d.holding().after(next - 1)
		if !reaches {
			return 0
		}
		revision, err := d.pushOnce(ctx, address, changes[:min(len(changes), pushBatch)])
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

// reserve marks a call to an address as in flight, or returns nil if one is.
func reserve(calls map[string]*atomic.Bool, address string) *atomic.Bool {
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

// pull asks a host for what it has more. While a pull is in flight, another
// host is asked only after pullAgain, so that a silent host does not hold back
// the repair and a snapshot is not fetched many times.
func (d *Distributor) pull(ctx context.Context, s sighting) {
	if s.revision <= d.Revision() {
		return
	}
	inFlight := 0
	for _, busy := range d.pulling {
		if busy.Load() {
			inFlight++
		}
	}
	if inFlight >= pullsAtOnce || (inFlight > 0 && time.Since(d.pulled) < pullAgain) {
		return
	}
	busy := reserve(d.pulling, s.host.PeerAddress)
	if busy == nil {
		return
	}
	d.pulled = time.Now()
	d.lifecycle.Go(func() {
		defer busy.Store(false)
		d.pullFrom(ctx, s.host)
	})
}

// pullFrom pulls from a host and gives the result to the loop.
func (d *Distributor) pullFrom(ctx context.Context, host fleet.Host) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	changes, snapshot, _, err := d.Peers.PullChanges(ctx, host.PeerAddress, d.Revision())
	if err != nil || (len(changes) == 0 && snapshot == nil) {
		return
	}
	d.messages.Offer(message{origin: originPeer, domain: host.FailureDomain, changes: changes, snapshot: snapshot})
}

// readHead reads the head on a worker if this host is the first live one of its
// failure domain.
func (d *Distributor) readHead(ctx context.Context) {
	live := d.Members.View().LiveHosts(d.Self.FailureDomain)
	if len(live) == 0 || membership.RendezvousOrder("configuration-head", live)[0].Name != d.Self.Name {
		return
	}
	if !d.readingHead.CompareAndSwap(false, true) {
		return
	}
	busy := d.readingHead
	d.lifecycle.Go(func() {
		defer busy.Store(false)
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		d.followHead(ctx)
	})
}

// followHead reads the head and fetches what is missing: from a host that has
// it, else from the table. A head that lags changes nothing.
func (d *Distributor) followHead(ctx context.Context) {
	records, err := d.Table.Read(ctx, []table.Key{headKey})
	if err != nil {
		return
	}
	var head headRecord
	if decode(records[0], &head) != nil || head.Revision <= d.Revision() {
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

// fetch brings this host up to a revision from the table and the snapshots.
func (d *Distributor) fetch(ctx context.Context, target configuration.Revision) error {
	if target > d.Revision()+pushBatch && d.Snapshots != nil {
		if snapshot, err := d.Snapshots.Latest(ctx); err == nil && snapshot != nil {
			d.feed(ctx, message{origin: originTable, snapshot: snapshot})
		}
	}
	for d.Revision() < target {
		from := d.Revision()
		changes, err := d.readChanges(ctx, from, min(target, from+pushBatch))
		if err != nil {
			return err
		}
		if d.feed(ctx, message{origin: originTable, changes: changes}) <= from {
			return verdict.NewNotRun(verdict.CodeTableUnavailable, "change %d is not readable yet", from+1)
		}
	}
	return nil
}

// readChanges reads the changes after one revision up to another one. It ends
// at the first that is absent, because a lagging read may not see it yet.
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
		if err := decode(record, &change); err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}
