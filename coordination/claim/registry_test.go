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

// TestSecondAttemptGetsRecordedOutcome guards against a second run of a request that has
// a final outcome, and against an outcome that a second attempt does not get, on the same
// host and on another one.
func TestSecondAttemptGetsRecordedOutcome(t *testing.T) {
	tooLarge := booking.Outcome{Verdict: verdict.Ran, Response: &request.Response{Status: 200, Body: make([]byte, MaxResponseBytes+1)}}
	largest := booking.Outcome{Verdict: verdict.Ran, Response: &request.Response{Status: 200, Body: make([]byte, MaxResponseBytes)}}
	mayHaveRun := booking.Outcome{Verdict: verdict.MayHaveRun, Code: verdict.CodeBackendLost}
	for _, test := range []struct {
		name         string
		outcome      booking.Outcome
		want         *booking.Outcome
		code         verdict.Code
		grantedAgain bool
	}{
		{name: "ran", outcome: ran, want: &ran},
		{name: "largest response", outcome: largest, want: &largest},
		{name: "response too large", outcome: tooLarge, code: verdict.CodeAnswerNotKept},
		{name: "may have run", outcome: mayHaveRun, want: &mayHaveRun},
		{name: "not run", outcome: booking.Outcome{Verdict: verdict.NotRun}, grantedAgain: true},
	} {
		for _, second := range []fleet.HostName{"host-a", "host-b"} {
			t.Run(fmt.Sprintf("%s at %s", test.name, second), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := quicktest.New(t)
					h, table := newHostSet(), newScriptedTable()
					defer h.close()
					registries := map[fleet.HostName]*Registry{
						"host-a": h.start("host-a", 1, table, Settings{}),
						"host-b": h.start("host-b", 1, table, Settings{}),
					}
					id := requestIDAt(time.Now(), 1)
					handle, outcome, err := registries["host-a"].Claim(t.Context(), newRequest(id, time.Minute))
					c.Assert(err, quicktest.IsNil)
					c.Assert(outcome, quicktest.IsNil)
					c.Assert(registries["host-a"].Resolve(t.Context(), handle, test.outcome), quicktest.IsNil)

					handle, outcome, err = registries[second].Claim(t.Context(), newRequest(id, time.Minute))
					if test.code != "" {
						c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.MayHaveRun)
						c.Assert(verdict.FromError(err).Code, quicktest.Equals, test.code)
						return
					}
					c.Assert(err, quicktest.IsNil)
					c.Assert(outcome, quicktest.DeepEquals, test.want)
					c.Assert(handle.Token != "", quicktest.Equals, test.grantedAgain)
					if test.grantedAgain {
						c.Assert(registries[second].Resolve(t.Context(), handle, ran), quicktest.IsNil)
					}
				})
			})
		}
	}
}

// TestLostReply guards against three faults after the reply to a claim write was lost: a
// claim that was made but is refused, one that is granted but was not made, and one that
// blocks a retry after the request was reported as not run.
func TestLostReply(t *testing.T) {
	type step = func(context.Context, table.Transaction) ([]table.WriteResult, error)
	for _, test := range []struct {
		name    string
		script  func(s *scriptedTable) []step
		granted bool
		// kept is true if a record stays in the table after the claim was released.
		kept bool
	}{
		{name: "write took effect", script: func(s *scriptedTable) []step { return []step{s.lostReply} }, granted: true},
		{name: "write was lost", script: func(s *scriptedTable) []step { return []step{s.lostRequest} }, granted: true, kept: true},
		{name: "write is late", script: func(s *scriptedTable) []step { return []step{s.lateWrite} }, granted: true, kept: true},
		{name: "lost twice", script: func(s *scriptedTable) []step { return []step{s.lostRequest, s.lostReply} }, granted: true, kept: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				h, table := newHostSet(), newScriptedTable()
				defer h.close()
				a, b := h.start("host-a", 1, table, Settings{}), h.start("host-b", 1, table, Settings{})
				table.addSteps(test.script(table)...)
				id := requestIDAt(time.Now(), 1)
				r := newRequest(id, time.Minute)
				handle, _, err := a.Claim(t.Context(), r)
				c.Assert(err, quicktest.IsNil)
				c.Assert(a.Resolve(t.Context(), handle, booking.Outcome{Verdict: verdict.NotRun}), quicktest.IsNil)
				c.Assert(table.storedClaim(c, r) != nil, quicktest.Equals, test.kept)
				table.deliverLateWrites()
				handle, outcome, err := b.Claim(t.Context(), r)
				c.Assert(err, quicktest.IsNil)
				c.Assert(outcome, quicktest.IsNil)
				c.Assert(b.Resolve(t.Context(), handle, ran), quicktest.IsNil)
				_, outcome, err = a.Claim(t.Context(), r)
				c.Assert(err, quicktest.IsNil)
				c.Assert(outcome, quicktest.DeepEquals, &ran)
			})
		})
	}
}

// TestRetryAfterLateWrite guards against a retry that fails permanently because a claim
// write of the earlier attempt reaches the table after that attempt was reported as not
// run. It also guards against a retry that runs twice because the record of the late
// write is removed.
func TestRetryAfterLateWrite(t *testing.T) {
	for _, test := range []struct {
		name string
		// arrives is when the late write reaches the table.
		arrives string
		second  fleet.HostName
		// ends is the outcome of the first retry.
		ends booking.Outcome
	}{
		{name: "while the table is down, same host", arrives: "down", second: "host-a", ends: ran},
		{name: "while the table is down, other host", arrives: "down", second: "host-b", ends: ran},
		{name: "after the cleanup, same host", arrives: "cleaned", second: "host-a", ends: ran},
		{name: "after the cleanup, other host", arrives: "cleaned", second: "host-b", ends: ran},
		{name: "during the retry, same host", arrives: "running", second: "host-a", ends: ran},
		{name: "during the retry, other host", arrives: "running", second: "host-b", ends: ran},
		{name: "after a retry that did not run, same host", arrives: "retried", second: "host-a", ends: booking.Outcome{Verdict: verdict.NotRun}},
		{name: "after a retry that did not run, other host", arrives: "retried", second: "host-b", ends: booking.Outcome{Verdict: verdict.NotRun}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				h, table := newHostSet(), newScriptedTable()
				defer h.close()
				a := h.start("host-a", 1, table, Settings{})
				registries := map[fleet.HostName]*Registry{"host-a": a, "host-b": h.start("host-b", 1, table, Settings{})}
				r := newRequest(requestIDAt(time.Now(), 1), time.Hour)

				table.addSteps(table.lateWrite)
				table.setDown(true)
				_, _, err := a.Claim(t.Context(), r)
				c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
				c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeTableUnavailable)
				if test.arrives == "down" {
					table.deliverLateWrites()
				}
				table.setDown(false)
				if test.arrives == "cleaned" {
					time.Sleep(time.Minute)
					c.Assert(a.Counts().Entries, quicktest.Equals, uint64(0))
					table.deliverLateWrites()
				}
				handle, _, err := registries[test.second].Claim(t.Context(), r)
				c.Assert(err, quicktest.IsNil)
				if test.arrives == "running" {
					time.Sleep(time.Minute)
					table.deliverLateWrites()
				}
				c.Assert(registries[test.second].Resolve(t.Context(), handle, test.ends), quicktest.IsNil)
				table.deliverLateWrites()
				runs := 1
				if test.ends.Verdict == verdict.NotRun {
					runs = 0
				}
				for _, r2 := range registries {
					handle, outcome, err := r2.Claim(t.Context(), r)
					c.Assert(err, quicktest.IsNil)
					if outcome == nil {
						runs++
						c.Assert(r2.Resolve(t.Context(), handle, ran), quicktest.IsNil)
					}
				}
				c.Assert(runs, quicktest.Equals, 1)
				time.Sleep(time.Minute)
				c.Assert(a.Counts().Entries, quicktest.Equals, uint64(0))
			})
		})
	}
}

// TestWaitsForUnresolvedClaim guards against a second attempt that runs, or is reported
// as not run, while the first one may have run, and against a wait beyond the deadline.
func TestWaitsForUnresolvedClaim(t *testing.T) {
	for _, test := range []struct {
		name string
		// afterTwoSeconds is called 2 s after the first attempt got its handle.
		afterTwoSeconds func(h *hostSet, a *Registry, handle booking.ClaimHandle)
		verdict         verdict.Verdict
		granted         bool
	}{
		{name: "first attempt goes on", afterTwoSeconds: func(*hostSet, *Registry, booking.ClaimHandle) {}, verdict: verdict.MayHaveRun},
		{name: "host died", afterTwoSeconds: func(h *hostSet, _ *Registry, _ booking.ClaimHandle) { h.remove("host-a") }, verdict: verdict.MayHaveRun},
		{name: "first attempt ran", afterTwoSeconds: func(_ *hostSet, a *Registry, handle booking.ClaimHandle) {
			_ = a.Resolve(context.Background(), handle, ran)
		}, verdict: verdict.Ran},
		{name: "first attempt did not run", afterTwoSeconds: func(_ *hostSet, a *Registry, handle booking.ClaimHandle) {
			_ = a.Resolve(context.Background(), handle, booking.Outcome{Verdict: verdict.NotRun})
		}, granted: true},
	} {
		for _, second := range []fleet.HostName{"host-a", "host-b"} {
			t.Run(fmt.Sprintf("%s, second attempt at %s", test.name, second), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := quicktest.New(t)
					h, table := newHostSet(), newScriptedTable()
					a, b := h.start("host-a", 1, table, Settings{}), h.start("host-b", 1, table, Settings{})
					defer b.Close()
					defer a.Close()
					r := newRequest(requestIDAt(time.Now(), 1), 10*time.Second)
					first, _, err := a.Claim(t.Context(), r)
					c.Assert(err, quicktest.IsNil)
					began := time.Now()
					go func() {
						time.Sleep(2 * time.Second)
						test.afterTwoSeconds(h, a, first)
					}()
					registry := map[fleet.HostName]*Registry{"host-a": a, "host-b": b}[second]
					handle, outcome, err := registry.Claim(t.Context(), r)
					waited := time.Since(began)
					switch {
					case test.granted:
						c.Assert(err, quicktest.IsNil)
						c.Assert(handle.Token != "", quicktest.IsTrue)
						c.Assert(registry.Resolve(t.Context(), handle, ran), quicktest.IsNil)
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

// TestRefusesInvalidRequestIDs guards against accepting ids that a claim does not protect
// for their whole lifetime, and against table operations for a refused id.
func TestRefusesInvalidRequestIDs(t *testing.T) {
	v4 := fleet.RequestID(uuid.NewString())
	for _, test := range []struct {
		name string
		id   func(now time.Time) fleet.RequestID
		code verdict.Code
	}{
		{name: "empty", id: func(time.Time) fleet.RequestID { return "" }, code: verdict.CodeRequestID},
		{name: "version 4", id: func(time.Time) fleet.RequestID { return v4 }, code: verdict.CodeRequestID},
		{name: "upper case", id: func(now time.Time) fleet.RequestID {
			return fleet.RequestID(strings.ToUpper(string(requestIDAt(now, 0xabc))))
		}, code: verdict.CodeRequestID},
		{name: "with braces", id: func(now time.Time) fleet.RequestID { return "{" + requestIDAt(now, 1) + "}" }, code: verdict.CodeRequestID},
		{name: "24 h old", id: func(now time.Time) fleet.RequestID { return requestIDAt(now.Add(-24*time.Hour), 1) }},
		{name: "older", id: func(now time.Time) fleet.RequestID {
			return requestIDAt(now.Add(-24*time.Hour-time.Millisecond), 1)
		}, code: verdict.CodeRequestID},
		{name: "5 min ahead", id: func(now time.Time) fleet.RequestID { return requestIDAt(now.Add(5*time.Minute), 1) }},
		{name: "further ahead", id: func(now time.Time) fleet.RequestID {
			return requestIDAt(now.Add(5*time.Minute+time.Millisecond), 1)
		}, code: verdict.CodeRequestID},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				h, table := newHostSet(), newScriptedTable()
				defer h.close()
				a := h.start("host-a", 1, table, Settings{})
				handle, _, err := a.Claim(t.Context(), newRequest(test.id(time.Now()), time.Minute))
				if test.code == "" {
					c.Assert(err, quicktest.IsNil)
					c.Assert(a.Resolve(t.Context(), handle, ran), quicktest.IsNil)
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

// TestWithdrawnCallerLeavesNoClaim guards against a claim that stays in the table after
// its caller reached its deadline and got "not run". The table is slower than the
// deadline here.
func TestWithdrawnCallerLeavesNoClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		h, table := newHostSet(), newScriptedTable()
		defer h.close()
		a := h.start("host-a", 1, table, Settings{})
		table.SetFaults(platform.TableFaults{Delay: 50 * time.Millisecond})
		r := newRequest(requestIDAt(time.Now(), 1), 20*time.Millisecond)
		_, _, err := a.Claim(t.Context(), r)
		c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
		c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeDeadline)
		time.Sleep(time.Second)
		c.Assert(table.storedClaim(c, r), quicktest.IsNil)
		c.Assert(a.Counts().Entries, quicktest.Equals, uint64(0))
	})
}

// TestGroupCommit guards against claims that wait longer than GroupCommitDelay, groups
// larger than GroupWriteLimit, and a claim of a key that is already taken failing the
// other writes of its group.
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
		{name: "two full groups and a partial one", claims: 130, transactions: 3, waited: 2 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				h, table := newHostSet(), newScriptedTable()
				defer h.close()
				a, b := h.start("host-a", 1, table, Settings{}), h.start("host-b", 1, table, Settings{})
				taken := newRequest(requestIDAt(time.Now(), 0), time.Minute)
				handle, _, err := b.Claim(t.Context(), taken)
				c.Assert(err, quicktest.IsNil)
				c.Assert(b.Resolve(t.Context(), handle, ran), quicktest.IsNil)
				began := time.Now()
				var wait sync.WaitGroup
				replayed := make([]bool, test.claims)
				for i := range test.claims {
					wait.Go(func() {
						r := newRequest(requestIDAt(taken.Deadline.Add(-time.Minute), uint64(i)), time.Minute)
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

// TestCloseWaits guards against a planned stop that loses the outcome of a running
// request or leaves an abandoned claim in the table.
func TestCloseWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		h, table := newHostSet(), newScriptedTable()
		a := h.start("host-a", 1, table, Settings{})
		r := newRequest(requestIDAt(time.Now(), 1), time.Minute)
		handle, _, err := a.Claim(t.Context(), r)
		c.Assert(err, quicktest.IsNil)
		abandoned := newRequest(requestIDAt(time.Now(), 2), time.Minute)
		table.addSteps(table.lateWrite)
		table.setDown(true)
		_, _, err = a.Claim(t.Context(), abandoned)
		c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
		go func() {
			time.Sleep(3 * time.Second)
			table.deliverLateWrites()
			table.setDown(false)
			_, _, err := a.Claim(t.Context(), newRequest(requestIDAt(time.Now(), 3), time.Minute))
			c.Check(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeStopping)
			time.Sleep(3 * time.Second)
			c.Check(a.Resolve(t.Context(), handle, ran), quicktest.IsNil)
		}()
		began := time.Now()
		h.close()
		c.Assert(time.Since(began) >= 6*time.Second, quicktest.IsTrue)
		c.Assert(time.Since(began) < 7*time.Second, quicktest.IsTrue)
		c.Assert(table.storedClaim(c, r).Outcome, quicktest.DeepEquals, &ran)
		c.Assert(table.storedClaim(c, abandoned), quicktest.IsNil)
		_, _, err = a.Claim(t.Context(), newRequest(requestIDAt(time.Now(), 4), time.Minute))
		c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeStopping)
	})
}

// TestCloseWaitsForOtherHost guards against a retry that fails permanently after a planned
// stop: the stopped host refused an attempt whose claim write is late, and the write
// reaches the table after another host has released and deleted its own claim.
func TestCloseWaitsForOtherHost(t *testing.T) {
	for _, test := range []struct {
		name string
		// stopsAfter is how long the cleanup has waited for the other host at the stop.
		stopsAfter time.Duration
		ends       booking.Outcome
	}{
		{name: "other host did not run", ends: booking.Outcome{Verdict: verdict.NotRun}},
		{name: "other host did not run, cleanup waits long", stopsAfter: 2 * time.Minute, ends: booking.Outcome{Verdict: verdict.NotRun}},
		{name: "other host ran", ends: ran},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				h, table := newHostSet(), newScriptedTable()
				defer h.close()
				linkOfA := &scriptedTable{Table: table.Table}
				a, b := h.start("host-a", 1, linkOfA, Settings{}), h.start("host-b", 1, table, Settings{})
				r := newRequest(requestIDAt(time.Now(), 1), time.Hour)

				linkOfA.addSteps(linkOfA.lateWrite)
				linkOfA.setDown(true)
				_, _, err := a.Claim(t.Context(), r)
				c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
				handle, _, err := b.Claim(t.Context(), r)
				c.Assert(err, quicktest.IsNil)
				linkOfA.setDown(false)
				time.Sleep(test.stopsAfter)
				go func() {
					time.Sleep(2 * time.Second)
					c.Check(b.Resolve(t.Context(), handle, test.ends), quicktest.IsNil)
				}()
				began := time.Now()
				c.Assert(a.Close(), quicktest.IsNil)
				closed := time.Since(began)
				// Host B has resolved its claim by then, even if Close did not wait.
				time.Sleep(5 * time.Second)
				linkOfA.deliverLateWrites()

				a = h.start("host-a", 2, table, Settings{})
				for _, registry := range []*Registry{a, b} {
					handle, outcome, err := registry.Claim(t.Context(), newRequest(r.ID, 5*time.Second))
					c.Assert(err, quicktest.IsNil)
					if outcome == nil {
						c.Assert(test.ends.Verdict, quicktest.Equals, verdict.NotRun)
						c.Assert(registry, quicktest.Equals, a)
						c.Assert(registry.Resolve(t.Context(), handle, ran), quicktest.IsNil)
						continue
					}
					c.Assert(outcome, quicktest.DeepEquals, &ran)
				}
				c.Assert(closed < 3*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", closed))
			})
		})
	}
}

// TestMemoryIsBounded guards against memory that grows without limit: with held claims,
// with outcomes that wait for the table, or with retries of one key during an outage.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		h, table := newHostSet(), newScriptedTable()
		defer h.close()
		a := h.start("host-a", 1, table, Settings{Capacity: 3, RetainedBytesLimit: 100, CloseTimeout: time.Minute})
		var requests []*request.Request
		var handles []booking.ClaimHandle
		for i := range 3 {
			requests = append(requests, newRequest(requestIDAt(time.Now(), uint64(i)), time.Hour))
			handle, _, err := a.Claim(t.Context(), requests[i])
			c.Assert(err, quicktest.IsNil)
			handles = append(handles, handle)
		}
		_, _, err := a.Claim(t.Context(), newRequest(requestIDAt(time.Now(), 9), time.Hour))
		c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeOverloaded)
		c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)

		table.setDown(true)
		outcome := booking.Outcome{Verdict: verdict.Ran, Response: &request.Response{Body: make([]byte, 60)}}
		var wait sync.WaitGroup
		for _, handle := range handles {
			wait.Go(func() { c.Check(a.Resolve(t.Context(), handle, outcome), quicktest.IsNil) })
		}
		time.Sleep(time.Minute)
		table.setDown(false)
		wait.Wait()
		kept := 0
		for _, r := range requests {
			recorded := table.storedClaim(c, r).Outcome
			c.Assert(recorded.Verdict, quicktest.Equals, verdict.Ran)
			if recorded.Response != nil {
				kept++
			}
		}
		c.Assert(kept, quicktest.Equals, 1)

		r := newRequest(requestIDAt(time.Now(), 10), time.Hour)
		table.setDown(true)
		for range 40 {
			table.addSteps(table.lostRequest)
			_, _, err := a.Claim(t.Context(), r)
			c.Assert(verdict.FromError(err).Verdict, quicktest.Equals, verdict.NotRun)
			table.mutex.Lock()
			table.commitSteps = nil
			table.mutex.Unlock()
		}
		c.Assert(a.Counts().Abandoned <= maxAbandonedTokens, quicktest.IsTrue, quicktest.Commentf("%d", a.Counts().Abandoned))
		table.setDown(false)
	})
}
