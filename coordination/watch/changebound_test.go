package watch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// changeBound is the time after its acknowledgement within which a change of the
	// desired state has to be in force on every host that the store serves.
	changeBound = 2500 * time.Millisecond
	// storeLatency is the time that the store and the way to it take.
	storeLatency = 30 * time.Millisecond
)

// A changingStore holds a desired state that a test changes. A server changes before
// each read of the table of servers, so that such a read returns at once. The table of
// hosts does not change.
type changingStore struct {
	mutex sync.Mutex
	// version and desiredPosition are those of the desired state.
	version         byte
	desiredPosition site.Position
	position        site.Position
	// changed is closed when the desired state changes.
	changed chan struct{}
	reads   map[site.Table]int
	// hosts are the rows of the table of hosts, whose position is 1.
	hosts []site.Row
}

func newChangingStore() *changingStore {
	return &changingStore{version: 1, desiredPosition: 1, position: 1, changed: make(chan struct{}), reads: make(map[site.Table]int)}
}

// change acknowledges a new version of the desired state.
func (s *changingStore) change() byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.position++
	s.desiredPosition = s.position
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// rows returns the rows of the table after the position. The mutex is held.
func (s *changingStore) rows(table site.Table, after site.Position) []site.Row {
	switch {
	case table == "servers":
		s.position++
		return []site.Row{{Key: "server", Value: []byte("ready"), Position: s.position}}
	case table == "op" && s.desiredPosition > after:
		return []site.Row{{Key: "config", Value: []byte{s.version}, Position: s.desiredPosition}}
	case table == "hosts" && after == 0:
		return s.hosts
	default:
		return nil
	}
}

func (s *changingStore) ReadTable(_ context.Context, table site.Table) (site.Changes, error) {
	time.Sleep(storeLatency)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads[table]++
	return site.Changes{Table: table, FullTable: true, Rows: s.rows(table, 0), CompleteThrough: s.position}, nil
}

func (s *changingStore) WatchTable(ctx context.Context, table site.Table, after site.Position, wait time.Duration) (site.Changes, error) {
	time.Sleep(storeLatency)
	end := time.After(wait)
	s.mutex.Lock()
	s.reads[table]++
	rows, changed := s.rows(table, after), s.changed
	s.mutex.Unlock()
	for hasEnded := false; len(rows) == 0 && !hasEnded; {
		select {
		case <-changed:
		case <-end:
			hasEnded = true
		case <-ctx.Done():
			return site.Changes{}, ctx.Err()
		}
		s.mutex.Lock()
		rows, changed = s.rows(table, after), s.changed
		s.mutex.Unlock()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return site.Changes{Table: table, Rows: rows, CompleteThrough: s.position}, nil
}

// A partlySilentStore does not answer watches of the desired state while isSilent is
// set. They fail as calls that time out do.
type partlySilentStore struct {
	*changingStore

	isSilent atomic.Bool
}

func (s *partlySilentStore) WatchTable(ctx context.Context, table site.Table, after site.Position, wait time.Duration) (site.Changes, error) {
	const callTimeout = 1200 * time.Millisecond
	if table != "op" || !s.isSilent.Load() {
		return s.changingStore.WatchTable(ctx, table, after, wait)
	}
	select {
	case <-time.After(wait + callTimeout):
		return site.Changes{}, context.DeadlineExceeded
	case <-ctx.Done():
		return site.Changes{}, ctx.Err()
	}
}

// ownerPeer replies to follow requests with what the cache of an owner has.
type ownerPeer struct{ cache *Cache }

func (o ownerPeer) Follow(_ context.Context, _ string, request site.FollowRequest) (site.FollowReply, error) {
	return site.FollowReply{Changes: o.cache.ChangesSince(request.Positions)}, nil
}

func newTestReader(store Store, cache *Cache, isOwner bool) *StoreReader {
	return &StoreReader{
		Store:          store,
		Cache:          cache,
		ErrHistoryGone: errors.New("history dropped"),
		IsZoneOwner:    func() bool { return isOwner },
		LivenessTable:  "servers",
		LargeTable:     "op",
		Log:            zerolog.Nop(),
	}
}

// checkChanges makes changes and checks that each is in force within changeBound. The
// interval is no multiple of the intervals between reads, so that changes come at all
// moments between two reads.
func checkChanges(c *quicktest.C, w *Cache, s *changingStore) {
	const interval, count = 3170 * time.Millisecond, 40
	for range count {
		time.Sleep(interval - changeBound)
		version := s.change()
		time.Sleep(changeBound)
		c.Check(w.View().Desired.Version, quicktest.Equals, int64(version))
	}
}

// TestChangeIsInForceInTimeWithoutOwners guards against a host that follows no
// owner and does not read the desired state for several turns, because the reads of
// other tables make the store look recently read.
func TestChangeIsInForceInTimeWithoutOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w, s := newTestCache(), newChangingStore()
		r := newTestReader(s, w, false)
		go w.Run(context.Background())
		go r.Run(context.Background())
		time.Sleep(ownerReplyWindow + 2*time.Second)
		checkChanges(c, w, s)
		c.Assert(r.Close(), quicktest.IsNil)
		c.Assert(w.Close(), quicktest.IsNil)
	})
}

// TestChangeIsInForceInTimeWithStaleOwner guards against a host that takes its view of
// the desired state for fresh because the owner that it follows reads other tables,
// while the owner's own reads of the desired state get no answer.
func TestChangeIsInForceInTimeWithStaleOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := newChangingStore()
		ownerStore := &partlySilentStore{changingStore: s}
		owner, w := newTestCache(), newTestCache()
		ownerReader, r := newTestReader(ownerStore, owner, true), newTestReader(s, w, false)
		f := &Follower{Self: "self", Zone: "here", Cache: w, Peers: ownerPeer{owner}, Residencies: noResidencies{}, Log: zerolog.Nop()}
		for _, run := range []func(context.Context) error{owner.Run, w.Run, ownerReader.Run, r.Run, f.Run} {
			go run(context.Background())
		}
		w.Enqueue(site.Changes{Table: "hosts", FullTable: true, CompleteThrough: 1, Rows: []site.Row{{Key: "owner", Value: []byte("here"), Position: 1}}}, StoreSource)
		time.Sleep(ownerReplyWindow + 2*time.Second)
		ownerStore.isSilent.Store(true)
		checkChanges(c, w, s)
		for _, closePart := range []func() error{f.Close, r.Close, ownerReader.Close, w.Close, owner.Close} {
			c.Assert(closePart(), quicktest.IsNil)
		}
	})
}
