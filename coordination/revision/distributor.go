// Package revision accepts changes of the configuration and distributes them to
// all entry hosts. Each accepted change leads to the next revision of the
// configuration; the highest one is called the head.
package revision

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/duty"
	"github.com/persimmonmux/persimmonmux/coordination/membership"
	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
)

const (
	// headReadInterval is the time between two reads of the head record by the
	// one host of each failure domain that reads it.
	headReadInterval = time.Second
	// tableTimeout bounds one periodic read of the head together with the fetch
	// of the missing changes after it, and the storing of one snapshot.
	tableTimeout = 5 * time.Second
	// pushTimeout bounds one push. A peer pulls the changes that a failed push
	// did not deliver.
	pushTimeout = 2 * time.Second
	// pullTimeout bounds one pull, which may carry a snapshot.
	pullTimeout = 10 * time.Second
	// pullRetryDelay is the time after the start of a pull, while it is in
	// flight, after which another host may be tried. maxConcurrentPulls bounds
	// the number of pulls in flight.
	pullRetryDelay     = time.Second
	maxConcurrentPulls = 3
	// maxChangesPerBatch is the largest number of changes in one push and in one
	// read of the table.
	maxChangesPerBatch = 100
	// revisionsPerSnapshot is the number of revisions from one stored snapshot
	// to the next.
	revisionsPerSnapshot = 100
	// defaultDirectPushHostLimit is used when Distributor.DirectPushHostLimit
	// is 0.
	defaultDirectPushHostLimit = 32
	// ringCapacity is the number of messages to the loop that can wait. It holds
	// more than a minute of changes and observed revisions.
	ringCapacity = 1024
)

// A Table is the platform's transactional table. It is the authority on which
// changes were accepted.
type Table interface {
	// Read returns the records of keys in the order of the keys. It may lag.
	Read(ctx context.Context, keys []table.Key) ([]table.Record, error)
	// Commit carries out a transaction. Its results never lag. After an error
	// other than table.ErrUnavailable, it is not known whether it applied.
	Commit(ctx context.Context, transaction table.Transaction) ([]table.WriteResult, error)
}

// SnapshotStore stores whole configurations, so that new hosts need not read all
// changes.
type SnapshotStore interface {
	// Latest returns a stored configuration, preferably the last one, or nil
	// if there is none.
	Latest(ctx context.Context) (*configuration.Configuration, error)
	// Store stores a configuration. It may be called more than once for one
	// revision, always with the same configuration.
	Store(ctx context.Context, snapshot *configuration.Configuration) error
}

// PeerClient pushes changes to other hosts and pulls changes from them.
type PeerClient interface {
	// PushChanges sends changes and returns the revision then applied at the
	// peer.
	PushChanges(ctx context.Context, address string, changes []configuration.Change) (configuration.Revision, error)
	// PullChanges returns the peer's changes after a revision, or a snapshot if
	// it does not keep all of them, and the revision applied at the peer.
	PullChanges(ctx context.Context, address string, after configuration.Revision) ([]configuration.Change, *configuration.Configuration, configuration.Revision, error)
}

// MembershipSource supplies the states and revisions of the other hosts.
type MembershipSource interface {
	// View returns the view that was published last.
	View() *membership.View
}

// A Distributor holds the configuration applied at this host, accepts changes
// and distributes them to the other hosts. One loop applies revisions. The
// exported fields are set before Run and not changed afterwards.
type Distributor struct {
	// Self is this host.
	Self fleet.Host
	// Table holds the head, the changes and the operation records.
	Table Table
	// Snapshots holds whole configurations; nil means that there are none.
	Snapshots SnapshotStore
	// Peers pushes and pulls changes.
	Peers PeerClient
	// Members supplies the view of the other hosts.
	Members MembershipSource
	// DirectPushHostLimit is the number of live hosts up to which an accepting
	// host pushes to all of them. With more hosts, relays push within their
	// failure domains. 0 means 32, and a negative number always uses relays.
	DirectPushHostLimit int

	lifecycle duty.Lifecycle
	once      sync.Once
	messages  *ring.Ring[message]
	done      chan struct{}
	running   atomic.Bool
	replica   atomic.Pointer[replica]
	// snapshotPending says that a snapshot has to be stored, and
	// isStoringSnapshot that a worker is storing one.
	snapshotPending, isStoringSnapshot atomic.Bool

	// The fields below are used by the loop only, except that workers clear the
	// flags. pushesInFlight and pullsInFlight have the peer address as their key.
	pushesInFlight map[string]*atomic.Bool
	pullsInFlight  map[string]*atomic.Bool
	lastPullStart  time.Time
	isReadingHead  *atomic.Bool
}

// An origin says where changes came from.
type origin string

const (
	originAccepted origin = "accepted"
	originTable    origin = "table"
	originPeer     origin = "peer"
)

// A message is an input of the loop: either a higher revision at a peer, or
// changes or a snapshot to apply.
type message struct {
	higherRevision *peerRevision
	origin         origin
	senderDomain   fleet.FailureDomainName
	changes        []configuration.Change
	snapshot       *configuration.Configuration
	// reply receives the applied revision afterwards; nil if no caller waits.
	reply chan configuration.Revision
}

// A peerRevision says that a peer has applied a higher revision.
type peerRevision struct {
	host     fleet.Host
	revision configuration.Revision
}

// prepare creates the channels, so that methods can be called before Run.
func (d *Distributor) prepare() {
	d.once.Do(func() {
		d.messages = ring.New[message](ringCapacity)
		d.done = make(chan struct{})
	})
}

// currentReplica returns the replica that was published last, or an empty one
// before the first revision.
func (d *Distributor) currentReplica() *replica {
	if r := d.replica.Load(); r != nil {
		return r
	}
	return &replica{}
}

// Current returns the applied configuration, or nil before the first one.
func (d *Distributor) Current() *configuration.Configuration {
	return d.currentReplica().configuration
}

// Revision returns the applied revision, or 0 before the first one.
func (d *Distributor) Revision() configuration.Revision {
	return d.currentReplica().revision()
}

// ObserveRevision reports that another host has applied a higher revision. The
// loop then pulls from that host, unless a pull from it or enough other pulls are
// in flight. ObserveRevision does not block.
func (d *Distributor) ObserveRevision(host fleet.Host, revision configuration.Revision) {
	d.prepare()
	if revision > d.Revision() {
		d.messages.Offer(message{higherRevision: &peerRevision{host: host, revision: revision}})
	}
}

// PushChanges processes changes that another host pushed and returns the revision
// applied here afterwards. The argument from is the failure domain of that host.
func (d *Distributor) PushChanges(ctx context.Context, from fleet.FailureDomainName, changes []configuration.Change) (configuration.Revision, error) {
	d.prepare()
	if len(changes) == 0 || changes[len(changes)-1].Revision <= d.Revision() {
		return d.Revision(), nil
	}
	return d.submit(ctx, message{origin: originPeer, senderDomain: from, changes: changes}), nil
}

// submit passes changes or a snapshot to the loop, waits until they have been
// processed, and returns the applied revision. It does not wait when the loop is
// not running or its ring is full.
func (d *Distributor) submit(ctx context.Context, m message) configuration.Revision {
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

// PullChanges returns the changes after a revision, or a snapshot when this host
// does not keep all of them, and the applied revision. Its error is always nil.
func (d *Distributor) PullChanges(_ context.Context, after configuration.Revision) ([]configuration.Change, *configuration.Configuration, configuration.Revision, error) {
	r := d.currentReplica()
	changes, complete := r.changesAfter(after)
	if !complete {
		return nil, r.configuration, r.revision(), nil
	}
	return changes, nil, r.revision(), nil
}

// RejectedMessages returns the number of messages that were dropped because the
// ring was full.
func (d *Distributor) RejectedMessages() uint64 {
	d.prepare()
	return d.messages.RejectedCount()
}

// Run distributes configurations until ctx ends or Close is called.
func (d *Distributor) Run(ctx context.Context) error {
	d.prepare()
	return d.lifecycle.Run(ctx, d.loop)
}

// Close ends Run and waits until the loop and its workers have ended.
func (d *Distributor) Close() error {
	return d.lifecycle.Close()
}

func (d *Distributor) loop(ctx context.Context) error {
	d.pushesInFlight = make(map[string]*atomic.Bool)
	d.pullsInFlight = make(map[string]*atomic.Bool)
	d.isReadingHead = new(atomic.Bool)
	d.running.Store(true)
	// Closing done ends the calls that wait in submit before Close waits for the
	// workers. Otherwise two hosts that stop at the same time could wait for
	// each other's answer.
	defer close(d.done)
	defer d.running.Store(false)
	d.startHeadRead(ctx)
	timer := time.NewTimer(headReadInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			timer.Reset(headReadInterval)
			d.pruneAddresses()
			d.startHeadRead(ctx)
		case m := <-d.messages.Messages():
			if m.higherRevision != nil {
				d.startPull(ctx, *m.higherRevision)
				continue
			}
			d.apply(ctx, m)
		}
	}
}

// pruneAddresses deletes the flags of addresses without a call in flight.
func (d *Distributor) pruneAddresses() {
	for _, calls := range []map[string]*atomic.Bool{d.pushesInFlight, d.pullsInFlight} {
		for address, busy := range calls {
			if !busy.Load() {
				delete(calls, address)
			}
		}
	}
}

// apply applies changes or a snapshot to the replica, propagates the revisions
// that are new here, and replies to the caller if one waits.
func (d *Distributor) apply(ctx context.Context, m message) {
	before := d.currentReplica()
	after := before.withUpdates(m.changes, m.snapshot)
	if after != before {
		d.replica.Store(after)
		d.propagate(ctx, m, before.revision()+1)
	}
	if m.origin == originAccepted {
		// An accepted change may have arrived from the table or a peer before
		// this message. So the accepted changes decide whether a snapshot has to
		// be stored, not the changes that are new here.
		for _, change := range m.changes {
			if change.Revision%revisionsPerSnapshot == 0 {
				d.snapshotPending.Store(true)
			}
		}
		d.startStoringSnapshots(ctx)
	}
	if m.reply != nil {
		m.reply <- after.revision()
	}
}

// startStoringSnapshots starts a worker that stores a snapshot if one is pending,
// and again if one becomes pending meanwhile. After a failure, the next accepted
// change tries again.
func (d *Distributor) startStoringSnapshots(ctx context.Context) {
	if d.Snapshots == nil || !d.snapshotPending.Load() || !d.isStoringSnapshot.CompareAndSwap(false, true) {
		return
	}
	d.lifecycle.Go(func() {
		defer d.isStoringSnapshot.Store(false)
		for d.snapshotPending.Swap(false) {
			bounded, cancel := context.WithTimeout(ctx, tableTimeout)
			err := d.Snapshots.Store(bounded, d.currentReplica().configuration)
			cancel()
			if err != nil {
				d.snapshotPending.Store(true)
				return
			}
		}
	})
}
