package claim

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
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

// newRequest returns a request that waits for maxWait.
func newRequest(id fleet.RequestID, maxWait time.Duration) *request.Request {
	return &request.Request{
		ID: id, Caller: "student-1", Application: "enrolment", Deadline: time.Now().Add(maxWait),
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

func (h *hosts) ClaimStatus(_ context.Context, host fleet.HostName, start fleet.StartNumber, key booking.Key, token booking.ClaimToken) (booking.ClaimStatus, error) {
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
	return nil, table.ErrOutcomeUnknown
}

func (s *scripted) lateWrite(_ context.Context, t table.Transaction) ([]table.WriteResult, error) {
	s.late = append(s.late, t)
	return nil, table.ErrOutcomeUnknown
}

func (s *scripted) lostRequest(context.Context, table.Transaction) ([]table.WriteResult, error) {
	return nil, table.ErrOutcomeUnknown
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

var ran = booking.Outcome{Verdict: verdict.Ran, Response: &request.Response{Status: 200, ContentType: "application/json", Body: []byte(`{"seat":4}`)}}

// TestSecondTryGetsRecordedOutcome guards against a second run of a request,
// and against an outcome that is lost for a second try.
func TestSecondTryGetsRecordedOutcome(t *testing.T) {
	large := booking.Outcome{Verdict: verdict.Ran, Response: &request.Response{Status: 200, Body: make([]byte, MaxResponseBytes+1)}}
	limit := booking.Outcome{Verdict: verdict.Ran, Response: &request.Response{Status: 200, Body: make([]byte, MaxResponseBytes)}}
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
						c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.MayHaveRun)
						c.Assert(verdict.FromError(err).Code, quicktest.Equals, test.code)
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

// TestLostReply guards against a claim that is refused though it was made, one
// that is granted though it was not made, and one that stays in the table after
// the request was told "not run".
func TestLostReply(t *testing.T) {
	type step = func(context.Context, table.Transaction) ([]table.WriteResult, error)
	for _, test := range []struct {
		name    string
		script  func(s *scripted) []step
		granted bool
		// kept says that the key stays taken after the claim ended without a run.
		kept bool
	}{
		{name: "write took effect", script: func(s *scripted) []step { return []step{s.lostReply} }, granted: true},
		{name: "write was lost", script: func(s *scripted) []step { return []step{s.lostRequest} }, granted: true, kept: true},
		{name: "write is late", script: func(s *scripted) []step { return []step{s.lateWrite} }, granted: true, kept: true},
		{name: "lost twice", script: func(s *scripted) []step { return []step{s.lostRequest, s.lostReply} }, granted: true, kept: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				h, table := newHosts(), newScripted()
				defer h.close()
				a, b := h.start("host-a", 1, table, Settings{}), h.start("host-b", 1, table, Settings{})
				table.next(test.script(table)...)
				id := identifierAt(time.Now(), 1)
				r := newRequest(id, time.Minute)
				ticket, _, err := a.Claim(t.Context(), r)
				c.Assert(err, quicktest.IsNil)
				c.Assert(a.Resolve(t.Context(), ticket, booking.Outcome{Verdict: verdict.NotRun}), quicktest.IsNil)
				c.Assert(table.record(c, r) != nil, quicktest.Equals, test.kept)
				table.arrive()
				ticket, outcome, err := b.Claim(t.Context(), r)
				c.Assert(err, quicktest.IsNil)
				c.Assert(outcome, quicktest.IsNil)
				c.Assert(b.Resolve(t.Context(), ticket, ran), quicktest.IsNil)
				_, outcome, err = a.Claim(t.Context(), r)
				c.Assert(err, quicktest.IsNil)
				c.Assert(outcome, quicktest.DeepEquals, &ran)
			})
		})
	}
}

// TestHonestRetryAfterLateWrite guards against a late write that makes a retry
// fail for good after its try was told "not run", and against a retry that the
// removal of the late write lets run twice.
func TestHonestRetryAfterLateWrite(t *testing.T) {
	for _, test := range []struct {
		name string
		// arrives says when the late write arrives.
		arrives string
		second  fleet.HostName
		// ends is how the first retry ends.
		ends booking.Outcome
	}{
		{name: "while the table is down, same host", arrives: "down", second: "host-a", ends: ran},
		{name: "while the table is down, other host", arrives: "down", second: "host-b", ends: ran},
		{name: "after the clean-up, same host", arrives: "cleaned", second: "host-a", ends: ran},
		{name: "after the clean-up, other host", arrives: "cleaned", second: "host-b", ends: ran},
		{name: "during the retry, same host", arrives: "running", second: "host-a", ends: ran},
		{name: "during the retry, other host", arrives: "running", second: "host-b", ends: ran},
		{name: "after a retry that did not run, same host", arrives: "retried", second: "host-a", ends: booking.Outcome{Verdict: verdict.NotRun}},
		{name: "after a retry that did not run, other host", arrives: "retried", second: "host-b", ends: booking.Outcome{Verdict: verdict.NotRun}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				h, table := newHosts(), newScripted()
				defer h.close()
				a := h.start("host-a", 1, table, Settings{})
				registries := map[fleet.HostName]*Registry{"host-a": a, "host-b": h.start("host-b", 1, table, Settings{})}
				r := newRequest(identifierAt(time.Now(), 1), time.Hour)

				table.next(table.lateWrite)
				table.setDown(true)
				_, _, err := a.Claim(t.Context(), r)
				c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
				c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeTableUnavailable)
				if test.arrives == "down" {
					table.arrive()
				}
				table.setDown(false)
				if test.arrives == "cleaned" {
					time.Sleep(time.Minute)
					c.Assert(a.Counts().Entries, quicktest.Equals, uint64(0))
					table.arrive()
				}
				ticket, _, err := registries[test.second].Claim(t.Context(), r)
				c.Assert(err, quicktest.IsNil)
				if test.arrives == "running" {
					time.Sleep(time.Minute)
					table.arrive()
				}
				c.Assert(registries[test.second].Resolve(t.Context(), ticket, test.ends), quicktest.IsNil)
				table.arrive()
				runs := 1
				if test.ends.Verdict == verdict.NotRun {
					runs = 0
				}
				for _, r2 := range registries {
					ticket, outcome, err := r2.Claim(t.Context(), r)
					c.Assert(err, quicktest.IsNil)
					if outcome == nil {
						runs++
						c.Assert(r2.Resolve(t.Context(), ticket, ran), quicktest.IsNil)
					}
				}
				c.Assert(runs, quicktest.Equals, 1)
				time.Sleep(time.Minute)
				c.Assert(a.Counts().Entries, quicktest.Equals, uint64(0))
			})
		})
	}
}

// TestWaitsForUnresolvedClaim guards against a second try that runs or is told
// "not run" while the first one may have run, and against a wait past the deadline.
func TestWaitsForUnresolvedClaim(t *testing.T) {
	for _, test := range []struct {
		name string
		// happens is what becomes of the first try after 2 s.
		happens func(h *hosts, a *Registry, ticket booking.ClaimHandle)
		verdict verdict.Verdict
		granted bool
	}{
		{name: "first try goes on", happens: func(*hosts, *Registry, booking.ClaimHandle) {}, verdict: verdict.MayHaveRun},
		{name: "host died", happens: func(h *hosts, _ *Registry, _ booking.ClaimHandle) { h.remove("host-a") }, verdict: verdict.MayHaveRun},
		{name: "first try ran", happens: func(_ *hosts, a *Registry, ticket booking.ClaimHandle) {
			_ = a.Resolve(context.Background(), ticket, ran)
		}, verdict: verdict.Ran},
		{name: "first try did not run", happens: func(_ *hosts, a *Registry, ticket booking.ClaimHandle) {
			_ = a.Resolve(context.Background(), ticket, booking.Outcome{Verdict: verdict.NotRun})
		}, granted: true},
	} {
		for _, second := range []fleet.HostName{"host-a", "host-b"} {
			t.Run(fmt.Sprintf("%s, second try at %s", test.name, second), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := quicktest.New(t)
					h, table := newHosts(), newScripted()
					a, b := h.start("host-a", 1, table, Settings{}), h.start("host-b", 1, table, Settings{})
					defer b.Close()
					defer a.Close()
					r := newRequest(identifierAt(time.Now(), 1), 10*time.Second)
					first, _, err := a.Claim(t.Context(), r)
					c.Assert(err, quicktest.IsNil)
					began := time.Now()
					go func() {
						time.Sleep(2 * time.Second)
						test.happens(h, a, first)
					}()
					registry := map[fleet.HostName]*Registry{"host-a": a, "host-b": b}[second]
					ticket, outcome, err := registry.Claim(t.Context(), r)
					waited := time.Since(began)
					switch {
					case test.granted:
						c.Assert(err, quicktest.IsNil)
						c.Assert(ticket.Token != "", quicktest.IsTrue)
						c.Assert(registry.Resolve(t.Context(), ticket, ran), quicktest.IsNil)
					case test.verdict == verdict.Ran:
						c.Assert(err, quicktest.IsNil)
						c.Assert(outcome, quicktest.DeepEquals, &ran)
					default:
						c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.MayHaveRun)
						c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeClaimUnresolved)
						c.Assert(time.Now(), quicktest.Equals, r.Deadline)
						return
					}
					c.Assert(waited < 3*time.Second, quicktest.IsTrue, quicktest.Commentf("waited %v", waited))
				})
			})
		}
	}
}

// TestRefusals guards against ids that a claim does not protect for their whole
// life, and against a refusal that reaches the table.
func TestRefusals(t *testing.T) {
	v4 := fleet.RequestID(uuid.NewString())
	for _, test := range []struct {
		name string
		id   func(now time.Time) fleet.RequestID
		code verdict.Code
	}{
		{name: "empty", id: func(time.Time) fleet.RequestID { return "" }, code: verdict.CodeRequestID},
		{name: "version 4", id: func(time.Time) fleet.RequestID { return v4 }, code: verdict.CodeRequestID},
		{name: "upper case", id: func(now time.Time) fleet.RequestID {
			return fleet.RequestID(strings.ToUpper(string(identifierAt(now, 0xabc))))
		}, code: verdict.CodeRequestID},
		{name: "with braces", id: func(now time.Time) fleet.RequestID { return "{" + identifierAt(now, 1) + "}" }, code: verdict.CodeRequestID},
		{name: "24 h old", id: func(now time.Time) fleet.RequestID { return identifierAt(now.Add(-24*time.Hour), 1) }},
		{name: "older", id: func(now time.Time) fleet.RequestID {
			return identifierAt(now.Add(-24*time.Hour-time.Millisecond), 1)
		}, code: verdict.CodeRequestID},
		{name: "5 min ahead", id: func(now time.Time) fleet.RequestID { return identifierAt(now.Add(5*time.Minute), 1) }},
		{name: "further ahead", id: func(now time.Time) fleet.RequestID {
			return identifierAt(now.Add(5*time.Minute+time.Millisecond), 1)
		}, code: verdict.CodeRequestID},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				h, table := newHosts(), newScripted()
				defer h.close()
				a := h.start("host-a", 1, table, Settings{})
				ticket, _, err := a.Claim(t.Context(), newRequest(test.id(time.Now()), time.Minute))
				if test.code == "" {
					c.Assert(err, quicktest.IsNil)
					c.Assert(a.Resolve(t.Context(), ticket, ran), quicktest.IsNil)
					return
				}
				c.Assert(err, quicktest.IsNotNil)
				c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
				c.Assert(verdict.FromError(err).Code, quicktest.Equals, test.code)
				writes, reads := table.OperationCounts()
				c.Assert(writes+reads, quicktest.Equals, uint64(0))
			})
		})
	}
}

// TestWithdrawnCallerLeavesNoClaim guards against a claim that stays in the
// table after its caller was told "not run" because it stopped waiting.
func TestWithdrawnCallerLeavesNoClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		h, table := newHosts(), newScripted()
		defer h.close()
		a := h.start("host-a", 1, table, Settings{})
		table.SetFaults(platform.TableFaults{Delay: 50 * time.Millisecond})
		r := newRequest(identifierAt(time.Now(), 1), 20*time.Millisecond)
		_, _, err := a.Claim(t.Context(), r)
		c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
		c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeDeadline)
		time.Sleep(time.Second)
		c.Assert(table.record(c, r), quicktest.IsNil)
		c.Assert(a.Counts().Entries, quicktest.Equals, uint64(0))
	})
}

// TestGroupCommit guards against claims that wait longer than the group wait,
// groups above their limit, and a duplicate that fails its group.
func TestGroupCommit(t *testing.T) {
	for _, test := range []struct {
		name         string
		claims       int
		transactions uint64
		waited       time.Duration
	}{
		{name: "one", claims: 1, transactions: 1, waited: 2 * time.Millisecond},
		{name: "few", claims: 10, transactions: 1, waited: 2 * time.Millisecond},
		{name: "full group", claims: 64, transactions: 1},
		{name: "two full groups and a rest", claims: 130, transactions: 3, waited: 2 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				h, table := newHosts(), newScripted()
				defer h.close()
				a, b := h.start("host-a", 1, table, Settings{}), h.start("host-b", 1, table, Settings{})
				taken := newRequest(identifierAt(time.Now(), 0), time.Minute)
				ticket, _, err := b.Claim(t.Context(), taken)
				c.Assert(err, quicktest.IsNil)
				c.Assert(b.Resolve(t.Context(), ticket, ran), quicktest.IsNil)
				began := time.Now()
				var wait sync.WaitGroup
				replayed := make([]bool, test.claims)
				for i := range test.claims {
					wait.Go(func() {
						r := newRequest(identifierAt(taken.Deadline.Add(-time.Minute), uint64(i)), time.Minute)
						_, outcome, err := a.Claim(t.Context(), r)
						c.Check(err, quicktest.IsNil)
						replayed[i] = outcome != nil
					})
				}
				wait.Wait()
				c.Assert(replayed[0], quicktest.IsTrue)
				for _, other := range replayed[1:] {
					c.Assert(other, quicktest.IsFalse)
				}
				c.Assert(time.Since(began), quicktest.Equals, test.waited)
				c.Assert(a.Counts().Transactions, quicktest.Equals, test.transactions)
			})
		})
	}
}

// TestCloseWaits guards against a planned stop that loses the outcome of a
// running request, or leaves an abandoned claim in the table.
func TestCloseWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		h, table := newHosts(), newScripted()
		a := h.start("host-a", 1, table, Settings{})
		r := newRequest(identifierAt(time.Now(), 1), time.Minute)
		ticket, _, err := a.Claim(t.Context(), r)
		c.Assert(err, quicktest.IsNil)
		abandoned := newRequest(identifierAt(time.Now(), 2), time.Minute)
		table.next(table.lateWrite)
		table.setDown(true)
		_, _, err = a.Claim(t.Context(), abandoned)
		c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
		go func() {
			time.Sleep(3 * time.Second)
			table.arrive()
			table.setDown(false)
			_, _, err := a.Claim(t.Context(), newRequest(identifierAt(time.Now(), 3), time.Minute))
			c.Check(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeStopping)
			time.Sleep(3 * time.Second)
			c.Check(a.Resolve(t.Context(), ticket, ran), quicktest.IsNil)
		}()
		began := time.Now()
		h.close()
		c.Assert(time.Since(began) >= 6*time.Second, quicktest.IsTrue)
		c.Assert(time.Since(began) < 7*time.Second, quicktest.IsTrue)
		c.Assert(table.record(c, r).Outcome, quicktest.DeepEquals, &ran)
		c.Assert(table.record(c, abandoned), quicktest.IsNil)
		_, _, err = a.Claim(t.Context(), newRequest(identifierAt(time.Now(), 4), time.Minute))
		c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeStopping)
	})
}

// TestMemoryIsBounded guards against memory that grows with held claims, with
// outcomes that wait for the table, or with retries of one key in an outage.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		h, table := newHosts(), newScripted()
		defer h.close()
		a := h.start("host-a", 1, table, Settings{Capacity: 3, RetainedBytesLimit: 100, CloseTimeout: time.Minute})
		var requests []*request.Request
		var tickets []booking.ClaimHandle
		for i := range 3 {
			requests = append(requests, newRequest(identifierAt(time.Now(), uint64(i)), time.Hour))
			ticket, _, err := a.Claim(t.Context(), requests[i])
			c.Assert(err, quicktest.IsNil)
			tickets = append(tickets, ticket)
		}
		_, _, err := a.Claim(t.Context(), newRequest(identifierAt(time.Now(), 9), time.Hour))
		c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeOverloaded)
		c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)

		table.setDown(true)
		outcome := booking.Outcome{Verdict: verdict.Ran, Response: &request.Response{Body: make([]byte, 60)}}
		var wait sync.WaitGroup
		for _, ticket := range tickets {
			wait.Go(func() { c.Check(a.Resolve(t.Context(), ticket, outcome), quicktest.IsNil) })
		}
		time.Sleep(time.Minute)
		table.setDown(false)
		wait.Wait()
		kept := 0
		for _, r := range requests {
			recorded := table.record(c, r).Outcome
			c.Assert(recorded.Verdict, quicktest.Equals, verdict.Ran)
			if recorded.Response != nil {
				kept++
			}
		}
		c.Assert(kept, quicktest.Equals, 1)

		r := newRequest(identifierAt(time.Now(), 10), time.Hour)
		table.setDown(true)
		for range 40 {
			table.next(table.lostRequest)
			_, _, err := a.Claim(t.Context(), r)
			c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
			table.mutex.Lock()
			table.commit = nil
			table.mutex.Unlock()
		}
		c.Assert(a.Counts().Abandoned <= maximumAbandoned, quicktest.IsTrue, quicktest.Commentf("%d", a.Counts().Abandoned))
		table.setDown(false)
	})
}
