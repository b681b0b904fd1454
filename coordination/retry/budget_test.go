package retry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

var (
	_ dispatch.RetryBudget = (*Budget)(nil)
	_ dispatch.Recorder    = (*Budget)(nil)
)

// newRequest returns a request of the application with a deadline in an hour.
func newRequest(application configuration.ApplicationName) *request.Request {
	return &request.Request{Application: application, Deadline: time.Now().Add(time.Hour)}
}

// startBudget runs a budget until the test ends.
func startBudget(t *testing.T, b *Budget) *Budget {
	go func() { _ = b.Run(context.Background()) }()
	t.Cleanup(func() { _ = b.Close() })
	return b
}

// countAllowed returns how many of n retries the budget allows.
func countAllowed(b *Budget, r *request.Request, n int) int {
	count := 0
	for range n {
		if _, ok := b.NextBackoff(r, 1); ok {
			count++
		}
	}
	return count
}

// TestRetriesAreLimitedToShareOfSuccesses guards against retries that multiply
// the load during an outage, and against one application that uses up the budget
// of another.
func TestRetriesAreLimitedToShareOfSuccesses(t *testing.T) {
	for _, test := range []struct {
		name      string
		successes int
		failures  int
		replayed  bool
		pause     time.Duration
		want      int
	}{
		{name: "no successes earn nothing", want: 0},
		{name: "a tenth of the successes", successes: 45, want: 4},
		{name: "failures earn nothing", failures: 100, want: 0},
		{name: "replayed responses earn nothing", successes: 100, replayed: true, want: 0},
		{name: "at most the burst", successes: 1000, want: 10},
		{name: "minimum rate after a pause", pause: time.Minute, want: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := startBudget(t, &Budget{})
				r := newRequest("quotes")
				// The burst, and one retry of the minimum rate.
				c.Assert(countAllowed(b, r, 100), quicktest.Equals, 11)
				time.Sleep(test.pause)
				for range test.successes {
					b.RecordRequest(r, request.Response{Replayed: test.replayed}, nil)
				}
				for range test.failures {
					b.RecordRequest(r, request.Response{}, verdict.NewNotRun(verdict.CodeNoGrant, "no grant"))
				}
				c.Assert(countAllowed(b, r, 100), quicktest.Equals, test.want)
				c.Assert(countAllowed(b, newRequest("yard"), 100), quicktest.Equals, 11)
			})
		})
	}
}

// TestNoRetryPastDeadline guards against a retry that starts after the caller has
// stopped waiting, and against a delay above its limit.
func TestNoRetryPastDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := startBudget(t, &Budget{Burst: 100_000, MaxBackoff: 400 * time.Millisecond})
		for retry := 1; retry < 40; retry++ {
			limit := min(50*time.Millisecond<<(min(retry, 10)-1), 400*time.Millisecond)
			var longest time.Duration
			for range 200 {
				r := newRequest("quotes")
				r.Deadline = time.Now().Add(limit / 2)
				if delay, ok := b.NextBackoff(r, retry); ok {
					c.Assert(delay < limit/2, quicktest.IsTrue)
				}
				r.Deadline = time.Now().Add(time.Hour)
				delay, ok := b.NextBackoff(r, retry)
				c.Assert(ok, quicktest.IsTrue)
				c.Assert(delay >= 0 && delay <= limit, quicktest.IsTrue, quicktest.Commentf("retry %d: %v", retry, delay))
				longest = max(longest, delay)
			}
			c.Assert(longest > limit*3/4, quicktest.IsTrue, quicktest.Commentf("retry %d: %v", retry, longest))
		}
	})
}

// TestAccountsAreBounded guards against memory use that grows with the number of
// application names.
func TestAccountsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := startBudget(t, &Budget{MaxApplications: 3})
		for i := range 4 {
			c.Assert(countAllowed(b, newRequest(configuration.ApplicationName(fmt.Sprint(i))), 20), quicktest.Equals, 11)
		}
		c.Assert(countAllowed(b, newRequest("3"), 20), quicktest.Equals, 0)
		c.Assert(countAllowed(b, newRequest("1"), 20), quicktest.Equals, 0)
		// Application 0 was dropped as the least recently used one, so it starts
		// with a new account.
		c.Assert(countAllowed(b, newRequest("0"), 20), quicktest.Equals, 11)
	})
}

// TestNextBackoffAfterClose guards against a request that waits forever for a
// reply of a Budget that was closed.
func TestNextBackoffAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := &Budget{}
		c.Assert(b.Close(), quicktest.IsNil)
		_, ok := b.NextBackoff(newRequest("quotes"), 1)
		c.Assert(ok, quicktest.IsFalse)
	})
}
