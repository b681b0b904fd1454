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

// A countedStore counts the reads of whole tables, which take the delay.
type countedStore struct {
	delay time.Duration
	mutex sync.Mutex
	reads map[site.Table]int
}

func (s *countedStore) ReadTable(_ context.Context, table site.Table) (site.Changes, error) {
	time.Sleep(s.delay)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads[table]++
	changes := site.Changes{Table: table, FullTable: true, CompleteThrough: 9}
	if table == "op" {
		changes.Rows = []site.Row{{Key: "config", Value: []byte{7}, Position: 9}}
	}
	return changes, nil
}

func (s *countedStore) WatchTable(ctx context.Context, table site.Table, after site.Position, wait time.Duration) (site.Changes, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return site.Changes{Table: table, CompleteThrough: after}, ctx.Err()
}

// An awayStore refuses every call until it is back, and counts them.
type awayStore struct {
	countedStore

	away  atomic.Bool
	calls atomic.Int64
}

var errAway = errors.New("the store is away")

func (s *awayStore) ReadTable(ctx context.Context, table site.Table) (site.Changes, error) {
	s.calls.Add(1)
	if s.away.Load() {
		return site.Changes{}, errAway
	}
	return s.countedStore.ReadTable(ctx, table)
}

func (s *awayStore) WatchTable(ctx context.Context, table site.Table, after site.Position, wait time.Duration) (site.Changes, error) {
	s.calls.Add(1)
	if s.away.Load() {
		return site.Changes{}, errAway
	}
	return s.countedStore.WatchTable(ctx, table, after, wait)
}

// TestHostsCallALostStoreSeldom guards against refused calls of every host for
// every table during an outage, and against a host that notices the store's
// return too late to have a change in force in time.
func TestHostsCallALostStoreSeldom(t *testing.T) {
	const outage, noticed = 20 * time.Second, 3500 * time.Millisecond
	for _, test := range []struct {
		name  string
		owner bool
		most  int64
	}{
		{"owner", true, int64(outage/(ownerRetry/2)) + 10},
		{"other host", false, int64(outage/spareRetry)*2 + 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				w, s := newWatcher(), &awayStore{countedStore: countedStore{reads: map[site.Table]int{}}}
				r := &StoreReader{Store: s, Cache: w, ErrHistoryGone: errors.New("history dropped"), IsZoneOwner: func() bool { return test.owner }, LivenessTable: "servers", LargeTable: "op", Log: zerolog.Nop()}
				go w.Run(context.Background())
				go r.Run(context.Background())
				time.Sleep(startMaxWait + 2*time.Second)
				c.Assert(w.HasSynced(), quicktest.IsTrue)
				s.away.Store(true)
				time.Sleep(2 * time.Second)
				before := s.calls.Load()
				time.Sleep(outage)
				c.Check(s.calls.Load()-before <= test.most, quicktest.IsTrue, quicktest.Commentf("%d calls", s.calls.Load()-before))
				s.away.Store(false)
				time.Sleep(noticed)
				c.Check(w.StoreAge() < noticed, quicktest.IsTrue)
				c.Assert(r.Close(), quicktest.IsNil)
				c.Assert(w.Close(), quicktest.IsNil)
			})
		})
	}
}

// A silentStore answers no reading of a whole table until it is back.
type silentStore struct {
	countedStore

	back atomic.Bool
}

func (s *silentStore) ReadTable(ctx context.Context, table site.Table) (site.Changes, error) {
	if !s.back.Load() {
		<-ctx.Done()
		return site.Changes{}, ctx.Err()
	}
	return s.countedStore.ReadTable(ctx, table)
}

// TestStartBesideAnOutage guards against a host that starts while the store is
// silent and goes on waiting for its first answer after the store is back.
func TestStartBesideAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w, s := newWatcher(), &silentStore{countedStore: countedStore{reads: map[site.Table]int{}}}
		r := &StoreReader{Store: s, Cache: w, ErrHistoryGone: errors.New("history dropped"), IsZoneOwner: func() bool { return true }, LivenessTable: "servers", LargeTable: "op", Log: zerolog.Nop()}
		go w.Run(context.Background())
		go r.Run(context.Background())
		time.Sleep(firstLimit / 2)
		s.back.Store(true)
		time.Sleep(firstLimit/2 + 2*failurePause + idlePause)
		c.Check(w.HasSynced(), quicktest.IsTrue)
		c.Assert(r.Close(), quicktest.IsNil)
		c.Assert(w.Close(), quicktest.IsNil)
	})
}

// TestStartingHostLeavesTheBulkyTableToOwners guards against a link between regions
// that all hosts fill with reads of a large desired state when they start
// together, and against a host that never reads it because no owner answers.
func TestStartingHostLeavesTheBulkyTableToOwners(t *testing.T) {
	for _, test := range []struct {
		name  string
		owner bool
		delay time.Duration
		after time.Duration
		reads int
	}{
		{"owner", true, 2 * nearLimit, startMaxWait / 2, 1},
		{"other host", false, 2 * nearLimit, startMaxWait / 2, 0},
		{"other host near the store", false, nearLimit / 2, startMaxWait / 2, 1},
		{"other host that no owner tells", false, 2 * nearLimit, startMaxWait + 2*idlePause, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				w, s := newWatcher(), &countedStore{delay: test.delay, reads: map[site.Table]int{}}
				r := &StoreReader{Store: s, Cache: w, ErrHistoryGone: errors.New("history dropped"), IsZoneOwner: func() bool { return test.owner }, LivenessTable: "servers", LargeTable: "op", Log: zerolog.Nop()}
				go w.Run(context.Background())
				go r.Run(context.Background())
				time.Sleep(test.after)
				s.mutex.Lock()
				c.Check(s.reads["op"], quicktest.Equals, test.reads)
				c.Check(s.reads["hosts"] > 0, quicktest.IsTrue)
				s.mutex.Unlock()
				c.Assert(r.Close(), quicktest.IsNil)
				c.Assert(w.Close(), quicktest.IsNil)
			})
		})
	}
}

// TestStartingHostAsksOwnersOfItsRegion guards against a starting host that waits
// for the owner of its own zone, which is gone, and against one that asks hosts of
// other regions for a large desired state.
func TestStartingHostAsksOwnersOfItsRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w := newWatcher()
		o := &owners{ages: map[string]time.Duration{}, silent: map[string]bool{}, asked: map[string]int{}}
		f := &Follower{Self: "self", Zone: "here", Region: "", Cache: w, Peers: o, Residencies: noResidences{}, Log: zerolog.Nop()}
		distant := &Follower{Self: "self", Zone: "here", Region: "elsewhere", Cache: w, Peers: o, Residencies: noResidences{}, Log: zerolog.Nop()}
		go w.Run(context.Background())
		w.Enqueue(site.Changes{Table: "hosts", FullTable: true, CompleteThrough: 2, Rows: []site.Row{{Key: "beside", Value: []byte("there"), Position: 1}}})
		w.RecordContact(0)
		go distant.Run(context.Background())
		time.Sleep(freshLimit / 2)
		c.Assert(distant.Close(), quicktest.IsNil)
		c.Assert(o.asked["beside"], quicktest.Equals, 0)
		go f.Run(context.Background())
		time.Sleep(freshLimit / 2)
		c.Assert(f.Close(), quicktest.IsNil)
		c.Assert(o.asked["beside"] > 0, quicktest.IsTrue)
		c.Assert(w.Close(), quicktest.IsNil)
	})
}
