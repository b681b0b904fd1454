package claim

import (
	"context"
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
