package dailyreport

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/dailyreport"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

var _ dispatch.Recorder = (*Recorder)(nil)

// memoryStore is an object store that can be away and lose replies.
type memoryStore struct {
	mutex     sync.Mutex
	objects   map[string][]byte
	away      bool
	loseReply func() bool
	puts      int
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return errors.New("store is away")
	}
	if s.objects == nil {
		s.objects = make(map[string][]byte)
	}
	s.puts++
	s.objects[key] = slices.Clone(value)
	if s.loseReply != nil && s.loseReply() {
		return errors.New("reply lost")
	}
	return nil
}

func (s *memoryStore) Get(_ context.Context, key string) ([]byte, bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	value, found := s.objects[key]
	return value, found, nil
}

func (s *memoryStore) List(_ context.Context, prefix, after string, limit int) ([]string, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if len(key) > len(prefix) && key[:len(prefix)] == prefix && key > after && len(keys) < limit {
			keys = append(keys, key)
		}
	}
	return keys, nil
}

func (s *memoryStore) setAway(away bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = away
}

// severedStore takes nothing once its host is lost.
type severedStore struct {
	*memoryStore
	severed atomic.Bool
}

func (s *severedStore) Put(ctx context.Context, key string, value []byte) error {
	if s.severed.Load() {
		return errors.New("host is lost")
	}
	return s.memoryStore.Put(ctx, key, value)
}

func (s *memoryStore) records(c *quicktest.C) []dailyreport.Record {
	var records []dailyreport.Record
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		var r dailyreport.Record
		c.Assert(json.Unmarshal(s.objects[key], &r), quicktest.IsNil)
		records = append(records, r)
	}
	return records
}

var (
	chatKind = configuration.Kind{Name: "chat", Repeat: configuration.RepeatAllowed, Timeout: 20 * time.Second, Objective: 0.9}
	bookKind = configuration.Kind{Name: "enrolment", Repeat: configuration.RepeatForbidden, Timeout: 10 * time.Second, Objective: 0.9}
)

func made(kind configuration.Kind, id int) *request.Request {
	now := time.Now()
	return &request.Request{
		Application: "campus", Kind: kind, Caller: "campus", ID: fleet.RequestID(fmt.Sprintf("id-%03d", id)),
		Arrived: now, Deadline: now.Add(kind.Timeout),
	}
}

// startKeeper runs a Recorder in the bubble of the test.
func startKeeper(k *Recorder) {
	go func() { _ = k.Run(context.Background()) }()
	synctest.Wait()
}

// TestKeeperWritesIdleIntervals guards against a host without requests that
// looks like a lost host.
func TestKeeperWritesIdleIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		store := &memoryStore{}
		k := &Recorder{Host: fleet.Host{Name: "muc-a-1", Start: 7}, Store: store}
		startKeeper(k)
		time.Sleep(2*time.Minute + 15*time.Second)
		c.Assert(k.Close(), quicktest.IsNil)
		records := store.records(c)
		c.Assert(records, quicktest.HasLen, 3)
		for i, r := range records {
			c.Check(r.Counts, quicktest.HasLen, 0)
			c.Check(r.Final, quicktest.Equals, i == 2)
		}
		c.Check(records[2].Until.Sub(records[0].From), quicktest.Equals, 2*time.Minute+15*time.Second)
	})
}

// TestKeeperCounts guards against outcomes that are counted twice, under the
// wrong heading or without their identifiers.
func TestKeeperCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		store := &memoryStore{loseReply: func() bool { return true }}
		k := &Recorder{Host: fleet.Host{Name: "muc-a-1", Start: 7}, Store: store}
		startKeeper(k)
		k.RecordRequest(made(chatKind, 1), request.Response{LoadStall: time.Second}, nil)
		k.RecordRequest(made(chatKind, 2), request.Response{}, verdict.NewNotRun(verdict.CodeOverloaded, "full"))
		late := made(bookKind, 3)
		time.Sleep(11 * time.Second)
		k.RecordRequest(late, request.Response{Status: 409}, nil)
		k.RecordRequest(made(bookKind, 4), request.Response{Replayed: true, Status: 409}, nil)
		for id := range doubtLimit + 3 {
			k.RecordRequest(made(bookKind, id), request.Response{}, verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "lost"))
		}
		k.RecordRequest(made(bookKind, 0), request.Response{}, verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "lost"))
		time.Sleep(20 * time.Second)
		store.mutex.Lock()
		store.loseReply = nil
		store.mutex.Unlock()
		c.Assert(k.Close(), quicktest.IsNil)
		counts := store.records(c)[0].Counts
		c.Assert(counts, quicktest.HasLen, 2)
		chat, book := counts[0], counts[1]
		c.Check(chat.InTime, quicktest.Equals, uint64(1))
		c.Check(chat.Refused, quicktest.DeepEquals, map[verdict.Code]uint64{verdict.CodeOverloaded: 1})
		c.Check([]uint64{book.InTime, book.Late, book.Replayed, book.ErrorResponses}, quicktest.DeepEquals, []uint64{1, 1, 1, 1})
		c.Check(book.MayHaveRun[verdict.CodeBackendLost], quicktest.Equals, uint64(doubtLimit+4))
		c.Check(book.UncertainRequests, quicktest.HasLen, doubtLimit)
		c.Check(book.UncertainRequestsOmitted, quicktest.Equals, uint64(3))
		c.Check(book.Objective, quicktest.Equals, 0.9)
	})
}

// TestKeeperStoreAway guards against records that grow without bound, or are
// lost in silence, while the store is away.
func TestKeeperStoreAway(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			random := rand.New(rand.NewPCG(seed, 9))
			store := &memoryStore{away: true, loseReply: func() bool { return random.IntN(4) == 0 }}
			k := &Recorder{Host: fleet.Host{Name: "muc-a-1", Start: 7}, Store: store, BacklogLimit: 3}
			startKeeper(k)
			finished := 0
			for range 6 {
				for range 1 + random.IntN(20) {
					k.RecordRequest(made(chatKind, finished), request.Response{}, nil)
					finished++
				}
				time.Sleep(time.Minute)
			}
			store.setAway(false)
			time.Sleep(2 * time.Minute)
			store.mutex.Lock()
			store.loseReply = nil
			store.mutex.Unlock()
			c.Assert(k.Close(), quicktest.IsNil)
			records := store.records(c)
			c.Check(records[len(records)-1].DroppedIntervals, quicktest.Equals, uint64(9-len(records)), quicktest.Commentf("seed %d", seed))
			c.Check(len(records) >= 3 && len(records) < 7, quicktest.IsTrue, quicktest.Commentf("seed %d: %d records", seed, len(records)))
		})
	}
}
