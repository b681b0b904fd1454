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

// TestLoadIsShared guards against a separate load for each of several requests
// that wait for the same adapter.
func TestLoadIsShared(t *testing.T) {
	f := newFakeSite(1, 4)
	runWithController(t, f, func(c *quicktest.C, o *Controller) {
		var group sync.WaitGroup
		for range 10 {
			group.Go(func() { c.Check(place(o, f, "engine-0", lora(1), time.Second), quicktest.IsNil) })
		}
		group.Wait()
		c.Assert(f.engines["engine-0"].coldLoads, quicktest.Equals, 1)
	})
}

// TestLoadsStayWithinAdapterSlots guards against an engine that is ordered to
// load more adapters than fit, which crashes it.
func TestLoadsStayWithinAdapterSlots(t *testing.T) {
	f := newFakeSite(1, 4)
	runWithController(t, f, func(c *quicktest.C, o *Controller) {
		for i := range 12 {
			c.Assert(place(o, f, "engine-0", lora(i), 5*time.Second), quicktest.IsNil)
			c.Assert(f.engines["engine-0"].crashed, quicktest.IsFalse)
		}
	})
}

// TestAbandonedRequestIsNotLoaded guards against loads for requests whose caller
// has left, which delay the loads that other requests wait for.
func TestAbandonedRequestIsNotLoaded(t *testing.T) {
	f := newFakeSite(1, 40)
	runWithController(t, f, func(c *quicktest.C, o *Controller) {
		// MaxWait is the timeout of the route; the caller leaves much earlier.
		for i := range 30 {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
				defer cancel()
				server := f.View().Servers["engine-0"].Incarnation
				_, _ = o.Place(ctx, site.PlaceRequest{Server: server, Adapter: lora(i), MaxWait: 20 * time.Second, Prefetch: true})
			}()
		}
		time.Sleep(150 * time.Millisecond)
		c.Assert(place(o, f, "engine-0", lora(100), time.Second), quicktest.IsNil)
		c.Assert(f.engines["engine-0"].coldLoads < 15, quicktest.IsTrue, quicktest.Commentf("%d loads", f.engines["engine-0"].coldLoads))
	})
}

// TestWarmLoadDoesNotWaitForWeightStore guards against loads from an engine's own
// memory that wait because the limit of concurrent loads from the weight store is
// reached.
func TestWarmLoadDoesNotWaitForWeightStore(t *testing.T) {
	f := newFakeSite(3, 12)
	runWithController(t, f, func(c *quicktest.C, o *Controller) {
		c.Assert(place(o, f, "engine-0", lora(0), time.Second), quicktest.IsNil)
		time.Sleep(2 * unreportedTimeout)
		for i := range 12 {
			c.Assert(place(o, f, "engine-0", lora(1+i), 5*time.Second), quicktest.IsNil)
		}
		for id := range f.engines {
			for i := range 30 {
				go func() { _ = place(o, f, id, lora(100+i), 10*time.Second) }()
			}
		}
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		c.Assert(place(o, f, "engine-0", lora(0), 5*time.Second), quicktest.IsNil)
		c.Assert(time.Since(began) < 2*coldLoadDuration+unreportedTimeout, quicktest.IsTrue, quicktest.Commentf("%s", time.Since(began)))
		c.Assert(f.engines["engine-0"].warmLoads, quicktest.Equals, 1)
	})
}

// TestUnansweredOrderIsRepeated guards against a long wait after an order without
// an answer, and against an engine that exceeds its adapter slots because it
// carries the unanswered order out later.
func TestUnansweredOrderIsRepeated(t *testing.T) {
	f := newFakeSite(1, 1)
	runWithController(t, f, func(c *quicktest.C, o *Controller) {
		e := f.engines["engine-0"]
		for i := range 12 {
			e.ordersToIgnore = 2
			began := time.Now()
			c.Assert(place(o, f, "engine-0", lora(i), 10*time.Second), quicktest.IsNil)
			c.Assert(time.Since(began) < 2*unreportedTimeout+2*coldLoadDuration, quicktest.IsTrue, quicktest.Commentf("%s", time.Since(began)))
			f.mutex.Lock()
			for _, order := range e.ignoredOrders {
				e.execute(order)
			}
			e.ignoredOrders = nil
			f.mutex.Unlock()
			c.Assert(e.crashed, quicktest.IsFalse)
		}
	})
}

// TestRefusedOrderThatIsCarriedOutLate guards against an engine that exceeds its adapter slots
// because it carries out orders that it has answered as if it did not.
func TestRefusedOrderThatIsCarriedOutLate(t *testing.T) {
	for _, outcome := range []site.OrderOutcome{site.OrderRefused, site.OrderConflict, site.OrderMisdirected} {
		for delay := range 8 {
			f := newFakeSite(1, 1)
			runWithController(t, f, func(c *quicktest.C, o *Controller) {
				e := f.engines["engine-0"]
				for i := range 6 {
					f.mutex.Lock()
					e.ordersToIgnore, e.ignoredOutcome = 1, outcome
					f.mutex.Unlock()
					_ = place(o, f, "engine-0", lora(i), time.Duration(delay+1)*50*time.Millisecond)
					_ = place(o, f, "engine-0", lora(i+100), time.Duration(delay+1)*100*time.Millisecond)
					f.mutex.Lock()
					for _, order := range e.ignoredOrders {
						e.execute(order)
					}
					e.ignoredOrders = nil
					f.mutex.Unlock()
					c.Assert(e.crashed, quicktest.IsFalse, quicktest.Commentf("%s, delay %d", outcome, delay))
				}
			})
		}
	}
}

// TestQueuedRequestsCauseNoOrders guards against load orders for an adapter that
// is already loaded, caused by requests that wait for the engine to admit their
// prompts.
func TestQueuedRequestsCauseNoOrders(t *testing.T) {
	f := newFakeSite(1, 4)
	runWithController(t, f, func(c *quicktest.C, o *Controller) {
		c.Assert(place(o, f, "engine-0", lora(1), time.Second), quicktest.IsNil)
		orders := len(f.engines["engine-0"].orders)
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				server := f.View().Servers["engine-0"].Incarnation
				_, _ = o.Place(ctx, site.PlaceRequest{Server: server, Host: "host", Adapter: lora(1), PromptTokens: 2000, MaxWait: time.Second, MayQueue: true})
			})
		}
		group.Wait()
		c.Assert(f.engines["engine-0"].orders, quicktest.HasLen, orders)
	})
}

// TestFullEngineRefusesImmediately guards against requests that wait at a full
// engine although another engine has capacity, and against more running requests
// than the engine is meant to have.
func TestFullEngineRefusesImmediately(t *testing.T) {
	f := newFakeSite(1, 4)
	runWithController(t, f, func(c *quicktest.C, o *Controller) {
		server := f.View().Servers["engine-0"]
		request := site.PlaceRequest{Server: server.Incarnation, Host: "other", Adapter: lora(1), PromptTokens: 1, MaxWait: time.Second}
		for range int(maxRequestsPerSlot * float64(server.MaxConcurrency)) {
			_, err := o.Place(context.Background(), request)
			c.Assert(err, quicktest.IsNil)
		}
		_, err := o.Place(context.Background(), request)
		c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeOverloaded)
		request.MayQueue = true
		_, err = o.Place(context.Background(), request)
		c.Assert(verdict.FromError(err).Code, quicktest.Equals, verdict.CodeDeadline)
		// The host reports that all but one of its requests have ended.
		o.UpdateInFlight("other", []site.InFlight{{Server: "engine-0", Adapters: map[site.Adapter]int{lora(1): 1}}})
		_, err = o.Place(context.Background(), request)
		c.Assert(err, quicktest.IsNil)
	})
}
