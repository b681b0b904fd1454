package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// The errors of the object store, the weight store and the host list.
var (
	// ErrStoreUnavailable means that the operation had no effect.
	ErrStoreUnavailable = errors.New("store unavailable")
	// ErrReplyLost means that the operation may have taken effect.
	ErrReplyLost = errors.New("store reply lost")
)

// An ObjectStore is an in-memory object store. It is safe for concurrent use.
type ObjectStore struct {
	mutex   sync.Mutex
	objects map[string][]byte
	random  *rand.Rand
	faults  ObjectFaults
}

// ObjectFaults are the faults that an ObjectStore injects. The zero value injects none.
type ObjectFaults struct {
	// Unavailable makes every operation fail without effect.
	Unavailable bool `long:"unavailable" json:"unavailable"`
	// LostReply is the probability that a write takes effect but its reply is lost.
	LostReply float64 `long:"lost-reply" json:"lost-reply"`
	// Delay is the duration of each operation.
	Delay time.Duration `long:"delay" json:"delay"`
}

// NewObjectStore returns an empty store. Faults that are set later are drawn at random
// from seed.
func NewObjectStore(seed uint64) *ObjectStore {
	return &ObjectStore{objects: make(map[string][]byte), random: rand.New(rand.NewPCG(seed, 4))}
}

// SetFaults replaces the faults.
func (s *ObjectStore) SetFaults(faults ObjectFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Put creates or replaces the object with a key.
func (s *ObjectStore) Put(ctx context.Context, key string, value []byte) error {
	if err := s.waitAvailable(ctx); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.objects[key] = slices.Clone(value)
	if s.random.Float64() < s.faults.LostReply {
		return ErrReplyLost
	}
	return nil
}

// Get returns the object with a key, and whether it exists.
func (s *ObjectStore) Get(ctx context.Context, key string) (value []byte, found bool, err error) {
	if err := s.waitAvailable(ctx); err != nil {
		return nil, false, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	value, found = s.objects[key]
	return slices.Clone(value), found, nil
}

// List returns up to limit keys that have the prefix and sort after the given key, in
// ascending order.
func (s *ObjectStore) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	if err := s.waitAvailable(ctx); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for key := range s.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys[:min(max(limit, 0), len(keys))], nil
}

// waitAvailable waits for the delay of an operation. It then returns ErrStoreUnavailable
// if the store was unavailable when the operation started.
func (s *ObjectStore) waitAvailable(ctx context.Context) error {
	s.mutex.Lock()
	faults := s.faults
	s.mutex.Unlock()
	if err := sleep(ctx, faults.Delay); err != nil {
		return err
	}
	if faults.Unavailable {
		return ErrStoreUnavailable
	}
	return nil
}

// sleep waits for the duration of the pause. If ctx ends first, it returns the error of
// ctx.
func sleep(ctx context.Context, pause time.Duration) error {
	if pause <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
