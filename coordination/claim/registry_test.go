package claim

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/table"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

var _ dispatch.Claims = (*Registry)(nil)

// identifierAt returns a UUID of version 7 for a time. uuid.NewV7 never goes
// back in time, which virtual time does between tests.
func identifierAt(at time.Time, number uint64) fleet.RequestID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], number)
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return fleet.RequestID(id.String())
}

// newRequest returns a request that waits for patience.
func newRequest(id fleet.RequestID, patience time.Duration) *request.Request {
	return &request.Request{
		ID: id, Caller: "student-1", Application: "enrolment", Deadline: time.Now().Add(patience),
	}
}

// hosts is a set of registries that ask each other directly.
type hosts struct {
	mutex   sync.Mutex
	running map[fleet.HostName]*Registry
	stopped sync.WaitGroup
}

func newHosts() *hosts {
	return &hosts{running: make(map[fleet.HostName]*Registry)}
}

func (h *hosts) ClaimStatus(_ context.Context, host fleet.HostName, start fleet.StartNumber, key booking.Key, token booking.Token) (booking.Status, error) {
	h.mutex.Lock()
	r, ok := h.running[host]
	h.mutex.Unlock()
	if !ok {
		return booking.StatusUnknown, errors.New("connection refused")
	}
	if r.Start != start {
		return booking.StatusUnknown, nil
	}
	return r.Status(key, token), nil
}

// start runs a registry, in place of an earlier one of the same name.
func (h *hosts) start(name fleet.HostName, start fleet.StartNumber, t Table, settings Settings) *Registry {
	r := &Registry{Host: name, Start: start, Table: t, Peers: h, Settings: settings}
	h.mutex.Lock()
	h.running[name] = r
	h.mutex.Unlock()
	h.stopped.Go(func() { _ = r.Run(context.Background()) })
	return r
}

func (h *hosts) remove(name fleet.HostName) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.running, name)
}

func (h *hosts) close() {
	h.mutex.Lock()
	var all []*Registry
	for _, r := range h.running {
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

// scripted is a table whose next operations follow a script, and then the table
// in the stand-in.
type scripted struct {
	*platform.Table
	mutex  sync.Mutex
	commit []func(ctx context.Context, t table.Transaction) ([]table.WriteResult, error)
	late   []table.Transaction
	down   bool
}

func newScripted() *scripted {
	return &scripted{Table: platform.NewTable(1)}
}

// The steps of a script.
func (s *scripted) lostReply(ctx context.Context, t table.Transaction) ([]table.WriteResult, error) {
	_, _ = s.Table.Commit(ctx, t)
	return nil, table.ErrUnknown
}

func (s *scripted) lateWrite(_ context.Context, t table.Transaction) ([]table.WriteResult, error) {
	s.late = append(s.late, t)
	return nil, table.ErrUnknown
}

func (s *scripted) lostRequest(context.Context, table.Transaction) ([]table.WriteResult, error) {
	return nil, table.ErrUnknown
}

func (s *scripted) next(steps ...func(context.Context, table.Transaction) ([]table.WriteResult, error)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.commit = append(s.commit, steps...)
}

// arrive carries the late writes out.
func (s *scripted) arrive() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, t := range s.late {
		_, _ = s.Table.Commit(context.Background(), t)
	}
	s.late = nil
}

func (s *scripted) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

func (s *scripted) Read(ctx context.Context, keys []table.Key) ([]table.Record, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return nil, table.ErrUnavailable
	}
	return s.Table.Read(ctx, keys)
}

func (s *scripted) Commit(ctx context.Context, t table.Transaction) ([]table.WriteResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.commit) > 0 {
		step := s.commit[0]
		s.commit = s.commit[1:]
		return step(ctx, t)
	}
	if s.down {
		return nil, table.ErrUnavailable
	}
	return s.Table.Commit(ctx, t)
}

// record returns the claim in the table, or nil.
func (s *scripted) record(c *quicktest.C, r *request.Request) *booking.Claim {
	key := booking.Key{Application: r.Application, Caller: r.Caller, Request: r.ID}
	records, err := s.Table.Read(context.Background(), []table.Key{tableKey(key)})
	c.Assert(err, quicktest.IsNil)
	decoded, err := decodeRecord(records[0])
	c.Assert(err, quicktest.IsNil)
	if decoded.absent() {
		return nil
	}
	return &decoded.claim
}

var ran = booking.Outcome{Verdict: verdict.Ran, Answer: &request.Answer{Status: 200, ContentType: "application/json", Body: []byte(`{"seat":4}`)}}

// TestSecondTryGetsRecordedOutcome guards against a second run of a request,
// and against an outcome that is lost for a second try.
func TestSecondTryGetsRecordedOutcome(t *testing.T) {
	large := booking.Outcome{Verdict: verdict.Ran, Answer: &request.Answer{Status: 200, Body: make([]byte, AnswerLimit+1)}}
	limit := booking.Outcome{Verdict: verdict.Ran, Answer: &request.Answer{Status: 200, Body: make([]byte, AnswerLimit)}}
	doubt := booking.Outcome{Verdict: verdict.MayHaveRun, Code: verdict.CodeBackendLost}
	for _, test := range []struct {
		name    string
		outcome booking.Outcome
		want    *booking.Outcome
		code    verdict.Code
		again   bool
	}{
		{name: "ran", outcome: ran, want: &ran},
		{name: "largest answer", outcome: limit, want: &limit},
		{name: "answer too large", outcome: large, code: verdict.CodeAnswerNotKept},
		{name: "may have run", outcome: doubt, want: &doubt},
		{name: "not run", outcome: booking.Outcome{Verdict: verdict.NotRun}, again: true},
	} {
		for _, second := range []fleet.HostName{"host-a", "host-b"} {
			t.Run(fmt.Sprintf("%s at %s", test.name, second), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := quicktest.New(t)
					h, table := newHosts(), newScripted()
					defer h.close()
					registries := map[fleet.HostName]*Registry{
						"host-a": h.start("host-a", 1, table, Settings{}),
						"host-b": h.start("host-b", 1, table, Settings{}),
					}
					id := identifierAt(time.Now(), 1)
					ticket, outcome, err := registries["host-a"].Claim(t.Context(), newRequest(id, time.Minute))
					c.Assert(err, quicktest.IsNil)
					c.Assert(outcome, quicktest.IsNil)
					c.Assert(registries["host-a"].Resolve(t.Context(), ticket, test.outcome), quicktest.IsNil)

					ticket, outcome, err = registries[second].Claim(t.Context(), newRequest(id, time.Minute))
					if test.code != "" {
						c.Assert(verdict.From(err).Verdict, quicktest.Equals, verdict.MayHaveRun)
						c.Assert(verdict.From(err).Code, quicktest.Equals, test.code)
						return
					}
					c.Assert(err, quicktest.IsNil)
					c.Assert(outcome, quicktest.DeepEquals, test.want)
					c.Assert(ticket.Token != "", quicktest.Equals, test.again)
					if test.again {
						c.Assert(registries[second].Resolve(t.Context(), ticket, ran), quicktest.IsNil)
					}
				})
			})
		}
	}
}
