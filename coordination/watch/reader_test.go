package watch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// A countedStore counts the reads of whole tables.
type countedStore struct {
	mutex sync.Mutex
	reads map[site.Table]int
}

func (s *countedStore) Rows(_ context.Context, table site.Table) (site.Changes, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads[table]++
	changes := site.Changes{Table: table, Whole: true, Upto: 9}
	if table == "op" {
		changes.Rows = []site.Row{{Key: "config", Value: []byte{7}, Position: 9}}
	}
	return changes, nil
}

func (s *countedStore) Feed(ctx context.Context, table site.Table, after site.Position, wait time.Duration) (site.Changes, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return site.Changes{Table: table, Upto: after}, ctx.Err()
}

// TestStartingHostLeavesTheBulkyTableToOwners guards against a link between regions
// that all hosts fill with reads of a large desired state when they start
// together, and against a host that never reads it because no owner answers.
func TestStartingHostLeavesTheBulkyTableToOwners(t *testing.T) {
	for _, test := range []struct {
		name  string
		owner bool
		after time.Duration
		reads int
	}{
		{"owner", true, startPatience / 2, 1},
		{"other host", false, startPatience / 2, 0},
		{"other host that no owner tells", false, startPatience + 2*idlePause, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				w, s := newWatcher(), &countedStore{reads: map[site.Table]int{}}
				r := &Reader{Store: s, Watcher: w, Gone: errors.New("history dropped"), Owner: func() bool { return test.owner }, Lively: "servers", Bulky: "op", Log: zerolog.Nop()}
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
		f := &Follower{Self: "self", Zone: "here", Region: "", Watcher: w, Neighbors: o, Residences: noResidences{}, Log: zerolog.Nop()}
		distant := &Follower{Self: "self", Zone: "here", Region: "elsewhere", Watcher: w, Neighbors: o, Residences: noResidences{}, Log: zerolog.Nop()}
		go w.Run(context.Background())
		w.Learn(site.Changes{Table: "hosts", Whole: true, Upto: 2, Rows: []site.Row{{Key: "beside", Value: []byte("there"), Position: 1}}})
		w.Contact(0)
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
