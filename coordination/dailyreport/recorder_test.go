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

// memoryStore is an object store in memory that can be unavailable and lose replies.
type memoryStore struct {
	mutex       sync.Mutex
	objects     map[string][]byte
	unavailable bool
	// loseReply reports whether the reply to a Put is lost; nil means never.
	loseReply func() bool
	puts      int
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unavailable {
		return errors.New("store is unavailable")
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

func (s *memoryStore) setUnavailable(unavailable bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unavailable = unavailable
}

// disconnectedStore refuses writes once its host is disconnected from the store.
type disconnectedStore struct {
	*memoryStore
	disconnected atomic.Bool
}

func (s *disconnectedStore) Put(ctx context.Context, key string, value []byte) error {
	if s.disconnected.Load() {
		return errors.New("host is disconnected")
	}
	return s.memoryStore.Put(ctx, key, value)
}

// records returns the stored records, sorted by key.
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
	chatKind    = configuration.Kind{Name: "chat", Repeat: configuration.RepeatAllowed, Timeout: 20 * time.Second, Objective: 0.9}
	bookingKind = configuration.Kind{Name: "enrolment", Repeat: configuration.RepeatForbidden, Timeout: 10 * time.Second, Objective: 0.9}
)

// newRequest returns a request of a kind that arrives now.
func newRequest(kind configuration.Kind, id int) *request.Request {
	now := time.Now()
	return &request.Request{
		Application: "campus", Kind: kind, Caller: "campus", ID: fleet.RequestID(fmt.Sprintf("id-%03d", id)),
		Arrived: now, Deadline: now.Add(kind.Timeout),
	}
}

// startRecorder runs a Recorder in the synctest bubble of the test and waits until it
// is idle.
func startRecorder(r *Recorder) {
	go func() { _ = r.Run(context.Background()) }()
	synctest.Wait()
}

// TestRecorderWritesIdleIntervals guards against a host that looks lost because it writes
// no records while it has no requests.
func TestRecorderWritesIdleIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		store := &memoryStore{}
		k := &Recorder{Host: fleet.Host{Name: "muc-a-1", Start: 7}, Store: store}
		startRecorder(k)
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

// TestRecorderCounts guards against outcomes that are counted twice after a lost reply
// of the store, counted in the wrong field, or not identified although they may have
// run.
func TestRecorderCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		store := &memoryStore{loseReply: func() bool { return true }}
		k := &Recorder{Host: fleet.Host{Name: "muc-a-1", Start: 7}, Store: store}
		startRecorder(k)
		k.RecordRequest(newRequest(chatKind, 1), request.Response{LoadStall: time.Second}, nil)
		k.RecordRequest(newRequest(chatKind, 2), request.Response{}, verdict.NewNotRun(verdict.CodeOverloaded, "full"))
		late := newRequest(bookingKind, 3)
		time.Sleep(11 * time.Second)
		k.RecordRequest(late, request.Response{Status: 409}, nil)
		k.RecordRequest(newRequest(bookingKind, 4), request.Response{Replayed: true, Status: 409}, nil)
		for id := range maxUncertainRequests + 3 {
			k.RecordRequest(newRequest(bookingKind, id), request.Response{}, verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "lost"))
		}
		k.RecordRequest(newRequest(bookingKind, 0), request.Response{}, verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "lost"))
		time.Sleep(20 * time.Second)
		store.mutex.Lock()
		store.loseReply = nil
		store.mutex.Unlock()
		c.Assert(k.Close(), quicktest.IsNil)
		counts := store.records(c)[0].Counts
		c.Assert(counts, quicktest.HasLen, 2)
		chat, booking := counts[0], counts[1]
		c.Check(chat.InTime, quicktest.Equals, uint64(1))
		c.Check(chat.Refused, quicktest.DeepEquals, map[verdict.Code]uint64{verdict.CodeOverloaded: 1})
		c.Check([]uint64{booking.InTime, booking.Late, booking.Replayed, booking.ErrorResponses}, quicktest.DeepEquals, []uint64{1, 1, 1, 1})
		c.Check(booking.MayHaveRun[verdict.CodeBackendLost], quicktest.Equals, uint64(maxUncertainRequests+4))
		c.Check(booking.UncertainRequests, quicktest.HasLen, maxUncertainRequests)
		c.Check(booking.UncertainRequestsOmitted, quicktest.Equals, uint64(3))
		c.Check(booking.Objective, quicktest.Equals, 0.9)
	})
}

// TestRecorderStoreUnavailable guards against a backlog that grows without bound, and
// against intervals that are dropped without being counted, while the store is
// unavailable.
func TestRecorderStoreUnavailable(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			random := rand.New(rand.NewPCG(seed, 9))
			store := &memoryStore{unavailable: true, loseReply: func() bool { return random.IntN(4) == 0 }}
			k := &Recorder{Host: fleet.Host{Name: "muc-a-1", Start: 7}, Store: store, BacklogLimit: 3}
			startRecorder(k)
			finished := 0
			for range 6 {
				for range 1 + random.IntN(20) {
					k.RecordRequest(newRequest(chatKind, finished), request.Response{}, nil)
					finished++
				}
				time.Sleep(time.Minute)
			}
			store.setUnavailable(false)
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
