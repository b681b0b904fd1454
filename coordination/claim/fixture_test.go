package claim

import (
	"context"
	"encoding/binary"
	"errors"
	"sync"
	"time"

	"github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// requestIDAt returns a UUID of version 7 for the given time. uuid.NewV7 is not usable
// here: its time never goes back, but virtual time does between tests.
func requestIDAt(at time.Time, number uint64) fleet.RequestID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], number)
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return fleet.RequestID(id.String())
}

// newRequest returns a request whose deadline is maxWait from now.
func newRequest(id fleet.RequestID, maxWait time.Duration) *request.Request {
	return &request.Request{
		ID: id, Caller: "student-1", Application: "enrolment", Deadline: time.Now().Add(maxWait),
	}
}

// hostSet is a set of registries that query each other by direct calls. It implements
// PeerClient.
type hostSet struct {
	mutex      sync.Mutex
	registries map[fleet.HostName]*Registry
	stopped    sync.WaitGroup
}

func newHostSet() *hostSet {
	return &hostSet{registries: make(map[fleet.HostName]*Registry)}
}

func (h *hostSet) ClaimStatus(_ context.Context, host fleet.HostName, start fleet.StartNumber, key booking.Key, token booking.ClaimToken) (booking.ClaimStatus, error) {
	h.mutex.Lock()
	r, ok := h.registries[host]
	h.mutex.Unlock()
	if !ok {
		return booking.StatusUnknown, errors.New("connection refused")
	}
	if r.Start != start {
		return booking.StatusUnknown, nil
	}
	return r.Status(key, token), nil
}

// start runs a registry under the given name, replacing an earlier one of that name in
// the set.
func (h *hostSet) start(name fleet.HostName, start fleet.StartNumber, t Table, settings Settings) *Registry {
	r := &Registry{Host: name, Start: start, Table: t, Peers: h, Settings: settings}
	h.mutex.Lock()
	h.registries[name] = r
	h.mutex.Unlock()
	h.stopped.Go(func() { _ = r.Run(context.Background()) })
	return r
}

// remove makes a host unreachable for status queries without stopping its registry.
func (h *hostSet) remove(name fleet.HostName) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.registries, name)
}

// close stops all registries in the set and waits for all that were ever started.
func (h *hostSet) close() {
	h.mutex.Lock()
	var all []*Registry
	for _, r := range h.registries {
		all = append(all, r)
	}
	h.mutex.Unlock()
	var wait sync.WaitGroup
	for _, r := range all {
		wait.Go(func() { _ = r.Close() })
	}
	wait.Wait()
	h.stopped.Wait()
}

// scriptedTable passes operations on to the table stand-in. The next commits follow
// commitSteps instead, and while isDown is true all other operations fail.
type scriptedTable struct {
	*platform.Table
	mutex            sync.Mutex
	commitSteps      []func(ctx context.Context, t table.Transaction) ([]table.WriteResult, error)
	lateTransactions []table.Transaction
	isDown           bool
}

func newScriptedTable() *scriptedTable {
	return &scriptedTable{Table: platform.NewTable(1)}
}

// lostReply is a step whose transaction takes effect but whose reply is lost.
func (s *scriptedTable) lostReply(ctx context.Context, t table.Transaction) ([]table.WriteResult, error) {
	_, _ = s.Table.Commit(ctx, t)
	return nil, table.ErrOutcomeUnknown
}

// lateWrite is a step whose transaction takes effect only when deliverLateWrites is
// called.
func (s *scriptedTable) lateWrite(_ context.Context, t table.Transaction) ([]table.WriteResult, error) {
	s.lateTransactions = append(s.lateTransactions, t)
	return nil, table.ErrOutcomeUnknown
}

// lostRequest is a step whose transaction never takes effect, which the caller cannot
// know.
func (s *scriptedTable) lostRequest(context.Context, table.Transaction) ([]table.WriteResult, error) {
	return nil, table.ErrOutcomeUnknown
}

// addSteps appends steps for the next commits.
func (s *scriptedTable) addSteps(steps ...func(context.Context, table.Transaction) ([]table.WriteResult, error)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.commitSteps = append(s.commitSteps, steps...)
}

// deliverLateWrites executes the transactions that lateWrite held back.
func (s *scriptedTable) deliverLateWrites() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, t := range s.lateTransactions {
		_, _ = s.Table.Commit(context.Background(), t)
	}
	s.lateTransactions = nil
}

func (s *scriptedTable) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isDown = down
}

func (s *scriptedTable) Read(ctx context.Context, keys []table.Key) ([]table.Record, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isDown {
		return nil, table.ErrUnavailable
	}
	return s.Table.Read(ctx, keys)
}

func (s *scriptedTable) Commit(ctx context.Context, t table.Transaction) ([]table.WriteResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.commitSteps) > 0 {
		step := s.commitSteps[0]
		s.commitSteps = s.commitSteps[1:]
		return step(ctx, t)
	}
	if s.isDown {
		return nil, table.ErrUnavailable
	}
	return s.Table.Commit(ctx, t)
}

// storedClaim returns the claim of the request in the table, or nil if there is none.
func (s *scriptedTable) storedClaim(c *quicktest.C, r *request.Request) *booking.Claim {
	key := booking.Key{Application: r.Application, Caller: r.Caller, Request: r.ID}
	records, err := s.Table.Read(context.Background(), []table.Key{tableKey(key)})
	c.Assert(err, quicktest.IsNil)
	decoded, err := decodeRecord(records[0])
	c.Assert(err, quicktest.IsNil)
	if decoded.isAbsent() {
		return nil
	}
	return &decoded.claim
}

// ran is an outcome with a response small enough to be recorded.
var ran = booking.Outcome{Verdict: verdict.Ran, Response: &request.Response{Status: 200, ContentType: "application/json", Body: []byte(`{"seat":4}`)}}
