package retry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// TestRetryLimitHoldsInEveryWindow guards against more retries in some time span
// of the window's length than the limit allows, although each of the fixed
// windows that it overlaps is within the limit.
func TestRetryLimitHoldsInEveryWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w := &WindowBudget{Window: 10 * time.Second, RetryRatio: 0.2, MinRetries: 30, HostCount: func() int { return 3 }}
		var sent []time.Time
		for range 4000 {
			time.Sleep(10 * time.Millisecond)
			w.CountRequest("service")
			if w.AllowRetry("service") {
				sent = append(sent, time.Now())
			}
		}
		c.Assert(len(sent) > 500, quicktest.IsTrue)
		for i, first := range sent {
			count := 0
			for _, at := range sent[i:] {
				if at.Sub(first) < w.Window {
					count++
				}
			}
			c.Assert(count <= 210, quicktest.IsTrue, quicktest.Commentf("%d in a window from %s", count, first))
		}
		time.Sleep(time.Minute)
		allowed := 0
		for w.AllowRetry("service") {
			allowed++
		}
		c.Assert(allowed, quicktest.Equals, 10)
	})
}
