package watch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// registrationDecoder decodes as testDecoder does, but a host whose value is "-" owns no
// zone. Hosts whose names begin with "far" are of the region "far", others of "near".
type registrationDecoder struct{ testDecoder }

func (d registrationDecoder) Decode(table site.Table, row site.Row) (DecodedRow, error) {
	decoded, err := d.testDecoder.Decode(table, row)
	if decoded.Host == nil {
		return decoded, err
	}
	decoded.Host.Region = "near"
	if len(row.Key) >= 3 && row.Key[:3] == "far" {
		decoded.Host.Region = "far"
	}
	if string(row.Value) == "-" {
		decoded.Host.OwnedZones = nil
	}
	return decoded, err
}

// hostPeers answers follow requests with what the caches of hosts have, by address. A host
// without a cache does not reply. It counts the requests for changes and those that are in
// progress at once.
type hostPeers struct {
	caches map[string]*Cache

	mutex               sync.Mutex
	requests            map[string]int
	pending, mostAtOnce int
}

func (p *hostPeers) Follow(ctx context.Context, address string, request site.FollowRequest) (site.FollowReply, error) {
	p.mutex.Lock()
	p.requests[address]++
	p.pending++
	p.mostAtOnce = max(p.mostAtOnce, p.pending)
	p.mutex.Unlock()
	defer func() {
		p.mutex.Lock()
		p.pending--
		p.mutex.Unlock()
	}()
	cache := p.caches[address]
	if cache == nil {
		<-ctx.Done()
		return site.FollowReply{}, ctx.Err()
	}
	time.Sleep(storeLatency)
	return site.FollowReply{Changes: cache.ChangesSince(request.Positions)}, nil
}

// takeRequests returns the counts by address since the last call.
func (p *hostPeers) takeRequests() map[string]int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	taken := p.requests
	p.requests = make(map[string]int)
	return taken
}

// highestPending returns how many requests were in progress at once at most.
func (p *hostPeers) highestPending() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.mostAtOnce
}

// A refusingStore turns every call away.
type refusingStore struct{}

var errRefused = errors.New("refused")

func (refusingStore) ReadTable(context.Context, site.Table) (site.Changes, error) {
	return site.Changes{}, errRefused
}

func (refusingStore) WatchTable(context.Context, site.Table, site.Position, time.Duration) (site.Changes, error) {
	return site.Changes{}, errRefused
}

// A refusedHost is a host that the store turns away and that knows other hosts by their
// rows: those of hosts, with the zone that each owns.
type refusedHost struct {
	*quicktest.C

	store *changingStore
	cache *Cache
	peers *hostPeers
	parts []interface {
		Run(ctx context.Context) error
		Close() error
	}
}

// newRefusedHost starts the host and gives the other hosts in readers a cache that reads
// the store.
func newRefusedHost(t *testing.T, hosts map[string]string, readers ...string) *refusedHost {
	h := &refusedHost{C: quicktest.New(t), store: newChangingStore(), cache: newTestCache(), peers: &hostPeers{caches: make(map[string]*Cache), requests: make(map[string]int)}}
	h.cache.Decoder = registrationDecoder{}
	for name, zone := range hosts {
		h.store.hosts = append(h.store.hosts, site.Row{Key: name, Value: []byte(zone), Position: 1})
	}
	for _, name := range readers {
		cache := newTestCache()
		cache.Decoder = registrationDecoder{}
		h.peers.caches[name] = cache
		h.parts = append(h.parts, cache, newTestReader(h.store, cache, hosts[name] != "-"))
	}
	follower := &Follower{Self: "self", Zone: "here", Region: "near", Cache: h.cache, Peers: h.peers, Residencies: noResidencies{}, Log: zerolog.Nop()}
	h.parts = append(h.parts, h.cache, newTestReader(refusingStore{}, h.cache, false), follower)
	for _, part := range h.parts {
		go part.Run(context.Background())
	}
	h.cache.Enqueue(site.Changes{Table: "hosts", FullTable: true, CompleteThrough: 1, Rows: h.store.hosts}, StoreSource)
	h.cache.Enqueue(site.Changes{Table: "servers", FullTable: true, CompleteThrough: 1}, StoreSource)
	h.cache.Enqueue(site.Changes{Table: "op", FullTable: true, CompleteThrough: 1, Rows: []site.Row{{Key: "config", Value: []byte{1}, Position: 1}}}, StoreSource)
	time.Sleep(ownerReplyWindow + 4*time.Second)
	return h
}

// closeReaders ends all reads of the store.
func (h *refusedHost) closeReaders() {
	for _, part := range h.parts {
		if reader, ok := part.(*StoreReader); ok {
			h.Assert(reader.Close(), quicktest.IsNil)
		}
	}
}

func (h *refusedHost) close() {
	for i := len(h.parts) - 1; i >= 0; i-- {
		h.Assert(h.parts[i].Close(), quicktest.IsNil)
	}
}

// TestRefusedHostWithoutOwnerAsksOtherHosts guards against a host that keeps an old desired
// state without end, because the store turns it away and it knows no owner that replies.
func TestRefusedHostWithoutOwnerAsksOtherHosts(t *testing.T) {
	for _, test := range []struct {
		name  string
		hosts map[string]string
	}{
		{"no owner is known", map[string]string{"self": "-", "other": "-"}},
		{"it has lost its own zone", map[string]string{"self": "here", "other": "-"}},
		{"the owner does not reply", map[string]string{"self": "-", "owner": "here", "other": "-"}},
		{"most hosts do not reply", map[string]string{"self": "-", "gone-1": "-", "gone-2": "-", "gone-3": "-", "other": "-"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newRefusedHost(t, test.hosts, "other")
				defer h.close()
				checkChanges(h.C, h.cache, h.store)
				// The owner is asked too.
				h.Check(h.peers.highestPending() <= maxOtherHosts+1, quicktest.IsTrue)
			})
		})
	}
}

// TestRefusedHostAsksFewHosts guards against requests to many hosts while one helps, and
// against requests between regions that hosts of the own region save.
func TestRefusedHostAsksFewHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newRefusedHost(t, map[string]string{"self": "-", "a": "-", "b": "-", "c": "-", "far": "-"}, "a", "b", "c", "far")
		defer h.close()
		h.peers.takeRequests()
		const span = 30 * time.Second
		time.Sleep(span)
		total := 0
		requests := h.peers.takeRequests()
		for _, count := range requests {
			total += count
		}
		h.Check(requests, quicktest.HasLen, maxOtherHosts)
		h.Check(requests["far"], quicktest.Equals, 0)
		h.Check(total <= maxOtherHosts*int(span/(ownZonePollInterval*9/10)), quicktest.IsTrue, quicktest.Commentf("%d requests", total))
		h.Check(h.cache.TableAge("op") < maxOtherHostTableAge+otherZonePollInterval, quicktest.IsTrue)
	})
}

// TestHostsThatKnowNoMoreAreAskedSlowly guards against requests to many hosts, one right after
// the other, while the store is away for all of them.
func TestHostsThatKnowNoMoreAreAskedSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := map[string]string{"self": "here"}
		var names []string
		for i := range 40 {
			names = append(names, fmt.Sprint("host-", i))
			hosts[names[i]] = "-"
		}
		h := newRefusedHost(t, hosts, names...)
		defer h.close()
		h.closeReaders()
		time.Sleep(10 * time.Second)
		h.peers.takeRequests()
		const span = 30 * time.Second
		time.Sleep(span)
		total := 0
		for _, count := range h.peers.takeRequests() {
			total += count
		}
		h.Check(total > 0 && total <= maxOtherHosts*int(span/(ownZonePollInterval*9/10)), quicktest.IsTrue, quicktest.Commentf("%d requests", total))
	})
}

// TestHostsAreNotAskedWhereOwnersReply guards against further requests in deployments whose
// owners reply, also while their own tables are old because the store is away.
func TestHostsAreNotAskedWhereOwnersReply(t *testing.T) {
	for _, test := range []struct {
		name      string
		isRefused bool
	}{{"store replies to the owner", false}, {"store is away for all", true}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newRefusedHost(t, map[string]string{"self": "-", "owner": "here", "other": "-"}, "owner", "other")
				defer h.close()
				if test.isRefused {
					h.closeReaders()
				}
				h.peers.takeRequests()
				time.Sleep(20 * time.Second)
				requests := h.peers.takeRequests()
				h.Check(requests["other"], quicktest.Equals, 0)
				h.Check(requests["owner"] > 0, quicktest.IsTrue)
			})
		})
	}
}

// TestOtherHostsDoNotTakeKnowledgeBack guards against a host that goes back to an older
// desired state because another host that knows less is asked.
func TestOtherHostsDoNotTakeKnowledgeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newRefusedHost(t, map[string]string{"self": "-", "other": "-"}, "other")
		defer h.close()
		known := h.cache.Position("op") + 1000
		h.cache.Enqueue(site.Changes{Table: "op", CompleteThrough: known, Age: time.Hour, Rows: []site.Row{{Key: "config", Value: []byte{9}, Position: known}}}, "owner")
		time.Sleep(5 * time.Second)
		h.Check(h.cache.View().Desired.Version, quicktest.Equals, int64(9))
		h.Check(h.cache.Position("op"), quicktest.Equals, known)
		h.Check(h.cache.TableAge("op") > 5*time.Second, quicktest.IsTrue)
	})
}
