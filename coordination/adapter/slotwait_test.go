package adapter

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// TestRequestWithoutSlotIsRefusedAtOnce replays a burst of requests for more adapters than an
// engine has slots. It guards against requests that wait until their deadlines for a slot that
// cannot become free in time, and against refusals of those that get one.
func TestRequestWithoutSlotIsRefusedAtOnce(t *testing.T) {
	const slots, burst = 2, 40
	f := newFakeSite(1, slots)
	runWithController(t, f, func(c *quicktest.C, o *Controller) {
		server := f.View().Servers["engine-0"].Incarnation
		type outcome struct {
			err    error
			waited time.Duration
		}
		outcomes := make(chan outcome, burst)
		var running sync.WaitGroup
		defer running.Wait()
		for n := range burst {
			request := site.PlaceRequest{Server: server, Host: "other", Adapter: lora(n), MaxWait: 3 * time.Second, MayQueue: true}
			running.Go(func() {
				began := time.Now()
				_, err := o.Place(context.Background(), request)
				outcomes <- outcome{err, time.Since(began)}
				if err == nil {
					// The request runs for a while.
					time.Sleep(500 * time.Millisecond)
					o.UpdateEndedRuns([]site.EndedRuns{{Server: "engine-0", Adapter: request.Adapter, Count: 1}})
				}
			})
		}
		served, refusedAtOnce, late := 0, 0, 0
		for range burst {
			result := <-outcomes
			failure := verdict.FromError(result.err)
			switch {
			case result.err == nil:
				served++
			case failure.Code == verdict.CodeOverloaded && result.waited < 100*time.Millisecond:
				refusedAtOnce++
				c.Check(failure.RetryAfter > 0, quicktest.IsTrue)
			default:
				late++
			}
		}
		c.Check(served >= slots*2, quicktest.IsTrue, quicktest.Commentf("%d served", served))
		c.Check(refusedAtOnce >= burst/2, quicktest.IsTrue, quicktest.Commentf("%d refused at once", refusedAtOnce))
		c.Check(late <= burst/4, quicktest.IsTrue, quicktest.Commentf("%d refused late", late))
	})
}
