package claim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

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
