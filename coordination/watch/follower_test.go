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

// testDecoder takes keys for meanings: h/ZONE a host that owns the zone, s/ID a
// server, d/ the desired state. An empty value cannot be decoded.
type testDecoder struct{}

func (testDecoder) Decode(table site.Table, row site.Row) (DecodedRow, error) {
	if len(row.Value) == 0 {
		return DecodedRow{}, errors.New("no value")
	}
	switch table {
	case "hosts":
		return DecodedRow{Host: &site.Host{Name: row.Key, Start: 1, Address: row.Key, OwnedZones: map[string]uint64{string(row.Value): 1}}}, nil
	case "servers":
		return DecodedRow{Server: &site.Server{Incarnation: site.Incarnation{ID: site.ServerID(row.Key)}, Service: "s", State: site.ServerState(row.Value)}}, nil
	default:
		return DecodedRow{Desired: &site.DesiredState{Version: int64(row.Value[0])}}, nil
	}
}

func newWatcher() *Cache {
	return &Cache{Decoder: testDecoder{}, Tables: []site.Table{"op", "hosts", "servers"}, Log: zerolog.Nop()}
}

// owners answers questions; a stale owner has not heard of the store, and a
// silent one does not answer.
type owners struct {
	mutex  sync.Mutex
	ages   map[string]time.Duration
	silent map[string]bool
	asked  map[string]int
	// changes is what every owner tells when it is asked for changes.
	changes []site.Changes
}

func (o *owners) Follow(ctx context.Context, address string, request site.FollowRequest) (site.FollowReply, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.silent[address] {
		o.mutex.Unlock()
		<-ctx.Done()
		o.mutex.Lock()
		return site.FollowReply{}, ctx.Err()
	}
	reply := site.FollowReply{StoreAge: o.ages[address]}
	if len(request.Positions) > 0 {
		o.asked[address]++
		if o.ages[address] == 0 {
			reply.Changes = o.changes
		}
	}
	return reply, nil
}

type noResidences struct{}

func (noResidences) IsFallbackOnly(map[string]bool) bool       { return false }
func (noResidences) UpdateResidency(site.Residency) bool       { return true }
func (noResidences) InFlight(map[string]bool) []site.InFlight  { return nil }
func (noResidences) UpdateRunningCounts(map[site.ServerID]int) {}

// TestStaleOwnerIsNotEnough guards against a host that stays behind because the
// owner of its zone is turned away by the store, while other owners answer.
func TestStaleOwnerIsNotEnough(t *testing.T) {
	for _, test := range []struct {
		name   string
		silent bool
	}{{"turned away", false}, {"silent", true}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				w := newWatcher()
				o := &owners{ages: map[string]time.Duration{}, silent: map[string]bool{}, asked: map[string]int{}}
				f := &Follower{Self: "self", Zone: "here", Cache: w, Peers: o, Residencies: noResidences{}, Log: zerolog.Nop()}
				go w.Run(context.Background())
				go f.Run(context.Background())
				w.Enqueue(site.Changes{Table: "hosts", FullTable: true, CompleteThrough: 2, Rows: []site.Row{
					{Key: "near", Value: []byte("here"), Position: 1}, {Key: "far", Value: []byte("there"), Position: 2},
				}})
				w.Enqueue(site.Changes{Table: "servers", FullTable: true, CompleteThrough: 2, Rows: []site.Row{{Key: "server", Value: []byte("ready"), Position: 1}}})
				w.RecordContact(0)
				time.Sleep(3 * time.Second)
				o.mutex.Lock()
				c.Assert(o.asked["near"] > 5, quicktest.IsTrue)
				c.Assert(o.asked["far"], quicktest.Equals, 0)
				o.ages["near"], o.silent["near"] = time.Hour, test.silent
				o.changes = []site.Changes{{Table: "servers", CompleteThrough: 9, Rows: []site.Row{{Key: "server", Value: []byte("draining"), Position: 9}}}}
				o.mutex.Unlock()
				time.Sleep(freshLimit + 2*farPause)
				c.Assert(w.View().Servers["server"].State, quicktest.Equals, site.Draining)
				c.Assert(f.Close(), quicktest.IsNil)
				c.Assert(w.Close(), quicktest.IsNil)
			})
		})
	}
}

// TestViewNeverGoesBack guards against rows that arrive late or from a stale
// read, against a desired state that cannot be read, and against one bad row
// that hides the others.
func TestViewNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w := newWatcher()
		go w.Run(context.Background())
		learn := func(changes site.Changes) {
			w.Enqueue(changes)
			synctest.Wait()
		}
		learn(site.Changes{Table: "op", CompleteThrough: 5, Rows: []site.Row{{Key: "config", Value: []byte{7}, Position: 5}}})
		learn(site.Changes{Table: "op", CompleteThrough: 3, Rows: []site.Row{{Key: "config", Value: []byte{6}, Position: 3}}})
		learn(site.Changes{Table: "op", FullTable: true, CompleteThrough: 4})
		c.Assert(w.View().Desired.Version, quicktest.Equals, int64(7))
		learn(site.Changes{Table: "op", CompleteThrough: 8, Rows: []site.Row{{Key: "config", Position: 8}}})
		c.Assert(w.View().Desired.Version, quicktest.Equals, int64(7))
		learn(site.Changes{Table: "servers", CompleteThrough: 9, Rows: []site.Row{
			{Key: "bad", Position: 9}, {Key: "good", Value: []byte("ready"), Position: 9},
		}})
		c.Assert(w.View().Servers, quicktest.HasLen, 1)
		c.Assert(w.Close(), quicktest.IsNil)
	})
}

// TestLapsedServerStaysAfterOutage guards against servers that are dropped because
// their rows lapsed while the store was away, and against ones that stay for good.
func TestLapsedServerStaysAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w := newWatcher()
		go w.Run(context.Background())
		row := site.Row{Key: "server", Value: []byte("ready"), Position: 1}
		w.Enqueue(site.Changes{Table: "servers", CompleteThrough: 1, Rows: []site.Row{row}})
		synctest.Wait()
		w.RecordOutage()
		w.Enqueue(site.Changes{Table: "servers", CompleteThrough: 2, Rows: []site.Row{{Key: "server", Position: 2, Deleted: true}}})
		synctest.Wait()
		c.Assert(w.View().Servers, quicktest.HasLen, 1)
		time.Sleep(lapseGrace + time.Millisecond)
		synctest.Wait()
		c.Assert(w.View().Servers, quicktest.HasLen, 0)
		time.Sleep(2 * outageMemory)
		row.Position = 3
		w.Enqueue(site.Changes{Table: "servers", CompleteThrough: 3, Rows: []site.Row{row}})
		w.Enqueue(site.Changes{Table: "servers", CompleteThrough: 4, Rows: []site.Row{{Key: "server", Position: 4, Deleted: true}}})
		synctest.Wait()
		c.Assert(w.View().Servers, quicktest.HasLen, 0)
		c.Assert(w.Close(), quicktest.IsNil)
	})
}
