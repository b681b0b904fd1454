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

// testDecoder decodes by table: a row of "hosts" is a host that owns the zone in
// its value, a row of "servers" is a server whose state is its value, and a row
// of "op" is a desired state whose version is the first byte. An empty value
// cannot be decoded.
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

func newTestCache() *Cache {
	return &Cache{Decoder: testDecoder{}, Tables: []site.Table{"op", "hosts", "servers"}, Log: zerolog.Nop()}
}

// fakePeers answers follow requests for all owners. An owner replies with its
// entry in storeAges and does not reply while isSilent is set for it.
// changeRequests counts the requests for changes by owner.
type fakePeers struct {
	mutex          sync.Mutex
	storeAges      map[string]time.Duration
	isSilent       map[string]bool
	changeRequests map[string]int
	// changes is the reply of an owner whose store age is 0 to a request for
	// changes.
	changes []site.Changes
}

func (o *fakePeers) Follow(ctx context.Context, address string, request site.FollowRequest) (site.FollowReply, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.isSilent[address] {
		o.mutex.Unlock()
		<-ctx.Done()
		o.mutex.Lock()
		return site.FollowReply{}, ctx.Err()
	}
	reply := site.FollowReply{StoreAge: o.storeAges[address]}
	if len(request.Positions) > 0 {
		o.changeRequests[address]++
		if o.storeAges[address] == 0 {
			reply.Changes = o.changes
		}
	}
	return reply, nil
}

type noResidencies struct{}

func (noResidencies) IsFallbackOnly(map[string]bool) bool       { return false }
func (noResidencies) UpdateResidency(site.Residency) bool       { return true }
func (noResidencies) InFlight(map[string]bool) []site.InFlight  { return nil }
func (noResidencies) UpdateRunningCounts(map[site.ServerID]int) {}

// TestStaleOwnerIsReplacedByOtherOwners guards against a host that misses changes
// because the owner of its zone cannot reach the store or does not reply, while
// owners of other zones have the changes.
func TestStaleOwnerIsReplacedByOtherOwners(t *testing.T) {
	for _, test := range []struct {
		name   string
		silent bool
	}{{"refused by the store", false}, {"silent", true}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				w := newTestCache()
				o := &fakePeers{storeAges: map[string]time.Duration{}, isSilent: map[string]bool{}, changeRequests: map[string]int{}}
				f := &Follower{Self: "self", Zone: "here", Cache: w, Peers: o, Residencies: noResidencies{}, Log: zerolog.Nop()}
				go w.Run(context.Background())
				go f.Run(context.Background())
				w.Enqueue(site.Changes{Table: "hosts", FullTable: true, CompleteThrough: 2, Rows: []site.Row{
					{Key: "near", Value: []byte("here"), Position: 1}, {Key: "far", Value: []byte("there"), Position: 2},
				}})
				w.Enqueue(site.Changes{Table: "servers", FullTable: true, CompleteThrough: 2, Rows: []site.Row{{Key: "server", Value: []byte("ready"), Position: 1}}})
				w.RecordContact(0)
				time.Sleep(3 * time.Second)
				o.mutex.Lock()
				c.Assert(o.changeRequests["near"] > 5, quicktest.IsTrue)
				c.Assert(o.changeRequests["far"], quicktest.Equals, 0)
				o.storeAges["near"], o.isSilent["near"] = time.Hour, test.silent
				o.changes = []site.Changes{{Table: "servers", CompleteThrough: 9, Rows: []site.Row{{Key: "server", Value: []byte("draining"), Position: 9}}}}
				o.mutex.Unlock()
				time.Sleep(freshStoreAge + 2*otherZonePollInterval)
				c.Assert(w.View().Servers["server"].State, quicktest.Equals, site.Draining)
				c.Assert(f.Close(), quicktest.IsNil)
				c.Assert(w.Close(), quicktest.IsNil)
			})
		})
	}
}

// TestViewNeverRevertsToOlderRows guards against a view that takes over rows that
// arrive late or come from a stale read, drops a desired state when a newer one
// cannot be decoded, or loses other rows because of one that cannot be decoded.
func TestViewNeverRevertsToOlderRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w := newTestCache()
		go w.Run(context.Background())
		apply := func(changes site.Changes) {
			w.Enqueue(changes)
			synctest.Wait()
		}
		apply(site.Changes{Table: "op", CompleteThrough: 5, Rows: []site.Row{{Key: "config", Value: []byte{7}, Position: 5}}})
		apply(site.Changes{Table: "op", CompleteThrough: 3, Rows: []site.Row{{Key: "config", Value: []byte{6}, Position: 3}}})
		apply(site.Changes{Table: "op", FullTable: true, CompleteThrough: 4})
		c.Assert(w.View().Desired.Version, quicktest.Equals, int64(7))
		apply(site.Changes{Table: "op", CompleteThrough: 8, Rows: []site.Row{{Key: "config", Position: 8}}})
		c.Assert(w.View().Desired.Version, quicktest.Equals, int64(7))
		apply(site.Changes{Table: "servers", CompleteThrough: 9, Rows: []site.Row{
			{Key: "bad", Position: 9}, {Key: "good", Value: []byte("ready"), Position: 9},
		}})
		c.Assert(w.View().Servers, quicktest.HasLen, 1)
		c.Assert(w.Close(), quicktest.IsNil)
	})
}

// TestExpiredServerStaysUsableAfterOutage guards against servers that are dropped
// because their rows expired while the store was unavailable, and against expired
// servers that stay usable for good.
func TestExpiredServerStaysUsableAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w := newTestCache()
		go w.Run(context.Background())
		row := site.Row{Key: "server", Value: []byte("ready"), Position: 1}
		w.Enqueue(site.Changes{Table: "servers", CompleteThrough: 1, Rows: []site.Row{row}})
		synctest.Wait()
		w.RecordOutage()
		w.Enqueue(site.Changes{Table: "servers", CompleteThrough: 2, Rows: []site.Row{{Key: "server", Position: 2, Deleted: true}}})
		synctest.Wait()
		c.Assert(w.View().Servers, quicktest.HasLen, 1)
		time.Sleep(expiredServerGracePeriod + time.Millisecond)
		synctest.Wait()
		c.Assert(w.View().Servers, quicktest.HasLen, 0)
		time.Sleep(2 * postOutageWindow)
		row.Position = 3
		w.Enqueue(site.Changes{Table: "servers", CompleteThrough: 3, Rows: []site.Row{row}})
		w.Enqueue(site.Changes{Table: "servers", CompleteThrough: 4, Rows: []site.Row{{Key: "server", Position: 4, Deleted: true}}})
		synctest.Wait()
		c.Assert(w.View().Servers, quicktest.HasLen, 0)
		c.Assert(w.Close(), quicktest.IsNil)
	})
}
